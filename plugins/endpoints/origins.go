package endpoints

import (
	"slices"

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
		p.step(id, poolstate.Owners{Live: view.origins, Holders: p.holdersOf(id, view)})
	}
}

// holdersOf returns the members that may hold leases on endpoints of a pool: those of its data centre that can own it, and those that have
// handed it over to this member while they could.
func (p *Pools) holdersOf(id model.PoolID, view *viewIndex) []poolstate.Origin {
	holders := view.possibleHolders(id.DataCentre)
	var past []poolstate.Origin
	p.pastHolders.Do(id, func(all map[model.PoolID]map[incarnationKey]bool) {
		for key := range all[id] {
			origin := poolstate.Origin{Node: key.node, Incarnation: key.incarnation}
			if !view.has(key) {
				delete(all[id], key)
			} else if !slices.Contains(holders, origin) {
				past = append(past, origin)
			}
		}
	})
	if len(past) == 0 {
		return holders
	}
	return slices.Concat(holders, past)
}

// recordPastHolder records that a member has handed a pool over: its orders may still be under way when it can own none any more.
func (p *Pools) recordPastHolder(id model.PoolID, from model.NodeID) {
	node, alive := p.member(from)
	if !alive {
		return
	}
	p.pastHolders.Do(id, func(all map[model.PoolID]map[incarnationKey]bool) {
		if all[id] == nil {
			all[id] = make(map[incarnationKey]bool)
		}
		all[id][incarnationKey{node.ID, node.Incarnation}] = true
	})
	p.signalOrigins()
}

// signalOrigins makes watchOrigins report the members to the pools. It does not block.
func (p *Pools) signalOrigins() {
	select {
	case p.created <- struct{}{}:
	default: // An earlier signal is still pending.
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
