package endpoints

import (
	"context"
	"slices"
	"sync"
	"time"

	"redwingpulley/kernel/event"
	"redwingpulley/kernel/model"
	"redwingpulley/kernel/port"
	"redwingpulley/plugins/endpoints/loadview"
	"redwingpulley/plugins/endpoints/poolstate"
)

// formerOwnerExpiry is how long announcements are forwarded to a former owner after it last reported
// that it still has work.
const formerOwnerExpiry = poolstate.DefaultEndpointLease

// moveGrace is how long a former owner accepts batches after a move: their senders may not have learned
// of the next owner when they sent them.
const moveGrace = 300 * time.Millisecond

// handover is the message by which a former owner of a pool transfers the pool's endpoints to the next
// one. Working says that the former owner still has work in the pool; while it has, the message is
// repeated without endpoints.
type handover struct {
	Pool      model.PoolID     `json:"pool"`
	Endpoints []model.Endpoint `json:"endpoints,omitempty"`
	Working   bool             `json:"working,omitempty"`
	Parts     int              `json:"parts,omitempty"` // Number of pools in the group, as far as the sender knows.
	// Incarnation is that of the sender; members of an earlier version leave it out.
	Incarnation model.Incarnation `json:"incarnation,omitempty"`
	// OwnerLost says that the sender is not the former owner: that one is gone, and the sender has forwarded the endpoints'
	// newest announcements to it.
	OwnerLost bool `json:"owner_lost,omitempty"`
}

// watchOwnership hands over the pools that have another owner after a change of the membership view, and passes on the endpoints of
// owners that are gone. The former owner finishes the batches that it has accepted, and starts nothing else.
func (p *Pools) watchOwnership() {
	for {
		changed := p.membership.Changed()
		p.dropLoadsOfLostOwners()
		p.passOnEndpointsOfLostOwners()
		if !p.liveness.Fresh() {
			p.suspendLeased(p.poolIDs()) // Others may have owned them while this process was paused.
		}
		p.signalLoadChange() // This member may own other pools now.
		var retry <-chan time.Time
		if p.handOver(p.baseCtx, p.ownerOf) {
			retry = time.After(announceInterval)
		}
		select {
		case <-changed:
		case <-retry:
		case <-p.baseCtx.Done():
			return
		}
	}
}

// leave hands all pools over as if this member were gone, and then announces that it drains. When it
// returns, other members own the pools and know their endpoints.
func (p *Pools) leave(ctx context.Context) {
	self := p.membership.Self().ID
	others := slices.DeleteFunc(slices.Clone(p.membership.Alive()), func(n port.Node) bool { return n.ID == self })
	if len(others) > 0 {
		p.handOver(ctx, func(id model.PoolID) port.Node { return assignOwners(others, groupOf(id), p.partsFor(id))[id.Part] })
	}
	p.membership.Leave(ctx)
}

// handOver sends a handover for each pool whose next owner is not this member. It reports whether this member still has work in
// one of them.
func (p *Pools) handOver(ctx context.Context, nextOwner func(model.PoolID) port.Node) (working bool) {
	self := p.membership.Self().ID
	var sends sync.WaitGroup
	for _, id := range p.poolIDs() {
		owner := nextOwner(id)
		if owner.ID == self {
			p.withPool(id, func(o *pool) { o.handedOverTo = incarnationKey{} })
			continue
		}
		message, first := p.prepareHandover(id, owner)
		working = working || message.Working
		if first {
			event.OwnershipMoved.Log(p.log, event.Text(event.Pool, id.String()), event.Text(event.Owner, owner.ID))
			p.suspendLeased([]model.PoolID{id})
			time.AfterFunc(moveGrace, func() { p.refuseQueued(id) })
		}
		if first || message.Working {
			sends.Go(func() { p.sendHandover(ctx, owner.ID, message) })
		}
	}
	sends.Wait()
	return working
}

// refuseQueued refuses the batches that have not started in a pool that another member owns. It is called
// moveGrace after the handover, when the senders of batches have learned of the next owner.
func (p *Pools) refuseQueued(id model.PoolID) {
	if p.baseCtx.Err() == nil && p.ownerOf(id).ID != p.membership.Self().ID {
		p.step(id, poolstate.Moved{})
	}
}

// suspendLeased makes pools give their leased endpoints no work until they are announced again.
func (p *Pools) suspendLeased(pools []model.PoolID) {
	for _, id := range pools {
		p.step(id, poolstate.Disowned{})
	}
}

