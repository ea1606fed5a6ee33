package endpoints

import (
	"context"
	"maps"
	"slices"
	"time"

	"redwingpulley/kernel/model"
	"redwingpulley/kernel/port"
	"redwingpulley/kernel/wait"
	"redwingpulley/plugins/endpoints/crashes"
)

const (
	maxPendingLosses = 256                    // Bounds the losses that wait to be sent to one member.
	lossTimeout      = 250 * time.Millisecond // Timeout of a message with losses.
	smallLossPause   = 20 * time.Millisecond  // Time in which losses are collected for one message.
	confirmTimeout   = 50 * time.Millisecond  // Longest wait for the reply of one member to a loss that is to be confirmed.
	maxConfirmCalls  = 2                      // Members that are asked to confirm a loss before the task may start again.
	joinTellers      = 4                      // Members that tell one that joins what they know.
	joinedAgain      = 2 * time.Second        // Time from a join until all members know of it; see tellJoined.
)

// lossMessage tells another member of losses. With Relay, the receiver tells those of its data centre, and replies when it has.
type lossMessage struct {
	Losses []wireTaskLoss `json:"losses"`
	Relay  bool           `json:"relay,omitempty"`
}

// lossTarget is where losses are to be sent: to a member or, with relay, to one of the members of a data centre, which tells the others
// there.
type lossTarget struct {
	member model.NodeID
	centre model.DataCentre
	relay  bool
}

// wireTaskLoss is the encoding of a loss with its task.
type wireTaskLoss struct {
	Job      string           `json:"job"` // Key that the caller chose, or the job's id.
	Index    int              `json:"index"`
	Endpoint model.EndpointID `json:"endpoint"`
	Crashed  bool             `json:"crashed,omitempty"`
}

// valid reports whether a correct member could have sent the loss.
func (l wireTaskLoss) valid() bool {
	return l.Job != "" && len(l.Job) <= maxLossTextLength && l.Endpoint != "" && len(l.Endpoint) <= maxLossTextLength &&
		l.Index >= 0 && l.Index < model.MaxTasksPerJob
}

// handleLosses handles a message with losses that another member has learned of.
func (p *Pools) handleLosses(ctx context.Context, _ model.NodeID, m lossMessage) empty {
	losses := slices.DeleteFunc(m.Losses[:min(len(m.Losses), maxPendingLosses)], func(l wireTaskLoss) bool { return !l.valid() })
	for _, l := range losses {
		p.addLoss(taskRef{l.Job, l.Index}, model.Loss{Endpoint: l.Endpoint, Crashed: l.Crashed})
	}
	if m.Relay && len(losses) > 0 {
		p.relayLosses(ctx, losses)
	}
	return empty{}
}

// enqueueLoss adds a loss to those that are to be sent to the other members, and signals publishLosses.
func (p *Pools) enqueueLoss(loss wireTaskLoss) {
	for _, target := range p.lossTargets() {
		p.appendPendingLosses(target, loss)
	}
	p.signalLosses()
}

// lossTargets returns where a loss is sent so that all members learn of it: to each of the others in a small group, to each data centre in
// a large one.
func (p *Pools) lossTargets() (targets []lossTarget) {
	view, self := p.currentView(), p.membership.Self().ID
	if view.isLarge() {
		for centre := range view.centres {
			targets = append(targets, lossTarget{centre: centre, relay: true})
		}
		return targets
	}
	for _, node := range view.alive {
		if node.ID != self {
			targets = append(targets, lossTarget{member: node.ID})
		}
	}
	return targets
}

// signalLosses makes publishLosses send the pending losses. It does not block.
func (p *Pools) signalLosses() {
	select {
	case p.lossAdded <- struct{}{}:
	default: // An earlier signal is still pending.
	}
}

// watchJoins tells each incarnation of a member that joins the group what this member knows: a caller may send it a job that has
// crashed endpoints before.
func (p *Pools) watchJoins() {
	before := p.currentView()
	for {
		changed := p.membership.Changed()
		now := p.currentView()
		p.tellJoined(before, now)
		before = now
		select {
		case <-changed:
		case <-p.baseCtx.Done():
			return
		}
	}
}

// tellJoined tells the members that are in one view and not in an earlier one what this member knows, where it is one of the few to tell
// them. After joinedAgain it tells them what it has learned since: those that reported it may not have known of the join. One that knows
// of no loss sends nothing.
func (p *Pools) tellJoined(before, now *viewIndex) {
	var joined []port.Node
	for _, node := range now.alive {
		if !before.has(incarnationKey{node.ID, node.Incarnation}) && node.ID != p.membership.Self().ID && p.tells(node, before, now) {
			joined = append(joined, node)
		}
	}
	if len(joined) == 0 {
		return
	}
	joinedAt := time.Now()
	p.tell(joined, p.newestLosses(time.Time{}))
	time.AfterFunc(joinedAgain, func() { p.tell(joined, p.newestLosses(joinedAt)) })
}

