package poolstate

import (
	"slices"
	"time"

	"redwingpulley/kernel/model"
)

const (
	// defaultSizeWeight sets how far a batch is moved behind newer ones: by this many times the time that
	// the whole pool would need for the batch's remaining work.
	defaultSizeWeight = 8
	// urgentDivisor sets how long before its latest possible start a batch becomes urgent and goes before
	// all others: the time from its arrival to its deadline, divided by this.
	urgentDivisor = 5
	// maxTeams is the number of known teams at which those without batches are evicted.
	maxTeams = 256
)

// queue holds the tasks that wait for a slot.
//
// Teams share the slots by work, as in start-time fair queueing: each task charges its estimated run
// time to its team, the charge is corrected once the task has ended, and a team that is ahead of its
// share waits for the others. Among the batches of the teams that are not ahead, the first is the one
// with the lowest key, which is its arrival time plus a time for its remaining work: small jobs pass
// large ones, and none waits for ever. A batch that has to start now to end in time goes before all
// others, since it was admitted because its team's share was enough.
type queue struct {
	teams        map[model.TeamID]*team
	teamsInOrder []*team            // The same teams in the order of their first batches.
	eligible     indexedHeap[*team] // Teams that are not ahead of their share, by their first batch.
	ahead        indexedHeap[*team] // Teams that are ahead of their share, by their charge.
	virtualTime  time.Duration      // Charge of a team that has had exactly its share.
	sizeWeight   int                // Weight of a batch's remaining work in its key.
	slots        int
	count        int
	work         time.Duration // Estimated run time of the queued tasks.
}

// team is the state of one team in the queue.
type team struct {
	id          model.TeamID
	charged     time.Duration       // Slot time charged to the team, raised to the virtual time when it is behind.
	work        time.Duration       // Estimated run time of the team's queued tasks.
	batches     indexedHeap[*batch] // Batches with queued tasks.
	openBatches int                 // Number of batches that have not ended.
	demand      demand
	blame       blame
	index       int
	queued      bool // The team is in one of the queue's heaps.
	isAhead     bool // That heap is the one of teams that are ahead of their share.
}

