package endpoints

import (
	"context"
	"time"

	"redwingpulley/kernel/event"
	"redwingpulley/kernel/model"
	"redwingpulley/plugins/endpoints/keptturns"
	"redwingpulley/plugins/endpoints/poolstate"
)

// A turn binds one member, but a caller may send its job again to any. Mostly the runs of the first submission have ended by then. Where
// an endpoint answers neither the start nor the stop of a run, it may carry out the start seconds later. So a member whose attempt keeps its
// turn although its batch has ended tells all others, and tells them again when the turn is given back. Until then none of them
// starts the task.

const (
	// keptAfter is how long after its batch's end an attempt may keep its turn before the others are told: so long that stops that are
	// answered and most leases have ended, and so short that the others know before a caller sends its job again.
	keptAfter = 800 * time.Millisecond
	// keptValidity is how long the others heed what they were told without hearing of it again. An order of a member that has died
	// since may arrive 12 s late, and its run lasts for another lease.
	keptValidity = 20 * time.Second
	// keptRenewal is the time after which the others are told again. What they know stays valid for all orders that were sent
	// meanwhile.
	keptRenewal = 5 * time.Second
	// maxKeptPerShard bounds the tasks whose turns other members keep that one shard of the table holds.
	maxKeptPerShard = 256
)

// keptTask is an entry of the table: what is known of the turns of one task that other members keep.
type keptTask struct {
	turns    keptturns.Task
	returned chan struct{} // Closed when a turn is given back, and replaced then.
}

// wireTurn tells that a member keeps the turn of a task, or has given it back.
type wireTurn struct {
	Job         string            `json:"job"` // Key that the caller chose.
	Index       int               `json:"index"`
	Member      model.NodeID      `json:"member"`
	Incarnation model.Incarnation `json:"incarnation"`
	Number      uint64            `json:"number"` // Rises with each update of this incarnation of the member.
	Kept        bool              `json:"kept"`
	ValidMS     int64             `json:"valid_ms"`          // How long this is valid.
	Witness     bool              `json:"witness,omitempty"` // The receiver is a witness: see witnesses.go.
}

// valid reports whether a correct member could have sent the update.
func (t wireTurn) valid() bool {
	return t.Job != "" && len(t.Job) <= maxLossTextLength && t.Index >= 0 && t.Index < model.MaxTasksPerJob &&
		t.Member != "" && len(t.Member) <= model.MaxName && len(t.Incarnation) <= model.MaxName &&
		t.ValidMS > 0 && t.ValidMS <= keptValidity.Milliseconds()
}

func encodeTurn(ref taskRef, u keptturns.Update) wireTurn {
	return wireTurn{
		Job: ref.job, Index: ref.index, Member: u.Keeper.Node, Incarnation: u.Keeper.Incarnation,
		Number: u.Number, Kept: u.Kept, ValidMS: max(u.Valid.Milliseconds(), 1),
	}
}

func (t wireTurn) decode() keptturns.Update {
	return keptturns.Update{
		Keeper: keptturns.Keeper{Node: t.Member, Incarnation: t.Incarnation},
		Number: t.Number, Kept: t.Kept, Valid: time.Duration(t.ValidMS) * time.Millisecond,
	}
}

// abandoned is an attempt that occupies its endpoint although its batch has ended.
type abandoned struct {
	ref     taskRef
	attempt attempt
}

// abandonedBy returns the attempts in flight of tasks whose batches have ended without their answers, and that callers may submit again
// under a key. It is called under the lock of the pool's shard.
func (o *pool) abandonedBy(ended []model.BatchResult) (all []abandoned) {
	for _, result := range ended {
		for _, r := range result.Results {
			if r.Done || r.Run == model.NotRun {
				continue
			}
			task := result.ID.Job.TaskID(r.Index)
			for a, c := range o.inFlight {
				if a.task == task && c.key != "" {
					all = append(all, abandoned{refOf(c.key, a.task), a})
				}
			}
		}
	}
	return all
}

// watchAbandoned tells the other members of the attempts that still have their turns after keptAfter.
func (p *Pools) watchAbandoned(id model.PoolID, all []abandoned) {
	if len(all) == 0 {
		return
	}
	time.AfterFunc(keptAfter, func() {
		for _, a := range all {
			p.tellIfKept(id, a)
		}
	})
}

