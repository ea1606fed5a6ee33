package endpoints

import (
	"context"
	"time"

	"redwingpulley/kernel/model"
	"redwingpulley/kernel/shard"
	"redwingpulley/plugins/endpoints/ledger"
	"redwingpulley/plugins/endpoints/poolstate"
)

// orphanGrace is how long an origin may take to send a resume request for a batch after its last request
// has ended.
const orphanGrace = 250 * time.Millisecond

// waiter lets requests wait for the result of a batch. The result is set before ended is closed.
type waiter struct {
	ended    chan struct{}
	result   model.BatchResult
	origin   incarnationKey
	sequence uint64 // 0 for a batch that this member has submitted itself.

	pool             model.PoolID
	cancelIfOrphaned bool // Whether the batch is cancelled when its origin no longer waits for it.
	requests         int  // Number of the origin's requests that wait for the result; guarded by the lock of the origin's shard.
	cancelled        bool // The origin has cancelled the batch; guarded by the same lock.
}

// incarnationKey identifies an incarnation of a member.
type incarnationKey struct {
	node        model.NodeID
	incarnation model.Incarnation
}

// origin is the receiver's state of the batches that one incarnation of another member has sent.
type origin struct {
	ledger  ledger.Ledger
	waiters map[uint64]*waiter // Waiters of the batches, by the batch's number.
	timer   *time.Timer        // Triggers the ledger's next Elapsed event; nil when it is not set.
}

func newOrigins() *shard.Map[incarnationKey, *origin] {
	return shard.New[incarnationKey, *origin](shard.DefaultCount)
}

func newWaiter() *waiter { return &waiter{ended: make(chan struct{})} }

// finish sets the result and releases all requests that wait for it.
func (w *waiter) finish(result model.BatchResult) {
	w.result = result
	close(w.ended)
}

// handleRun handles the request to run a batch. It starts the batch at most once, however often and late
// the request arrives.
func (p *Pools) handleRun(ctx context.Context, from model.NodeID, r runRequest) runReply {
	if !r.valid() || !p.addressedToSelf(r.envelope) {
		return runReply{Lost: true} // An earlier incarnation may have received the request too.
	}
	w, verdict := p.applyToLedger(from, r.envelope, ledger.Arrived{Sequence: r.Sequence, Settled: r.Settled})
	if verdict == ledger.Start {
		p.recordSender(from)
		w.pool, w.cancelIfOrphaned = r.Pool, r.Key != ""
		p.submitReceived(from, r, w)
	}
	return p.awaitResult(ctx, r.ID, w, verdict)
}

// submitReceived submits the batch of a request that has just been read, unless it is outdated.
func (p *Pools) submitReceived(from model.NodeID, r runRequest, w *waiter) {
	batch := decodeBatch(from, r)
	if p.isOutdated(from, &r) {
		p.refuse(batch, w, model.ReasonOutdated)
		return
	}
	p.submit(batch, w)
	p.cancelIfOrdered(r.ID, w)
}

// handleResume returns the result of a batch whose reply did not reach the origin, and fences a batch whose
// request has not arrived.
func (p *Pools) handleResume(ctx context.Context, from model.NodeID, r batchRef) runReply {
	if r.Target == "" || !p.addressedToSelf(r.envelope) {
		return runReply{Lost: true} // An earlier incarnation may have run it.
	}
	w, verdict := p.applyToLedger(from, r.envelope, ledger.Queried{Sequence: r.Sequence, Settled: r.Settled})
	return p.awaitResult(ctx, r.ID, w, verdict)
}

// handleCancel cancels a batch, and fences a batch whose request has not arrived.
func (p *Pools) handleCancel(_ context.Context, from model.NodeID, r batchRef) empty {
	if !p.addressedToSelf(r.envelope) {
		return empty{}
	}
	if w, verdict := p.applyToLedger(from, r.envelope, ledger.Queried{Sequence: r.Sequence, Settled: r.Settled}); verdict == ledger.Join {
		p.withOrigin(w.origin, func(*origin) { w.cancelled = true })
		p.step(r.Pool, poolstate.Cancelled{Batch: r.ID})
	}
	return empty{}
}

// cancelIfOrdered cancels a batch that has just been submitted to its pool, if the order to cancel it arrived before the
// pool knew the batch.
func (p *Pools) cancelIfOrdered(id model.BatchID, w *waiter) {
	cancelled := false
	p.withOrigin(w.origin, func(*origin) { cancelled = w.cancelled })
	if cancelled {
		p.step(w.pool, poolstate.Cancelled{Batch: id})
	}
}

