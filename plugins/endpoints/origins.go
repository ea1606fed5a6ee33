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
		p.reportOrigins()
		select {
		case <-changed:
		case <-p.created:
		case <-p.baseCtx.Done():
			return
		}
	}
}

// reportOrigins reports the members that are alive to each pool.
func (p *Pools) reportOrigins() {
	view := p.currentView()
	for _, id := range p.poolIDs() {
		p.step(id, poolstate.Owners{Live: view.origins, Holders: view.possibleHolders(id.DataCentre)})
	}
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
