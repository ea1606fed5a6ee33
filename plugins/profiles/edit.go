package profiles

import (
	"context"
	"slices"
	"time"

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

// Edit has the replicas agree on an edit. It tries this member first when it is a replica, then
// the others. Trying several is safe: they know the edit by its id. Once a replica has answered
// that it finds no majority, those thought dead are left out: to send them the edit would only
// turn a certain not_run into an uncertain one.
func (p *Profiles) Edit(ctx context.Context, edit model.ProfileEdit) model.EditResult {
	ctx, cancel := context.WithTimeout(ctx, editTimeout)
	defer cancel()
	result := model.EditResult{Status: model.EditNoMajority, Run: model.NotRun}
	alive := p.alive()
	noMajority := false
	for _, node := range p.candidates(alive) {
		if ctx.Err() != nil || noMajority && !alive[node] {
			break
		}
		next := p.editAt(ctx, node, edit)
		noMajority = noMajority || next.Status == model.EditNoMajority
		if !unsettled(next.Status) {
			p.awaitInForce(ctx, next.Revision)
			return next
		}
		if result.Run == model.MayHaveRun {
			next.Run = model.MayHaveRun
		}
		result = next
	}
	result.Status = model.EditNoMajority
	return result
}

// unsettled reports whether another replica may know more.
func unsettled(status model.EditStatus) bool {
	return status == model.EditNoMajority || status == model.EditNotVoting || status == model.EditBusy
}

// candidates returns the replicas in the order in which they are tried: this one, those thought
// alive, the rest.
func (p *Profiles) candidates(alive map[model.NodeID]bool) []model.NodeID {
	rank := func(node model.NodeID) int {
		switch {
		case node == p.self:
			return 0
		case alive[node]:
			return 1
		}
		return 2
	}
	ordered := slices.Clone(p.replicas)
	slices.SortStableFunc(ordered, func(a, b model.NodeID) int { return rank(a) - rank(b) })
	return ordered
}

func (p *Profiles) alive() map[model.NodeID]bool {
	alive := make(map[model.NodeID]bool)
	for _, node := range p.membership.Alive() {
		alive[node.ID] = true
	}
	return alive
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
	deadline := time.Now().Add(min(wait, editTimeout))
	p.stepLocked(register.Submitted{Ticket: ticket, Edit: edit, Deadline: deadline})
	p.core.Unlock()
	p.signal()
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
