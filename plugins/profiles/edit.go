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
	editTimeout    = 6 * time.Second        // Longest wait for an edit's answer.
	replicaTimeout = 2 * time.Second        // Longest wait for one replica.
	replyMargin    = 300 * time.Millisecond // For the answer's way back.
	inForceTimeout = 500 * time.Millisecond // Wait until an accepted edit is in force here, too.
)

// Edit has the replicas agree on an edit.
func (p *Profiles) Edit(ctx context.Context, edit model.ProfileEdit) model.EditResult {
	if edit.Kind == model.ConfirmRevision {
		return p.agree(ctx, edit) // Changes nothing.
	}
	begun := time.Now()
	event.ConfigProposed.Log(p.log, editFields(edit, edit.Expect)...)
	result := p.agree(ctx, edit)
	fields := append(editFields(edit, result.Revision), event.MS(event.TookMS, time.Since(begun)))
	if result.Status == model.EditDone {
		event.ConfigAccepted.Log(p.log, fields...)
		return result
	}
	event.ConfigRefused.Log(p.log, append(fields, event.Text(event.Status, result.Status), event.Text(event.Run, result.Run))...)
	return result
}

func editFields(edit model.ProfileEdit, revision model.Revision) []slog.Attr {
	fields := []slog.Attr{event.Text(event.Edit, edit.ID), event.Count(event.Revision, revision)}
	if edit.Routing != nil {
		fields = append(fields, event.Count(event.Version, edit.Routing.Version))
	}
	return fields
}

// agree asks for an edit. This member answers itself when it votes. Otherwise the
// replicas are tried one after the other; that is safe, since they know the edit by its id. The
// first that finds no majority ends it: to go on with others, which may be out of reach, would only
// turn a certain not_run into an uncertain one.
func (p *Profiles) agree(ctx context.Context, edit model.ProfileEdit) model.EditResult {
	ctx, cancel := context.WithTimeout(ctx, editTimeout)
	defer cancel()
	result := model.EditResult{Status: model.EditNoMajority, Run: model.NotRun}
	for _, node := range p.candidates() {
		if ctx.Err() != nil {
			break
		}
		next := p.editAt(ctx, node, edit)
		if !unsettled(next.Status) {
			p.awaitInForce(ctx, next.Revision)
			return next
		}
		if result.Run == model.MayHaveRun {
			next.Run = model.MayHaveRun
		}
		result = next
		if next.Status == model.EditNoMajority && next.Run == model.NotRun {
			break
		}
	}
	result.Status = model.EditNoMajority
	return result
}

// unsettled reports whether another replica may know more.
func unsettled(status model.EditStatus) bool {
	return status == model.EditNoMajority || status == model.EditNotVoting || status == model.EditBusy
}

// candidates returns the replicas in the order in which they are tried: this one, those thought
// alive, the rest; otherwise at random, so that a resend tries another one.
func (p *Profiles) candidates() []model.NodeID {
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

func (p *Profiles) editAt(ctx context.Context, node model.NodeID, edit model.ProfileEdit) model.EditResult {
	if node == p.self {
		return p.propose(ctx, edit, replicaTimeout)
	}
	ctx, cancel := context.WithTimeout(ctx, replicaTimeout+replyMargin)
	defer cancel()
	var reply wire.Result
	switch p.peers.Call(ctx, node, methodEdit, wire.EncodeEdit(edit, replicaTimeout), &reply) {
	case port.Delivered:
		return model.EditResult(reply)
	case port.NotSent:
		return model.EditResult{Status: model.EditNotVoting, Run: model.NotRun}
	}
	return model.EditResult{Status: model.EditNoMajority, Run: model.MayHaveRun}
}

// propose submits an edit to this member's machine and waits for its answer.
func (p *Profiles) propose(ctx context.Context, edit model.ProfileEdit, wait time.Duration) model.EditResult {
	answer := make(chan model.EditResult, 1)
	p.core.Lock()
	if p.core.machine == nil {
		p.core.Unlock()
		return model.EditResult{Status: model.EditNotVoting, Run: model.NotRun}
	}
	p.core.tickets++
	ticket := p.core.tickets
	p.core.waiting[ticket] = answer
	deadline := p.now().Add(min(wait, editTimeout))
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

// awaitInForce waits until the revision is in force here, so that who changed it sees it.
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
