package endpoints

import (
	"context"
	"time"

	"redwingpulley/kernel/model"
	"redwingpulley/kernel/port"
	"redwingpulley/kernel/wait"
	"redwingpulley/plugins/endpoints/ledger"
	"redwingpulley/plugins/endpoints/poolstate"
)

const (
	resumePause    = 50 * time.Millisecond  // Time before each resume request for a batch whose reply did not arrive.
	lateReplyGrace = 100 * time.Millisecond // Time that a reply may take after its batch's deadline.
	ownerLostGrace = 200 * time.Millisecond // Time for the last replies of an owner that has just left.
	maxSends       = 2                      // How often a batch is sent to an owner that refuses it as outdated.
)

// session is the sender's state of the batches that this member sends to one incarnation of an owner.
// Sessions are never removed, so that no batch number is used twice.
type session struct {
	outbox ledger.Outbox
	alive  context.Context // Ends when the owner is no longer considered alive.
	cancel context.CancelFunc
}

// outgoingBatch is one batch in a session.
type outgoingBatch struct {
	owner    port.Node
	sequence uint64
	alive    context.Context // Ends when the owner is no longer considered alive.
}

// Run runs the batch at the pool's owner and returns its result.
func (p *Pools) Run(ctx context.Context, owner model.NodeID, batch model.Batch) model.BatchResult {
	if ctx.Err() != nil {
		return model.RefusedBatch(batch.ID, model.ReasonCancelled)
	}
	if owner == p.membership.Self().ID {
		return p.runLocal(ctx, batch)
	}
	node, alive := p.member(owner)
	if !alive {
		return model.RefusedBatch(batch.ID, model.ReasonUnreachable)
	}
	return p.runRemote(ctx, node, batch)
}

// runLocal runs the batch in a pool of this member.
func (p *Pools) runLocal(ctx context.Context, batch model.Batch) model.BatchResult {
	w := newWaiter()
	p.submit(batch, w)
	stop := context.AfterFunc(ctx, func() { p.step(batch.Pool, poolstate.Cancelled{Batch: batch.ID}) })
	defer stop()
	select {
	case <-w.ended:
		return w.result
	case <-p.baseCtx.Done():
		return unknownResult(batch, model.ReasonOwnerLost)
	}
}

// runRemote sends the batch to the owner, and once more when the owner could not tell that it was sent just now. It is not sent again by a
// process that has stood still meanwhile, nor for a caller that has gone.
func (p *Pools) runRemote(ctx context.Context, node port.Node, batch model.Batch) (result model.BatchResult) {
	pauses := p.liveness.Pauses()
	for range maxSends {
		result = p.sendBatch(ctx, node, batch)
		if result.Reason != model.ReasonOutdated || ctx.Err() != nil || !p.liveness.Fresh() || p.liveness.Pauses() != pauses {
			break
		}
	}
	return result
}

// sendBatch sends the batch to the owner once. When no reply arrives, it sends resume requests over new
// connections until one is answered, the deadline has passed or the owner is no longer considered alive.
func (p *Pools) sendBatch(ctx context.Context, node port.Node, batch model.Batch) model.BatchResult {
	b := p.open(node)
	defer p.close(b)
	callCtx, cancel := context.WithDeadline(b.alive, batch.Deadline.Add(lateReplyGrace))
	defer cancel()
	stop := context.AfterFunc(ctx, func() { p.sendCancel(callCtx, b, batch) })
	defer stop()

	p.countSent(batch.Pool, len(batch.Tasks))
	var reply runReply
	sentAt := time.Now()
	request := encodeBatch(p.envelope(b), p.withLosses(batch))
	stamp := p.clockOf(node.ID)
	request.SentAt = &stamp
	delivery := p.peers.Call(callCtx, node.ID, methodRun, request, &reply)
	switch delivery {
	case port.Delivered:
	case port.NotSent, port.Refused:
		p.recordNoReply(callCtx, node.ID)
		return model.RefusedBatch(batch.ID, model.ReasonUnreachable)
	default:
		p.logBatchUnanswered(batch, node.ID, time.Since(sentAt))
		if !p.resume(callCtx, b, batch, sentAt, &reply) {
			return unknownResult(batch, model.ReasonOwnerLost)
		}
	}
	p.recordClock(node.ID, reply.Clock)
	return p.handleReply(batch, reply)
}

// resume requests the reply of a batch that was sent at sentAt and got none. Each request uses a connection that is newer
// than the request before. It reports false when no reply can be expected any more.
func (p *Pools) resume(ctx context.Context, b outgoingBatch, batch model.Batch, sentAt time.Time, reply *runReply) (delivered bool) {
	for {
		p.instruments.wasted.Inc(1)
		p.recordNoReply(ctx, b.owner.ID)
		if _, alive := p.member(b.owner.ID); !alive || !wait.For(ctx, resumePause) {
			return false
		}
		freshCtx := port.FreshConnection(ctx, sentAt)
		sentAt = time.Now()
		request := batchRef{p.envelope(b), batch.ID, batch.Pool}
		if p.peers.Call(freshCtx, b.owner.ID, methodResume, request, reply) == port.Delivered {
			return true
		}
	}
}

