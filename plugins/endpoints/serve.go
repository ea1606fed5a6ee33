package endpoints

import (
	"context"
	"time"

	"redwingpulley/kernel/model"
	"redwingpulley/kernel/shard"
	"redwingpulley/plugins/endpoints/ledger"
	"redwingpulley/plugins/endpoints/poolstate"
)

// waiter holds the result of a batch once ended is closed.
type waiter struct {
	ended    chan struct{}
	result   model.BatchResult
	origin   originKey
	sequence uint64 // 0 for a batch of this member's own jobs.

	pool      model.PoolID
	attended  bool // The batch ends when its origin no longer waits for it.
	attending int  // Requests of the origin that wait for the result.
}

type originKey struct {
	node        model.NodeID
	incarnation model.Incarnation
}

// origin is what this member knows of the batches that one incarnation of another has sent.
type origin struct {
	ledger  ledger.Ledger
	waiters map[uint64]*waiter
	timer   *time.Timer
}

func newOrigins() *shard.Map[originKey, *origin] {
	return shard.New[originKey, *origin](shard.DefaultCount)
}

func newWaiter() *waiter { return &waiter{ended: make(chan struct{})} }

// finish gives a batch the result that all who wait for it get.
func (w *waiter) finish(result model.BatchResult) {
	w.result = result
	close(w.ended)
}

// serveRun starts a batch at most once, however often and late its request arrives.
func (p *Pools) serveRun(ctx context.Context, from model.NodeID, r runRequest) runReply {
	if !r.sound() || !p.meant(r.envelope) {
		return runReply{Lost: true} // The earlier incarnation may have got the request too.
	}
	w, verdict := p.receive(from, r.envelope, ledger.Arrived{Sequence: r.Sequence, Settled: r.Settled})
	if verdict == ledger.Start {
		p.noteSender(from)
		w.pool, w.attended = r.Pool, r.Key != ""
		p.submit(decodeBatch(from, r), w)
	}
	return p.reply(ctx, r.ID, w, verdict)
}

// serveResume gives the result of a batch whose reply did not come, and fences one that never
// arrived.
func (p *Pools) serveResume(ctx context.Context, from model.NodeID, r askRequest) runReply {
	if r.Target == "" || !p.meant(r.envelope) {
		return runReply{Lost: true} // An earlier incarnation may have run it.
	}
	w, verdict := p.receive(from, r.envelope, ledger.Asked{Sequence: r.Sequence, Settled: r.Settled})
	return p.reply(ctx, r.ID, w, verdict)
}

// serveCancel ends a batch, and fences one that has not arrived yet.
func (p *Pools) serveCancel(_ context.Context, from model.NodeID, r askRequest) empty {
	if !p.meant(r.envelope) {
		return empty{}
	}
	if _, verdict := p.receive(from, r.envelope, ledger.Asked{Sequence: r.Sequence, Settled: r.Settled}); verdict == ledger.Join {
		p.step(r.Pool, poolstate.Cancelled{Batch: r.ID})
	}
	return empty{}
}

// meant reports whether a message was sent to this incarnation, or to any.
func (p *Pools) meant(e envelope) bool {
	return e.Target == "" || e.Target == p.membership.Self().Incarnation
}

// receive enters a message in the ledger of its origin.
func (p *Pools) receive(from model.NodeID, e envelope, event ledger.Event) (w *waiter, verdict ledger.Verdict) {
	key := originKey{from, e.Origin}
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

func (p *Pools) reply(ctx context.Context, id model.BatchID, w *waiter, verdict ledger.Verdict) runReply {
	switch verdict {
	case ledger.Start, ledger.Join:
		p.withOrigin(w.origin, func(*origin) { w.attending++ })
		defer p.unattend(id, w)
		select {
		case <-w.ended:
			return encodeResult(w.result)
		case <-ctx.Done():
			return runReply{Lost: true} // Nobody reads it.
		}
	case ledger.Refuse:
		return encodeResult(model.RefusedBatch(id, model.ReasonUnreachable))
	default:
		return runReply{Lost: true}
	}
}

// attendGrace is how long an origin may take to ask again for a batch whose request has ended.
const attendGrace = 250 * time.Millisecond

// unattend notes that a request for a batch's result has ended. The batch of a job that may run again
// is cancelled when its origin asks no more: the job's caller may have sent it to another member.
func (p *Pools) unattend(id model.BatchID, w *waiter) {
	alone := false
	p.withOrigin(w.origin, func(*origin) {
		w.attending--
		alone = w.attended && w.attending == 0
	})
	select {
	case <-w.ended:
		return
	default:
	}
	if alone {
		time.AfterFunc(attendGrace, func() { p.cancelUnattended(id, w) })
	}
}

func (p *Pools) cancelUnattended(id model.BatchID, w *waiter) {
	alone := false
	p.withOrigin(w.origin, func(*origin) { alone = w.attending == 0 })
	if alone {
		p.step(w.pool, poolstate.Cancelled{Batch: id})
	}
}

// noteEnded tells the ledger of the batch's origin that its result is there.
func (p *Pools) noteEnded(w *waiter) {
	if w.sequence == 0 {
		return
	}
	p.withOrigin(w.origin, func(o *origin) {
		o.step(ledger.Ended{Sequence: w.sequence})
		p.armOrigin(w.origin, o)
	})
}

func (p *Pools) withOrigin(key originKey, f func(*origin)) {
	p.origins.Do(key, func(origins map[originKey]*origin) {
		o, ok := origins[key]
		if !ok {
			o = &origin{waiters: make(map[uint64]*waiter)}
			origins[key] = o
		}
		f(o)
	})
}

// step applies an event to the ledger and drops the results that need not be kept.
func (o *origin) step(event ledger.Event) ledger.Verdict {
	fx := o.ledger.Step(time.Now(), event)
	for _, sequence := range fx.Forget {
		delete(o.waiters, sequence)
	}
	return fx.Verdict
}

// armOrigin sets the origin's timer to its ledger's next wake-up, unless it is set already: results
// expire in the order in which they came.
func (p *Pools) armOrigin(key originKey, o *origin) {
	at, ok := o.ledger.Wake()
	if !ok || o.timer != nil {
		return
	}
	o.timer = time.AfterFunc(time.Until(at), func() {
		p.withOrigin(key, func(o *origin) {
			o.timer = nil
			o.step(ledger.Elapsed{})
			p.armOrigin(key, o)
		})
	})
}
