package endpoints

import (
	"context"
	"time"

	"redwingpulley/kernel/model"
	"redwingpulley/kernel/port"
	"redwingpulley/kernel/wait"
	"redwingpulley/plugins/endpoints/crashes"
	"redwingpulley/plugins/endpoints/poolstate"
)

// attempt identifies one start of a task.
type attempt struct {
	task   model.TaskID
	number int
}

// registerPause is the time before a revoke that found no run is repeated while the reply to its start has not been applied.
const registerPause = 5 * time.Millisecond

// call is the call that starts an attempt whose task occupies its endpoint. It is guarded by the lock of the pool's shard.
type call struct {
	ctx    context.Context // Ends at the batch's deadline, or when the attempt is withdrawn or released.
	cancel context.CancelFunc
	state  callState
	key    string // Key of the job, as chosen by the caller.
	pauses uint64 // port.Liveness.Pauses when the pool decided on the start.
}

// callState is the progress of a call.
type callState int

const (
	callWaiting   callState = iota // The start waits for its turn.
	callWithdrawn                  // The start must not be sent any more, or the pool has released the attempt.
	callSent                       // The start was given to port.Tasks.
	callReplied                    // The reply of port.Tasks has been applied to the pool.
)

// updateCalls adds the attempts that a step starts, and removes and ends the calls of those that it has released. It is
// called under the lock of the pool's shard, so that no revoke of an attempt is handled before it is known.
func (p *Pools) updateCalls(o *pool, fx *poolstate.Effects) {
	for _, r := range fx.Released {
		a := attempt{r.Task, r.Attempt}
		if c := o.inFlight[a]; c != nil {
			c.state = callWithdrawn
			c.cancel()
			delete(o.inFlight, a)
		}
	}
	for _, s := range fx.Starts {
		c := &call{pauses: o.pauses, key: s.Key}
		c.ctx, c.cancel = context.WithDeadline(p.baseCtx, s.Deadline)
		o.inFlight[attempt{s.Task, s.Attempt}] = c
	}
}

// callOf returns the call of an attempt, or nil when the pool has released the attempt.
func (p *Pools) callOf(id model.PoolID, a attempt) (c *call) {
	p.withPool(id, func(o *pool) { c = o.inFlight[a] })
	return c
}

// markSent reports whether the start of a call may be sent, and then records that it is.
func (p *Pools) markSent(id model.PoolID, c *call) (sent bool) {
	p.withPool(id, func(*pool) {
		if c.state == callWaiting && c.ctx.Err() == nil {
			c.state, sent = callSent, true
		}
	})
	return sent
}

// markReplied records that the reply to a call has been applied to the pool.
func (p *Pools) markReplied(id model.PoolID, c *call) {
	p.withPool(id, func(*pool) { c.state = callReplied })
}

// withdraw keeps the start of an attempt from being sent. It reports false when the start may have been sent.
func (p *Pools) withdraw(id model.PoolID, a attempt) (withdrawn bool) {
	p.withPool(id, func(o *pool) {
		c := o.inFlight[a]
		if c == nil || c.state == callSent || c.state == callReplied {
			return
		}
		c.state, withdrawn = callWithdrawn, true
		c.cancel()
	})
	return withdrawn
}

// awaitsReply reports whether an attempt's start was sent and its reply has not been applied to the pool. Meanwhile
// port.Tasks may not know the run yet, or may have finished it already.
func (p *Pools) awaitsReply(id model.PoolID, a attempt) (awaits bool) {
	p.withPool(id, func(o *pool) {
		c := o.inFlight[a]
		awaits = c != nil && c.state == callSent
	})
	return awaits
}