// recordNoReply marks a member as unreachable that did not reply to a call, unless the call's context has ended.
func (p *Pools) recordNoReply(ctx context.Context, node model.NodeID) {
	if ctx.Err() == nil {
		p.markUnreachable(node)
	}
}

// handleReply returns the result in the owner's reply.
func (p *Pools) handleReply(batch model.Batch, reply runReply) model.BatchResult {
	if reply.Lost {
		return unknownResult(batch, model.ReasonOwnerLost)
	}
	if reply.Refused {
		p.instruments.wasted.Inc(2) // The request and the reply.
	}
	if reply.Load.Owner != "" {
		p.updateLoad(reply.Load)
	}
	result := decodeResult(batch.ID, reply)
	p.addResultLosses(batch, result)
	return result
}

// sendCancel cancels the batch at its owner. While no reply arrives, it repeats the request over new connections: the
// connection over which the batch was sent may have broken together with that of the job's caller.
func (p *Pools) sendCancel(ctx context.Context, b outgoingBatch, batch model.Batch) {
	request := batchRef{p.envelope(b), batch.ID, batch.Pool}
	for callCtx := ctx; ; {
		var ignored empty
		sentAt := time.Now()
		if p.peers.Call(callCtx, b.owner.ID, methodCancel, request, &ignored) == port.Delivered {
			return
		}
		if _, alive := p.member(b.owner.ID); !alive || !wait.For(ctx, resumePause) {
			return
		}
		callCtx = port.FreshConnection(ctx, sentAt)
	}
}

// unknownResult returns a result by which every task of the batch may have run.
func unknownResult(batch model.Batch, reason model.Reason) model.BatchResult {
	result := model.BatchResult{ID: batch.ID}
	for _, task := range batch.Tasks {
		result.Results = append(result.Results, model.TaskResult{Index: task.Index, Run: model.MayHaveRun, Reason: reason})
	}
	return result
}

// member returns the member with the given ID, if it is considered alive.
func (p *Pools) member(id model.NodeID) (port.Node, bool) {
	return p.currentView().member(id)
}

// open opens a batch with a new number in the session with the node. The caller has to close it.
func (p *Pools) open(node port.Node) outgoingBatch {
	b := outgoingBatch{owner: node}
	key := incarnationKey{node.ID, node.Incarnation}
	p.sessions.Do(key, func(sessions map[incarnationKey]*session) {
		s, ok := sessions[key]
		if !ok {
			s = &session{}
			s.alive, s.cancel = context.WithCancel(p.baseCtx)
			sessions[key] = s
		}
		b.sequence, b.alive = s.outbox.Open(), s.alive
	})
	return b
}

// close closes a batch in its session, so that later messages acknowledge it.
func (p *Pools) close(b outgoingBatch) {
	key := incarnationKey{b.owner.ID, b.owner.Incarnation}
	p.sessions.Do(key, func(sessions map[incarnationKey]*session) { sessions[key].outbox.Close(b.sequence) })
}

// envelope returns the envelope of a message about the batch.
func (p *Pools) envelope(b outgoingBatch) envelope {
	e := envelope{Origin: p.membership.Self().Incarnation, Target: b.owner.Incarnation, Sequence: b.sequence}
	key := incarnationKey{b.owner.ID, b.owner.Incarnation}
	p.sessions.Do(key, func(sessions map[incarnationKey]*session) { e.Settled = sessions[key].outbox.Settled() })
	return e
}

// watchSessions ends the waits for owners that have restarted or are no longer considered alive.
func (p *Pools) watchSessions() {
	for {
		changed := p.membership.Changed()
		p.cancelLostSessions()
		select {
		case <-changed:
		case <-p.baseCtx.Done():
			return
		}
	}
}

// cancelLostSessions ends the waits for replies in sessions with incarnations that are not alive, after
// ownerLostGrace.
func (p *Pools) cancelLostSessions() {
	view := p.currentView()
	var lost []context.CancelFunc
	p.sessions.Each(func(sessions map[incarnationKey]*session) {
		for key, s := range sessions {
			if !view.has(key) {
				if s.outbox.Empty() {
					continue
				}
				lost = append(lost, s.cancel)
				s.alive, s.cancel = context.WithCancel(p.baseCtx)
			}
		}
	})
	for _, cancel := range lost {
		time.AfterFunc(ownerLostGrace, cancel)
	}
}
