package poolstate

import (
	"math"
	"time"

	"redwingpulley/kernel/model"
)

const (
	minBadRun      = 3    // Failures in a row, each of another job, before an endpoint is suspected.
	chanceOfRun    = 1e-4 // An endpoint is set aside when its run is less likely than this by chance.
	leastBadRate   = 0.02 // Share of failures that a healthy service is allowed.
	badRateWeight  = 1.0 / 128
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
	successes int // Of probes, in a row.
}

// judge takes the end of a task at an endpoint into account. A task that fails wherever it runs
// raises the service's own rate of failures, against which an endpoint is judged.
func (m *Machine) judge(now time.Time, e *endpoint, job model.JobID, bad bool) {
	r := &e.record
	m.learnBadRate(r, bad)
	if !bad {
		r.badRun, r.badJobs, r.lastJob = 0, 0, ""
		m.probeSucceeded(e)
		return
	}
	r.badRun++
	if job != r.lastJob {
		r.badJobs++
		r.lastJob = job
	}
	if r.standing == probing || r.standing == trusted && m.suspect(r) {
		m.quarantine(now, e)
	}
}

// judgeOverdue counts it against an endpoint when a task there has run into its deadline for much
// longer than such tasks take.
func (m *Machine) judgeOverdue(now time.Time, t *task, reason model.Reason) {
	learned := t.class.team.samples >= priorSamples
	if reason == model.ReasonDeadline && learned && now.Sub(t.sent) > overdue*t.run.high {
		m.judge(now, t.endpoint, t.batch.ID.Job, true)
	}
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
	if 2*(m.aside+1) > m.live {
		return false // Most endpoints failing is the fault of the tasks or of something they share.
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
	m.timers.set(&e.probe, now.Add(r.backoff))
	m.refresh(e)
}

// probeDue lets one task at a time reach a quarantined endpoint.
func (m *Machine) probeDue(e *endpoint) {
	if e.record.standing == quarantined {
		e.record.standing = probing
		m.refresh(e)
	}
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
	e.record = record{}
}
