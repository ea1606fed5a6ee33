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
