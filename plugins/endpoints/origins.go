package endpoints

import (
	"redwingpulley/kernel/model"
	"redwingpulley/plugins/endpoints/poolstate"
)

// watchOrigins reports to the pools which entry VMs are alive, so that they stop the work of those that
// are gone.
func (p *Pools) watchOrigins() {
	for {
		changed := p.membership.Changed()
		event := poolstate.Owners{Live: p.liveOrigins()}
		for _, id := range p.poolIDs() {
			p.step(id, event)
		}
		select {
		case <-changed:
		case <-p.created:
		case <-p.baseCtx.Done():
			return
		}
	}
}

// liveOrigins returns the entry VMs that are considered alive.
func (p *Pools) liveOrigins() []poolstate.Origin {
	var live []poolstate.Origin
	for _, node := range p.membership.Alive() {
		live = append(live, poolstate.Origin{Node: node.ID, Incarnation: node.Incarnation})
	}
	return live
}

// poolIDs returns the IDs of the pools that this member keeps. Some may have another owner by now.
func (p *Pools) poolIDs() []model.PoolID {
	var ids []model.PoolID
	p.pools.Each(func(pools map[model.PoolID]*pool) {
		for id := range pools {
			ids = append(ids, id)
		}
	})
	return ids
}
