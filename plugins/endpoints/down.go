package endpoints

import (
	"redwingpulley/kernel/model"
	"redwingpulley/plugins/endpoints/poolstate"
)

// EndpointDown implements port.EndpointObserver: the pools that know the endpoint give it no work until it announces itself again.
func (p *Pools) EndpointDown(endpoint model.EndpointID) {
	var in []model.PoolID
	p.pools.Each(func(pools map[model.PoolID]*pool) {
		for id, o := range pools {
			if o.machine.Serves(endpoint) {
				in = append(in, id)
			}
		}
	})
	for _, id := range in {
		p.step(id, poolstate.Down{Endpoint: endpoint})
	}
}
