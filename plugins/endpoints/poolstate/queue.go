package poolstate

import (
	"math"
	"slices"
	"time"

	"redwingpulley/kernel/model"
)

const (
	// sizeWeight is by how much a batch is put behind newer ones for each unit of its remaining
	// work, as a time that the whole pool would need for it.
	sizeWeight = 8
	// urgentShare is the part of a batch's time from arrival to deadline, before the last moment at
	// which it can be started, in which it goes before all others.
	urgentShare = 5
	// rateWindow is the time over which the rate at which a team sends work is averaged.
	rateWindow = 10 * time.Second
	rateStep   = rateWindow / 100 // Between updates of a rate.
	// aheadRounds are the rounds in which the wait of a batch and what comes meanwhile are fitted.
	aheadRounds = 3
	// maxIdleTeams bounds the teams that are remembered while they have no batch.
	maxIdleTeams = 256
)

// queue holds the tasks that wait for a slot.
//
// Teams share the slots by work, as in start-time fair queueing: each task charges its estimated run
// time to its team, the charge is corrected once the task has ended, and a team that is ahead of its
// share waits for the others. Among the teams that are not, the batch goes first that has the
// earliest arrival after its remaining work was added, so that small jobs pass large ones and none
// waits for ever. A batch that has to start now to end in time goes before all others: the admission
// took it on because its team's share was enough.
type queue struct {
	teams    map[model.TeamID]*team
	order    []*team         // The same teams in the order in which they came.
	eligible priority[*team] // Teams that are not ahead of their share, by their first batch.
	ahead    priority[*team] // Teams that are, by their charge.
	virtual  time.Duration   // The charge of a team that has had exactly its share.
	size     int             // Weight of a batch's remaining work in its order.
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
	sending sending
	index   int
	waits   bool // In one of the queue's heaps.
	isAhead bool // In the heap of teams that are ahead of their share.
}

