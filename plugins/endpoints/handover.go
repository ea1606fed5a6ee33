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

// formerLifetime is how long a former owner is passed announcements after it last said that it
// still has work.
const formerLifetime = poolstate.EndpointLease

// transitTime is how long a former owner takes batches that were sent before their senders heard of
// the move.
const transitTime = 300 * time.Millisecond

// handover tells the next owner of a pool which endpoints it has, and that the former one still
// has work on them. It is repeated without endpoints while that is so.
type handover struct {
	Pool      model.PoolID     `json:"pool"`
	Endpoints []model.Endpoint `json:"endpoints,omitempty"`
	Working   bool             `json:"working,omitempty"`
}

// watchOwnership hands over the pools whose owner is now another member. The former owner starts
// what it has taken on and nothing else.
func (p *Pools) watchOwnership() {
	for {
		changed := p.membership.Changed()
		p.dropLoads()
		if !p.liveness.Fresh() {
			p.disown(p.ownedPools()) // Others may have owned them while this process stood still.
		}
		p.signalNews() // Of pools that this member owns now.
		var again <-chan time.Time
		if p.handOver(p.life, p.membership.Alive()) {
			again = time.After(announceInterval)
		}
		select {
		case <-changed:
		case <-again:
		case <-p.life.Done():
			return
		}
	}
}

// leave hands all pools over as if this member were gone, and then tells the others that it drains.
// When it returns, other members own the pools and know their endpoints.
func (p *Pools) leave(ctx context.Context) {
	self := p.membership.Self().ID
	others := slices.DeleteFunc(slices.Clone(p.membership.Alive()), func(n port.Node) bool { return n.ID == self })
	if len(others) > 0 {
		p.handOver(ctx, others)
	}
	p.membership.Leave(ctx)
}

// handOver tells the owners among the given members of the pools that are not this member's, and
// reports whether it still has work on one of them.
func (p *Pools) handOver(ctx context.Context, alive []port.Node) (working bool) {
	self := p.membership.Self().ID
	var told sync.WaitGroup
	for _, id := range p.ownedPools() {
		owner := ownerAmong(alive, id)
		if owner.ID == self {
			p.withPool(id, func(o *pool) { o.handedTo = originKey{} })
			continue
		}
		message, first := p.handoverOf(id, owner)
		working = working || message.Working
		if first {
			event.OwnershipMoved.Log(p.log, event.Text(event.Pool, id.String()), event.Text(event.Owner, owner.ID))
			p.disown([]model.PoolID{id})
			time.AfterFunc(transitTime, func() { p.giveBack(id) })
		}
		if first || message.Working {
			told.Go(func() { p.sendHandover(ctx, owner.ID, message) })
		}
	}
	told.Wait()
	return working
}

// giveBack refuses what waits in a pool that another member owns, once those who send batches have
// heard of the move.
func (p *Pools) giveBack(id model.PoolID) {
	if p.life.Err() == nil && p.ownerOf(id).ID != p.membership.Self().ID {
		p.step(id, poolstate.Moved{})
	}
}

// disown has pools wait for the announcements of their leased endpoints.
func (p *Pools) disown(pools []model.PoolID) {
	for _, id := range pools {
		p.step(id, poolstate.Disowned{})
	}
}

func (p *Pools) handoverOf(id model.PoolID, owner port.Node) (message handover, first bool) {
	to := originKey{owner.ID, owner.Incarnation}
	var load model.PoolLoad
	p.withPool(id, func(o *pool) {
		message = handover{Pool: id, Working: o.machine.Open() > 0}
		first = o.handedTo != to
		if first {
			o.handedTo, o.movedAt = to, time.Now()
			message.Endpoints = o.machine.Handover()
			load = o.machine.Load()
		}
	})
	if first {
		p.learnLoad(load) // Until the next owner tells its own.
	}
	return message, first
}

func (p *Pools) sendHandover(ctx context.Context, to model.NodeID, message handover) {
	ctx, cancel := context.WithTimeout(ctx, announceInterval/2)
	defer cancel()
	var ignored empty
	if p.peers.Call(ctx, to, methodHandover, message, &ignored) != port.Delivered {
		p.liveness.Doubt(to) // The endpoints find the new owner by their next announcements.
	}
}

func (p *Pools) serveHandover(_ context.Context, from model.NodeID, h handover) empty {
	if h.Working {
		p.formers.Do(h.Pool, func(known map[model.PoolID]map[model.NodeID]time.Time) {
			if known[h.Pool] == nil {
				known[h.Pool] = make(map[model.NodeID]time.Time)
			}
			known[h.Pool][from] = time.Now().Add(formerLifetime)
		})
	}
	p.takeOver(h)
	return empty{}
}

// takeOver takes the endpoints of a handover into their pool.
func (p *Pools) takeOver(h handover) {
	for _, e := range h.Endpoints {
		p.step(h.Pool, poolstate.Announced{Endpoint: e})
	}
}

// tellFormers passes an announcement on to former owners that still have work in the pool.
func (p *Pools) tellFormers(id model.PoolID, endpoint model.Endpoint) {
	var formers []model.NodeID
	now := time.Now()
	p.formers.Do(id, func(known map[model.PoolID]map[model.NodeID]time.Time) {
		for node, until := range known[id] {
			if until.After(now) {
				formers = append(formers, node)
			} else {
				delete(known[id], node)
			}
		}
	})
	for _, node := range formers {
		go func() {
			ctx, cancel := context.WithTimeout(p.life, announceInterval/2)
			defer cancel()
			var ignored announceReply
			p.peers.Call(ctx, node, methodAnnounce, announcement{endpoint, true}, &ignored)
		}()
	}
}

// dropLoads forgets what members that are gone have told.
func (p *Pools) dropLoads() {
	alive := p.membership.Alive()
	p.loads.Each(func(known map[model.PoolID]*loadview.Estimate) {
		for id, k := range known {
			if !slices.ContainsFunc(alive, func(n port.Node) bool { return n.ID == k.Owner() }) {
				delete(known, id)
			}
		}
	})
}