// addressedToSelf reports whether a message was sent to this incarnation, or to any.
func (p *Pools) addressedToSelf(e envelope) bool {
	return e.Target == "" || e.Target == p.membership.Self().Incarnation
}

// applyToLedger applies a message to the ledger of its origin. It returns the batch's waiter, which is new
// when the verdict is Start, and nil when there is none.
func (p *Pools) applyToLedger(from model.NodeID, e envelope, event ledger.Event) (w *waiter, verdict ledger.Verdict) {
	key := incarnationKey{from, e.Origin}
	p.withOrigin(key, func(o *origin) {
		verdict = o.step(event)
		if verdict == ledger.Start {
			w = newWaiter()
			w.origin, w.sequence = key, e.Sequence
			o.waiters[e.Sequence] = w
			return
		}
		w = o.waiters[e.Sequence]
	})
	return w, verdict
}

// awaitResult returns the reply to a request for a batch. With the verdict Start or Join it waits until the
// batch has ended.
func (p *Pools) awaitResult(ctx context.Context, id model.BatchID, w *waiter, verdict ledger.Verdict) runReply {
	switch verdict {
	case ledger.Start, ledger.Join:
		p.withOrigin(w.origin, func(*origin) { w.requests++ })
		defer p.releaseRequest(id, w)
		select {
		case <-w.ended:
			if load := w.result.Load; load.Owner != "" && load.Slots == 0 {
				p.publishAgain()
			}
			return p.encodeReply(w.result)
		case <-ctx.Done():
			return runReply{Lost: true} // The requester is gone; nobody reads this reply.
		}
	case ledger.Refuse:
		return encodeResult(model.RefusedBatch(id, model.ReasonUnreachable))
	default:
		return runReply{Lost: true}
	}
}

// encodeReply encodes the result of a batch. The sender of one that was outdated is told this member's clock.
func (p *Pools) encodeReply(result model.BatchResult) runReply {
	reply := encodeResult(result)
	if result.Reason == model.ReasonOutdated {
		clock := p.clock()
		reply.Clock = &clock
	}
	return reply
}

// releaseRequest is called when a request for a batch's result has ended. The batch of a job that may run
// again is cancelled when its origin sends no further request: the job's caller may have sent the job to
// another member.
func (p *Pools) releaseRequest(id model.BatchID, w *waiter) {
	orphaned := false
	p.withOrigin(w.origin, func(*origin) {
		w.requests--
		orphaned = w.cancelIfOrphaned && w.requests == 0
	})
	select {
	case <-w.ended:
		return
	default:
	}
	if orphaned {
		time.AfterFunc(orphanGrace, func() { p.cancelOrphan(id, w) })
	}
}

// cancelOrphan cancels a batch unless a request waits for its result again.
func (p *Pools) cancelOrphan(id model.BatchID, w *waiter) {
	orphaned := false
	p.withOrigin(w.origin, func(*origin) { orphaned = w.requests == 0 })
	if orphaned {
		p.step(w.pool, poolstate.Cancelled{Batch: id})
	}
}

// recordEnd records in the ledger of the batch's origin that the batch has its result.
func (p *Pools) recordEnd(w *waiter) {
	if w.sequence == 0 {
		return
	}
	p.withOrigin(w.origin, func(o *origin) {
		o.step(ledger.Ended{Sequence: w.sequence})
		p.armOriginTimer(w.origin, o)
	})
}

// withOrigin calls f with the origin under its shard's lock. It creates the origin if there is none.
func (p *Pools) withOrigin(key incarnationKey, f func(*origin)) {
	p.origins.Do(key, func(origins map[incarnationKey]*origin) {
		o, ok := origins[key]
		if !ok {
			o = &origin{waiters: make(map[uint64]*waiter)}
			origins[key] = o
		}
		f(o)
	})
}

// step applies an event to the ledger and drops the waiters whose results are no longer needed.
func (o *origin) step(event ledger.Event) ledger.Verdict {
	fx := o.ledger.Step(time.Now(), event)
	for _, sequence := range fx.Evict {
		delete(o.waiters, sequence)
	}
	return fx.Verdict
}

// armOriginTimer sets the origin's timer to the time of its ledger's next Elapsed event, unless it is set
// already: results expire in the order in which they were recorded, so that the set time is never too late.
func (p *Pools) armOriginTimer(key incarnationKey, o *origin) {
	at, ok := o.ledger.NextTimer()
	if !ok || o.timer != nil {
		return
	}
	o.timer = time.AfterFunc(time.Until(at), func() {
		p.withOrigin(key, func(o *origin) {
			o.timer = nil
			o.step(ledger.Elapsed{})
			p.armOriginTimer(key, o)
		})
	})
}