// tellIfKept tells the other members that an abandoned attempt has its turn, as long as it has it.
func (p *Pools) tellIfKept(id model.PoolID, a abandoned) {
	var update wireTurn
	kept, first := false, false
	p.turns.Do(a.ref, func(turns map[taskRef]turn) {
		t, held := turns[a.ref]
		if kept = held && t.pool == id && t.attempt == a.attempt; !kept {
			return
		}
		first, t.told = !t.told, true
		turns[a.ref] = t
		update = p.turnUpdate(a.ref, true)
	})
	if !kept || p.baseCtx.Err() != nil {
		return
	}
	if first {
		p.instruments.keptTurns.Inc(1)
		event.TurnKept.Log(p.log, event.Text(event.JobKey, a.ref.job), event.Int(event.Task, a.ref.index),
			event.Int(event.Attempt, a.attempt.number), event.Text(event.Pool, id.String()))
	}
	p.enqueueUpdates(taskUpdates{Turns: []wireTurn{update}})
	time.AfterFunc(keptRenewal, func() { p.tellIfKept(id, a) })
}

// tellReturned tells the other members that a turn of which they were told is given back.
func (p *Pools) tellReturned(update wireTurn) {
	event.TurnReturned.Log(p.log, event.Text(event.JobKey, update.Job), event.Int(event.Task, update.Index))
	p.enqueueUpdates(taskUpdates{Turns: []wireTurn{update}})
}

// turnUpdate returns the next update on a turn of this member. It is called under the lock of the turn's shard, so that the numbers are
// in the order of what they tell.
func (p *Pools) turnUpdate(ref taskRef, kept bool) wireTurn {
	self := p.membership.Self()
	keeper := keptturns.Keeper{Node: self.ID, Incarnation: self.Incarnation}
	return encodeTurn(ref, keptturns.Update{Keeper: keeper, Number: p.turnUpdates.Add(1), Kept: kept, Valid: keptValidity})
}

// applyTurn records what another member has told of a turn.
func (p *Pools) applyTurn(t wireTurn) {
	if self := p.membership.Self(); t.Member == self.ID && t.Incarnation == self.Incarnation {
		return
	}
	now, ref := time.Now(), taskRef{t.Job, t.Index}
	p.keptElsewhere.Do(ref, func(tasks map[taskRef]*keptTask) {
		task, known := tasks[ref]
		if !known {
			evict(tasks, maxKeptPerShard, now, func(t *keptTask) time.Time { return t.turns.Expires() })
			task = &keptTask{returned: make(chan struct{})}
			tasks[ref] = task
		}
		if task.turns.Apply(now, t.decode()) {
			close(task.returned)
			task.returned = make(chan struct{})
		}
	})
}

// keptBy returns a member that keeps the turn of a task, until when without a further word, and a channel that is closed when a turn of the
// task is given back; kept is false when there is none.
func (p *Pools) keptBy(ref taskRef) (keeper model.NodeID, until time.Time, returned <-chan struct{}, kept bool) {
	now := time.Now()
	p.keptElsewhere.Do(ref, func(tasks map[taskRef]*keptTask) {
		if task, known := tasks[ref]; known {
			var k keptturns.Keeper
			k, until, kept = task.turns.KeptBy(now)
			keeper, returned = k.Node, task.returned
		}
	})
	return keeper, until, returned, kept
}

// awaitOthers waits until no other member keeps a turn of the start's task. It reports false when the context ends first.
func (p *Pools) awaitOthers(ctx context.Context, id model.PoolID, s poolstate.Start) bool {
	logged := false
	for {
		keeper, until, returned, kept := p.keptBy(refOf(s.Key, s.Task))
		if !kept {
			return true
		}
		if !logged {
			logged = true
			p.logStartWaits(id, s, event.Text(event.Member, keeper))
		}
		expired := time.NewTimer(time.Until(until))
		select {
		case <-returned:
		case <-expired.C:
		case <-ctx.Done():
		}
		expired.Stop()
		if ctx.Err() != nil {
			return false
		}
	}
}

// knownTurns returns what is valid of the turns that this member keeps and of those that others have told it of.
func (p *Pools) knownTurns() (all []wireTurn) {
	p.turns.Each(func(turns map[taskRef]turn) {
		for ref, t := range turns {
			if t.told {
				all = append(all, p.turnUpdate(ref, true))
			}
		}
	})
	now := time.Now()
	p.keptElsewhere.Each(func(tasks map[taskRef]*keptTask) {
		for ref, task := range tasks {
			for _, u := range task.turns.Updates(now) {
				all = append(all, encodeTurn(ref, u))
			}
		}
	})
	return all
}
