package poolstate

import (
	"cmp"
	"slices"
	"strconv"
	"strings"
	"time"

	"redwingpulley/kernel/model"
)

// batch is a batch that was taken on.
type batch struct {
	model.Batch
	profile model.Profile
	tasks   []task
	results []model.TaskResult
	over    bool // Its result was given.
	started bool // One of its tasks was sent.
	urgent  bool // It has to go first to end in time.

	arrived     time.Time
	order       uint64 // Of arrival.
	team        *team
	origin      *origin
	waiting     []*task // In the queue, the next to start last.
	waitingWork time.Duration
	work        time.Duration // Estimated slot time of all tasks.
	typicalRun  time.Duration // That the longest task exceeds in one of two cases.
	cautiousRun time.Duration // That it exceeds in one of twenty.
	key         time.Time     // By which the team's batches are ordered.
	index       int           // In the team's heap.
	timer       timer
}

// place is where a task is.
type place int

const (
	inQueue    place = iota
	held             // Bound to an endpoint without a free slot.
	atEndpoint       // Sent, and its end there is not confirmed.
	ended            // Has its result, or was given up with its batch.
)

// task is one task of a batch. While it is at an endpoint it outlives a batch that ends first.
type task struct {
	batch    *batch
	id       model.TaskID
	position int // In the batch's tasks.
	place    place
	attempt  int // The current or newest one; 0 before the first.
	run      runTime
	class    class
	endpoint *endpoint        // While held or sent.
	slot     int              // In the endpoint's tasks.
	avoid    model.EndpointID // Refused the task last, or ran it without a result.
	failures int              // Runs that failed.
	ran      bool             // An earlier attempt ran, or may have.
	sent     time.Time
	unlisted time.Time // Since when its endpoint does not list it; zero while it does.
	asking   int       // Revokes without a reply so far.
	silences int       // Revokes in a row that settled nothing.
	stopping bool
}

func (t *task) spec() *model.Task { return &t.batch.Tasks[t.position] }

// runState tells whether an earlier attempt ran, of a task that is not at an endpoint.
func (t *task) runState() model.RunState {
	if t.ran {
		return model.MayHaveRun
	}
	return model.NotRun
}

// lastStart returns when the task has to start so that it can be expected to end in time.
func (t *task) lastStart() time.Time {
	if !t.class.learned() {
		return t.batch.Deadline // A declared run time alone is no reason to give up.
	}
	return t.batch.Deadline.Add(-t.run.median)
}

func (m *Machine) submitted(now time.Time, s *Submitted, fx *Effects) {
	if _, known := m.batches[s.Batch.ID]; known {
		return
	}
	m.usePlacement(s.Profile.Placement)
	b := m.newBatch(now, s)
	m.learnUsual(b)
	verdict := m.admit(now, b)
	m.noteVerdict(now, b, verdict, fx)
	if !verdict.Admit {
		result := model.RefusedBatch(s.Batch.ID, verdict.Reason)
		result.RetryAfter = verdict.RetryAfter
		result.Load = m.Load()
		fx.Ended = append(fx.Ended, result)
		return
	}
	m.takeOn(now, b)
}

func (m *Machine) newBatch(now time.Time, s *Submitted) *batch {
	b := &batch{Batch: s.Batch, profile: s.Profile, arrived: now, index: absent}
	b.tasks = make([]task, len(b.Tasks))
	ids := taskIDs(b.ID.Job, b.Tasks)
	for i := range b.tasks {
		declared := b.Tasks[i].Declared
		c := m.runTimes.classOf(b.Team, declared)
		b.tasks[i] = task{batch: b, id: ids(i), position: i, class: c, run: m.runTimes.of(&b.profile, declared, c)}
	}
	b.estimate()
	return b
}

// taskIDs formats the ids of all tasks in one piece of memory and returns a function from the
// position of a task to its id.
func taskIDs(job model.JobID, tasks []model.Task) func(int) model.TaskID {
	var text strings.Builder
	const digits = 3 // Of an index below model.MaxTasksPerJob.
	text.Grow(len(tasks) * (len(job) + 1 + digits))
	ends := make([]int, len(tasks))
	for i, t := range tasks {
		text.WriteString(string(job))
		text.WriteByte('.')
		text.WriteString(strconv.Itoa(t.Index))
		ends[i] = text.Len()
	}
	all := text.String()
	return func(i int) model.TaskID {
		start := 0
		if i > 0 {
			start = ends[i-1]
		}
		return model.TaskID(all[start:ends[i]])
	}
}

func (m *Machine) takeOn(now time.Time, b *batch) {
	m.batchesIn++
	b.order = m.batchesIn
	b.results = make([]model.TaskResult, 0, len(b.tasks))
	b.team = m.queue.teamOf(b.Team)
	b.team.open++
	b.team.sending.add(now, b.work)
	b.origin = m.originOf(now, b.ID.Job)
	m.batches[b.ID] = b
	m.queue.pushAll(b, longestLast(b.tasks))
	b.timer = newTimer(func(now time.Time, fx *Effects) { m.due(now, b, fx) })
	m.timers.set(&b.timer, m.nextDue(b))
}

