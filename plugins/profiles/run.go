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
	methodMessage = "profiles/message"
	methodEdit    = "profiles/edit"
	topic         = "profiles" // Of gossip; the value is the revision as a varint.
	sendTimeout   = time.Second
)

func (p *Profiles) handle() {
	port.Handle(p.peers, methodMessage, func(_ context.Context, from model.NodeID, m wire.Message) struct{} {
		p.received(from, m)
		return struct{}{}
	})
	port.Handle(p.peers, methodEdit, func(ctx context.Context, _ model.NodeID, e wire.Edit) wire.Result {
		edit, wait := e.Decode()
		return wire.Result(p.propose(ctx, edit, wait))
	})
	p.gossip.Subscribe(topicGroup, p.hearGroup)
	p.gossip.Subscribe(topic, func(from model.NodeID, value []byte) {
		revision, n := binary.Uvarint(value)
		if n > 0 {
			p.step(register.Told{From: p.identityOf(from), Revision: model.Revision(revision)})
		}
	})
}

// received passes a message on to the machine, unless it is of another group. Members whose
// settings name other replicas may exchange agreed states but no votes.
func (p *Profiles) received(from model.NodeID, m wire.Message) {
	known := p.group.Load()
	if known == nil {
		return // Not started yet; the sender asks again.
	}
	votes := m.Kind != register.Fetch && m.Kind != register.Chosen
	if m.Cluster != p.settings.Cluster || votes && m.Replicas != known.hash {
		event.MessageOfOtherGroup.Log(p.log, event.Text(event.Member, from), event.Text(event.Cluster, m.Cluster))
		return
	}
	identity := cmp.Or(m.Sender, from)
	p.step(register.Received{From: identity, Message: m.Decode()})
	asks := m.Kind != register.Chosen // News is not answered by news.
	if asks && slices.Contains(p.replicas(), identity) && p.memberAt(identity) != from {
		p.tellReplaced(from)
	}
}

// tellReplaced lets a member that believes to have a place know of the store that took it. Answers to
// that place go to the store's member.
func (p *Profiles) tellReplaced(to model.NodeID) {
	p.core.Lock()
	news := p.core.machine.ChosenMessage()
	p.core.Unlock()
	p.post(to, news)
}

// step advances the machine; the effects are carried out by run.
func (p *Profiles) step(event register.Event) {
	p.core.Lock()
	if p.core.machine == nil {
		p.core.Unlock()
		return // Not started yet; the sender asks again.
	}
	finish := p.stepLocked(event)
	p.core.Unlock()
	finish()
}

// stepLocked advances the machine under the lock. The returned function is called without it.
func (p *Profiles) stepLocked(event register.Event) (finish func()) {
	now := p.now()
	effects := p.core.machine.Step(now, event)
	p.core.effects = append(p.core.effects, effects...)
	p.core.wake = p.core.machine.NextTimer()
	p.core.steps++
	number := p.core.steps
	return func() {
		p.record(number, now, event, effects)
		p.signal()
	}
}

func (p *Profiles) signal() {
	select {
	case p.work <- struct{}{}:
	default:
	}
}

// run carries out effects, in order, until the context ends.
func (p *Profiles) run() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-p.ctx.Done():
			return
		case <-p.work:
		case <-timer.C:
			p.step(register.Woken{})
		}
		effects, wake := p.taken()
		p.carryOut(effects)
		timer.Reset(time.Until(wake))
	}
}

func (p *Profiles) taken() ([]register.Effect, time.Time) {
	p.core.Lock()
	defer p.core.Unlock()
	effects := p.core.effects
	p.core.effects = nil
	return effects, p.core.wake
}

// carryOut writes once for all that the effects ask to persist: the last holds all the others.
func (p *Profiles) carryOut(effects []register.Effect) {
	saved := p.saveLast(effects)
	for _, effect := range effects {
		if e, ok := effect.(register.Persist); ok {
			if saved {
				p.carryOutAll(e.Then)
			}
			continue
		}
		p.carryOutOne(effect)
	}
}

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
		p.failed.Inc(1)
		p.unwritten = true
		event.RegisterWriteFailed.Log(p.log, event.Err(err))
		p.step(register.WriteFailed{})
		return false
	}
	if p.unwritten {
		p.unwritten = false
		event.RegisterWritten.Log(p.log)
	}
	return true
}

func (p *Profiles) carryOutAll(effects []register.Effect) {
	for _, effect := range effects {
		p.carryOutOne(effect)
	}
}

func (p *Profiles) carryOutOne(effect register.Effect) {
	switch e := effect.(type) {
	case register.Send:
		p.send(e.To, e.Message)
	case register.Broadcast:
		for _, node := range p.others() {
			p.send(node, e.Message)
		}
	case register.Ask:
		if others := p.others(); len(others) > 0 {
			p.send(others[e.Number%uint64(len(others))], e.Message)
		}
	case register.Answer:
		p.answer(e)
	case register.Serve:
		p.putInForce(e.State)
	case register.Replaced:
		p.leavePlace()
	}
}

// others returns all other members that are alive, and all other replicas.
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

func (p *Profiles) send(to model.NodeID, message register.Message) {
	own := p.ownPlace()
	if to == own {
		p.step(register.Received{From: own, Message: message})
		return
	}
	node := p.memberAt(to)
	if node == p.self {
		return // This member had that place when the message was made.
	}
	p.post(node, message)
}

// post sends a message to a member; it may be lost.
func (p *Profiles) post(node model.NodeID, message register.Message) {
	p.sent.Inc(1)
	encoded := wire.EncodeMessage(message, p.settings.Cluster, p.group.Load().hash)
	if own := p.ownPlace(); own != p.self {
		encoded.Sender = own
	}
	p.running.Go(func() {
		ctx, cancel := context.WithTimeout(p.ctx, sendTimeout)
		defer cancel()
		p.peers.Call(ctx, node, methodMessage, encoded, &struct{}{}) // A lost message is sent anew by the machine.
	})
}

func (p *Profiles) putInForce(state register.State) {
	if former := p.serving.Load(); former != nil && former.Revision() > state.Revision() {
		return // Learned under the place that this member had before.
	}
	p.serving.Store(&state)
	p.health.Clear(condition)
	p.revision.Update(int64(state.Revision()))
	p.inForce.Store(time.Now().Unix())
	event.ConfigInForce.Log(p.log, inForceFields(&state)...)
	p.gossip.Publish(topic, binary.AppendUvarint(nil, uint64(state.Revision())))
	p.notify.Lock()
	defer p.notify.Unlock()
	close(p.notify.changed)
	p.notify.changed = make(chan struct{})
}

// sinceInForce returns for how many seconds the newest revision has been in force here; -1 before one is.
func (p *Profiles) sinceInForce() int64 {
	since := p.inForce.Load()
	if since == 0 {
		return -1
	}
	return time.Now().Unix() - since
}

func inForceFields(state *register.State) []slog.Attr {
	fields := []slog.Attr{event.Count(event.Revision, state.Revision())}
	if state.Set.Routing != nil {
		fields = append(fields, event.Count(event.Version, state.Set.Routing.Version))
	}
	return fields
}

func (p *Profiles) answer(a register.Answer) {
	p.core.Lock()
	waiter, ok := p.core.waiting[a.Ticket]
	delete(p.core.waiting, a.Ticket)
	p.core.Unlock()
	if ok {
		waiter <- a.Result // Has room for the one answer.
	}
}
