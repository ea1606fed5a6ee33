package endpoints

import (
	"redwingpulley/kernel/model"
	"redwingpulley/plugins/endpoints/poolstate"
)

// watchEvacuations steps the pools whose data centres are evacuated from now on, or are no longer: the step tells them.
func (p *Pools) watchEvacuations() {
	for {
		changed := p.profiles.Changed()
		for _, id := range p.poolIDs() {
			p.learnEvacuation(id)
		}
		select {
		case <-changed:
		case <-p.baseCtx.Done():
			return
		}
	}
}

// learnEvacuation steps a pool if it has not learned yet that its data centre is evacuated, or no longer.
func (p *Pools) learnEvacuation(id model.PoolID) {
	if p.evacuationIsNew(id) {
		p.step(id, poolstate.Elapsed{})
	}
}

// evacuated reports whether a pool's data centre is evacuated by the newest orders that this member knows. Until it knows a
// revision it takes no batches.
func (p *Pools) evacuated(id model.PoolID) bool {
	profiles, _ := p.profiles.Current()
	return profiles.Evacuated(id.DataCentre)
}

// evacuationIsNew reports whether a pool has not learned yet that its data centre is evacuated, or no longer.
func (p *Pools) evacuationIsNew(id model.PoolID) (isNew bool) {
	evacuated := p.evacuated(id)
	p.pools.Do(id, func(pools map[model.PoolID]*pool) {
		if o, found := pools[id]; found {
			isNew = o.machine.Evacuated() != evacuated
		}
	})
	return isNew
}

// startsEnded reports whether no task may start in a pool any more because its data centre is evacuated. A start may have waited for
// its turn since the pool decided on it.
func (p *Pools) startsEnded(id model.PoolID) (ended bool) {
	now := p.now()
	p.withPool(id, func(o *pool) { ended = o.machine.StartsEnded(now) })
	return ended
}
