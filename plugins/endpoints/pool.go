package endpoints

import (
	"hash/maphash"
	"time"

	"redwingpulley/kernel/model"
	"redwingpulley/kernel/port"
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
	pauses   uint64            // port.Liveness.Pauses at the newest step.
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
	p.signalOrigins()
	created := poolstate.Created{
		Pool: id, Owner: p.membership.Self().ID, Seed: seed,
		LearnSpeeds: p.settings.LearnSpeeds, SeparateInterfering: p.settings.SeparateInterfering,
	}
	return &pool{
		created:  created,
		machine:  created.Machine(p.policies),
		waiters:  make(map[model.BatchID]*waiter),
		inFlight: make(map[attempt]*call),
		pauses:   p.liveness.Pauses(),
	}
}

// stepped is what a step of a pool leaves to be done without the lock of its shard.
type stepped struct {
	number uint64 // Number of the step.
	now    time.Time
	event  poolstate.Event
	fx     *poolstate.Effects
	ended  []*waiter // Waiters of the batches that have ended.

	abandoned []abandoned // Attempts at tasks of these batches that still occupy their endpoints.
}

// step applies an event to the pool's machine and then, outside the lock, carries out the effects. The first step after a pause
// of the process begins with the event Resumed, and the first after the start or end of an evacuation with Evacuated, so that none
// decides on what was true before.
func (p *Pools) step(id model.PoolID, event poolstate.Event) {
	var created poolstate.Created
	var steps []stepped
	p.withPool(id, func(o *pool) {
		created = o.created
		if pauses := p.liveness.Pauses(); pauses != o.pauses {
			o.pauses = pauses
			steps = append(steps, p.stepLocked(o, poolstate.Resumed{}))
		}
		if evacuated := p.evacuated(id); evacuated != o.machine.Evacuated() {
			steps = append(steps, p.stepLocked(o, poolstate.Evacuated{Active: evacuated}))
		}
		steps = append(steps, p.stepLocked(o, event))
		p.signalIfLoadChanged(o)
		p.armTimer(id, o, p.now())
	})
	for _, s := range steps {
		p.finishStep(id, created, s)
	}
}

// stepLocked applies an event to a pool's machine. It is called under the lock of the pool's shard.
func (p *Pools) stepLocked(o *pool, event poolstate.Event) stepped {
	o.steps++
	s := stepped{number: o.steps, now: p.now(), event: event, fx: p.effects.Get().(*poolstate.Effects)}
	o.machine.Step(s.now, event, s.fx)
	p.updateCalls(o, s.fx)
	s.ended = o.finishWaiters(s.fx.Ended)
	s.abandoned = o.abandonedBy(s.fx.Ended)
	return s
}

// finishStep records a step and carries out its effects.
func (p *Pools) finishStep(id model.PoolID, created poolstate.Created, s stepped) {
	defer p.recycle(s.fx)
	if p.recorder.Active() {
		p.recordStep(created, s.number, s.now, s.event, s.fx)
	}
	for _, w := range s.ended {
		p.recordEnd(w)
	}
	p.execute(id, s.fx)
	p.watchAbandoned(id, s.abandoned)
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
	if len(fx.Fences) > 0 && p.ownerOf(id).ID == p.membership.Self().ID {
		p.fence(id, fx.Fences)
	}
	for _, s := range fx.Starts {
		go p.startTask(id, s)
	}
	for _, r := range fx.Revokes {
		go p.revokeTask(id, r)
	}
}

// fence has the former holders of endpoints' leases fenced. An endpoint that belongs to another pool since the group was split is left to
// the owner of that one: a fence takes the lease.
func (p *Pools) fence(id model.PoolID, fences []poolstate.Fence) {
	for _, f := range fences {
		if p.poolAt(groupOf(id), f.Address) == id {
			p.tasks.Fence(port.EndpointIncarnation{ID: f.Endpoint, Address: f.Address, DataCentre: id.DataCentre})
		}
	}
}
