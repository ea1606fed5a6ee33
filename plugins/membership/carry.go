package membership

import (
	"context"
	"sync"
	"time"

	"redwingpulley/kernel/event"
	"redwingpulley/kernel/model"
	"redwingpulley/kernel/port"
	"redwingpulley/plugins/membership/swim"
)

// apply applies an event under the lock, and what follows from it inside this process.
func (m *Membership) apply(e swim.Event) swim.Effects {
	m.mu.Lock()
	now := time.Now()
	fx := m.machine.Step(now, e)
	m.waiting = append(m.waiting, fx.Values...)
	was := m.view.Load()
	m.publishView(fx.View)
	is := m.view.Load()
	if m.timer != nil {
		m.timer.Reset(m.machine.Wake().Sub(now))
	}
	m.mu.Unlock()
	if was.fresh != is.fresh {
		m.tellFresh(is.fresh)
	}
	return fx
}

func (m *Membership) tellFresh(fresh bool) {
	if fresh {
		event.ViewFresh.Log(m.log)
		return
	}
	event.ViewStale.Log(m.log)
}

// publishView makes the machine's view the one that others ask for, and wakes those who wait for a
// change. Two views never change places, since it is called under the lock.
func (m *Membership) publishView(changed bool) {
	old := m.view.Load()
	next := &view{self: m.machine.Self().Node}
	next.fresh, next.freshUntil = m.machine.Fresh()
	if old != nil && !changed {
		next.live, next.runs, next.changed = old.live, old.runs, old.changed
		m.view.Store(next)
		return
	}
	next.live = m.machine.Live()
	next.runs = make(map[model.NodeID]swim.Record)
	for _, r := range m.machine.Records() {
		next.runs[r.Node.ID] = r
	}
	next.changed = make(chan struct{})
	m.view.Store(next)
	if old != nil {
		close(old.changed)
	}
}

// step applies an event and carries out its effects without waiting for them.
func (m *Membership) step(event swim.Event) swim.Effects {
	fx := m.apply(event)
	m.note(fx)
	for _, p := range fx.Pings {
		go m.ping(m.life, p)
	}
	for _, r := range fx.Relays {
		go m.relay(r)
	}
	return fx
}

// tell applies an event and waits until its pings have ended.
func (m *Membership) tell(ctx context.Context, event swim.Event) {
	fx := m.apply(event)
	m.note(fx)
	var told sync.WaitGroup
	for _, p := range fx.Pings {
		told.Go(func() { m.ping(ctx, p) })
	}
	told.Wait()
}

// note logs changes, learns addresses and wakes the subscribers.
func (m *Membership) note(fx swim.Effects) {
	for _, node := range fx.Learned {
		m.peers.Learn(node.ID, node.Peers)
	}
	for _, c := range fx.Changes {
		m.metrics.changes.Inc(1)
		event.MemberChanged.Log(m.log, event.Text(event.Member, c.Node), event.Text(event.From, c.From.String()),
			event.Text(event.To, c.To.String()), event.Text(event.Why, c.Why))
	}
	m.metrics.pings.Inc(int64(len(fx.Pings)))
	m.metrics.relays.Inc(int64(len(fx.Relays)))
	if fx.View {
		m.metrics.live.Update(int64(len(m.Alive())))
	}
	if len(fx.Values) > 0 {
		select {
		case m.arrived <- struct{}{}:
		default: // A token is there already.
		}
	}
}

// answerTimeout is the wait for the answer to a ping; a relay waits twice as long.
func (m *Membership) answerTimeout() time.Duration { return m.period / 2 }

func (m *Membership) ping(ctx context.Context, p swim.Ping) {
	ctx, cancel := context.WithTimeout(ctx, m.answerTimeout())
	defer cancel()
	var reply wireMessage
	if m.peers.Call(ctx, p.To, methodPing, encode(p.Message), &reply) != port.Delivered {
		m.step(swim.Unanswered{Probe: p.Probe})
		return
	}
	m.step(swim.Answered{Probe: p.Probe, Message: reply.decode()})
}

func (m *Membership) relay(r swim.Relay) {
	ctx, cancel := context.WithTimeout(m.life, 2*m.answerTimeout())
	defer cancel()
	var reply relayReply
	request := relayRequest{Target: r.Target.ID, Address: r.Target.Peers}
	delivery := m.peers.Call(ctx, r.Through, methodRelay, request, &reply)
	m.step(swim.RelayEnded{Probe: r.Probe, Reached: delivery == port.Delivered && reply.Reached})
}
