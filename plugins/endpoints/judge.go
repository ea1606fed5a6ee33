package endpoints

import (
	"redwingpulley/kernel/model"
	"redwingpulley/kernel/port"
	"redwingpulley/plugins/endpoints/poolstate"
)

// Judge returns the verdict that a batch would get from its pool now. The pool does not accept the batch.
func (p *Pools) Judge(batch model.Batch) (verdict port.Verdict, owned bool) {
	profiles, _ := p.profiles.Current()
	profile, known := profiles.For(batch.Pool.Service)
	if !known || !p.owns(batch.Pool) {
		return port.Verdict{}, false
	}
	if reason := p.refusalReason(batch.Pool); reason != "" {
		return port.Verdict{Reason: reason}, true
	}
	p.learnEvacuation(batch.Pool)
	p.pools.Do(batch.Pool, func(pools map[model.PoolID]*pool) {
		if o, found := pools[batch.Pool]; found {
			verdict, owned = o.machine.Judge(p.now(), poolstate.Submitted{Batch: p.withLosses(batch), Profile: profile}), true
		}
	})
	return verdict, owned
}
