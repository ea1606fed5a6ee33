package profiles

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"slices"
	"time"

	"redwingpulley/kernel/event"
	"redwingpulley/kernel/model"
	"redwingpulley/kernel/port"
	"redwingpulley/plugins/profiles/register"
	"redwingpulley/plugins/profiles/wire"
)

const (
	editTimeout    = 6 * time.Second        // Longest wait for the result of an edit, over all replicas.
	replicaTimeout = 2 * time.Second        // Longest wait for the result from one replica.
	replyMargin    = 300 * time.Millisecond // Added to replicaTimeout for the network delay of a remote replica's reply.
	inForceTimeout = 500 * time.Millisecond // Longest wait for a result's revision to be in force at this member.
)

// Edit submits an edit to the replicas and returns its result. It logs edits, but no confirmations of a
// revision.
func (p *Profiles) Edit(ctx context.Context, edit model.ProfileEdit) model.EditResult {
	if edit.Kind == model.ConfirmRevision {
		return p.submitToReplicas(ctx, edit) // A confirmation changes nothing.
	}
	startedAt := time.Now()
	event.ConfigProposed.Log(p.log, editFields(edit, edit.Expect)...)
	result := p.submitToReplicas(ctx, edit)
	fields := append(editFields(edit, result.Revision), event.MS(event.TookMS, time.Since(startedAt)))
	if result.Status == model.EditDone {
		event.ConfigAccepted.Log(p.log, fields...)
		return result
	}
	p.logRefusedOrder(edit, result)
	event.ConfigRefused.Log(p.log, append(fields, event.Text(event.Status, result.Status), event.Text(event.Run, result.Run))...)
	return result
}

func editFields(edit model.ProfileEdit, revision model.Revision) []slog.Attr {
	fields := []slog.Attr{event.Text(event.Edit, edit.ID), event.Int(event.Revision, revision)}
	if edit.Routing != nil {
		fields = append(fields, event.Int(event.Version, edit.Routing.Version))
	}
	return fields
}

// submitToReplicas submits an edit to one replica after the other, to this member first if it is a
// replica, until one gives a conclusive result. An edit may be submitted more than once, since the
// replicas recognise it by its ID. Once a replica finds no majority and the edit is known not to have
// run, no further replica is tried: one that cannot be reached would only turn the certain not_run into
// may_have_run.
func (p *Profiles) submitToReplicas(ctx context.Context, edit model.ProfileEdit) model.EditResult {
	ctx, cancel := context.WithTimeout(ctx, editTimeout)
	defer cancel()
	result := model.EditResult{Status: model.EditNoMajority, Run: model.NotRun}
	for _, node := range p.replicasToTry() {
		if ctx.Err() != nil {
			break
		}
		attempt := p.submitTo(ctx, node, edit)
		if !inconclusive(attempt.Status) {
			p.awaitInForce(ctx, attempt.Revision)
			return attempt
		}
		if result.Run == model.MayHaveRun {
			attempt.Run = model.MayHaveRun
		}
		result = attempt
		if attempt.Status == model.EditNoMajority && attempt.Run == model.NotRun {
			break
		}
	}
	result.Status = model.EditNoMajority
	return result
}

// inconclusive reports whether another replica may give a different result for the same edit.
func inconclusive(status model.EditStatus) bool {
	return status == model.EditNoMajority || status == model.EditNotVoting || status == model.EditBusy
}

// replicasToTry returns the members that have the replicas' places, in the order in which they are
// tried: this member, those considered alive by membership, the rest. Within these classes the order
// is random, so that a resubmitted edit is likely to reach another replica.
func (p *Profiles) replicasToTry() []model.NodeID {
	alive := make(map[model.NodeID]bool)
	for _, node := range p.membership.Alive() {
		alive[node.ID] = true
	}
	rank := func(node model.NodeID) int {
		switch {
		case node == p.self:
			return 0
		case alive[node]:
			return 1
		}
		return 2
	}
	var ordered []model.NodeID
	for _, replica := range p.replicas() {
		ordered = append(ordered, p.memberAt(replica))
	}
	rand.Shuffle(len(ordered), func(i, j int) { ordered[i], ordered[j] = ordered[j], ordered[i] })
	slices.SortStableFunc(ordered, func(a, b model.NodeID) int { return rank(a) - rank(b) })
	return ordered
}

// submitTo submits an edit to the replica at a member, which may be this one.
func (p *Profiles) submitTo(ctx context.Context, node model.NodeID, edit model.ProfileEdit) model.EditResult {
	if node == p.self {
		return p.submitLocally(ctx, edit, replicaTimeout)
	}
	ctx, cancel := context.WithTimeout(ctx, replicaTimeout+replyMargin)
	defer cancel()
	left := timeLeft(ctx)
	// The replica has to answer before this call ends, as in submitLocally.
	wait := max(left-replyMargin, left/2)
	var reply wire.Result
	switch p.peers.Call(ctx, node, methodEdit, wire.EncodeEdit(edit, wait), &reply) {
	case port.Delivered:
		return model.EditResult(reply)
	case port.NotSent, port.Refused:
		return model.EditResult{Status: model.EditNotVoting, Run: model.NotRun}
	}
	return model.EditResult{Status: model.EditNoMajority, Run: model.MayHaveRun}
}

// submitLocally submits an edit to this member's machine and waits for its result, which the machine has to give within wait and
// within the time that ctx leaves. An edit that went on for longer could take effect after a later one that its sender, having been
// told that it is not in force, has sent meanwhile.
func (p *Profiles) submitLocally(ctx context.Context, edit model.ProfileEdit, wait time.Duration) model.EditResult {
	answer := make(chan model.EditResult, 1)
	p.core.Lock()
	if p.core.machine == nil {
		p.core.Unlock()
		return model.EditResult{Status: model.EditNotVoting, Run: model.NotRun}
	}
	p.core.lastTicket++
	ticket := p.core.lastTicket
	p.core.waiters[ticket] = answer
	deadline := p.now().Add(min(wait, timeLeft(ctx)))
	finish := p.stepLocked(register.Submitted{Ticket: ticket, Edit: edit, Deadline: deadline})
	p.core.Unlock()
	finish()
	select {
	case result := <-answer:
		return result
	case <-ctx.Done():
	case <-p.ctx.Done():
	}
	return model.EditResult{Status: model.EditNoMajority, Run: model.MayHaveRun}
}

// timeLeft returns the time until ctx ends, at most editTimeout.
func timeLeft(ctx context.Context) time.Duration {
	if deadline, ok := ctx.Deadline(); ok {
		return min(time.Until(deadline), editTimeout)
	}
	return editTimeout
}

// awaitInForce waits until the revision is in force at this member, at most inForceTimeout, so that a
// caller who reads here after an edit sees that edit.
func (p *Profiles) awaitInForce(ctx context.Context, revision model.Revision) {
	ctx, cancel := context.WithTimeout(ctx, inForceTimeout)
	defer cancel()
	for {
		changed := p.Changed()
		current, ok := p.Current()
		if ok && current.Revision >= revision {
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}
