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

// refOf returns the reference of a task in a job with the given key; "" stands for none.
func refOf(key string, task model.TaskID) taskRef {
	if key == "" {
		key = string(task.Job())
	}
	return taskRef{key, task.Index()}
}

// refIn returns the reference of a batch's task with the given index in its job.
func refIn(batch *model.Batch, index int) taskRef {
	if batch.Key == "" {
		return taskRef{string(batch.ID.Job), index}
	}
	return taskRef{batch.Key, index}
}

// turn is the right to start a task. Among all attempts in the pools of this member one at a time has it: from before its
// start is sent until its pool has released the attempt, when the end of its run is known.
type turn struct {
	pool    model.PoolID
	attempt attempt       // The attempt that has the turn.
	ended   chan struct{} // Closed when the turn is given back.
	told    bool          // The other members were told that the attempt keeps the turn; see keptturns.go.

	witnesses []model.NodeID // Members that were told that the attempt's start is not answered yet; see witnesses.go.
}

// takeTurn waits until no other attempt at the start's task has the turn, here or at a member that has told this one, and takes it. It
// reports false when the context ends first.
func (p *Pools) takeTurn(ctx context.Context, id model.PoolID, s poolstate.Start) bool {
	logged := false
	for p.awaitOthers(ctx, id, s) {
		earlier, taken := p.tryTurn(id, s)
		if taken {
			return true
		}
		if !logged {
			logged = true
			p.logStartWaits(id, s, event.Text(event.Earlier, earlier.attempt.task))
		}
		select {
		case <-earlier.ended:
		case <-ctx.Done():
			return false
		}
	}
	return false
}

// tryTurn takes the turn of the start's task, unless an earlier attempt has it.
func (p *Pools) tryTurn(id model.PoolID, s poolstate.Start) (earlier turn, taken bool) {
	ref := refOf(s.Key, s.Task)
	p.turns.Do(ref, func(turns map[taskRef]turn) {
		if t, held := turns[ref]; held {
			earlier = t
			return
		}
		turns[ref] = turn{pool: id, attempt: attempt{s.Task, s.Attempt}, ended: make(chan struct{})}
		taken = true
	})
	return earlier, taken
}

// endTurn gives back the turn of a task in a job with the given key, if the attempt has it.
func (p *Pools) endTurn(id model.PoolID, key string, a attempt) {
	ref := refOf(key, a.task)
	var t turn
	var update wireTurn
	p.turns.Do(ref, func(turns map[taskRef]turn) {
		if held, ok := turns[ref]; ok && held.pool == id && held.attempt == a {
			t = held
			close(t.ended)
			delete(turns, ref)
			if t.told || len(t.witnesses) > 0 {
				update = p.turnUpdate(ref, false)
			}
		}
	})
	if t.told {
		p.tellReturned(update)
	}
	p.sendToWitnesses(t.witnesses, update)
}
