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

// passOnEndpointsOfLostOwners passes the endpoints on whose announcements went to a member that is not alive any more. It forgets
// these and those whose announcements are too old.
func (p *Pools) passOnEndpointsOfLostOwners() {
	now := time.Now()
	alive := p.liveIncarnations()
	endpoints := make(map[model.PoolID][]model.Endpoint)
	p.forwarded.Each(func(all map[string]forwardedAnnouncement) {
		for address, f := range all {
			expired := now.Sub(f.at) > forwardedExpiry
			if alive[f.owner] && !expired {
				continue
			}
			delete(all, address)
			// A member elsewhere owns the pool only while no member of the data centre is known, which may be cut off as a whole.
			if id := p.poolOf(f.endpoint); !expired && p.ownerOf(id).DataCentre == id.DataCentre {
				endpoints[id] = append(endpoints[id], f.endpoint)
			}
		}
	})
	for id, lost := range endpoints {
		event.EndpointsPassedOn.Log(p.log, event.Text(event.Pool, id.String()), event.Text(event.Owner, p.ownerOf(id).ID), event.Int(event.Endpoints, len(lost)))
	}
	p.passOn(endpoints, true)
}

// liveIncarnations returns the incarnations of members that are considered alive.
func (p *Pools) liveIncarnations() map[incarnationKey]bool {
	alive := make(map[incarnationKey]bool)
	for _, node := range p.membership.Alive() {
		alive[incarnationKey{node.ID, node.Incarnation}] = true
	}
	return alive
}
