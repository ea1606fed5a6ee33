// Package loadview estimates the current load of a pool that another member owns, and decides when an
// owner publishes the loads of its own pools. It does no I/O and reads no clock: its results depend on
// its arguments alone.
package loadview

import (
	"time"

	"redwingpulley/kernel/model"
)

const (
	// maxTransit is the longest time that a load report takes to arrive. Tasks sent within this time
	// before the arrival may not be counted in the report yet.
	maxTransit = 5 * time.Millisecond
	// versionTimeout is the time without a report after which a load is accepted whatever its version:
	// the owner may have restarted, which starts its versions from the beginning.
	versionTimeout = 2 * time.Second
	// loadExpiry is the time without a report after which a pool is assumed to be gone.
	loadExpiry = 30 * time.Second
	// maxSendAge is how long sent tasks are added to the estimate when no report arrives.
	maxSendAge = time.Second
)

// Estimate estimates the load of a pool from the newest load that its owner reported and from the tasks
// that this member has sent to it. The zero value has no report. An Estimate is not safe for concurrent use.
type Estimate struct {
	load  model.PoolLoad
	at    time.Time // When load arrived.
	sends []send    // Batches sent since then, and up to maxTransit before.
}

// send is a batch of this member that the reported load may not include yet.
type send struct {
	at    time.Time
	tasks int
}

// Update replaces the reported load by one from the pool's owner, unless a newer one is known.
func (e *Estimate) Update(now time.Time, load model.PoolLoad) {
	stale := now.Sub(e.at) >= versionTimeout
	if load.Owner == e.load.Owner && load.Version <= e.load.Version && !stale {
		return
	}
	e.load, e.at = load, now
	e.dropSends(now.Add(-maxTransit))
}

// AddSent adds tasks that this member sends to the pool, until a reported load includes them.
func (e *Estimate) AddSent(now time.Time, tasks int) {
	e.dropSends(now.Add(-maxSendAge))
	e.sends = append(e.sends, send{now, tasks})
}

// dropSends drops the sends from before the given time.
func (e *Estimate) dropSends(before time.Time) {
	first := 0
	for first < len(e.sends) && e.sends[first].at.Before(before) {
		first++
	}
	e.sends = e.sends[:copy(e.sends, e.sends[first:])]
}

// Owner returns the member that reported the load, or "" when there is no report.
func (e *Estimate) Owner() model.NodeID { return e.load.Owner }

// Load returns the estimated load of the pool: the reported load, with its queue shortened by the tasks
// that are likely to have ended since, and with the tasks that this member has sent. ok is false when
// there is no report or it has expired.
func (e *Estimate) Load(now time.Time) (load model.PoolLoad, ok bool) {
	age := now.Sub(e.at)
	if e.at.IsZero() || age >= loadExpiry {
		return model.PoolLoad{}, false
	}
	load = drainQueue(e.load, age)
	load.Age = age
	for _, s := range e.sends {
		if now.Sub(s.at) < maxSendAge {
			load = addTasks(load, s.tasks)
		}
	}
	return load, true
}

// drainQueue returns the load after the given time during which no task was added.
func drainQueue(load model.PoolLoad, age time.Duration) model.PoolLoad {
	if load.Queued == 0 || load.MeanRun == 0 {
		return load
	}
	ended := int(int64(age) * int64(load.Slots) / int64(load.MeanRun))
	remaining := max(load.Queued-ended, 0)
	load.QueuedRun = load.QueuedRun * time.Duration(remaining) / time.Duration(load.Queued)
	load.Queued = remaining
	return load
}

// addTasks returns the load after tasks have been added: they take the free slots, and the rest is queued.
func addTasks(load model.PoolLoad, tasks int) model.PoolLoad {
	started := min(load.Free, tasks)
	load.Free -= started
	load.Queued += tasks - started
	load.QueuedRun += time.Duration(tasks-started) * load.MeanRun
	return load
}
