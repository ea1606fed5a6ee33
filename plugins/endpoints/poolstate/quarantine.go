package poolstate

import (
	"math"
	"slices"
	"time"

	"redwingpulley/kernel/model"
	"redwingpulley/kernel/port"
)

const (
	// minFailuresInRow is how many failures in a row, of as many jobs, an endpoint must have before it can
	// be quarantined.
	minFailuresInRow = 3
	// quarantineProbability is the probability below which a run of failures is not taken for chance.
	quarantineProbability = 1e-4
	minFailureRate        = 0.02 // Lowest failure rate that is assumed of a healthy service.
	// endpointsPerFailing limits quarantine to times when at most one endpoint in this many, or a single
	// one, is in a run of failures.
	endpointsPerFailing = 4
	failureRateWeight   = 1.0 / 32
	firstProbeDelay     = time.Second // From quarantine to the first probe; doubles with each failed probe.
	maxProbeDelay       = time.Minute
	// overrunFactor is how long, in multiples of its p95 run time, a task must have run for its cancellation
	// at the deadline to count as a failure of the endpoint rather than as a straggler.
	overrunFactor   = 4
	probesToRecover = 2 // Successful probes after which an endpoint gets all its slots back.
)

// status is the state of an endpoint's circuit breaker: healthy is closed, quarantined open and probing
// half-open. See Status for the state of the endpoint as a whole.
type status int

const (
	healthy     status = iota
	quarantined        // The endpoint gets no work.
	probing            // The endpoint gets one task at a time.
)

// health is the failure record of an endpoint.
type health struct {
	status         status
	failuresInRow  int         // Failures in a row, refusals included.
	failedJobs     int         // Number of jobs among these failures; a job counts again when it fails after another one.
	lastFailedJob  model.JobID // Job of the latest of these failures.
	backoff        time.Duration
	failing        bool      // The endpoint is counted in the machine's failing.
	probeSuccesses int       // Successful probes in a row.
	probingSince   time.Time // Time at which probing began.
}

// recordOutcome records that a task at an endpoint succeeded or failed. A task that fails wherever it
// runs raises the service's failure rate, against which the endpoint's failures are compared.
func (m *Machine) recordOutcome(now time.Time, e *endpoint, job model.JobID, failed bool) {
	h := &e.health
	m.learnFailureRate(h, failed)
	if !failed {
		h.failuresInRow, h.failedJobs, h.lastFailedJob = 0, 0, ""
		m.countFailing(h, false)
		m.recordProbeSuccess(e)
		return
	}
	h.failuresInRow++
	if job != h.lastFailedJob {
		h.failedJobs++
		h.lastFailedJob = job
	}
	m.countFailing(h, h.status == healthy && h.failuresInRow >= minFailuresInRow-1)
	if h.status == probing || h.status == healthy && m.shouldQuarantine(h) {
		m.quarantine(now, e)
	}
}

// recordOverrun records a failure of the endpoint when a task there is cancelled at its deadline after
// running much longer than such tasks take.
func (m *Machine) recordOverrun(now time.Time, t *task, reason model.Reason) {
	if reason == model.ReasonDeadline && t.class.Learned() && now.Sub(t.sentAt) > overrunFactor*t.run.P95 {
		m.recordOutcome(now, t.endpoint, t.batch.ID.Job, true)
	}
}

// countFailing sets whether an endpoint is in a run of failures and keeps their count up to date.
func (m *Machine) countFailing(h *health, failing bool) {
	switch {
	case failing && !h.failing:
		m.failing++
	case !failing && h.failing:
		m.failing--
	}
	h.failing = failing
}

// learnFailureRate adds an outcome to the service's failure rate. It leaves out the later failures of a
// run: they would raise the rate and so hide the bad endpoint that caused them.
func (m *Machine) learnFailureRate(h *health, failed bool) {
	switch {
	case !failed:
		m.failureRate -= failureRateWeight * m.failureRate
	case h.status == healthy && h.failuresInRow < minFailuresInRow:
		m.failureRate += failureRateWeight * (1 - m.failureRate)
	}
}

// shouldQuarantine reports whether the run of failures is the endpoint's fault rather than that of the
// service or its tasks.
func (m *Machine) shouldQuarantine(h *health) bool {
	if h.failuresInRow < minFailuresInRow || h.failedJobs < minFailuresInRow {
		return false
	}
	if 2*(m.quarantinedEndpoints+1) > m.live || m.failing > max(m.live/endpointsPerFailing, 1) {
		return false // Many endpoints fail because of their tasks or something that they share.
	}
	return math.Pow(max(m.failureRate, minFailureRate), float64(h.failuresInRow)) < quarantineProbability
}

func (m *Machine) quarantine(now time.Time, e *endpoint) {
	h := &e.health
	if h.status == healthy {
		m.quarantinedEndpoints++
		h.backoff = firstProbeDelay
	} else {
		h.backoff = min(2*h.backoff, maxProbeDelay)
	}
	h.status = quarantined
	h.probeSuccesses = 0
	m.countFailing(h, false)
	m.stopProbing(e)
	m.timers.set(&e.probeTimer, now.Add(h.backoff))
	m.updateTotals(e)
}

// startProbing allows a quarantined endpoint one task at a time.
func (m *Machine) startProbing(now time.Time, e *endpoint) {
	if e.health.status == quarantined {
		e.health.status = probing
		e.health.probingSince = now
		m.probing = append(m.probing, e)
		m.recordStatusChange(e)
	}
}

// pickProbe returns an endpoint that is being probed and to which the task may be sent as a probe. A
// failed probe may end its job, so for the first firstProbeDelay only jobs of one task are used.
func (m *Machine) pickProbe(now time.Time, t *task) (port.Choice, bool) {
	for _, e := range m.probing {
		allowed := len(t.batch.tasks) == 1 || now.Sub(e.health.probingSince) >= firstProbeDelay
		if allowed && e.hasRoom(t.spec().Needs) && t.avoid != e.ID {
			return port.Choice{Endpoint: e.ID, Why: "probe of an endpoint in quarantine"}, true
		}
	}
	return port.Choice{}, false
}

func (m *Machine) recordProbeSuccess(e *endpoint) {
	h := &e.health
	if h.status != probing {
		return
	}
	h.probeSuccesses++
	if h.probeSuccesses < probesToRecover {
		return
	}
	m.endQuarantine(e)
	m.updateTotals(e)
}

// endQuarantine makes the endpoint healthy and clears its failure record.
func (m *Machine) endQuarantine(e *endpoint) {
	if e.health.status != healthy {
		m.quarantinedEndpoints--
	}
	m.timers.stop(&e.probeTimer)
	m.stopProbing(e)
	m.countFailing(&e.health, false)
	e.health = health{}
}

func (m *Machine) stopProbing(e *endpoint) {
	m.probing = slices.DeleteFunc(m.probing, func(other *endpoint) bool { return other == e })
}
