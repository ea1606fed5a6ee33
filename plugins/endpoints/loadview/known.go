// Package loadview decides what a member takes the load of a pool to be that another member owns,
// and when an owner tells the others of its pools. It is pure: it decides from its arguments alone.
package loadview

import (
	"time"

	"redwingpulley/kernel/model"
)

const (
	// transit is how old a load may be when it arrives: what was sent less than this before it is
	// not in it yet.
	transit = 5 * time.Millisecond
	// restartAfter is after how much silence a load counts whatever its version: its owner may have
	// been restarted and count from the start.
	restartAfter = 2 * time.Second
	// expiry is after how much silence a pool is taken to be gone.
	expiry = 30 * time.Second
	// maxSendAge bounds how long tasks that were sent are counted in when no load comes.
	maxSendAge = time.Second
)

// Known is what a member knows of a pool. The zero value knows nothing.
type Known struct {
	load  model.PoolLoad
	at    time.Time // When load was learned.
	sends []send    // Since then, and shortly before.
}

// send is a batch of this member that the load does not show yet.
type send struct {
	at    time.Time
	tasks int
}

// Learn takes a load that the pool's owner told, unless a newer one is known.
func (k *Known) Learn(now time.Time, load model.PoolLoad) {
	silent := now.Sub(k.at) >= restartAfter
	if load.Owner == k.load.Owner && load.Version <= k.load.Version && !silent {
		return
	}
	k.load, k.at = load, now
	k.forgetSends(now.Add(-transit))
}

// Sent counts in tasks that this member sends to the pool, until a load shows them.
func (k *Known) Sent(now time.Time, tasks int) {
	k.forgetSends(now.Add(-maxSendAge))
	k.sends = append(k.sends, send{now, tasks})
}

func (k *Known) forgetSends(before time.Time) {
	first := 0
	for first < len(k.sends) && k.sends[first].at.Before(before) {
		first++
	}
	k.sends = k.sends[:copy(k.sends, k.sends[first:])]
}

// Owner returns who told the load, or "" when none is known.
func (k *Known) Owner() model.NodeID { return k.load.Owner }

// Load returns what the pool's load is thought to be: the queue is taken to have gone down since
// the load was told, and what this member has sent to have come in. ok is false when the pool is
// not known.
func (k *Known) Load(now time.Time) (load model.PoolLoad, ok bool) {
	age := now.Sub(k.at)
	if k.at.IsZero() || age >= expiry {
		return model.PoolLoad{}, false
	}
	load = drained(k.load, age)
	load.Age = age
	for _, s := range k.sends {
		if now.Sub(s.at) < maxSendAge {
			load = joined(load, s.tasks)
		}
	}
	return load, true
}

// drained returns the load after a time in which nothing came in.
func drained(load model.PoolLoad, age time.Duration) model.PoolLoad {
	if load.Queued == 0 || load.MeanRun == 0 {
		return load
	}
	ended := int(int64(age) * int64(load.Slots) / int64(load.MeanRun))
	left := max(load.Queued-ended, 0)
	load.QueuedRun = load.QueuedRun * time.Duration(left) / time.Duration(load.Queued)
	load.Queued = left
	return load
}

// joined returns the load after tasks have come in.
func joined(load model.PoolLoad, tasks int) model.PoolLoad {
	started := min(load.Free, tasks)
	load.Free -= started
	load.Queued += tasks - started
	load.QueuedRun += time.Duration(tasks-started) * load.MeanRun
	return load
}
