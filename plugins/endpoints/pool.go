package endpoints

import (
	"hash/maphash"
	"time"

	"redwingpulley/kernel/model"
	"redwingpulley/plugins/endpoints/poolstate"
)

// pool is a pool that this member owns, or owned: its state machine and what belongs to it outside the
// machine. It is used only under the lock of its shard.
type pool struct {
	created      poolstate.Created
	machine      *poolstate.Machine
	waiters      map[model.BatchID]*waiter
	timer        *time.Timer
	reportedLoad model.PoolLoad // Load at the last signal to publishLoads.
	handedOverTo incarnationKey // Receiver of the last handover since this member last owned the pool.
	movedAt      time.Time      // When that handover was prepared.

	inFlight map[attempt]*call // Attempts whose tasks occupy their endpoints.
	steps    uint64            // Number of steps so far.
}

// withPool calls f with the pool under its shard's lock. It creates the pool if there is none.
func (p *Pools) withPool(id model.PoolID, f func(*pool)) {
	p.pools.Do(id, func(pools map[model.PoolID]*pool) {
		o, ok := pools[id]
		if !ok {
			o = p.newPool(id)
			pools[id] = o
		}
		f(o)
	})
}

// newPool returns a new pool and signals it to watchOrigins.
func (p *Pools) newPool(id model.PoolID) *pool {
	seed := maphash.String(maphash.MakeSeed(), id.String())
	select {
	case p.created <- struct{}{}:
	default: // An earlier signal is still pending.
	}
	created := poolstate.Created{Pool: id, Owner: p.membership.Self().ID, Seed: seed}
	return &pool{
		created:  created,
		machine:  created.Machine(p.policies),
		waiters:  make(map[model.BatchID]*waiter),
		inFlight: make(map[attempt]*call),
	}
}

// step applies an event to the pool's machine and then, outside the lock, carries out the effects.
func (p *Pools) step(id model.PoolID, event poolstate.Event) {
	fx := p.effects.Get().(*poolstate.Effects)
	defer p.recycle(fx)
	var ended []*waiter
	var now time.Time
	var created poolstate.Created
	var number uint64
	p.withPool(id, func(o *pool) {
		now = p.now()
		o.steps++
		created, number = o.created, o.steps
		o.machine.Step(now, event, fx)
		p.updateCalls(o, fx)
		p.signalIfLoadChanged(o)
		ended = o.finishWaiters(fx.Ended)
		p.armTimer(id, o, now)
	})
	if p.recorder.Active() {
		p.recordStep(created, number, now, event, fx)
	}
	for _, w := range ended {
		p.recordEnd(w)
	}
	p.execute(id, fx)
}

// finishWaiters passes the results of batches to their waiters, which it removes and returns.
func (o *pool) finishWaiters(results []model.BatchResult) (finished []*waiter) {
	for _, result := range results {
		if w, ok := o.waiters[result.ID]; ok {
			w.finish(result)
			finished = append(finished, w)
			delete(o.waiters, result.ID)
		}
	}
	return finished
}

// armTimer sets the pool's timer to the time of the machine's next Elapsed event.
func (p *Pools) armTimer(id model.PoolID, o *pool, now time.Time) {
	at, ok := o.machine.NextTimer()
	if !ok {
		return
	}
	if o.timer == nil {
		o.timer = time.AfterFunc(at.Sub(now), func() { p.step(id, poolstate.Elapsed{}) })
		return
	}
	o.timer.Reset(at.Sub(now))
}

// recycle makes the buffers of effects that were carried out available to later steps.
func (p *Pools) recycle(fx *poolstate.Effects) {
	fx.Reset()
	p.effects.Put(fx)
}

// execute carries out the effects of a step, except for the batches that ended: step finishes these itself.
func (p *Pools) execute(id model.PoolID, fx *poolstate.Effects) {
	p.instruments.countStep(fx)
	p.logStep(id, fx)
	for _, r := range fx.Released {
		p.endTurn(id, r.Key, attempt{r.Task, r.Attempt})
	}
	for _, s := range fx.Starts {
		go p.startTask(id, s)
	}
	for _, r := range fx.Revokes {
		go p.revokeTask(id, r)
	}
}
