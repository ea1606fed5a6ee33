package endpoints

import (
	"context"

	"redwingpulley/kernel/event"
	"redwingpulley/kernel/model"
	"redwingpulley/plugins/endpoints/poolstate"
)

// taskRef identifies a task across all submissions of its job: by the key that the caller chose, or by the job's id
// when there is none.
type taskRef struct {
	job   string
	index int
}

func refOf(key string, task model.TaskID) taskRef {
	if key == "" {
		key = string(task.Job())
	}
	return taskRef{key, task.Index()}
}

// turn is the right to start a task. One attempt at a time has it, among all attempts in the pools of this member: from
// before its start is sent until its pool has released it, when the end of its run is known.
type turn struct {
	pool    model.PoolID
	attempt attempt
	ended   chan struct{} // Closed when the turn is given back.
}

// takeTurn waits until no other attempt at the start's task has the turn, and takes it. It reports false when the
// context ends first.
func (p *Pools) takeTurn(ctx context.Context, id model.PoolID, s poolstate.Start) bool {
	waits := false
	for {
		earlier, taken := p.tryTurn(id, s)
		if taken {
			return true
		}
		if !waits {
			waits = true
			event.StartWaits.Log(p.log, event.Text(event.Job, s.Task.Job()), event.Text(event.JobKey, s.Key),
				event.Int(event.Task, s.Task.Index()), event.Int(event.Attempt, s.Attempt), event.Text(event.Pool, id.String()),
				event.Text(event.Endpoint, s.Endpoint), event.Text(event.Earlier, earlier.attempt.task))
		}
		select {
		case <-earlier.ended:
		case <-ctx.Done():
			return false
		}
	}
}

// tryTurn takes the turn of the start's task unless an earlier attempt has it.
func (p *Pools) tryTurn(id model.PoolID, s poolstate.Start) (earlier turn, taken bool) {
	ref := refOf(s.Key, s.Task)
	p.turns.Do(ref, func(turns map[taskRef]turn) {
		if earlier, taken = turns[ref]; taken {
			taken = false
			return
		}
		turns[ref], taken = turn{id, attempt{s.Task, s.Attempt}, make(chan struct{})}, true
	})
	return earlier, taken
}

// endTurn gives the turn back if the attempt has it.
func (p *Pools) endTurn(id model.PoolID, ref taskRef, a attempt) {
	p.turns.Do(ref, func(turns map[taskRef]turn) {
		if t, ok := turns[ref]; ok && t.pool == id && t.attempt == a {
			close(t.ended)
			delete(turns, ref)
		}
	})
}

// call is an attempt whose task occupies its endpoint. Its fields are guarded by the lock of the pool's shard.
type call struct {
	ctx       context.Context // Ends at the batch's deadline, or when the attempt is withdrawn or released.
	cancel    context.CancelFunc
	withdrawn bool // The start must not be sent any more.
	sent      bool // The start was given to port.Tasks.
	replied   bool // The reply of port.Tasks has been applied to the pool.
}

// updateCalls adds the attempts that a step starts, and removes and ends the calls of those that it has released. It is called under the lock of
// the pool's shard, so that no revoke of an attempt is handled before it is known.
func (p *Pools) updateCalls(o *pool, fx *poolstate.Effects) {
	for _, r := range fx.Released {
		a := attempt{r.Task, r.Attempt}
		if c := o.inFlight[a]; c != nil {
			c.withdrawn = true
			c.cancel()
			delete(o.inFlight, a)
		}
	}
	for _, s := range fx.Starts {
		c := &call{}
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
		c.sent = !c.withdrawn && c.ctx.Err() == nil
		sent = c.sent
	})
	return sent
}

// withdraw keeps the start of an attempt from being sent. It reports false when the start may have been sent.
func (p *Pools) withdraw(id model.PoolID, a attempt) (withdrawn bool) {
	p.withPool(id, func(o *pool) {
		c := o.inFlight[a]
		if c == nil || c.sent {
			return
		}
		c.withdrawn, withdrawn = true, true
		c.cancel()
	})
	return withdrawn
}

// awaitsReply reports whether an attempt's start was sent and its reply has not been applied to the pool. Port.Tasks may not
// know the run yet, or no more.
func (p *Pools) awaitsReply(id model.PoolID, a attempt) (awaits bool) {
	p.withPool(id, func(o *pool) {
		c := o.inFlight[a]
		awaits = c != nil && c.sent && !c.replied
	})
	return awaits
}
