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
	methodReach  = "pools/reach"
	reachPause   = time.Second // Between questions to a member that gave no reply.
	reachTimeout = time.Second
)

// lostContact records that a member gave no reply, although it may be thought alive: a cut may be
// one-way, and others may reach it. No job is planned to its pools until it has replied.
func (p *Pools) lostContact(to model.NodeID) {
	p.liveness.Doubt(to)
	first := false
	p.unreached.Do(to, func(nodes map[model.NodeID]bool) {
		first = !nodes[to]
		nodes[to] = true
	})
	if first {
		event.MemberUnreached.Log(p.log, event.Text(event.Member, to))
		go p.regain(to)
	}
}

// regain asks the member until it replies or is no longer thought alive.
func (p *Pools) regain(to model.NodeID) {
	lost := time.Now()
	defer func() {
		p.unreached.Delete(to)
		event.MemberReached.Log(p.log, event.Text(event.Member, to), event.MS(event.TookMS, time.Since(lost)))
	}()
	for wait.For(p.life, reachPause) {
		if _, alive := p.member(to); !alive || p.reaches(to) {
			return
		}
	}
}

func (p *Pools) reaches(to model.NodeID) bool {
	ctx, cancel := context.WithTimeout(p.life, reachTimeout)
	defer cancel()
	var ignored empty
	return p.peers.Call(port.FreshConnection(ctx, time.Now()), to, methodReach, empty{}, &ignored) == port.Delivered
}

func (p *Pools) serveReach(context.Context, model.NodeID, empty) empty { return empty{} }

// reached reports whether the member replied to what this one last sent it.
func (p *Pools) reached(id model.NodeID) bool {
	_, unreached := p.unreached.Get(id)
	return !unreached
}
