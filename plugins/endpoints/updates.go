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
	maxPendingUpdates = 256                    // Bounds the updates of each kind that wait to be sent to one member.
	updateTimeout     = 250 * time.Millisecond // Timeout of a message with updates.
	smallUpdatePause  = 20 * time.Millisecond  // Time in which updates are collected for one message.
	confirmTimeout    = 50 * time.Millisecond  // Longest wait for the reply of one member to a loss that is to be confirmed.
	maxConfirmCalls   = 2                      // Members that are asked to confirm a loss before the task may start again.
	joinNotifiers     = 4                      // Members that send one that joins what they know.
	joinedAgain       = 2 * time.Second        // Time from a join until all members know of it; see notifyJoined.
)

// taskUpdates are facts about tasks of which all members are told.
type taskUpdates struct {
	Losses []wireTaskLoss `json:"losses"`
	Turns  []wireTurn     `json:"turns,omitempty"`
	// Withdrawn are keys of jobs that were cancelled; only members that join are told of them here.
	Withdrawn []wireKey `json:"withdrawn,omitempty"`
}

func (u taskUpdates) isEmpty() bool { return len(u.Losses)+len(u.Turns)+len(u.Withdrawn) == 0 }

// plus returns the updates followed by further ones.
func (u taskUpdates) plus(further taskUpdates) taskUpdates {
	return taskUpdates{
		Losses: slices.Concat(u.Losses, further.Losses), Turns: slices.Concat(u.Turns, further.Turns),
		Withdrawn: slices.Concat(u.Withdrawn, further.Withdrawn),
	}
}

// newest returns the updates without the oldest of each kind, as many as one message may have.
func (u taskUpdates) newest() taskUpdates {
	return taskUpdates{Losses: newestOf(u.Losses), Turns: newestOf(u.Turns), Withdrawn: newestOf(u.Withdrawn)}
}

func newestOf[T any](all []T) []T { return all[max(len(all)-maxPendingUpdates, 0):] }

// parts returns the updates divided among as many messages as they need.
func (u taskUpdates) parts() (parts []taskUpdates) {
	for losses := range slices.Chunk(u.Losses, maxPendingUpdates) {
		parts = append(parts, taskUpdates{Losses: losses})
	}
	for turns := range slices.Chunk(u.Turns, maxPendingUpdates) {
		parts = append(parts, taskUpdates{Turns: turns})
	}
	for keys := range slices.Chunk(u.Withdrawn, maxPendingUpdates) {
		parts = append(parts, taskUpdates{Withdrawn: keys})
	}
	return parts
}

// updateMessage sends updates to another member. With Relay, the receiver tells those of its data centre, and replies when it has.
type updateMessage struct {
	taskUpdates
	Relay bool `json:"relay,omitempty"`
}