// tell queues losses for members.
func (p *Pools) tell(members []port.Node, losses []wireTaskLoss) {
	if len(losses) == 0 {
		return
	}
	for _, node := range members {
		p.appendPendingLosses(lossTarget{member: node.ID}, losses...)
	}
	p.signalLosses()
}

// tells reports whether this member is one of the few, by rendezvous hashing over those that were there before, that tell a member which
// joins of losses. Views may differ: the one with the highest weight of all always is.
func (p *Pools) tells(joined port.Node, before, now *viewIndex) bool {
	key := []byte(string(joined.ID) + "|" + string(joined.Incarnation) + "|")
	own, higher := weight(key, p.membership.Self().ID), 0
	for _, node := range now.alive {
		if before.has(incarnationKey{node.ID, node.Incarnation}) && weight(key, node.ID) > own {
			higher++
		}
	}
	return higher < joinTellers
}

// newestLosses returns the losses in the table, of the tasks that have lost a run last, and not before the given time.
func (p *Pools) newestLosses(since time.Time) (all []wireTaskLoss) {
	now := time.Now()
	expires := make(map[taskRef]time.Time)
	p.losses.Each(func(entries map[taskRef]taskLosses) {
		for ref, entry := range entries {
			if entry.expires.After(now) && !entry.expires.Before(since.Add(lossRetention)) {
				expires[ref] = entry.expires
			}
		}
	})
	refs := slices.SortedFunc(maps.Keys(expires), func(a, b taskRef) int { return expires[a].Compare(expires[b]) })
	for _, ref := range refs {
		for _, loss := range p.lossesOf(ref) {
			all = append(all, wireTaskLoss{ref.job, ref.index, loss.Endpoint, loss.Crashed})
		}
	}
	return all[max(len(all)-maxPendingLosses, 0):]
}

// appendPendingLosses adds losses to those that are to be sent to a target. The oldest are dropped when there are too many.
func (p *Pools) appendPendingLosses(to lossTarget, losses ...wireTaskLoss) {
	p.pendingLosses.Do(to, func(pending map[lossTarget][]wireTaskLoss) {
		all := append(pending[to], losses...)
		pending[to] = all[max(len(all)-maxPendingLosses, 0):]
	})
}

// publishLosses sends the losses that this member learns of to the other members.
func (p *Pools) publishLosses() {
	for {
		select {
		case <-p.lossAdded:
		case <-p.baseCtx.Done():
			return
		}
		if !wait.For(p.baseCtx, p.lossPause()) {
			return
		}
		for to, losses := range p.takePendingLosses() {
			go p.sendLosses(to, losses)
		}
	}
}

// takePendingLosses removes and returns the losses that are to be sent, by target.
func (p *Pools) takePendingLosses() map[lossTarget][]wireTaskLoss {
	all := make(map[lossTarget][]wireTaskLoss)
	p.pendingLosses.Each(func(pending map[lossTarget][]wireTaskLoss) {
		for to, losses := range pending {
			all[to] = losses
			delete(pending, to)
		}
	})
	return all
}

// sendLosses sends losses to a target until it is reached or nobody there is considered alive. Each attempt to reach a data centre goes to
// another member of it.
func (p *Pools) sendLosses(target lossTarget, losses []wireTaskLoss) {
	callCtx := p.baseCtx
	for attempt := 0; ; attempt++ {
		sentAt := time.Now()
		to, alive := p.lossReceiver(target, attempt)
		if !alive || p.tryLosses(callCtx, to, lossMessage{losses, target.relay}) || !wait.For(p.baseCtx, lossTimeout) {
			return
		}
		callCtx = port.FreshConnection(p.baseCtx, sentAt)
	}
}

// tryLosses sends losses to a member once and reports whether it has replied.
func (p *Pools) tryLosses(ctx context.Context, to model.NodeID, message lossMessage) bool {
	timeout := lossTimeout
	if message.Relay {
		timeout = relayTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var ignored empty
	return p.peers.Call(ctx, to, methodLosses, message, &ignored) == port.Delivered
}

// confirmLoss tells another member of a loss and waits until it has replied, so that the task is not started again before a second
// member knows: this one may die with the next run. It gives up after maxConfirmCalls members.
func (p *Pools) confirmLoss(ref taskRef, endpoint model.EndpointID, cause port.LossCause) {
	loss, counts := crashes.LossOf(endpoint, cause)
	if !counts {
		return
	}
	message := lossMessage{Losses: []wireTaskLoss{{ref.job, ref.index, loss.Endpoint, loss.Crashed}}}
	for i, other := range p.otherMembers() {
		if i == maxConfirmCalls || p.confirmAt(other.Node, message) {
			return
		}
	}
}

// confirmAt sends losses to a member and reports whether it has replied in time.
func (p *Pools) confirmAt(to model.NodeID, message lossMessage) bool {
	ctx, cancel := context.WithTimeout(p.baseCtx, confirmTimeout)
	defer cancel()
	var ignored empty
	return p.peers.Call(ctx, to, methodLosses, message, &ignored) == port.Delivered
}