func newQueue() queue {
	place := func(t *team) *int { return &t.index }
	return queue{
		teams:    make(map[model.TeamID]*team),
		eligible: priority[*team]{less: byFirstBatch, place: place},
		ahead:    priority[*team]{less: func(a, b *team) bool { return a.charged < b.charged }, place: place},
		size:     sizeWeight,
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
func (q *queue) resize(slots int) { q.slots = max(slots, 1) }

func (q *queue) teamOf(id model.TeamID) *team {
	t, ok := q.teams[id]
	if !ok {
		q.forgetIdleTeams()
		t = &team{id: id, charged: q.virtual, index: absent, batches: priority[*batch]{
			less: byKey, place: func(b *batch) *int { return &b.index },
		}}
		q.teams[id] = t
		q.order = append(q.order, t)
	}
	return t
}

// forgetIdleTeams bounds the memory; a forgotten team starts again at its exact share.
func (q *queue) forgetIdleTeams() {
	if len(q.teams) < maxIdleTeams {
		return
	}
	q.order = slices.DeleteFunc(q.order, func(t *team) bool {
		if t.open == 0 {
			delete(q.teams, t.id)
		}
		return t.open == 0
	})
}

// push adds a task to its batch's waiting ones; it is the next of the batch to start.
func (q *queue) push(t *task) {
	t.batch.waiting = append(t.batch.waiting, t)
	q.count++
	q.addWork(t.batch, t.run.mean)
	q.update(t.batch)
}

// pushAll adds all tasks of a new batch; the last of them is the first to start.
func (q *queue) pushAll(b *batch, tasks []*task) {
	var work time.Duration
	for _, t := range tasks {
		work += t.run.mean
	}
	b.waiting = tasks
	q.count += len(tasks)
	q.addWork(b, work)
	q.update(b)
}

func (q *queue) addWork(b *batch, work time.Duration) {
	b.waitingWork += work
	b.team.work += work
	q.work += work
}

// update puts the batch where it belongs after a change of its waiting tasks.
func (q *queue) update(b *batch) {
	b.key = q.keyOf(b)
	waits := len(b.waiting) > 0
	switch {
	case waits && b.team.batches.has(b):
		b.team.batches.fix(b)
	case waits:
		b.team.batches.add(b)
	case b.team.batches.has(b):
		b.team.batches.remove(b)
	}
	q.settle(b.team)
}

func (q *queue) keyOf(b *batch) time.Time {
	if b.urgent {
		return time.Time{}
	}
	return b.arrived.Add(q.displacement(b.waitingWork))
}

// displacement returns by how much a batch of the given work is put behind newer ones.
func (q *queue) displacement(work time.Duration) time.Duration {
	return time.Duration(q.size) * work / time.Duration(q.slots)
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
	b.started = true
	b.waiting[last] = nil
	b.waiting = b.waiting[:last]
	q.forget(b, t.run.mean, 1)
	q.charge(owner, t.run.mean)
	q.update(b)
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
func (q *queue) restore(b *batch) { q.pushAll(b, b.waiting) }

func (q *queue) forget(b *batch, work time.Duration, tasks int) {
	q.addWork(b, -work)
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
	t.charged = max(t.charged, q.virtual)
	isAhead := t.charged > q.virtual && !t.urgent()
	stays := t.waits && isAhead == t.isAhead && !t.batches.empty()
	switch {
	case stays && isAhead:
		q.ahead.fix(t)
	case stays:
		q.eligible.fix(t)
	default:
		q.leave(t)
		q.enter(t, isAhead)
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

func (q *queue) enter(t *team, isAhead bool) {
	if t.batches.empty() {
		return
	}
	t.waits, t.isAhead = true, isAhead
	if isAhead {
		q.ahead.add(t)
	} else {
		q.eligible.add(t)
	}
}

// urgent reports whether the team's first batch has to go before all others.
func (t *team) urgent() bool { return !t.batches.empty() && t.batches.first().urgent }

// advance makes teams eligible whose share has caught up with them, and never leaves slots idle
// for the sake of fairness.
func (q *queue) advance() {
	if q.eligible.empty() && !q.ahead.empty() {
		q.virtual = max(q.virtual, q.ahead.first().charged)
	}
	for !q.ahead.empty() && q.ahead.first().charged <= q.virtual {
		t := q.ahead.first()
		q.ahead.remove(t)
		t.isAhead = false
		q.eligible.add(t)
	}
}

// workAhead estimates the slot time that the pool gives to other tasks before the last of a new
// batch would start. Each team is taken to go on sending as it did of late, and to get no more than
// the batch's own team gets meanwhile.
func (q *queue) workAhead(now time.Time, b *batch, work time.Duration) time.Duration {
	displaced := q.displacement(work)
	own, rate := work, 0.0
	if t, ok := q.teams[b.Team]; ok {
		own += t.workBefore(b.arrived.Add(displaced))
		rate = t.sending.rate(now)
	}
	var ahead time.Duration
	for range aheadRounds {
		wait := (own + ahead) / time.Duration(q.slots)
		mine := own + time.Duration(rate*float64(min(wait, displaced)))
		ahead = mine - work + q.othersAhead(now, b.Team, mine, wait)
	}
	return ahead + q.urgentWork(b.Team)
}

// othersAhead estimates the slot time that other teams get while one team gets mine within wait.
func (q *queue) othersAhead(now time.Time, id model.TeamID, mine, wait time.Duration) (ahead time.Duration) {
	for _, t := range q.order {
		if t.id != id {
			ahead += min(t.work+time.Duration(t.sending.rate(now)*float64(wait)), mine)
		}
	}
	return ahead
}

// urgentWork returns what is left of another team's batch that goes before all others.
func (q *queue) urgentWork(id model.TeamID) time.Duration {
	if q.eligible.empty() {
		return 0
	}
	first := q.eligible.first().batches.first()
	if !first.urgent || first.Team == id {
		return 0
	}
	return first.waitingWork
}

// workBefore returns the work of the team's batches that go before one of the given key.
func (t *team) workBefore(key time.Time) (work time.Duration) {
	for _, b := range t.batches.items {
		if !b.key.After(key) {
			work += b.waitingWork
		}
	}
	return work
}

// sending measures the slot time that a team's batches ask for, as a moving average.
type sending struct {
	level float64 // Slot time in nanoseconds, decayed.
	at    time.Time
}

func (s *sending) add(now time.Time, work time.Duration) {
	s.decay(now)
	s.level += float64(work)
}

// decay brings the level up to date when it is old enough for that to matter.
func (s *sending) decay(now time.Time) {
	age := now.Sub(s.at)
	if age < rateStep {
		return
	}
	s.level *= math.Exp(-float64(age) / float64(rateWindow))
	s.at = now
}

// rate returns slot time for each unit of time by the clock.
func (s *sending) rate(now time.Time) float64 {
	s.decay(now)
	return s.level / float64(rateWindow)
}
