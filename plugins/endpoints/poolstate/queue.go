package poolstate

import (
	"time"

	"redwingpulley/kernel/model"
)

const (
	// fairnessWindow is how long, with the whole pool to itself, a team may run ahead of its fair
	// share while others wait. It lets a job's tasks start together.
	fairnessWindow = 500 * time.Millisecond
	// sizeWeight is by how much a batch is put behind newer ones for each unit of its remaining
	// work, as a time that the whole pool would need for it.
	sizeWeight = 4
	// maxIdleTeams bounds the teams that are remembered while they have no batch.
	maxIdleTeams = 256
)

// queue holds the tasks that wait for a slot.
//
// Teams share the slots by work: each task charges its estimated run time to its team, and the
// charge is corrected once the task has ended. A team that is ahead of its share by more than the
// fairness window waits for the others. Among the teams that are not, the batch goes first that
// has the earliest arrival after its remaining work was added, so that small jobs pass large ones
// and none waits for ever.
type queue struct {
	teams    map[model.TeamID]*team
	eligible priority[*team] // Teams within the window, by their first batch.
	ahead    priority[*team] // Teams beyond it, by their charge.
	virtual  time.Duration   // The charge of a team that has had exactly its share.
	window   time.Duration   // In slot time.
	slots    int
	count    int
	work     time.Duration // Estimated run time of the waiting tasks.
}

// team is one team's part of the queue.
type team struct {
	id      model.TeamID
	charged time.Duration
	work    time.Duration
	batches priority[*batch] // Batches with waiting tasks.
	open    int              // Batches that have not ended.
	index   int
	waits   bool // In one of the queue's heaps.
	isAhead bool // In the heap of teams beyond the window.
}

func newQueue() queue {
	place := func(t *team) *int { return &t.index }
	return queue{
		teams:    make(map[model.TeamID]*team),
		eligible: priority[*team]{less: byFirstBatch, place: place},
		ahead:    priority[*team]{less: func(a, b *team) bool { return a.charged < b.charged }, place: place},
		slots:    1,
	}
}

func byFirstBatch(a, b *team) bool { return byKey(a.batches.first(), b.batches.first()) }

func byKey(a, b *batch) bool {
	if a.key.Equal(b.key) {
		return a.order < b.order
	}
	return a.key.Before(b.key)
}

// resize sets the number of slots among which the teams share.
func (q *queue) resize(slots int) {
	q.slots = max(slots, 1)
	q.window = fairnessWindow * time.Duration(q.slots)
}

func (q *queue) teamOf(id model.TeamID) *team {
	t, ok := q.teams[id]
	if !ok {
		q.forgetIdleTeams()
		t = &team{id: id, charged: q.virtual, index: absent, batches: priority[*batch]{
			less: byKey, place: func(b *batch) *int { return &b.index },
		}}
		q.teams[id] = t
	}
	return t
}

// forgetIdleTeams bounds the memory; a forgotten team starts again at its exact share.
func (q *queue) forgetIdleTeams() {
	if len(q.teams) < maxIdleTeams {
		return
	}
	for id, t := range q.teams {
		if t.open == 0 {
			delete(q.teams, id)
		}
	}
}

// push adds a task to its batch's waiting ones; it is the next of the batch to start.
func (q *queue) push(t *task) {
	b := t.batch
	b.waiting = append(b.waiting, t)
	b.waitingWork += t.run.mean
	q.count++
	q.work += t.run.mean
	owner := b.team
	owner.work += t.run.mean
	b.key = q.keyOf(b)
	if owner.batches.has(b) {
		owner.batches.fix(b)
	} else {
		owner.batches.add(b)
	}
	q.settle(owner)
}

func (q *queue) keyOf(b *batch) time.Time {
	return b.arrived.Add(sizeWeight * b.waitingWork / time.Duration(q.slots))
}

// first returns the task that starts next. The queue must not be empty.
func (q *queue) first() *task {
	b := q.eligible.first().batches.first()
	return b.waiting[len(b.waiting)-1]
}

// take removes the task that first returned and charges its team.
func (q *queue) take() {
	owner := q.eligible.first()
	b := owner.batches.first()
	last := len(b.waiting) - 1
	t := b.waiting[last]
	b.waiting[last] = nil
	b.waiting = b.waiting[:last]
	q.forget(b, t.run.mean, 1)
	q.charge(owner, t.run.mean)
	b.key = q.keyOf(b)
	if last == 0 {
		owner.batches.remove(b)
	} else {
		owner.batches.fix(b)
	}
	q.settle(owner)
}

// remove takes all waiting tasks of the batch out of the queue. They stay listed in the batch, so
// that restore can put them back.
func (q *queue) remove(b *batch) {
	if !b.team.batches.has(b) {
		return
	}
	q.forget(b, b.waitingWork, len(b.waiting))
	b.team.batches.remove(b)
	q.settle(b.team)
}

// restore puts a batch back that was removed.
func (q *queue) restore(b *batch) {
	waiting := b.waiting
	b.waiting = b.waiting[:0]
	for _, t := range waiting {
		q.push(t)
	}
}

func (q *queue) forget(b *batch, work time.Duration, tasks int) {
	b.waitingWork -= work
	b.team.work -= work
	q.work -= work
	q.count -= tasks
}

// charge adds slot time to what the team has had, and to everybody's fair share.
func (q *queue) charge(t *team, run time.Duration) {
	waiting := q.eligible.Len() + q.ahead.Len()
	q.virtual += run / time.Duration(max(waiting, 1))
	t.charged += run
	if t.waits && t.isAhead {
		q.ahead.fix(t)
	}
}

// settle puts the team into the heap where it belongs after a change of its batches or charge.
func (q *queue) settle(t *team) {
	q.leave(t)
	if !t.batches.empty() {
		q.enter(t)
	}
	q.advance()
}

func (q *queue) leave(t *team) {
	if !t.waits {
		return
	}
	if t.isAhead {
		q.ahead.remove(t)
	} else {
		q.eligible.remove(t)
	}
	t.waits = false
}

func (q *queue) enter(t *team) {
	t.charged = max(t.charged, q.virtual)
	t.isAhead = t.charged > q.virtual+q.window
	t.waits = true
	if t.isAhead {
		q.ahead.add(t)
	} else {
		q.eligible.add(t)
	}
}

// advance makes teams eligible whose share has caught up with them, and never leaves slots idle
// for the sake of fairness.
func (q *queue) advance() {
	if q.eligible.empty() && !q.ahead.empty() {
		q.virtual = max(q.virtual, q.ahead.first().charged-q.window)
	}
	for !q.ahead.empty() && q.ahead.first().charged <= q.virtual+q.window {
		t := q.ahead.first()
		q.ahead.remove(t)
		t.isAhead = false
		q.eligible.add(t)
	}
}

// workAhead estimates the slot time that the pool gives to queued tasks before the last of new
// tasks of the team would start, when each team gets its fair share.
func (q *queue) workAhead(id model.TeamID, work time.Duration) time.Duration {
	own := work
	if t, ok := q.teams[id]; ok {
		own += t.work
	}
	ahead := own - work
	for _, heap := range [...]*priority[*team]{&q.eligible, &q.ahead} {
		for _, t := range heap.items {
			if t.id != id {
				ahead += min(t.work, own)
			}
		}
	}
	return ahead
}