// longestLast orders tasks so that the longest, which is pushed last, starts first: a batch ends
// with its last task.
func longestLast(tasks []task) []*task {
	all := make([]*task, 0, len(tasks))
	for i := range tasks {
		all = append(all, &tasks[i])
	}
	slices.SortFunc(all, func(a, b *task) int {
		return cmp.Or(cmp.Compare(a.run.mean, b.run.mean), cmp.Compare(b.position, a.position))
	})
	return all
}

func (m *Machine) enqueue(t *task) {
	t.place = inQueue
	m.queue.push(t)
}

// estimate sums up the estimates of the batch's tasks.
func (b *batch) estimate() {
	for i := range b.tasks {
		run := &b.tasks[i].run
		b.work += run.mean
		b.typicalRun = max(b.typicalRun, run.typical(len(b.tasks)))
		b.cautiousRun = max(b.cautiousRun, run.cautious(len(b.tasks)))
	}
}

// dispatchBy returns when all of the batch's tasks have to be at endpoints.
func (b *batch) dispatchBy() time.Time { return b.Deadline.Add(-b.cautiousRun) }

// dispatch returns how long the pool takes to send all waiting tasks of the batch when nothing else
// is sent.
func (m *Machine) dispatch(b *batch) time.Duration {
	return b.waitingWork / time.Duration(m.queue.slots)
}

// giveUpAt returns when the batch can no longer be expected to end in time, by what waits of it
// now. A batch that has not started has to leave time for all of it.
func (m *Machine) giveUpAt(b *batch) time.Time {
	if len(b.waiting) == 0 {
		return b.Deadline
	}
	next := b.waiting[len(b.waiting)-1]
	if b.started || !next.class.learned() {
		return next.lastStart()
	}
	return b.usefulUntil().Add(-m.dispatch(b) - b.typicalRun)
}

// nextDue returns when the batch needs attention next.
func (m *Machine) nextDue(b *batch) time.Time {
	giveUp := m.giveUpAt(b)
	if b.urgent || len(b.waiting) == 0 {
		return giveUp
	}
	urgent := b.dispatchBy().Add(-m.dispatch(b) - b.Deadline.Sub(b.arrived)/urgentShare)
	if giveUp.Before(urgent) {
		return giveUp
	}
	return urgent
}

func (m *Machine) due(now time.Time, b *batch, fx *Effects) {
	if at := m.nextDue(b); at.After(now) {
		m.timers.set(&b.timer, at)
		return
	}
	if b.urgent || len(b.waiting) == 0 || !m.giveUpAt(b).After(now) {
		m.cancel(now, b, model.ReasonDeadline, fx)
		return
	}
	b.urgent = true
	m.queue.update(b)
	m.timers.set(&b.timer, m.giveUpAt(b))
}

func (m *Machine) cancelled(now time.Time, id model.BatchID, fx *Effects) {
	if b, ok := m.batches[id]; ok {
		m.cancel(now, b, model.ReasonCancelled, fx)
	}
}

// cancel ends a batch for the given reason: what waits never starts, what is at an endpoint is
// told to stop and may have run.
func (m *Machine) cancel(now time.Time, b *batch, reason model.Reason, fx *Effects) {
	m.noteCut(now, b, reason, fx)
	m.queue.remove(b)
	b.waiting = nil
	for i := range b.tasks {
		if t := &b.tasks[i]; t.place != ended {
			m.abandon(now, t, reason, fx)
		}
	}
	m.end(b, fx)
}

func (m *Machine) abandon(now time.Time, t *task, reason model.Reason, fx *Effects) {
	result := model.TaskResult{Index: t.spec().Index, Run: t.runState(), Reason: reason}
	switch t.place {
	case atEndpoint:
		result.Run = model.MayHaveRun
		t.stopping = true
		m.judgeOverdue(now, t, reason)
		m.revoke(t, 0, fx)
	case held:
		m.unhold(t)
		t.place = ended
	default:
		t.place = ended
	}
	t.batch.results = append(t.batch.results, result)
}

// record takes a task's result into its batch, which ends with its last one.
func (m *Machine) record(now time.Time, t *task, result model.TaskResult, fx *Effects) {
	b := t.batch
	result.Index = t.spec().Index
	t.place = ended
	b.results = append(b.results, result)
	if len(b.results) < len(b.tasks) {
		return
	}
	if b.Whole {
		fx.Served = append(fx.Served, Served{now.Sub(b.arrived), b.Objective.For(b.typicalRun)})
	}
	m.end(b, fx)
}

// close forgets a batch that ends.
func (m *Machine) close(b *batch) {
	b.over = true
	b.team.open--
	b.origin.batches--
	m.timers.stop(&b.timer)
	delete(m.batches, b.ID)
}

func (m *Machine) end(b *batch, fx *Effects) {
	m.close(b)
	fx.Ended = append(fx.Ended, model.BatchResult{ID: b.ID, Results: b.results, Load: m.Load()})
}
