package endpoints

import (
	"redwingpulley/kernel/model"
	"redwingpulley/plugins/endpoints/poolstate"
)

// watchOwners tells the owned pools which entry VMs are alive, so that they stop the work of those
// that are gone.
func (p *Pools) watchOwners() {
	for {
		changed := p.membership.Changed()
		event := poolstate.Owners{Live: p.liveOrigins()}
		for _, id := range p.ownedPools() {
			p.step(id, event)
		}
		select {
		case <-changed:
		case <-p.created:
		case <-p.life.Done():
			return
		}
	}
}

func (p *Pools) liveOrigins() []poolstate.Origin {
	var live []poolstate.Origin
	for _, node := range p.membership.Alive() {
		live = append(live, poolstate.Origin{Node: node.ID, Incarnation: node.Incarnation})
	}
	return live
}

func (p *Pools) ownedPools() []model.PoolID {
	var ids []model.PoolID
	p.pools.Each(func(pools map[model.PoolID]*pool) {
		for id := range pools {
			ids = append(ids, id)
		}
	})
	return ids
}
