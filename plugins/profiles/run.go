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
	p.stepIn(known, register.Received{From: identity, Message: m.Decode()})
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
	p.sendToMember(to, chosen)
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

// stepIn is step for an event of a group. It does nothing once a later group goes on.
func (p *Profiles) stepIn(group *replicaGroup, event register.Event) {
	p.core.Lock()
	if p.core.machine == nil || p.group.Load() != group {
		p.core.Unlock()
		return // Senders of messages try again.
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
	p.core.effects = append(p.core.effects, effects...)
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
		event.Text(event.Place, place), event.Flag(event.Voting, standing.Voting), event.List(event.Replied, standing.Replied),
	}
	if !standing.Replica || slices.EqualFunc(fields, p.loggedState, slog.Attr.Equal) {
		return
	}
	p.loggedState = fields
	event.ReplicaState.Log(p.log, fields...)
}

// takeEffects returns the effects that are still to be executed, and the time at which the machine
// has to be stepped with Woken next.
func (p *Profiles) takeEffects() ([]register.Effect, time.Time) {
	p.core.Lock()
	defer p.core.Unlock()
	effects := p.core.effects
	p.core.effects = nil
	return effects, p.core.nextTimer
}

// execute executes effects. It writes to disk only once, since the last Persist holds all that the
// earlier ones held. When the write fails, what depends on it is not executed.
func (p *Profiles) execute(effects []register.Effect) {
	saved := p.saveLast(effects)
	for _, effect := range effects {
		if e, ok := effect.(register.Persist); ok {
			if saved {
				p.executeAll(e.Then)
			}
			continue
		}
		if e, ok := effect.(register.Regrouped); ok && p.regroup(e) {
			return
		}
		p.executeOne(effect)
	}
}

// saveLast writes the durable state of the last Persist among the effects. It returns false when the
// write fails, or when there is nothing to write.
func (p *Profiles) saveLast(effects []register.Effect) (saved bool) {
	var last *register.Persist
	for _, effect := range effects {
		if e, ok := effect.(register.Persist); ok {
			last = &e
		}
	}
	if last == nil {
		return false
	}
	if err := p.disk.Save(last.Durable); err != nil {
		p.writesFailed.Inc(1)
		p.lastWriteFailed = true
		event.RegisterWriteFailed.Log(p.log, event.Err(err))
		p.step(register.WriteFailed{})
		return false
	}
	p.noteSynced(last.Durable)
	if p.lastWriteFailed {
		p.lastWriteFailed = false
		event.RegisterWritten.Log(p.log)
	}
	return true
}

// noteSynced records whether the file as it is now on the disk may vote.
func (p *Profiles) noteSynced(durable register.Durable) {
	p.core.Lock()
	defer p.core.Unlock()
	p.core.syncedVote = register.Store{}
	if durable.Voting {
		p.core.syncedVote = durable.Store
	}
}

func (p *Profiles) executeAll(effects []register.Effect) {
	for _, effect := range effects {
		p.executeOne(effect)
	}
}

func (p *Profiles) executeOne(effect register.Effect) {
	switch e := effect.(type) {
	case register.Send:
		p.send(e.To, e.Message)
	case register.Broadcast:
		p.broadcast(e.Message)
	case register.Ask:
		if others := p.others(); len(others) > 0 {
			p.send(others[e.Number%uint64(len(others))], e.Message)
		}
	case register.Answer:
		p.deliverAnswer(e)
	case register.Serve:
		p.putInForce(e.State)
	case register.Replaced:
		p.leavePlace()
	}
}

// others returns the identities of all other live members and of all other replicas.
func (p *Profiles) others() []model.NodeID {
	var others []model.NodeID
	seen := map[model.NodeID]bool{p.ownPlace(): true}
	add := func(node model.NodeID) {
		if !seen[node] {
			others = append(others, node)
		}
		seen[node] = true
	}
	for _, node := range p.membership.Alive() {
		add(p.identityOf(node.ID))
	}
	for _, replica := range p.replicas() {
		add(replica)
	}
	return others
}

