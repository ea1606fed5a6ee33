package profiles

import (
	"cmp"
	"context"
	"encoding/binary"
	"log/slog"
	"slices"
	"time"

	"redwingpulley/kernel/event"
	"redwingpulley/kernel/model"
	"redwingpulley/kernel/port"
	"redwingpulley/plugins/profiles/register"
	"redwingpulley/plugins/profiles/wire"
)

const (
	methodMessage  = "profiles/message"
	methodEdit     = "profiles/edit"
	methodTakeover = "profiles/takeover"
	methodPlace    = "profiles/place"
	revisionTopic  = "profiles"      // Gossip topic for the newest revision in force, encoded as a varint.
	sendTimeout    = 3 * time.Second // A state may be large and the way to a member narrow.
)

// registerHandlers registers the handlers of messages, edits and gossip from other members.
func (p *Profiles) registerHandlers() {
	port.Handle(p.peers, methodMessage, func(_ context.Context, from model.NodeID, m wire.Message) struct{} {
		p.handleMessage(from, m)
		return struct{}{}
	})
	port.Handle(p.peers, methodEdit, func(ctx context.Context, _ model.NodeID, e wire.Edit) wire.Result {
		edit, wait := e.Decode()
		return wire.Result(p.submitLocally(ctx, edit, wait))
	})
	port.Handle(p.peers, methodTakeover, func(_ context.Context, from model.NodeID, request wire.Takeover) wire.TakeoverReply {
		return wire.TakeoverReply{Supported: p.supportsTakeover(from, request)}
	})
	port.Handle(p.peers, methodPlace, func(_ context.Context, _ model.NodeID, request wire.PlaceRequest) wire.PlaceReport {
		return p.answerPlace(request)
	})
	p.gossip.Subscribe(groupTopic, p.handleGossipedGroup)
	p.gossip.Subscribe(foundingTopic, p.handleGossipedFounding)
	p.gossip.Subscribe(revisionTopic, func(from model.NodeID, value []byte) {
		revision, n := binary.Uvarint(value)
		if n > 0 {
			p.step(register.Told{From: p.identityOf(from), Revision: model.Revision(revision)})
		}
	})
}

// handleMessage passes a message to the machine, unless the sender is of another cluster. Members that
// know different replicas, as when their settings differ, may exchange chosen states, but not the
// messages of ballots and of joining.
func (p *Profiles) handleMessage(from model.NodeID, m wire.Message) {
	known := p.group.Load()
	if known == nil {
		return // The replicas are not known yet; the sender tries again.
	}
	needsSameReplicas := m.Kind != register.Fetch && m.Kind != register.Chosen
	if m.Cluster != p.settings.Cluster || needsSameReplicas && m.Replicas != known.hash {
		event.MessageOfOtherGroup.Log(p.log, event.Text(event.Member, from), event.Text(event.Cluster, m.Cluster))
		return
	}
	identity := cmp.Or(m.Sender, from)
	p.step(register.Received{From: identity, Message: m.Decode()})
	answerable := m.Kind != register.Chosen // An announcement is not answered by another one.
	if answerable && slices.Contains(p.replicas(), identity) && p.memberAt(identity) != from {
		p.sendStores(from)
	}
}

// sendStores sends the newest known stores to a member that does not know yet that another member has taken
// a place, for instance its own: then the machine's replies do not reach it, as they go to the member
// that has the place now.
func (p *Profiles) sendStores(to model.NodeID) {
	p.core.Lock()
	if p.core.machine == nil {
		p.core.Unlock()
		return // There is no machine yet; the sender tries again.
	}
	chosen := p.core.machine.ChosenMessage()
	p.core.Unlock()
	p.sendToMember(p.ownPlace(), to, chosen)
}

// step advances the machine by one event. The effects are executed by run.
func (p *Profiles) step(event register.Event) {
	p.core.Lock()
	if p.core.machine == nil {
		p.core.Unlock()
		return // There is no machine yet; senders of messages try again.
	}
	finish := p.stepLocked(event)
	p.core.Unlock()
	finish()
}

// stepLocked advances the machine by one event. The caller holds the lock of core, and calls finish
// after it has released the lock.
func (p *Profiles) stepLocked(event register.Event) (finish func()) {
	now := p.now()
	effects := p.core.machine.Step(now, event)
	sender := p.identityLocked()
	for _, effect := range effects {
		p.core.effects = append(p.core.effects, issuedEffect{effect, sender})
	}
	p.core.nextTimer = p.core.machine.NextTimer()
	p.core.steps++
	number := p.core.steps
	return func() {
		p.record(number, now, event, effects)
		p.wake()
	}
}

// wake makes run look for effects. It does not block.
func (p *Profiles) wake() {
	select {
	case p.wakeup <- struct{}{}:
	default:
	}
}

// run executes effects in order, and steps the machine when its timer is due, until the plug-in stops.
func (p *Profiles) run() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-p.ctx.Done():
			return
		case <-p.wakeup:
		case <-timer.C:
			p.step(register.Woken{})
		}
		effects, nextTimer := p.takeEffects()
		p.execute(effects)
		p.logReplicaState()
		timer.Reset(time.Until(nextTimer))
	}
}

// logReplicaState logs whether this replica votes and whose replies it has, when that has changed.
func (p *Profiles) logReplicaState() {
	p.core.Lock()
	place, standing := p.place, p.core.machine.Standing()
	p.core.Unlock()
	fields := []slog.Attr{
		event.Text(event.Place, place), event.Flag(event.Voting, standing.Voting), event.Text(event.Phase, standing.Phase), event.List(event.Replied, standing.Replied),
	}
	if !standing.Replica || slices.EqualFunc(fields, p.loggedState, slog.Attr.Equal) {
		return
	}
	p.loggedState = fields
	event.ReplicaState.Log(p.log, fields...)
}

// takeEffects returns the effects that are still to be executed, and the time at which the machine
// has to be stepped with Woken next.
func (p *Profiles) takeEffects() ([]issuedEffect, time.Time) {
	p.core.Lock()
	defer p.core.Unlock()
	effects := p.core.effects
	p.core.effects = nil
	return effects, p.core.nextTimer
}
