package membership

import (
	"context"
	"sync"
	"time"

	"redwingpulley/kernel/event"
	"redwingpulley/kernel/port"
	"redwingpulley/plugins/membership/swim"
)

// apply applies an event to the state machine under the lock, queues new values for their
// subscribers, publishes the view and resets the timer. The caller executes the other effects.
func (m *Membership) apply(e swim.Event) swim.Effects {
	m.mu.Lock()
	now := time.Now()
	if _, elapsed := e.(swim.Elapsed); elapsed {
		m.recordLateness(now)
	}
	fx := m.machine.Step(now, e)
	m.undelivered = append(m.undelivered, fx.NewValues...)
	before := m.view.Load()
	m.publishView(fx.ViewChanged)
	after := m.view.Load()
	if m.timer != nil {
		m.timer.Reset(m.machine.NextTimer().Sub(now))
	}
	m.mu.Unlock()
	if before.fresh != after.fresh {
		m.logFreshness(after.fresh)
	}
	return fx
}

// recordLateness records how late the timer of the state machine was. A process that has more work than processor time is late with
// its answers by as much, and others suspect it. It is called under the lock.
func (m *Membership) recordLateness(now time.Time) {
	m.metrics.late.Update(max(now.Sub(m.machine.NextTimer()), 0).Milliseconds())
}

// logFreshness logs that the view has become fresh or stale.
func (m *Membership) logFreshness(fresh bool) {
	if fresh {
		event.ViewFresh.Log(m.log)
		return
	}
	event.ViewStale.Log(m.log)
}

// publishView makes the machine's present view visible to readers, and wakes those that wait for a
// change when changed is true. It is called under the lock, so that views are published in order.
func (m *Membership) publishView(changed bool) {
	old := m.view.Load()
	next := &view{self: m.machine.Self().Node}
	next.fresh, next.freshUntil = m.machine.Fresh()
	next.pauses = m.machine.Pauses()
	if old != nil && !changed {
		next.live, next.records, next.changed = old.live, old.records, old.changed
		m.view.Store(next)
		return
	}
	next.live = m.machine.Live()
	next.records = m.machine.Records()
	next.changed = make(chan struct{})
	m.view.Store(next)
	if old != nil {
		close(old.changed)
	}
}

// step applies an event and starts its pings and relays without waiting for them.
func (m *Membership) step(event swim.Event) swim.Effects {
	fx := m.apply(event)
	m.executeLocalEffects(fx)
	for _, p := range fx.Pings {
		go m.ping(m.baseCtx, p)
	}
	for _, r := range fx.Relays {
		go m.relay(r)
	}
	return fx
}

// stepAndWait applies an event and waits until its pings have ended. It is for events that cause no
// relays. It waits for each answer no longer than answerTimeout.
func (m *Membership) stepAndWait(ctx context.Context, event swim.Event) {
	ctx, cancel := context.WithTimeout(ctx, m.answerTimeout())
	defer cancel()
	fx := m.apply(event)
	m.executeLocalEffects(fx)
	var calls sync.WaitGroup
	for _, p := range fx.Pings {
		calls.Go(func() { m.ping(ctx, p) })
	}
	calls.Wait()
}

// executeLocalEffects executes the effects that send nothing: it sets new addresses, logs state changes,
// updates metrics and wakes the goroutine that delivers values.
func (m *Membership) executeLocalEffects(fx swim.Effects) {
	for _, node := range fx.NewAddresses {
		m.peers.SetAddress(node.ID, node.Peers)
	}
	for _, c := range fx.StateChanges {
		m.metrics.changes.Inc(1)
		event.MemberChanged.Log(m.log, event.Text(event.Member, c.Node), event.Text(event.From, c.From.String()),
			event.Text(event.To, c.To.String()), event.Text(event.Why, c.Why))
	}
	m.metrics.pings.Inc(int64(len(fx.Pings)))
	m.metrics.relays.Inc(int64(len(fx.Relays)))
	if fx.ViewChanged {
		m.metrics.live.Update(int64(len(m.Alive())))
	}
	if len(fx.NewValues) > 0 {
		select {
		case m.valuesReady <- struct{}{}:
		default: // The channel holds a token already.
		}
	}
}

// answerTimeout returns the time to wait for the answer to a ping before other members are asked to ping the target.
func (m *Membership) answerTimeout() time.Duration { return m.period / 2 }

// relayTimeout returns the time to wait for the outcome of a relay, which contains a ping.
func (m *Membership) relayTimeout() time.Duration { return 2 * m.answerTimeout() }

// ping sends a ping and applies its result. Without an answer in time the machine has other members ping the target. An answer that
// comes while they do still counts: the target may merely be short of processor time.
func (m *Membership) ping(ctx context.Context, p swim.Ping) {
	ctx, cancel := context.WithTimeout(ctx, m.answerTimeout()+m.relayTimeout())
	defer cancel()
	relays := time.AfterFunc(m.answerTimeout(), func() { m.step(swim.PingFailed{Probe: p.Probe}) })
	var reply wireMessage
	delivery := m.peers.Call(ctx, p.To, methodPing, encode(p.Message), &reply)
	beforeRelays := relays.Stop()
	switch {
	case delivery == port.Delivered:
		m.step(swim.PingAnswered{Probe: p.Probe, Message: reply.decode()})
	case beforeRelays:
		m.step(swim.PingFailed{Probe: p.Probe, Refused: delivery == port.Refused})
	}
}

// relay asks another member to ping the target and applies the result.
func (m *Membership) relay(r swim.Relay) {
	ctx, cancel := context.WithTimeout(m.baseCtx, m.relayTimeout())
	defer cancel()
	var reply relayReply
	request := relayRequest{Target: r.Target.ID, Address: r.Target.Peers}
	delivery := m.peers.Call(ctx, r.Through, methodRelay, request, &reply)
	answered := delivery == port.Delivered
	m.step(swim.RelayEnded{Probe: r.Probe, Reached: answered && reply.Reached, Refused: answered && reply.Refused})
}
