package endpoints

import (
	"time"

	"redwingpulley/kernel/event"
	"redwingpulley/kernel/model"
	"redwingpulley/kernel/port"
	"redwingpulley/plugins/endpoints/poolstate"
)

// forwardedExpiry is the age from which an announcement is not passed on any more. It exceeds the interval between two announcements
// and the time until a silent member is given up.
const forwardedExpiry = 2 * poolstate.DefaultEndpointLease

// forwardedAnnouncement is the newest announcement of a leased endpoint that this member has forwarded. When the owner that has recorded
// it, or has not replied, is lost, the next owner learns of the endpoint from here at once instead of by its next announcement: until it
// knows and fences the endpoint, that one would carry out late orders of the lost owner.
type forwardedAnnouncement struct {
	endpoint model.Endpoint
	owner    incarnationKey // The member to which it was forwarded.
	at       time.Time
}

// rememberForwarded remembers an announcement that the owner of its pool has recorded, or has not replied to.
func (p *Pools) rememberForwarded(endpoint model.Endpoint, owner port.Node) {
	if !endpoint.Leased {
		return
	}
	p.forwarded.Do(endpoint.Address, func(all map[string]forwardedAnnouncement) {
		all[endpoint.Address] = forwardedAnnouncement{endpoint, incarnationKey{owner.ID, owner.Incarnation}, time.Now()}
	})
}

// passOnEndpointsOfLostOwners passes the endpoints on whose announcements went to a member that is not alive any more. Where a member of
// another data centre owns the pool, none of the endpoint's own data centre is known to be alive; it may be cut off as a whole.
func (p *Pools) passOnEndpointsOfLostOwners() {
	endpoints := make(map[model.PoolID][]model.Endpoint)
	for _, e := range p.takeEndpointsOfLostOwners(time.Now()) {
		if id := p.poolOf(e); p.ownerOf(id).DataCentre == id.DataCentre {
			endpoints[id] = append(endpoints[id], e)
		}
	}
	for id, lost := range endpoints {
		event.EndpointsPassedOn.Log(p.log, event.Text(event.Pool, id.String()), event.Text(event.Owner, p.ownerOf(id).ID), event.Int(event.Endpoints, len(lost)))
	}
	p.passOn(endpoints, true)
}

// takeEndpointsOfLostOwners forgets the announcements that went to members which are not alive any more, and those that are too old. It
// returns the endpoints of the former that are not too old.
func (p *Pools) takeEndpointsOfLostOwners(now time.Time) (lost []model.Endpoint) {
	view := p.currentView()
	p.forwarded.Each(func(all map[string]forwardedAnnouncement) {
		for address, f := range all {
			expired := now.Sub(f.at) > forwardedExpiry
			if view.has(f.owner) && !expired {
				continue
			}
			delete(all, address)
			if !expired {
				lost = append(lost, f.endpoint)
			}
		}
	})
	return lost
}
