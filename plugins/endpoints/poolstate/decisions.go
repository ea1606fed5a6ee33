package poolstate

import (
	"time"

	"redwingpulley/kernel/model"
	"redwingpulley/kernel/port"
)

// refusalTexts explains each reason of refusal in the decision log.
var refusalTexts = map[model.Reason]string{
	model.ReasonNoEndpoint: "no endpoint takes work",
	model.ReasonNeverFits:  "no endpoint has the resources",
	model.ReasonBusy:       "would wait longer than its origin expected",
	model.ReasonPaused:     "this process stood still after it had accepted the batch",
	model.ReasonMoved:      "another member owns the pool by now",
	model.ReasonEvacuated:  "operators have had the data centre evacuated",
	model.ReasonOverload:   "could not end before its deadline, or the queue is full",
}

// newDecision returns a log entry with the fields that are common to all decisions on a batch.
func (m *Machine) newDecision(now time.Time, kind port.DecisionKind, b *batch) port.Decision {
	d := port.Decision{
		Kind: kind, Job: b.ID.Job, Key: b.Key, Part: b.ID.Part, Task: -1, Tasks: len(b.Tasks),
		Slots: m.totals.slots, Free: m.totals.free, Waiting: m.queue.count + m.totals.held,
		Left: b.Deadline.Sub(now), Priority: b.Priority, InTime: b.inTime(now),
	}
	if b.hasObjective() {
		d.Objective = b.Objective.For(b.longestRun)
	}
	return d
}

func (m *Machine) logAdmission(now time.Time, b *batch, verdict port.Verdict, fx *Effects) {
	kind := port.DecidedBatchAcceptance
	if !verdict.Admit {
		kind = port.DecidedBatchRefusal
	}
	d := m.newDecision(now, kind, b)
	d.Ahead = m.queue.work / time.Duration(max(m.totals.slots, 1))
	if !verdict.Admit {
		d.Reason, d.RetryAfter, d.Why = verdict.Reason, verdict.RetryAfter, refusalTexts[verdict.Reason]
	}
	fx.Decisions = append(fx.Decisions, d)
}

func (m *Machine) logStart(now time.Time, t *task, why string, fx *Effects) {
	d := m.newDecision(now, port.DecidedSend, t.batch)
	d.Task, d.Attempt, d.Tasks, d.Endpoint = t.spec().Index, t.attempt, 1, t.endpoint.ID
	d.InTime = !t.batch.inTimeUntil.Before(now.Add(t.run.Median))
	d.Queued, d.Why, d.PassedOver = now.Sub(t.batch.arrived), why, len(m.endpointList)-1
	d.Factor = m.learnedFactor(t.endpoint)
	fx.Decisions = append(fx.Decisions, d)
}

// logCancellation logs that a batch ends before all of its tasks have results.
func (m *Machine) logCancellation(now time.Time, b *batch, reason model.Reason, fx *Effects) {
	d := m.newDecision(now, port.DecidedBatchCancellation, b)
	d.Reason, d.Tasks = reason, len(b.tasks)-len(b.results)
	fx.Decisions = append(fx.Decisions, d)
}

// Status is the state of an endpoint as the pool sees it.
type Status string

// Statuses of endpoints.
const (
	StatusUnknown         Status = "unknown"  // The endpoint has not announced itself yet.
	StatusServing         Status = "serving"  // The endpoint gets work.
	StatusLeaving         Status = "leaving"  // The endpoint drains: it finishes its tasks and gets no new ones.
	StatusQuarantined     Status = "aside"    // The endpoint gets no work because of failures.
	StatusProbing         Status = "probing"  // Single tasks test whether the quarantined endpoint works again.
	StatusLeasedElsewhere Status = "away"     // Another member may hold the lease; ends with the next announcement.
	StatusIsolated        Status = "isolated" // Runs an isolated task, or is reserved for one.
	StatusConfined        Status = "confined" // Gets only tasks of confined teams.
	StatusRefusing        Status = "refusing" // The endpoint refuses connections; ends with the next announcement.
	StatusGone            Status = "gone"     // The announcements have ceased, or the endpoint has shut down.
	statusUnreported      Status = ""         // No change of the endpoint's status has been reported yet.
)

func (e *endpoint) status() Status {
	switch {
	case !e.live:
		return StatusGone
	case e.State != model.EndpointServing:
		return StatusLeaving
	case e.down:
		return StatusRefusing
	case e.cordon:
		return StatusLeasedElsewhere
	case e.health.status == quarantined:
		return StatusQuarantined
	case e.health.status == probing:
		return StatusProbing
	case e.isolated:
		return StatusIsolated
	case e.confined:
		return StatusConfined
	}
	return StatusServing
}

// recordStatusChange adds the endpoint's status to the changes of this step if it is new.
func (m *Machine) recordStatusChange(e *endpoint) {
	status := e.status()
	if status == e.reported {
		return
	}
	from := e.reported
	if from == statusUnreported {
		from = StatusUnknown
	}
	m.changes = append(m.changes, EndpointChange{e.ID, from, status, e.counted.slots})
	e.reported = status
}