// startTask starts a task at its endpoint and applies the reply to the pool. It first waits for the known end of an
// earlier run of the task. The start of an attempt that is revoked before then is never sent; its revoke ends it.
func (p *Pools) startTask(id model.PoolID, s poolstate.Start) {
	started := attempt{s.Task, s.Attempt}
	c := p.callOf(id, started)
	if c == nil {
		return
	}
	defer c.cancel()
	decidedAt := time.Now()
	if !p.takeTurn(c.ctx, id, s) {
		return
	}
	if !p.markSent(id, c) {
		p.endTurn(id, s.Key, started)
		return
	}
	delayed := time.Since(decidedAt) > port.MaxTimingError
	reply, took := p.callStart(id, c, s)
	reply.TimeUnknown = reply.TimeUnknown || delayed
	p.logTaskEnded(id, s, reply, took)
	ref := refOf(s.Key, s.Task)
	if reply.State == port.TaskLost {
		p.recordLoss(ref, s.Endpoint, reply.Cause)
		p.confirmLoss(ref, s.Endpoint, reply.Cause)
	}
	p.step(id, poolstate.Replied{Task: s.Task, Attempt: s.Attempt, Reply: reply, Losses: p.lossesOf(ref)})
	p.markReplied(id, c)
}

// callStart sends a start and waits for its reply, unless this member's view of the others is stale or it has learned that the
// task must not be started again.
func (p *Pools) callStart(id model.PoolID, c *call, s poolstate.Start) (reply port.TaskReply, took time.Duration) {
	if !p.liveness.Fresh() || p.liveness.Pauses() != c.pauses {
		// This process was paused, or has not yet reached another member. Others may own the pool by now, and the caller may
		// have sent the job to another member.
		return port.TaskReply{State: port.TaskNoRoom, Detail: "this member's view of the others is stale"}, 0
	}
	if p.startsEnded(id) {
		return port.TaskReply{State: port.TaskNoRoom, Detail: "the data centre is evacuated"}, 0
	}
	if crashes.Judge(p.lossesOf(refOf(s.Key, s.Task))) == crashes.Exhausted {
		return port.TaskReply{State: port.TaskNotRun, Detail: "endpoints have crashed under too many runs of the task"}, 0
	}
	p.instruments.starts.Inc(1)
	startedAt := time.Now()
	reply = p.tasks.Start(c.ctx, s.Address, port.TaskStart{
		ID: s.Task, Endpoint: s.Endpoint, DataCentre: id.DataCentre, Attempt: s.Attempt, Deadline: time.Until(s.Deadline).Milliseconds(),
		Payload: s.Payload, Key: s.Key, Index: s.Task.Index(),
	})
	return reply, time.Since(startedAt)
}

// revokeTask revokes an attempt at its endpoint and applies the reply to the pool.
func (p *Pools) revokeTask(id model.PoolID, r poolstate.Revoke) {
	if !wait.For(p.baseCtx, r.After) {
		return
	}
	sentAt := time.Now()
	reply := p.callRevoke(id, r)
	p.logTaskRevoked(id, r, reply, time.Since(sentAt))
	p.step(id, poolstate.RevokeReplied{Task: r.Task, Attempt: r.Attempt, Reply: reply})
}

// callRevoke withdraws a start that has not been sent, or sends the revoke. A revoke that finds no run is repeated while
// the reply to the start has not been applied: the call may register the run later, or the run may just have ended.
func (p *Pools) callRevoke(id model.PoolID, r poolstate.Revoke) port.RevokeReply {
	revoked := attempt{r.Task, r.Attempt}
	if p.withdraw(id, revoked) {
		return port.RevokeReply{State: port.TaskRevoked}
	}
	for {
		reply := p.tasks.Revoke(p.baseCtx, r.Address, port.TaskRevoke{
			ID: r.Task, Endpoint: r.Endpoint, Attempt: r.Attempt, Stop: r.Stop, ReplacedBy: r.ReplacedBy,
			Key: r.Key, Index: r.Task.Index(),
		})
		if reply.State != port.TaskLost || !p.awaitsReply(id, revoked) {
			return reply
		}
		if !wait.For(p.baseCtx, registerPause) {
			return port.RevokeReply{State: port.TaskUnknown}
		}
	}
}