// updateTarget is where updates are to be sent: to a member or, with relay, to one of the members of a data centre, which tells the others
// there.
type updateTarget struct {
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

// handleUpdates handles a message with updates of another member.
func (p *Pools) handleUpdates(ctx context.Context, _ model.NodeID, m updateMessage) empty {
	updates := m.newest().valid()
	for _, l := range updates.Losses {
		p.addLoss(taskRef{l.Job, l.Index}, model.Loss{Endpoint: l.Endpoint, Crashed: l.Crashed})
	}
	for _, t := range updates.Turns {
		if t.Witness {
			p.applyAsWitness(t)
		} else {
			p.applyTurn(t)
		}
	}
	for _, k := range updates.Withdrawn {
		p.rememberWithdrawn(k.Key, time.Duration(k.ValidMS)*time.Millisecond)
	}
	if m.Relay && !updates.isEmpty() {
		p.relayUpdates(ctx, updates)
	}
	return empty{}
}

// valid returns the updates that a correct member could have sent.
func (u taskUpdates) valid() taskUpdates {
	return taskUpdates{
		Losses:    slices.DeleteFunc(u.Losses, func(l wireTaskLoss) bool { return !l.valid() }),
		Turns:     slices.DeleteFunc(u.Turns, func(t wireTurn) bool { return !t.valid() }),
		Withdrawn: slices.DeleteFunc(u.Withdrawn, func(k wireKey) bool { return !k.valid() }),
	}
}

// enqueueUpdates adds updates to those that are to be sent to the other members, and signals publishUpdates.
func (p *Pools) enqueueUpdates(updates taskUpdates) {
	for _, target := range p.updateTargets() {
		p.appendPending(target, updates)
	}
	p.signalUpdates()
}

// updateTargets returns where an update is sent so that all members learn of it: to each of the others in a small group, to each data centre in
// a large one.
func (p *Pools) updateTargets() (targets []updateTarget) {
	view, self := p.currentView(), p.membership.Self().ID
	if view.isLarge() {
		for centre := range view.centres {
			targets = append(targets, updateTarget{centre: centre, relay: true})
		}
		return targets
	}
	for _, node := range view.alive {
		if node.ID != self {
			targets = append(targets, updateTarget{member: node.ID})
		}
	}
	return targets
}

// signalUpdates makes publishUpdates send the pending updates. It does not block.
func (p *Pools) signalUpdates() {
	select {
	case p.updateAdded <- struct{}{}:
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
		p.notifyJoined(before, now)
		before = now
		select {
		case <-changed:
		case <-p.baseCtx.Done():
			return
		}
	}
}

// notifyJoined sends what this member knows to the members that are in one view and not in an earlier one, where it is one of the few that
// notify them. After joinedAgain it sends what it has learned since: those that reported it may not have known of the join. One that knows
// nothing sends nothing.
func (p *Pools) notifyJoined(before, now *viewIndex) {
	var joined []port.Node
	for _, node := range now.alive {
		if !before.has(incarnationKey{node.ID, node.Incarnation}) && node.ID != p.membership.Self().ID && p.notifiesJoined(node, before, now) {
			joined = append(joined, node)
		}
	}
	if len(joined) == 0 {
		return
	}
	joinedAt := time.Now()
	p.sendTo(joined, p.newestUpdates(time.Time{}))
	time.AfterFunc(joinedAgain, func() { p.sendTo(joined, p.newestUpdates(joinedAt)) })
}

// sendTo sends updates to members, in as many messages as they need.
func (p *Pools) sendTo(members []port.Node, updates taskUpdates) {
	for _, part := range updates.parts() {
		for _, node := range members {
			go p.sendUpdates(updateTarget{member: node.ID}, part)
		}
	}
}

// notifiesJoined reports whether this member is one of the few, by rendezvous hashing over those that were there before, that notify a
// member which joins. Views may differ: the one with the highest hash of all always is.
func (p *Pools) notifiesJoined(joined port.Node, before, now *viewIndex) bool {
	key := []byte(string(joined.ID) + "|" + string(joined.Incarnation) + "|")
	own, higher := rendezvousHash(key, p.membership.Self().ID), 0
	for _, node := range now.alive {
		if before.has(incarnationKey{node.ID, node.Incarnation}) && rendezvousHash(key, node.ID) > own {
			higher++
		}
	}
	return higher < joinNotifiers
}

// newestUpdates returns the newest losses that this member has learned of since the given time, the turns that are kept, and the keys that
// were withdrawn.
func (p *Pools) newestUpdates(since time.Time) taskUpdates {
	return taskUpdates{Losses: newestOf(p.newestLosses(since)), Turns: p.knownTurns(), Withdrawn: p.withdrawnKeys()}
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
	return all
}

// appendPending adds updates to those that are to be sent to a target. The oldest are dropped when there are too many.
func (p *Pools) appendPending(to updateTarget, updates taskUpdates) {
	p.pendingUpdates.Do(to, func(pending map[updateTarget]taskUpdates) {
		pending[to] = pending[to].plus(updates).newest()
	})
}

// publishUpdates sends the updates of this member to the other members.
func (p *Pools) publishUpdates() {
	for {
		select {
		case <-p.updateAdded:
		case <-p.baseCtx.Done():
			return
		}
		if !wait.For(p.baseCtx, p.updatePause()) {
			return
		}
		for to, updates := range p.takePending() {
			go p.sendUpdates(to, updates)
		}
	}
}

// takePending removes and returns the updates that are to be sent, by target.
func (p *Pools) takePending() map[updateTarget]taskUpdates {
	all := make(map[updateTarget]taskUpdates)
	p.pendingUpdates.Each(func(pending map[updateTarget]taskUpdates) {
		for to, updates := range pending {
			all[to] = updates
			delete(pending, to)
		}
	})
	return all
}

// sendUpdates sends updates to a target until it is reached or nobody there is considered alive. Each attempt to reach a data centre goes to
// another member of it.
func (p *Pools) sendUpdates(target updateTarget, updates taskUpdates) {
	callCtx := p.baseCtx
	for attempt := 0; ; attempt++ {
		sentAt := time.Now()
		to, alive := p.updateReceiver(target, attempt)
		if !alive || p.tryUpdates(callCtx, to, updateMessage{updates, target.relay}) || !wait.For(p.baseCtx, updateTimeout) {
			return
		}
		callCtx = port.FreshConnection(p.baseCtx, sentAt)
	}
}

// tryUpdates sends updates to a member once and reports whether it has replied.
func (p *Pools) tryUpdates(ctx context.Context, to model.NodeID, message updateMessage) bool {
	timeout := updateTimeout
	if message.Relay {
		timeout = relayTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var ignored empty
	return p.peers.Call(ctx, to, methodUpdates, message, &ignored) == port.Delivered
}

// confirmLoss tells another member of a loss and waits until it has replied, so that the task is not started again before a second
// member knows: this one may die with the next run. It gives up after maxConfirmCalls members.
func (p *Pools) confirmLoss(ref taskRef, endpoint model.EndpointID, cause port.LossCause) {
	loss, counts := crashes.LossOf(endpoint, cause)
	if !counts {
		return
	}
	message := updateMessage{taskUpdates: taskUpdates{Losses: []wireTaskLoss{{ref.job, ref.index, loss.Endpoint, loss.Crashed}}}}
	for i, other := range p.otherMembers() {
		if i == maxConfirmCalls || p.confirmAt(other.Node, message) {
			return
		}
	}
}

// confirmAt sends updates to a member and reports whether it has replied in time.
func (p *Pools) confirmAt(to model.NodeID, message updateMessage) bool {
	ctx, cancel := context.WithTimeout(p.baseCtx, confirmTimeout)
	defer cancel()
	var ignored empty
	return p.peers.Call(ctx, to, methodUpdates, message, &ignored) == port.Delivered
}
