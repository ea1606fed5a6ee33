package endpoints

import (
	"redwingpulley/kernel/model"
	"redwingpulley/kernel/port"
	"redwingpulley/plugins/endpoints/poolstate"
)

// watchOrigins reports to the pools which entry VMs are alive, so that they stop the work of those that
// are gone.
func (p *Pools) watchOrigins() {
	for {
		changed := p.membership.Changed()
		alive := p.membership.Alive()
		for _, id := range p.poolIDs() {
			p.step(id, poolstate.Owners{Live: originsOf(alive), Holders: originsOf(possibleHolders(alive, id.DataCentre))})
		}
		select {
		case <-changed:
		case <-p.created:
		case <-p.baseCtx.Done():
			return
		}
	}
}

// originsOf returns members as origins of batches.
func originsOf(nodes []port.Node) []poolstate.Origin {
	var origins []poolstate.Origin
	for _, node := range nodes {
		origins = append(origins, poolstate.Origin{Node: node.ID, Incarnation: node.Incarnation})
	}
	return origins
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
