package endpoints

import (
	"time"

	"redwingpulley/kernel/model"
)

// A request that submits a job may arrive again, or only then, after its caller has cancelled the job: at this member, or at one that has
// joined since. So each member remembers the keys that were withdrawn, and accepts no batch of their jobs.

// maxWithdrawnPerShard bounds the keys that one shard of the table holds.
const maxWithdrawnPerShard = 1024

// wireKey tells that the jobs with a key were cancelled.
type wireKey struct {
	Key     string `json:"key"`
	ValidMS int64  `json:"valid_ms"` // How long it is remembered.
}

// valid reports whether a correct member could have sent the update.
func (k wireKey) valid() bool {
	return k.Key != "" && len(k.Key) <= maxLossTextLength && k.ValidMS > 0 && k.ValidMS <= maxRemaining.Milliseconds()
}

// Withdraw implements port.Pools.
func (p *Pools) Withdraw(key string) {
	p.rememberWithdrawn(key, time.Duration(p.settings.WithdrawnMS)*time.Millisecond)
}

// rememberWithdrawn remembers a withdrawn key for the given time, or for as long as it is remembered already.
func (p *Pools) rememberWithdrawn(key string, valid time.Duration) {
	now := time.Now()
	p.withdrawn.Do(key, func(expires map[string]time.Time) {
		if _, known := expires[key]; !known {
			evict(expires, maxWithdrawnPerShard, now, func(at time.Time) time.Time { return at })
		}
		if until := now.Add(valid); until.After(expires[key]) {
			expires[key] = until
		}
	})
}

// Withdrawn implements port.Pools.
func (p *Pools) Withdrawn(key string) bool {
	if key == "" {
		return false
	}
	expires, known := p.withdrawn.Get(key)
	return known && expires.After(time.Now())
}

// withdrawnKeys returns the keys that this member remembers, for one that joins.
func (p *Pools) withdrawnKeys() (keys []wireKey) {
	now := time.Now()
	p.withdrawn.Each(func(expires map[string]time.Time) {
		for key, at := range expires {
			if left := at.Sub(now).Milliseconds(); left > 0 {
				keys = append(keys, wireKey{key, left})
			}
		}
	})
	return keys
}

// refuseWithdrawn refuses a batch of a job that its caller has cancelled, and reports whether it has.
func (p *Pools) refuseWithdrawn(batch model.Batch, w *waiter) bool {
	withdrawn := p.Withdrawn(batch.Key)
	if withdrawn {
		p.refuse(batch, w, model.ReasonWithdrawn)
	}
	return withdrawn
}
