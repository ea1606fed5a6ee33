package endpoints

import (
	"context"
	"time"

	"redwingpulley/kernel/event"
	"redwingpulley/kernel/model"
	"redwingpulley/kernel/port"
	"redwingpulley/kernel/wait"
)

const (
	methodReach   = "pools/reach"
	probeInterval = time.Second // Time between two probes of a member that did not reply.
	probeTimeout  = time.Second
)

// markUnreachable records that a member did not reply. It may still be considered alive, since a network
// partition can be one-way and others may reach it. No job is planned to its pools until it replies.
func (p *Pools) markUnreachable(to model.NodeID) {
	p.liveness.RequestProbe(to)
	first := false
	p.unreachable.Do(to, func(nodes map[model.NodeID]bool) {
		first = !nodes[to]
		nodes[to] = true
	})
	if first {
		event.MemberUnreached.Log(p.log, event.Text(event.Member, to))
		go p.probeUntilReachable(to)
	}
}

// probeUntilReachable probes the member until it replies or is no longer considered alive.
func (p *Pools) probeUntilReachable(to model.NodeID) {
	lostAt := time.Now()
	defer func() {
		p.unreachable.Delete(to)
		event.MemberReached.Log(p.log, event.Text(event.Member, to), event.MS(event.TookMS, time.Since(lostAt)))
	}()
	for wait.For(p.baseCtx, probeInterval) {
		if _, alive := p.member(to); !alive || p.probe(to) {
			return
		}
	}
}

// probe reports whether the member replies over a new connection.
func (p *Pools) probe(to model.NodeID) bool {
	ctx, cancel := context.WithTimeout(p.baseCtx, probeTimeout)
	defer cancel()
	var ignored empty
	return p.peers.Call(port.FreshConnection(ctx, time.Now()), to, methodReach, empty{}, &ignored) == port.Delivered
}

// handleReach replies to a probe.
func (p *Pools) handleReach(context.Context, model.NodeID, empty) empty { return empty{} }

// reachable reports whether the member is not marked as unreachable.
func (p *Pools) reachable(id model.NodeID) bool {
	_, unreachable := p.unreachable.Get(id)
	return !unreachable
}