// send sends a message to the member that an identity stands for. A message to this member's own
// identity goes straight to its machine.
func (p *Profiles) send(to model.NodeID, message register.Message) {
	own := p.ownPlace()
	if to == own {
		p.step(register.Received{From: own, Message: message})
		return
	}
	node := p.memberAt(to)
	if node == p.self {
		return // This member had that identity when the message was made, and no longer has.
	}
	p.sendToMember(node, message)
}

// broadcast sends a message to all other live members and replicas. It is encoded once, since it may hold
// a large state.
func (p *Profiles) broadcast(message register.Message) {
	encoded, err := p.peers.Encode(p.encode(message))
	if err != nil {
		event.RequestNotEncoded.Log(p.log, event.Text(event.Method, methodMessage), event.Err(err))
		return
	}
	for _, identity := range p.others() {
		if node := p.memberAt(identity); node != p.self {
			p.sendEncoded(node, encoded)
		}
	}
}

// encode returns a message as this member sends it.
func (p *Profiles) encode(message register.Message) wire.Message {
	encoded := wire.EncodeMessage(message, p.settings.Cluster, p.group.Load().hash)
	if own := p.ownPlace(); own != p.self {
		encoded.Sender = own
	}
	return encoded
}

// sendToMember sends a message to a member without waiting for its delivery; it may be lost.
func (p *Profiles) sendToMember(node model.NodeID, message register.Message) {
	p.sendEncoded(node, p.encode(message))
}

// sendEncoded sends an encoded message to a member without waiting for its delivery.
func (p *Profiles) sendEncoded(node model.NodeID, encoded any) {
	p.messagesSent.Inc(1)
	p.goroutines.Go(func() {
		ctx, cancel := context.WithTimeout(p.ctx, sendTimeout)
		defer cancel()
		p.peers.Call(ctx, node, methodMessage, encoded, &struct{}{}) // The machine sends a lost message again.
	})
}

// putInForce puts a state in force in this process, publishes its revision by gossip, and wakes those
// that wait for a change.
func (p *Profiles) putInForce(state register.State) {
	if former := p.serving.Load(); former != nil && former.Revision() > state.Revision() {
		return // The newer state was learned by the machine of the place that this member had before.
	}
	p.serving.Store(&state)
	p.health.Clear(healthCondition)
	p.revision.Update(int64(state.Revision()))
	p.inForceSince.Store(time.Now().Unix())
	event.ConfigInForce.Log(p.log, inForceFields(&state)...)
	p.gossip.Publish(revisionTopic, binary.AppendUvarint(nil, uint64(state.Revision())))
	p.notify.Lock()
	defer p.notify.Unlock()
	close(p.notify.changed)
	p.notify.changed = make(chan struct{})
}

// secondsInForce returns for how many seconds the newest revision has been in force here; -1 while none
// is.
func (p *Profiles) secondsInForce() int64 {
	since := p.inForceSince.Load()
	if since == 0 {
		return -1
	}
	return time.Now().Unix() - since
}

func inForceFields(state *register.State) []slog.Attr {
	fields := []slog.Attr{event.Int(event.Revision, state.Revision())}
	if state.Set.Routing != nil {
		fields = append(fields, event.Int(event.Version, state.Set.Routing.Version))
	}
	if newest := len(state.History) - 1; newest >= 0 {
		fields = append(fields, event.MS(event.AgeMS, time.Since(state.History[newest].At)))
	}
	return fields
}

// deliverAnswer hands the result of a submitted edit to the goroutine that waits for it.
func (p *Profiles) deliverAnswer(a register.Answer) {
	p.core.Lock()
	waiter, ok := p.core.waiters[a.Ticket]
	delete(p.core.waiters, a.Ticket)
	p.core.Unlock()
	if ok {
		waiter <- a.Result // Never blocks: the channel has room for the one answer.
	}
}
