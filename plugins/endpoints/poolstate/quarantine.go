package poolstate

import (
	"math"
	"slices"
	"time"

	"redwingpulley/kernel/model"
	"redwingpulley/kernel/port"
)

const (
	minBadRun      = 3    // Failures in a row, each of another job, before an endpoint is suspected.
	chanceOfRun    = 1e-4 // An endpoint is set aside when its run is less likely than this by chance.
	leastBadRate   = 0.02 // Share of failures that a healthy service is allowed.
	maxFailing     = 4    // One endpoint of so many may be in a run of failures while one is set aside.
	badRateWeight  = 1.0 / 32
	firstProbe     = time.Second // From quarantine to the first probe; doubles with each failed one.
	longestProbe   = time.Minute
	overdue        = 4 // Times the high estimate after which a task is no straggler any more.
	probesToReturn = 2 // Successful probes after which an endpoint gets all its slots back.
)

// standing is how an endpoint is trusted.
type standing int

const (
	trusted     standing = iota
	quarantined          // Gets no work.
	probing              // Gets one task at a time.
)

// record is what is known of an endpoint's failures.
type record struct {
	standing  standing
	badRun    int         // Failures and refusals in a row.
	badJobs   int         // Of different jobs.
	lastJob   model.JobID // Of the newest of them.
	backoff   time.Duration
	failing   bool      // Counted among the machine's failing endpoints.
	successes int       // Of probes, in a row.
	since     time.Time // When probing began.
}

// judge takes the end of a task at an endpoint into account. A task that fails wherever it runs
// raises the service's own rate of failures, against which an endpoint is judged.
func (m *Machine) judge(now time.Time, e *endpoint, job model.JobID, bad bool) {
	r := &e.record
	m.learnBadRate(r, bad)
	if !bad {
		r.badRun, r.badJobs, r.lastJob = 0, 0, ""
		m.countFailing(r, false)
		m.probeSucceeded(e)
		return
	}
	r.badRun++
	if job != r.lastJob {
		r.badJobs++
		r.lastJob = job
	}
	m.countFailing(r, r.standing == trusted && r.badRun >= minBadRun-1)
	if r.standing == probing || r.standing == trusted && m.suspect(r) {
		m.quarantine(now, e)
	}
}

// judgeOverdue counts it against an endpoint when a task there has run into its deadline for much
// longer than such tasks take.
func (m *Machine) judgeOverdue(now time.Time, t *task, reason model.Reason) {
	if reason == model.ReasonDeadline && t.class.learned() && now.Sub(t.sent) > overdue*t.run.high {
		m.judge(now, t.endpoint, t.batch.ID.Job, true)
	}
}

// countFailing keeps count of the endpoints that are in a run of failures and not in quarantine.
func (m *Machine) countFailing(r *record, failing bool) {
	switch {
	case failing && !r.failing:
		m.failing++
	case !failing && r.failing:
		m.failing--
	}
	r.failing = failing
}

// learnBadRate leaves out the later failures of a run, which would hide a bad endpoint behind the
// rate that it caused itself.
func (m *Machine) learnBadRate(r *record, bad bool) {
	switch {
	case !bad:
		m.badRate -= badRateWeight * m.badRate
	case r.standing == trusted && r.badRun < minBadRun:
		m.badRate += badRateWeight * (1 - m.badRate)
	}
}

// suspect reports whether the endpoint's run of failures is not the service's own.
func (m *Machine) suspect(r *record) bool {
	if r.badRun < minBadRun || r.badJobs < minBadRun {
		return false
	}
	if 2*(m.aside+1) > m.live || m.failing > max(m.live/maxFailing, 1) {
		return false // Many failing endpoints are the fault of the tasks or of something they share.
	}
	return math.Pow(max(m.badRate, leastBadRate), float64(r.badRun)) < chanceOfRun
}

func (m *Machine) quarantine(now time.Time, e *endpoint) {
	r := &e.record
	if r.standing == trusted {
		m.aside++
		r.backoff = firstProbe
	} else {
		r.backoff = min(2*r.backoff, longestProbe)
	}
	r.standing = quarantined
	r.successes = 0
	m.countFailing(r, false)
	m.stopProbing(e)
	m.timers.set(&e.probe, now.Add(r.backoff))
	m.refresh(e)
}

// probeDue lets one task at a time reach a quarantined endpoint.
func (m *Machine) probeDue(now time.Time, e *endpoint) {
	if e.record.standing == quarantined {
		e.record.standing = probing
		e.record.since = now
		m.probing = append(m.probing, e)
		m.noteStanding(e)
	}
}

// probe returns a quarantined endpoint for which the task may serve as a probe. A probe that fails
// ends its job, so jobs of one task are preferred for a while.
func (m *Machine) probe(now time.Time, t *task) (port.Choice, bool) {
	for _, e := range m.probing {
		ripe := len(t.batch.tasks) == 1 || now.Sub(e.record.since) >= firstProbe
		if ripe && e.room(t.spec().Needs) && t.avoid != e.ID {
			return port.Choice{Endpoint: e.ID, Why: "probe of an endpoint in quarantine"}, true
		}
	}
	return port.Choice{}, false
}

func (m *Machine) probeSucceeded(e *endpoint) {
	r := &e.record
	if r.standing != probing {
		return
	}
	r.successes++
	if r.successes < probesToReturn {
		return
	}
	m.trust(e)
	m.refresh(e)
}

// trust ends a quarantine.
func (m *Machine) trust(e *endpoint) {
	if e.record.standing != trusted {
		m.aside--
	}
	m.timers.stop(&e.probe)
	m.stopProbing(e)
	m.countFailing(&e.record, false)
	e.record = record{}
}

func (m *Machine) stopProbing(e *endpoint) {
	m.probing = slices.DeleteFunc(m.probing, func(other *endpoint) bool { return other == e })
}
