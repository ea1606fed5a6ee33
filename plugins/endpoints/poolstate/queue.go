package poolstate

import (
	"slices"
	"time"

	"redwingpulley/kernel/model"
	"redwingpulley/plugins/endpoints/urgency"
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

// queue holds the tasks that wait for a slot, in the order that package urgency gives.
//
// Teams share the slots by work, as in start-time fair queueing: each task charges its estimated run
// time to its team by the weight of the team's priority, the charge is corrected once the task has ended,
// and a team that is ahead of its share waits for the others. A team whose batches are all late gets
// only a small share while other teams wait. Among the batches of the teams that are not ahead, the first is the one
// with the lowest key, which is its arrival time plus a time for its remaining work: small jobs pass
// large ones, and none waits for ever. A batch that has to start now to end in time goes before all
// others, since it was admitted because its team's share was enough.
type queue struct {
	teams        map[model.TeamID]*team
	teamsInOrder []*team            // The same teams in the order of their first batches.
	eligible     indexedHeap[*team] // Teams that are not ahead of their share, by their first batch.
	ahead        indexedHeap[*team] // Teams that are ahead of their share, by their charge.
	late         indexedHeap[*team] // Teams whose batches are all late, by their charge.
	lateShare    urgency.LateShare
	totalWeight  int           // Sum of the weights of the teams in the heaps.
	virtualTime  time.Duration // Charge of a team that has had exactly its share.
	sizeWeight   int           // Weight of a batch's remaining work in its key.
	slots        int
	count        int
	work         time.Duration // Estimated run time of the queued tasks.
}

// team is the state of one team in the queue.
type team struct {
	id          model.TeamID
	charged     time.Duration       // Slot time charged to the team, raised to the virtual time when it is behind.
	weight      int                 // Weight of the priority of the team's newest batch.
	work        time.Duration       // Estimated run time of the team's queued tasks.
	lateWork    time.Duration       // The part of it that belongs to late batches.
	batches     indexedHeap[*batch] // Batches with queued tasks.
	openBatches int                 // Number of batches that have not ended.
	demand      demand
	failures    failureRecord
	index       int
	heap        *indexedHeap[*team] // The heap of the queue that the team is in; nil when it has no queued tasks.
}

func newQueue() queue {
	indexOf := func(t *team) *int { return &t.index }
	byCharge := func(a, b *team) bool { return a.charged < b.charged }
	return queue{
		teams:      make(map[model.TeamID]*team),
		eligible:   indexedHeap[*team]{less: byFirstBatch, indexOf: indexOf},
		ahead:      indexedHeap[*team]{less: byCharge, indexOf: indexOf},
		late:       indexedHeap[*team]{less: byCharge, indexOf: indexOf},
		sizeWeight: defaultSizeWeight,
		slots:      1,
	}
}

func byFirstBatch(a, b *team) bool { return byPlace(a.batches.first(), b.batches.first()) }

func byPlace(a, b *batch) bool { return a.place.Before(&b.place) }

// resize sets the number of slots among which the teams share.
func (q *queue) resize(slots int) { q.slots = max(slots, 1) }

// teamOf returns the state of a team, which it adds if there is none.
func (q *queue) teamOf(id model.TeamID) *team {
	t, ok := q.teams[id]
	if !ok {
		q.evictIdleTeams()
		t = &team{id: id, charged: q.virtualTime, weight: urgency.Weight(0), index: notInHeap, batches: indexedHeap[*batch]{
			less: byPlace, indexOf: func(b *batch) *int { return &b.index },
		}}
		q.teams[id] = t
		q.teamsInOrder = append(q.teamsInOrder, t)
	}
	return t
}

// setPriority sets the priority by which a team shares the slots.
func (q *queue) setPriority(t *team, priority int) {
	weight := urgency.Weight(priority)
	if t.heap != nil {
		q.totalWeight += weight - t.weight
	}
	t.weight = weight
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
	if b.place.Late {
		b.team.lateWork += work
	}
}

// markLate records that a batch can no longer meet its objective.
func (q *queue) markLate(b *batch) {
	b.place.Late, b.urgent = true, false
	b.team.lateWork += b.queuedWork
	q.update(b)
}

// update moves the batch and its team to their places in the heaps after a change of the batch's queued
// tasks or urgency.
func (q *queue) update(b *batch) {
	b.place.Key = q.keyOf(b)
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
func (q *queue) first() *task { return q.firstTeam().batches.first().nextQueued() }

// firstTeam returns the team whose task is to start next. The queue must not be empty.
func (q *queue) firstTeam() *team {
	if q.late.empty() {
		return q.eligible.first()
	}
	late := q.late.first()
	if q.eligible.empty() {
		return late
	}
	first := q.eligible.first()
	if !first.urgent() && q.lateShare.Due(late.batches.first().nextQueued().run.Mean) {
		return late
	}
	return first
}

// nextQueued returns the batch's queued task that is to start next.
func (b *batch) nextQueued() *task { return b.queued[len(b.queued)-1] }

// pop removes the task that first returned and charges its team.
func (q *queue) pop() {
	selected := q.firstTeam()
	b := selected.batches.first()
	last := len(b.queued) - 1
	t := b.queued[last]
	b.started = true
	b.queued[last] = nil
	b.queued = b.queued[:last]
	q.subtractQueued(b, t.run.Mean, 1)
	q.updateLateShare(selected, t.run.Mean)
	q.charge(selected, t.run.Mean)
	q.update(b)
}

// updateLateShare accounts for a task that starts from the selected team in the share of the late teams.
func (q *queue) updateLateShare(selected *team, run time.Duration) {
	switch {
	case q.late.empty() || q.eligible.empty():
		q.lateShare.Reset()
	case selected.heap == &q.late:
		q.lateShare.AddLate(run)
	default:
		q.lateShare.AddInTime(run)
	}
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
	weight := q.totalWeight
	if weight == 0 {
		weight = t.weight
	}
	q.virtualTime += urgency.Charge(run, weight)
	t.charged += urgency.Charge(run, t.weight)
	if t.heap != nil && t.heap != &q.eligible {
		t.heap.fix(t)
	}
}

// reposition moves the team to its place in the right heap after a change of its batches or charge.
func (q *queue) reposition(t *team) {
	t.charged = max(t.charged, q.virtualTime)
	if heap := q.heapFor(t); heap != nil && heap == t.heap {
		heap.fix(t)
	} else {
		q.removeTeam(t)
		q.insertTeam(t, heap)
	}
	q.promoteEligible()
}

// heapFor returns the heap that the team belongs to; nil when it has no queued tasks.
func (q *queue) heapFor(t *team) *indexedHeap[*team] {
	switch {
	case t.batches.empty():
		return nil
	case t.batches.first().place.Late:
		return &q.late
	case t.charged > q.virtualTime && !t.urgent():
		return &q.ahead
	}
	return &q.eligible
}

// removeTeam takes a team out of its heap, if it is in one.
func (q *queue) removeTeam(t *team) {
	if t.heap == nil {
		return
	}
	t.heap.remove(t)
	t.heap = nil
	q.totalWeight -= t.weight
}

// insertTeam adds a team to a heap, unless that is nil.
func (q *queue) insertTeam(t *team, heap *indexedHeap[*team]) {
	if heap == nil {
		return
	}
	heap.add(t)
	t.heap = heap
	q.totalWeight += t.weight
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
		q.eligible.add(t)
		t.heap = &q.eligible
	}
}
