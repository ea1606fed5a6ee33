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
	lossPause        = 20 * time.Millisecond  // Time in which losses are collected for one message.
	confirmTimeout   = 50 * time.Millisecond  // Longest wait for the reply of one member to a loss that is to be confirmed.
	maxConfirmCalls  = 2                      // Members that are asked to confirm a loss before the task may start again.
	joinTellers      = 4                      // Members that tell one that joins what they know.
)

// lossMessage tells another member of losses.
type lossMessage struct {
	Losses []wireTaskLoss `json:"losses"`
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
func (p *Pools) handleLosses(_ context.Context, _ model.NodeID, m lossMessage) empty {
	for _, l := range m.Losses[:min(len(m.Losses), maxPendingLosses)] {
		if l.valid() {
			p.addLoss(taskRef{l.Job, l.Index}, model.Loss{Endpoint: l.Endpoint, Crashed: l.Crashed})
		}
	}
	return empty{}
}

// enqueueLoss adds a loss to those that are to be sent to each other member, and signals publishLosses.
func (p *Pools) enqueueLoss(loss wireTaskLoss) {
	self := p.membership.Self().ID
	for _, node := range p.membership.Alive() {
		if node.ID != self {
			p.appendPendingLosses(node.ID, loss)
		}
	}
	p.signalLosses()
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
// them. One that knows of no loss sends nothing.
func (p *Pools) tellJoined(before, now *viewIndex) {
	losses := p.newestLosses()
	if len(losses) == 0 {
		return
	}
	for _, node := range now.alive {
		if !before.has(incarnationKey{node.ID, node.Incarnation}) && node.ID != p.membership.Self().ID && p.tells(node, before, now) {
			p.appendPendingLosses(node.ID, losses...)
		}
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

// newestLosses returns the losses in the table, of the tasks that have lost a run last.
func (p *Pools) newestLosses() (all []wireTaskLoss) {
	now := time.Now()
	expires := make(map[taskRef]time.Time)
	p.losses.Each(func(entries map[taskRef]taskLosses) {
		for ref, entry := range entries {
			if entry.expires.After(now) {
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

// appendPendingLosses adds losses to those that are to be sent to a member. The oldest are dropped when there are too many.
func (p *Pools) appendPendingLosses(to model.NodeID, losses ...wireTaskLoss) {
	p.pendingLosses.Do(to, func(pending map[model.NodeID][]wireTaskLoss) {
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
		if !wait.For(p.baseCtx, lossPause) {
			return
		}
		for to, losses := range p.takePendingLosses() {
			go p.sendLosses(to, losses)
		}
	}
}

// takePendingLosses removes and returns the losses that are to be sent, by member.
func (p *Pools) takePendingLosses() map[model.NodeID][]wireTaskLoss {
	all := make(map[model.NodeID][]wireTaskLoss)
	p.pendingLosses.Each(func(pending map[model.NodeID][]wireTaskLoss) {
		for to, losses := range pending {
			all[to] = losses
			delete(pending, to)
		}
	})
	return all
}

// sendLosses sends losses to a member, and repeats this while it does not reply and is considered alive.
func (p *Pools) sendLosses(to model.NodeID, losses []wireTaskLoss) {
	for callCtx := p.baseCtx; ; {
		sentAt := time.Now()
		ctx, cancel := context.WithTimeout(callCtx, lossTimeout)
		var ignored empty
		delivery := p.peers.Call(ctx, to, methodLosses, lossMessage{losses}, &ignored)
		cancel()
		if delivery == port.Delivered {
			return
		}
		if _, alive := p.member(to); !alive || !wait.For(p.baseCtx, lossTimeout) {
			return
		}
		callCtx = port.FreshConnection(p.baseCtx, sentAt)
	}
}

// confirmLoss tells another member of a loss and waits until it has replied, so that the task is not started again before a second
// member knows: this one may die with the next run. It gives up after maxConfirmCalls members.
func (p *Pools) confirmLoss(ref taskRef, endpoint model.EndpointID, cause port.LossCause) {
	loss, counts := crashes.LossOf(endpoint, cause)
	if !counts {
		return
	}
	message := lossMessage{[]wireTaskLoss{{ref.job, ref.index, loss.Endpoint, loss.Crashed}}}
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
