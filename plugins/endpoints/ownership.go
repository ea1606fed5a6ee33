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

// announcement is one of an endpoint that another member passes on. One for a former owner lets it
// finish the work that it still has.
type announcement struct {
	Endpoint model.Endpoint `json:"endpoint"`
	Former   bool           `json:"former,omitempty"`
}

// announceReply names the pool's owner as the asked member sees it.
type announceReply struct {
	Owner    string `json:"owner"` // ip:port of its listener for endpoints.
	Recorded bool   `json:"recorded,omitempty"`
}

// Announce records the announcement when this member owns the pool, and otherwise passes it on,
// once. The endpoint announces itself to the owner from then on.
func (p *Pools) Announce(ctx context.Context, endpoint model.Endpoint) port.Ownership {
	id := p.poolOf(endpoint)
	owner := p.ownerOf(id)
	endpoint.Lease = p.lease()
	ownership := port.Ownership{Owner: owner.Endpoints, Interval: announceInterval, Lease: endpoint.Lease}
	if owner.ID == p.membership.Self().ID {
		ownership.Recorded = p.accept(id, endpoint)
		return ownership
	}
	ctx, cancel := context.WithTimeout(ctx, announceInterval/2)
	defer cancel()
	var reply announceReply
	if p.peers.Call(ctx, owner.ID, methodAnnounce, announcement{Endpoint: endpoint}, &reply) != port.Delivered {
		p.liveness.Doubt(owner.ID)
		ownership.Owner = p.another(id, owner).Endpoints
		return ownership
	}
	ownership.Owner = reply.Owner // The asked member may know of a newer owner.
	ownership.Recorded = reply.Recorded
	return ownership
}

// lease returns for how long an endpoint gets work after an announcement; 0 is the pool's default.
func (p *Pools) lease() time.Duration { return time.Duration(p.settings.LeaseMS) * time.Millisecond }

func (p *Pools) serveAnnounce(_ context.Context, _ model.NodeID, a announcement) announceReply {
	id := p.poolOf(a.Endpoint)
	owner := p.ownerOf(id)
	recorded := false
	switch {
	case a.Former && a.Endpoint.Leased: // Its next holder passes on what comes of the work there.
	case a.Former:
		p.step(id, poolstate.Announced{Endpoint: a.Endpoint})
	case owner.ID == p.membership.Self().ID:
		recorded = p.accept(id, a.Endpoint)
	}
	return announceReply{owner.Endpoints, recorded}
}

// accept takes an announcement into the pool. A member whose view is stale takes none: others may
// own the pool by now, and the endpoint comes again.
func (p *Pools) accept(id model.PoolID, endpoint model.Endpoint) bool {
	if !p.liveness.Fresh() {
		return false
	}
	p.step(id, poolstate.Announced{Endpoint: endpoint})
	p.tellFormers(id, endpoint)
	if endpoint.Leased {
		p.splitIfLarge(id)
	}
	return true
}

// another returns some member for an endpoint to announce itself to while the owner does not answer.
// It may reach the owner where this one does not, and knows soon when there is a new one.
func (p *Pools) another(id model.PoolID, owner port.Node) port.Node {
	others := slices.DeleteFunc(near(p.membership.Alive(), id), func(n port.Node) bool { return n.ID == owner.ID })
	if len(others) == 0 {
		return owner
	}
	return others[rand.IntN(len(others))]
}

// owns reports whether this member is the pool's owner and knows that it still is.
func (p *Pools) owns(id model.PoolID) bool {
	return p.ownerOf(id).ID == p.membership.Self().ID && p.liveness.Fresh()
}

// unable returns why this member takes no batch for the pool, or "".
func (p *Pools) unable(id model.PoolID) model.Reason {
	if !p.liveness.Fresh() {
		return model.ReasonUnreachable // Others may own the pool by now.
	}
	if p.ownerOf(id).ID == p.membership.Self().ID {
		return ""
	}
	inTransit := false
	p.withPool(id, func(o *pool) {
		inTransit = time.Since(o.movedAt) < transitTime && o.machine.Load().Slots > 0
	})
	if inTransit {
		return ""
	}
	return model.ReasonMoved
}

// chosen is the owner of a pool among the live members of one view.
type chosen struct {
	view  *port.Node // The first of the live members; each view has its own.
	owner port.Node
}

// ownerOf returns the pool's owner by the newest view of the members.
func (p *Pools) ownerOf(id model.PoolID) (owner port.Node) {
	alive := p.membership.Alive()
	p.owners.Do(id, func(known map[model.PoolID]chosen) {
		c, ok := known[id]
		if !ok || c.view != &alive[0] {
			c = chosen{&alive[0], ownerAmong(alive, id)}
			known[id] = c
		}
		owner = c.owner
	})
	return owner
}

// ownerAmong picks a pool's owner by rendezvous hashing.
func ownerAmong(alive []port.Node, id model.PoolID) port.Node {
	key := id.String()
	return slices.MaxFunc(near(alive, id), func(a, b port.Node) int { return compareWeight(key, a.ID, b.ID) })
}

// near returns the members that can own a pool: the serving ones of its data centre, or of all data
// centres when that has none, or all members; those in reserve only where there are no others.
func near(alive []port.Node, id model.PoolID) []port.Node {
	serving := slices.DeleteFunc(slices.Clone(alive), func(n port.Node) bool { return n.Draining })
	if len(serving) == 0 {
		serving = alive
	}
	local := slices.DeleteFunc(slices.Clone(serving), func(n port.Node) bool { return n.DataCentre != id.DataCentre })
	if len(local) == 0 {
		return unreserved(serving)
	}
	return unreserved(local)
}

// unreserved returns the members that are not in reserve, or all when there are no others.
func unreserved(nodes []port.Node) []port.Node {
	open := slices.DeleteFunc(slices.Clone(nodes), func(n port.Node) bool { return n.Reserve })
	if len(open) == 0 {
		return nodes
	}
	return open
}

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
