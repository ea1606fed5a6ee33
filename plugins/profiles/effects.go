package profiles

import (
	"encoding/binary"
	"log/slog"
	"time"

	"redwingpulley/kernel/event"
	"redwingpulley/kernel/model"
	"redwingpulley/plugins/profiles/register"
)

// issuedEffect is an effect, with the identity that this member had when its machine issued it. A message that waits for a write leaves under
// that identity: by then the member may have lost its place, and the message may hold a vote.
type issuedEffect struct {
	effect register.Effect
	sender model.NodeID
}

// execute executes effects. It writes to disk only once, since the last Persist holds all that the
// earlier ones held. When the write fails, what depends on it is not executed.
func (p *Profiles) execute(effects []issuedEffect) {
	saved := p.saveLast(effects)
	for _, issued := range effects {
		if e, ok := issued.effect.(register.Persist); ok {
			if saved {
				p.executeAll(issued.sender, e.Then)
			}
			continue
		}
		p.executeOne(issued.sender, issued.effect)
	}
}

// saveLast writes the durable state of the last Persist among the effects. It returns false when the
// write fails, or when there is nothing to write.
func (p *Profiles) saveLast(effects []issuedEffect) (saved bool) {
	var last *register.Persist
	for _, issued := range effects {
		if e, ok := issued.effect.(register.Persist); ok {
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

func (p *Profiles) executeAll(sender model.NodeID, effects []register.Effect) {
	for _, effect := range effects {
		p.executeOne(sender, effect)
	}
}

// executeOne executes an effect. Its messages name sender as the replica, or the member without a place, that they come from.
func (p *Profiles) executeOne(sender model.NodeID, effect register.Effect) {
	switch e := effect.(type) {
	case register.Send:
		p.send(sender, e.To, e.Message)
	case register.SendMember:
		p.sendToMember(sender, e.To, e.Message)
	case register.Broadcast:
		p.broadcast(sender, e.Message)
	case register.Ask:
		if others := p.others(); len(others) > 0 {
			p.send(sender, others[e.Number%uint64(len(others))], e.Message)
		}
	case register.Answer:
		p.deliverAnswer(e)
	case register.Serve:
		p.putInForce(e.State)
	case register.Replaced:
		p.leavePlace()
	}
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

// putInForce puts a state in force in this process, publishes its revision by gossip, and wakes those
// that wait for a change.
func (p *Profiles) putInForce(state register.State) {
	former := p.serving.Load()
	if former != nil && former.Revision() > state.Revision() {
		return // The newer state was learned by the machine of the place that this member had before.
	}
	p.serving.Store(&state)
	p.health.Clear(healthCondition)
	p.revision.Update(int64(state.Revision()))
	p.inForceSince.Store(time.Now().Unix())
	event.ConfigInForce.Log(p.log, inForceFields(&state)...)
	p.logEvacuations(former, &state)
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
