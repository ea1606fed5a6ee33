package poolstate

import (
	"time"

	"redwingpulley/kernel/model"
	"redwingpulley/kernel/port"
)

// refusals are the texts of refusals in the decision log.
var refusals = map[model.Reason]string{
	model.ReasonNoEndpoint: "no endpoint takes work",
	model.ReasonNeverFits:  "no endpoint has the resources",
	model.ReasonBusy:       "would wait longer than its origin expected",
	model.ReasonMoved:      "another member owns the pool by now",
	model.ReasonOverload:   "could not end before its deadline, or the queue is full",
}

// decision returns what the log tells of any decision on a batch.
func (m *Machine) decision(now time.Time, kind port.DecisionKind, b *batch) port.Decision {
	d := port.Decision{
		Kind: kind, Job: b.ID.Job, Key: b.Key, Part: b.ID.Part, Task: -1, Tasks: len(b.Tasks),
		Slots: m.totals.slots, Free: m.totals.free, Waiting: m.queue.count + m.totals.held,
		Left: b.Deadline.Sub(now),
	}
	if b.Whole {
		d.Objective = b.Objective.For(b.typicalRun)
	}
	return d
}

func (m *Machine) noteVerdict(now time.Time, b *batch, verdict port.Verdict, fx *Effects) {
	kind := port.DecidedTake
	if !verdict.Admit {
		kind = port.DecidedBatchNo
	}
	d := m.decision(now, kind, b)
	d.Ahead = m.queue.work / time.Duration(max(m.totals.slots, 1))
	if !verdict.Admit {
		d.Reason, d.RetryAfter, d.Why = verdict.Reason, verdict.RetryAfter, refusals[verdict.Reason]
	}
	fx.Decisions = append(fx.Decisions, d)
}

func (m *Machine) noteStart(now time.Time, t *task, why string, fx *Effects) {
	d := m.decision(now, port.DecidedSend, t.batch)
	d.Task, d.Attempt, d.Tasks, d.Endpoint = t.spec().Index, t.attempt, 1, t.endpoint.ID
	d.Queued, d.Why, d.PassedOver = now.Sub(t.batch.arrived), why, len(m.members)-1
	fx.Decisions = append(fx.Decisions, d)
}

// noteCut tells of a batch that ends without all of its results.
func (m *Machine) noteCut(now time.Time, b *batch, reason model.Reason, fx *Effects) {
	d := m.decision(now, port.DecidedCut, b)
	d.Reason, d.Tasks = reason, len(b.tasks)-len(b.results)
	fx.Decisions = append(fx.Decisions, d)
}

// Standing is what a pool holds an endpoint for.
type Standing string

// Standings of endpoints.
const (
	StandingUnknown Standing = "unknown" // Before its first announcement.
	StandingServing Standing = "serving" // It gets work.
	StandingLeaving Standing = "leaving" // It ends what it has.
	StandingAside   Standing = "aside"   // In quarantine after failures.
	StandingProbing Standing = "probing" // Single tasks show whether it works again.
	StandingAway    Standing = "away"    // Another member holds it, until its next announcement.
	StandingSilent  Standing = "gone"    // Its announcements have ceased, or it has ended.
	standingUntold  Standing = ""        // Of an endpoint that no log line has told of.
)

func (e *endpoint) standing() Standing {
	switch {
	case !e.live:
		return StandingSilent
	case e.State != model.EndpointServing:
		return StandingLeaving
	case e.away:
		return StandingAway
	case e.record.standing == quarantined:
		return StandingAside
	case e.record.standing == probing:
		return StandingProbing
	}
	return StandingServing
}

// noteStanding keeps a change of what the endpoint is held for until the step's end.
func (m *Machine) noteStanding(e *endpoint) {
	standing := e.standing()
	if standing == e.told {
		return
	}
	from := e.told
	if from == standingUntold {
		from = StandingUnknown
	}
	m.changes = append(m.changes, EndpointChange{e.ID, from, standing, e.counted.slots})
	e.told = standing
}