// prepareHandover returns the handover of a pool to its next owner. first reports whether it is the first
// one to that owner; only this one carries the endpoints.
func (p *Pools) prepareHandover(id model.PoolID, owner port.Node) (message handover, first bool) {
	to := incarnationKey{owner.ID, owner.Incarnation}
	var load model.PoolLoad
	p.withPool(id, func(o *pool) {
		message = handover{Pool: id, Working: o.machine.OpenBatches() > 0, Incarnation: p.membership.Self().Incarnation}
		first = o.handedOverTo != to
		if first {
			o.handedOverTo, o.movedAt = to, time.Now()
			message.Endpoints = o.machine.Handover()
			load = o.machine.Load()
		}
	})
	message.Parts = p.partsIn(groupOf(id))
	if first {
		p.updateLoad(load) // Used until the next owner reports the load.
	}
	return message, first
}

// sendHandover sends a handover. It requests a probe of the receiver when there is no reply.
func (p *Pools) sendHandover(ctx context.Context, to model.NodeID, message handover) {
	ctx, cancel := context.WithTimeout(ctx, announceInterval/2)
	defer cancel()
	var ignored empty
	if p.peers.Call(ctx, to, methodHandover, message, &ignored) != port.Delivered {
		p.liveness.RequestProbe(to) // The endpoints reach the new owner by their next announcements.
	}
}

// handleHandover receives the endpoints of a pool from its former owner, and remembers that owner while it
// still has work.
func (p *Pools) handleHandover(_ context.Context, from model.NodeID, h handover) empty {
	if h.Working {
		p.formerOwners.Do(h.Pool, func(known map[model.PoolID]map[model.NodeID]time.Time) {
			if known[h.Pool] == nil {
				known[h.Pool] = make(map[model.NodeID]time.Time)
			}
			known[h.Pool][from] = time.Now().Add(formerOwnerExpiry)
		})
	}
	p.raiseParts(groupOf(h.Pool), h.Parts)
	if h.Incarnation != "" && p.liveness.Gone(from, h.Incarnation) {
		h.OwnerLost = true // The handover was read late; orders of the sender may still be under way.
	}
	p.adoptEndpoints(h)
	if !h.OwnerLost {
		p.recordPastHolder(h.Pool, from)
	}
	return empty{}
}

// adoptEndpoints adds the endpoints of a handover to their pool. Leased ones that belong to other pools are passed on to the
// owners of these: the sender may not know yet that the group has been split.
func (p *Pools) adoptEndpoints(h handover) {
	elsewhere := make(map[model.PoolID][]model.Endpoint)
	for _, e := range h.Endpoints {
		if !p.isPossible(&e) {
			continue
		}
		if id := p.poolOf(e); e.Leased && id != h.Pool {
			elsewhere[id] = append(elsewhere[id], e)
			continue
		}
		p.step(h.Pool, poolstate.Announced{Endpoint: e, HandedOver: !h.OwnerLost, PassedOn: h.OwnerLost})
	}
	p.passOn(elsewhere, h.OwnerLost)
}

// passOn hands endpoints over to the owners of their pools. Each receiver knows at least as many pools in the group as this
// member when it assigns them, so that they come to rest.
func (p *Pools) passOn(endpoints map[model.PoolID][]model.Endpoint, ownerLost bool) {
	for id, all := range endpoints {
		message := handover{
			Pool: id, Endpoints: all, Parts: p.partsIn(groupOf(id)), Incarnation: p.membership.Self().Incarnation, OwnerLost: ownerLost,
		}
		owner := p.ownerOf(id)
		if owner.ID == p.membership.Self().ID {
			p.adoptEndpoints(message)
			continue
		}
		go p.sendHandover(p.baseCtx, owner.ID, message)
	}
}

// forwardToFormerOwners forwards an announcement to former owners that still have work in the pool.
func (p *Pools) forwardToFormerOwners(id model.PoolID, endpoint model.Endpoint) {
	var formerOwners []model.NodeID
	now := time.Now()
	p.formerOwners.Do(id, func(known map[model.PoolID]map[model.NodeID]time.Time) {
		for node, until := range known[id] {
			if until.After(now) {
				formerOwners = append(formerOwners, node)
			} else {
				delete(known[id], node)
			}
		}
	})
	for _, node := range formerOwners {
		go func() {
			ctx, cancel := context.WithTimeout(p.baseCtx, announceInterval/2)
			defer cancel()
			var ignored announceReply
			p.peers.Call(ctx, node, methodAnnounce, announcement{Endpoint: endpoint, Former: true}, &ignored)
		}()
	}
}

// dropLoadsOfLostOwners drops the loads reported by members that are no longer considered alive.
func (p *Pools) dropLoadsOfLostOwners() {
	view := p.currentView()
	p.loads.Each(func(known map[model.PoolID]*loadview.Estimate) {
		for id, e := range known {
			if _, alive := view.member(e.Owner()); !alive {
				delete(known, id)
			}
		}
	})
}
