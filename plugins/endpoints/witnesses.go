package endpoints

import (
	"sync"
	"time"

	"redwingpulley/kernel/event"
	"redwingpulley/kernel/model"
	"redwingpulley/kernel/port"
	"redwingpulley/plugins/endpoints/keptturns"
)

// A member may die, or stand still, while an endpoint has not answered a start of its. Then nobody could tell the others that the start may
// still be carried out. So a member tells two others, its witnesses, of a start that is not answered at once, and again until it is
// answered or settled. A witness that hears nothing more tells all. A budget bounds the starts of which witnesses are told.

const (
	witnessCount = 2
	// witnessPause is the time in which updates to a witness are collected for one message: as short as it is since the member may die.
	witnessPause         = 3 * time.Millisecond
	maxWitnessedPerShard = 256 // Bounds the turns that one shard of the table holds.
)

// witnessKey identifies a turn of which this member is a witness.
type witnessKey struct {
	ref    taskRef
	keeper keptturns.Keeper
}

// witnessedTurn is a turn of which this member is a witness.
type witnessedTurn struct {
	witness keptturns.Witness
	timer   *time.Timer
}

// witnessBudget is a keptturns.Budget that is safe for concurrent use.
type witnessBudget struct {
	mu     sync.Mutex
	budget keptturns.Budget
}

func (b *witnessBudget) take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.budget.Take(time.Now())
}

// StartSlow implements port.EndpointObserver.
func (p *Pools) StartSlow(run port.TaskRun) {
	if run.Key == "" || !p.witnessBudget.take() {
		return
	}
	ref, slow := taskRef{run.Key, run.Index}, false
	p.turns.Do(ref, func(turns map[taskRef]turn) {
		t, held := turns[ref]
		if slow = held && t.attempt.number == run.Attempt; slow {
			t.witnesses = p.witnesses()
			turns[ref] = t
		}
	})
	if slow {
		p.instruments.slowStarts.Inc(1)
		p.tellWitnesses(ref, run.Attempt)
	}
}

// StartAnswered implements port.EndpointObserver.
func (p *Pools) StartAnswered(run port.TaskRun) {
	ref := taskRef{run.Key, run.Index}
	var update wireTurn
	var witnesses []model.NodeID
	p.turns.Do(ref, func(turns map[taskRef]turn) {
		t, held := turns[ref]
		if !held || t.attempt.number != run.Attempt || len(t.witnesses) == 0 {
			return
		}
		witnesses, t.witnesses = t.witnesses, nil
		turns[ref] = t
		update = p.turnUpdate(ref, false)
	})
	p.sendToWitnesses(witnesses, update)
}

// witnesses returns the members that are told of slow starts of this member: always the same while they live, so that what is told at about
// the same time travels in one message.
func (p *Pools) witnesses() (ids []model.NodeID) {
	self := p.membership.Self().ID
	for _, o := range byHash(p.currentView().origins, []byte("witness|"+string(self)+"|")) {
		if o.Node != self && len(ids) < witnessCount {
			ids = append(ids, o.Node)
		}
	}
	return ids
}

// tellWitnesses tells the witnesses that an attempt at a task has its turn, and again, until its start is answered or the turn given back.
func (p *Pools) tellWitnesses(ref taskRef, number int) {
	var update wireTurn
	var witnesses []model.NodeID
	p.turns.Do(ref, func(turns map[taskRef]turn) {
		if t, held := turns[ref]; held && t.attempt.number == number && len(t.witnesses) > 0 {
			witnesses = t.witnesses
			update = p.turnUpdate(ref, true)
		}
	})
	if len(witnesses) == 0 || p.baseCtx.Err() != nil {
		return
	}
	p.sendToWitnesses(witnesses, update)
	time.AfterFunc(keptturns.RenewalInterval, func() { p.tellWitnesses(ref, number) })
}

func (p *Pools) sendToWitnesses(witnesses []model.NodeID, update wireTurn) {
	if len(witnesses) == 0 {
		return
	}
	update.Witness = true
	for _, id := range witnesses {
		p.witnessUpdates.Do(id, func(pending map[model.NodeID]taskUpdates) {
			if pending[id].isEmpty() {
				time.AfterFunc(witnessPause, func() { p.flushToWitness(id) })
			}
			pending[id] = pending[id].plus(taskUpdates{Turns: []wireTurn{update}})
		})
	}
}

// flushToWitness sends the updates that were collected for a witness.
func (p *Pools) flushToWitness(id model.NodeID) {
	var updates taskUpdates
	p.witnessUpdates.Do(id, func(pending map[model.NodeID]taskUpdates) {
		updates = pending[id]
		delete(pending, id)
	})
	for _, part := range updates.parts() {
		go p.sendUpdates(updateTarget{member: id}, part)
	}
}

// applyAsWitness records what a member has told this one as its witness, and tells all if they need to know.
func (p *Pools) applyAsWitness(t wireTurn) {
	u := t.decode()
	key := witnessKey{taskRef{t.Job, t.Index}, u.Keeper}
	now, tell := time.Now(), false
	p.witnessed.Do(key, func(turns map[witnessKey]*witnessedTurn) {
		known := turns[key]
		if known == nil {
			if len(turns) >= maxWitnessedPerShard {
				return // The keeper tells it again, and it has another witness.
			}
			known = &witnessedTurn{}
			turns[key] = known
		}
		tell = known.witness.Apply(now, u)
		after := known.witness.NextTimer().Sub(now)
		if known.timer == nil {
			known.timer = time.AfterFunc(after, func() { p.checkWitnessed(key) })
		} else {
			known.timer.Reset(after)
		}
	})
	if tell {
		p.tellAsWitness(key, u)
	}
}

// checkWitnessed tells all that a turn is kept whose keeper is silent, or forgets the turn.
func (p *Pools) checkWitnessed(key witnessKey) {
	var u keptturns.Update
	now, tell := time.Now(), false
	p.witnessed.Do(key, func(turns map[witnessKey]*witnessedTurn) {
		known := turns[key]
		if known == nil {
			return
		}
		var forget bool
		tell, forget = known.witness.Elapsed(now)
		u = known.witness.Newest()
		if forget {
			delete(turns, key)
			return
		}
		known.timer.Reset(known.witness.NextTimer().Sub(now))
	})
	if !tell || p.baseCtx.Err() != nil {
		return
	}
	event.TurnKept.Log(p.log, event.Text(event.JobKey, key.ref.job), event.Int(event.Task, key.ref.index), event.Text(event.Member, key.keeper.Node))
	p.tellAsWitness(key, u)
}

// tellAsWitness tells all members, this one among them, of an update of a keeper.
func (p *Pools) tellAsWitness(key witnessKey, u keptturns.Update) {
	update := encodeTurn(key.ref, u)
	p.applyTurn(update)
	p.enqueueUpdates(taskUpdates{Turns: []wireTurn{update}})
}
