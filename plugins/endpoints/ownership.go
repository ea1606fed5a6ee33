package endpoints

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"redwingpulley/kernel/event"
	"redwingpulley/kernel/model"
	"redwingpulley/kernel/port"
	"redwingpulley/plugins/endpoints/poolstate"
)

// retireTimeout is the longest wait for an endpoint that leaves to refuse all starts. When it has not done so by then, its
// announcement is not acknowledged, and the endpoint repeats it.
const retireTimeout = announceInterval / 2

// maxPools bounds the pools that a faulty writer can bring into being at a member, by announcing services that do not exist.
const maxPools = 4096

// announcement is an endpoint's announcement that one member forwards to another. With Former it goes to a
// former owner of the pool, which needs it to finish its work there.
type announcement struct {
	Endpoint model.Endpoint `json:"endpoint"`
	Former   bool           `json:"former,omitempty"`
	Parts    int            `json:"parts,omitempty"` // Number of pools in the endpoint's group, as far as the sender knows.
}

// announceReply is the reply to a forwarded announcement: the pool's owner by the view of the member that
// replies, and whether it has recorded the announcement.
type announceReply struct {
	Owner    string `json:"owner"` // ip:port of its listener for endpoints.
	Recorded bool   `json:"recorded,omitempty"`
	Parts    int    `json:"parts,omitempty"` // Number of pools in the endpoint's group, as far as that member knows.
}

// Announce records the announcement when this member owns the pool, and otherwise forwards it to the
// owner, which does not forward it again. If the owner knows of more pools in the group, the announcement is
// sent to the owner by that number. The endpoint sends its next announcements to the owner in the result.
func (p *Pools) Announce(ctx context.Context, endpoint model.Endpoint) port.Ownership {
	id := p.poolOf(endpoint)
	group := groupOf(id)
	owner := p.ownerOf(id)
	endpoint.Lease = p.lease()
	ownership := port.Ownership{Owner: owner.Endpoints, Interval: announceInterval, Lease: endpoint.Lease}
	if owner.ID == p.membership.Self().ID {
		ownership.Recorded = p.recordAnnouncement(ctx, id, endpoint)
		return ownership
	}
	ctx, cancel := context.WithTimeout(ctx, announceInterval/2)
	defer cancel()
	var reply announceReply
	forwarded := announcement{Endpoint: endpoint, Parts: p.partsIn(group)}
	if p.peers.Call(ctx, owner.ID, methodAnnounce, forwarded, &reply) != port.Delivered {
		p.rememberForwarded(endpoint, owner)
		p.liveness.RequestProbe(owner.ID)
		ownership.Owner = p.otherMember(id, owner).Endpoints
		return ownership
	}
	if !reply.Recorded && reply.Parts > p.partsIn(group) && reply.Parts <= maxParts {
		p.raiseParts(group, reply.Parts)
		return p.Announce(ctx, endpoint)
	}
	if reply.Recorded {
		p.rememberForwarded(endpoint, owner)
	}
	ownership.Owner = reply.Owner // The replying member may know a newer owner.
	ownership.Recorded = reply.Recorded
	return ownership
}

// lease returns how long an endpoint gets work after an announcement; 0 stands for the pool's default.
func (p *Pools) lease() time.Duration { return time.Duration(p.settings.LeaseMS) * time.Millisecond }

// handleAnnounce handles an announcement that another member has forwarded. It is not forwarded again.
func (p *Pools) handleAnnounce(ctx context.Context, _ model.NodeID, a announcement) announceReply {
	if !p.isPossible(&a.Endpoint) {
		return announceReply{}
	}
	p.raiseParts(poolGroup{a.Endpoint.Service, a.Endpoint.DataCentre}, a.Parts)
	id := p.poolOf(a.Endpoint)
	owner := p.ownerOf(id)
	recorded := false
	switch {
	case a.Former && a.Endpoint.Leased: // Not needed: the next holder of the lease forwards the ends of the runs there.
	case a.Former:
		p.step(id, poolstate.Announced{Endpoint: a.Endpoint})
	case owner.ID == p.membership.Self().ID:
		recorded = p.recordAnnouncement(ctx, id, a.Endpoint)
	}
	return announceReply{owner.Endpoints, recorded, p.partsIn(groupOf(id))}
}

