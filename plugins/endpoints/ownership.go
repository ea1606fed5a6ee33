package endpoints

import (
	"context"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"redwingpulley/kernel/model"
	"redwingpulley/kernel/port"
	"redwingpulley/plugins/endpoints/poolstate"
)

// announcement is an endpoint's announcement that one member forwards to another. With Former it goes to a
// former owner of the pool, which needs it to finish its work there.
type announcement struct {
	Endpoint model.Endpoint `json:"endpoint"`
	Former   bool           `json:"former,omitempty"`
}

// announceReply is the reply to a forwarded announcement: the pool's owner by the view of the member that
// replies, and whether it has recorded the announcement.
type announceReply struct {
	Owner    string `json:"owner"` // ip:port of its listener for endpoints.
	Recorded bool   `json:"recorded,omitempty"`
}

// Announce records the announcement when this member owns the pool, and otherwise forwards it to the
// owner, which does not forward it again. The endpoint sends its next announcements to the owner in the
// result.
func (p *Pools) Announce(ctx context.Context, endpoint model.Endpoint) port.Ownership {
	id := p.poolOf(endpoint)
	owner := p.ownerOf(id)
	endpoint.Lease = p.lease()
	ownership := port.Ownership{Owner: owner.Endpoints, Interval: announceInterval, Lease: endpoint.Lease}
	if owner.ID == p.membership.Self().ID {
		ownership.Recorded = p.recordAnnouncement(id, endpoint)
		return ownership
	}
	ctx, cancel := context.WithTimeout(ctx, announceInterval/2)
	defer cancel()
	var reply announceReply
	if p.peers.Call(ctx, owner.ID, methodAnnounce, announcement{Endpoint: endpoint}, &reply) != port.Delivered {
		p.liveness.RequestProbe(owner.ID)
		ownership.Owner = p.otherMember(id, owner).Endpoints
		return ownership
	}
	ownership.Owner = reply.Owner // The replying member may know a newer owner.
	ownership.Recorded = reply.Recorded
	return ownership
}

// lease returns how long an endpoint gets work after an announcement; 0 stands for the pool's default.
func (p *Pools) lease() time.Duration { return time.Duration(p.settings.LeaseMS) * time.Millisecond }

// handleAnnounce handles an announcement that another member has forwarded. It is not forwarded again.
func (p *Pools) handleAnnounce(_ context.Context, _ model.NodeID, a announcement) announceReply {
	id := p.poolOf(a.Endpoint)
	owner := p.ownerOf(id)
	recorded := false
	switch {
	case a.Former && a.Endpoint.Leased: // The next holder of its lease forwards the results of the work there.
	case a.Former:
		p.step(id, poolstate.Announced{Endpoint: a.Endpoint})
	case owner.ID == p.membership.Self().ID:
		recorded = p.recordAnnouncement(id, a.Endpoint)
	}
	return announceReply{owner.Endpoints, recorded}
}

// recordAnnouncement applies an announcement to the pool, and reports whether it did. A member whose
// membership view is stale records none: others may own the pool by now, and the endpoint repeats its
// announcement.
func (p *Pools) recordAnnouncement(id model.PoolID, endpoint model.Endpoint) bool {
	if !p.liveness.Fresh() {
		return false
	}
	p.step(id, poolstate.Announced{Endpoint: endpoint})
	p.forwardToFormerOwners(id, endpoint)
	if endpoint.Leased {
		p.splitIfLarge(id)
	}
	return true
}

// otherMember returns a random member, other than the owner, to which an endpoint can announce itself
// while the owner does not reply to this member. The other one may reach the owner, and learns soon of a
// new owner.
func (p *Pools) otherMember(id model.PoolID, owner port.Node) port.Node {
	others := slices.DeleteFunc(eligibleOwners(p.membership.Alive(), id), func(n port.Node) bool { return n.ID == owner.ID })
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

// cachedOwner is the owner of a pool by one membership view.
type cachedOwner struct {
	view  *port.Node // First element of the view's slice, which identifies the view.
	owner port.Node
}

// ownerOf returns the pool's owner by the current membership view.
func (p *Pools) ownerOf(id model.PoolID) (owner port.Node) {
	alive := p.membership.Alive()
	p.ownerCache.Do(id, func(known map[model.PoolID]cachedOwner) {
		c, ok := known[id]
		if !ok || c.view != &alive[0] {
			c = cachedOwner{&alive[0], ownerAmong(alive, id)}
			known[id] = c
		}
		owner = c.owner
	})
	return owner
}

// ownerAmong returns the pool's owner among the given members, by rendezvous hashing.
func ownerAmong(alive []port.Node, id model.PoolID) port.Node {
	key := id.String()
	return slices.MaxFunc(eligibleOwners(alive, id), func(a, b port.Node) int { return compareWeight(key, a.ID, b.ID) })
}

// eligibleOwners returns the members that can own a pool: those of its data centre that do not drain, or
// of all data centres when there are none in its own. When all members drain, they count as if they did
// not. Members in reserve are returned only when there are no others.
func eligibleOwners(alive []port.Node, id model.PoolID) []port.Node {
	serving := slices.DeleteFunc(slices.Clone(alive), func(n port.Node) bool { return n.Draining })
	if len(serving) == 0 {
		serving = alive
	}
	local := slices.DeleteFunc(slices.Clone(serving), func(n port.Node) bool { return n.DataCentre != id.DataCentre })
	if len(local) == 0 {
		return withoutReserve(serving)
	}
	return withoutReserve(local)
}

// withoutReserve returns the members that are not in reserve, or all when there are no others.
func withoutReserve(nodes []port.Node) []port.Node {
	active := slices.DeleteFunc(slices.Clone(nodes), func(n port.Node) bool { return n.Reserve })
	if len(active) == 0 {
		return nodes
	}
	return active
}

// compareWeight compares the weights of two members for rendezvous hashing of the key. Equal weights are
// compared by ID.
func compareWeight(key string, a, b model.NodeID) int {
	x, y := xxhash.Sum64String(key+"|"+string(a)), xxhash.Sum64String(key+"|"+string(b))
	switch {
	case x < y:
		return -1
	case x > y:
		return 1
	}
	return strings.Compare(string(a), string(b))
}