func newQueue() queue {
	indexOf := func(t *team) *int { return &t.index }
	return queue{
		teams:      make(map[model.TeamID]*team),
		eligible:   indexedHeap[*team]{less: byFirstBatch, indexOf: indexOf},
		ahead:      indexedHeap[*team]{less: func(a, b *team) bool { return a.charged < b.charged }, indexOf: indexOf},
		sizeWeight: defaultSizeWeight,
		slots:      1,
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
func (q *queue) resize(slots int) { q.slots = max(slots, 1) }

// teamOf returns the state of a team, which it adds if there is none.
func (q *queue) teamOf(id model.TeamID) *team {
	t, ok := q.teams[id]
	if !ok {
		q.evictIdleTeams()
		t = &team{id: id, charged: q.virtualTime, index: notInHeap, batches: indexedHeap[*batch]{
			less: byKey, indexOf: func(b *batch) *int { return &b.index },
		}}
		q.teams[id] = t
		q.teamsInOrder = append(q.teamsInOrder, t)
	}
	return t
}

// evictIdleTeams removes teams without batches to bound the memory. A team that returns later starts
// with a charge of exactly its share.
func (q *queue) evictIdleTeams() {
	if len(q.teams) < maxTeams {
		return
	}
	q.teamsInOrder = slices.DeleteFunc(q.teamsInOrder, func(t *team) bool {
		if t.openBatches == 0 {
			delete(q.teams, t.id)
		}
		return t.openBatches == 0
	})
}

// push adds a task to its batch's queued ones, as the next of the batch to start.
func (q *queue) push(t *task) {
	t.batch.queued = append(t.batch.queued, t)
	q.count++
	q.addWork(t.batch, t.run.Mean)
	q.update(t.batch)
}

// pushAll adds all tasks of a batch that is not in the queue; the last of them is the first to start.
func (q *queue) pushAll(b *batch, tasks []*task) {
	var work time.Duration
	for _, t := range tasks {
		work += t.run.Mean
	}
	b.queued = tasks
	q.count += len(tasks)
	q.addWork(b, work)
	q.update(b)
}

// addWork adds queued work to the totals of the batch, its team and the queue.
func (q *queue) addWork(b *batch, work time.Duration) {
	b.queuedWork += work
	b.team.work += work
	q.work += work
}

// update moves the batch and its team to their places in the heaps after a change of the batch's queued
// tasks or urgency.
func (q *queue) update(b *batch) {
	b.key = q.keyOf(b)
	hasQueued := len(b.queued) > 0
	switch {
	case hasQueued && b.team.batches.has(b):
		b.team.batches.fix(b)
	case hasQueued:
		b.team.batches.add(b)
	case b.team.batches.has(b):
		b.team.batches.remove(b)
	}
	q.reposition(b.team)
}

// keyOf returns the sort key of a batch among its team's batches.
func (q *queue) keyOf(b *batch) time.Time {
	if b.urgent {
		return time.Time{}
	}
	return b.arrived.Add(q.displacement(b.queuedWork))
}

// displacement returns how far a batch with the given work is moved behind newer ones.
func (q *queue) displacement(work time.Duration) time.Duration {
	return time.Duration(q.sizeWeight) * work / time.Duration(q.slots)
}

// first returns the task that is to start next. The queue must not be empty.
func (q *queue) first() *task {
	b := q.eligible.first().batches.first()
	return b.queued[len(b.queued)-1]
}

// pop removes the task that first returned and charges its team.
func (q *queue) pop() {
	selected := q.eligible.first()
	b := selected.batches.first()
	last := len(b.queued) - 1
	t := b.queued[last]
	b.started = true
	b.queued[last] = nil
	b.queued = b.queued[:last]
	q.subtractQueued(b, t.run.Mean, 1)
	q.charge(selected, t.run.Mean)
	q.update(b)
}

// remove takes all tasks of the batch out of the queue. They stay listed in the batch, so that restore
// can put them back.
func (q *queue) remove(b *batch) {
	if !b.team.batches.has(b) {
		return
	}
	q.subtractQueued(b, b.queuedWork, len(b.queued))
	b.team.batches.remove(b)
	q.reposition(b.team)
}

// restore puts a batch that was removed back into the queue.
func (q *queue) restore(b *batch) { q.pushAll(b, b.queued) }

// subtractQueued subtracts tasks that leave the queue from the totals.
func (q *queue) subtractQueued(b *batch, work time.Duration, tasks int) {
	q.addWork(b, -work)
	q.count -= tasks
}

// charge adds slot time to the team's charge and advances the virtual time by each waiting team's share
// of it.
func (q *queue) charge(t *team, run time.Duration) {
	waiting := q.eligible.Len() + q.ahead.Len()
	q.virtualTime += run / time.Duration(max(waiting, 1))
	t.charged += run
	if t.queued && t.isAhead {
		q.ahead.fix(t)
	}
}

// reposition moves the team to its place in the right heap after a change of its batches or charge.
func (q *queue) reposition(t *team) {
	t.charged = max(t.charged, q.virtualTime)
	isAhead := t.charged > q.virtualTime && !t.urgent()
	stays := t.queued && isAhead == t.isAhead && !t.batches.empty()
	switch {
	case stays && isAhead:
		q.ahead.fix(t)
	case stays:
		q.eligible.fix(t)
	default:
		q.removeTeam(t)
		q.insertTeam(t, isAhead)
	}
	q.promoteEligible()
}

// removeTeam takes a team out of its heap, if it is in one.
func (q *queue) removeTeam(t *team) {
	if !t.queued {
		return
	}
	if t.isAhead {
		q.ahead.remove(t)
	} else {
		q.eligible.remove(t)
	}
	t.queued = false
}

// insertTeam adds a team with queued batches to a heap.
func (q *queue) insertTeam(t *team, isAhead bool) {
	if t.batches.empty() {
		return
	}
	t.queued, t.isAhead = true, isAhead
	if isAhead {
		q.ahead.add(t)
	} else {
		q.eligible.add(t)
	}
}

// urgent reports whether the team's first batch has to go before all others.
func (t *team) urgent() bool { return !t.batches.empty() && t.batches.first().urgent }

// promoteEligible makes those teams eligible whose charge the virtual time has reached. If no team is
// eligible, it advances the virtual time, so that fairness never leaves slots idle.
func (q *queue) promoteEligible() {
	if q.eligible.empty() && !q.ahead.empty() {
		q.virtualTime = max(q.virtualTime, q.ahead.first().charged)
	}
	for !q.ahead.empty() && q.ahead.first().charged <= q.virtualTime {
		t := q.ahead.first()
		q.ahead.remove(t)
		t.isAhead = false
		q.eligible.add(t)
	}
}