// isPossible reports whether an endpoint that another member names can exist, and logs and counts one that cannot.
func (p *Pools) isPossible(e *model.Endpoint) bool {
	err := e.Check()
	if err != nil {
		p.instruments.refusedEndpoints.Inc(1)
		event.AnnouncementUnreadable.Log(p.log, event.Text(event.Endpoint, e.ID), event.Err(err))
	}
	return err == nil
}

// recordAnnouncement applies an announcement to the pool, and reports whether it has been recorded: the endpoint repeats
// it otherwise. A member whose membership view is stale records none, since others may own the pool by now.
//
// The announcement of a leased endpoint that leaves is recorded once the endpoint refuses the starts of all members.
// Others may consider themselves the owner of this pool, or of another one with the endpoint, and learn of it late or never.
func (p *Pools) recordAnnouncement(ctx context.Context, id model.PoolID, endpoint model.Endpoint) bool {
	if !p.liveness.Fresh() || !p.hasRoomForPool(id) {
		return false
	}
	p.step(id, poolstate.Announced{Endpoint: endpoint})
	p.forwardToFormerOwners(id, endpoint)
	if endpoint.Leased {
		p.splitIfLarge(id)
	}
	if endpoint.Leased && p.leaves(id, endpoint.ID) {
		return p.retire(ctx, endpoint)
	}
	return true
}

// hasRoomForPool reports whether the pool exists or may be created.
func (p *Pools) hasRoomForPool(id model.PoolID) bool {
	if _, known := p.pools.Get(id); known {
		return true
	}
	return p.pools.Len() < maxPools
}

// leaves reports whether the endpoint's newest announcement says that it leaves. When that announcement was overtaken by one
// of a later incarnation at the same address, it does not count: the later one must not be retired.
func (p *Pools) leaves(id model.PoolID, endpoint model.EndpointID) (leaves bool) {
	p.withPool(id, func(o *pool) { leaves = o.machine.Leaves(endpoint) })
	return leaves
}

// retire makes an endpoint that leaves refuse all starts, and reports whether it does.
func (p *Pools) retire(ctx context.Context, endpoint model.Endpoint) bool {
	ctx, cancel := context.WithTimeout(ctx, retireTimeout)
	defer cancel()
	return p.tasks.Retire(ctx, port.EndpointIncarnation{ID: endpoint.ID, Address: endpoint.Address, DataCentre: endpoint.DataCentre})
}

// otherMember returns a random member, other than the owner, to which an endpoint can announce itself
// while the owner does not reply to this member. The other one may reach the owner, and learns soon of a
// new owner.
func (p *Pools) otherMember(id model.PoolID, owner port.Node) port.Node {
	others := slices.DeleteFunc(slices.Clone(preferredMembers(p.membership.Alive(), id.DataCentre)), func(n port.Node) bool { return n.ID == owner.ID })
	if len(others) == 0 {
		return owner
	}
	return others[rand.IntN(len(others))]
}

// owns reports whether this member is the pool's owner by a view that is not stale.
func (p *Pools) owns(id model.PoolID) bool {
	return p.ownerOf(id).ID == p.membership.Self().ID && p.liveness.Fresh()
}

// refusalReason returns why this member accepts no batch for the pool, or "" when it does.
func (p *Pools) refusalReason(id model.PoolID) model.Reason {
	if !p.liveness.Fresh() {
		return model.ReasonUnreachable // Others may own the pool by now.
	}
	if p.ownerOf(id).ID == p.membership.Self().ID {
		return ""
	}
	withinGrace := false
	p.withPool(id, func(o *pool) {
		withinGrace = time.Since(o.movedAt) < moveGrace && o.machine.Load().Slots > 0
	})
	if withinGrace {
		return ""
	}
	return model.ReasonMoved
}
