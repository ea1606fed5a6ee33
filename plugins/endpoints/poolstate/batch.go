package poolstate

import (
	"cmp"
	"slices"
	"strconv"
	"strings"
	"time"

	"redwingpulley/kernel/model"
	"redwingpulley/plugins/endpoints/runtimes"
	"redwingpulley/plugins/endpoints/urgency"
)

// batch is a batch that the pool has accepted, or decides whether to accept.
type batch struct {
	model.Batch
	profile  model.Profile
	tasks    []task
	results  []model.TaskResult
	ended    bool // The batch's result has been returned.
	started  bool // At least one of the tasks has left the queue for an endpoint.
	urgent   bool // The batch goes before all others, since it would miss its deadline otherwise.
	outlived bool // The process has stood still since the batch was accepted: no task of it starts any more.

	arrived          time.Time
	team             *team
	origin           *origin
	queued           []*task // Queued tasks; the last one starts next.
	queuedWork       time.Duration
	runs             runtimes.Batch
	work             time.Duration // Estimated run time of all tasks together.
	medianLongestRun time.Duration // Median of the estimated run time of the longest task.
	longestRun       time.Duration // Median of the estimated run time of the job's longest task.
	p95LongestRun    time.Duration // 95th percentile of the estimated run time of the longest task.
	inTimeUntil      time.Time     // When the objective of the batch's job ends; see urgency.TimeLimits.
	lateMargin       time.Duration // How long before its latest possible start the batch counts as late.
	usefulUntil      time.Time     // When the answer is of no use any more, at the latest at the deadline.
	place            urgency.Place // Place in the queue.
	index            int           // Position in the team's heap of batches.
	timer            timer
}

// phase is a step in the life cycle of a task.
type phase int

const (
	inQueue         phase = iota
	waitingIsolated       // Waits for an endpoint of its own; see isolation.
	held                  // Bound to an endpoint, and waiting for a free slot there.
	atEndpoint            // Sent to an endpoint, and its end there is not confirmed.
	ended                 // Has a result, or its batch has ended without one.
)

// task is one task of a batch. A task that is at an endpoint outlives a batch that ends first.
type task struct {
	batch            *batch
	id               model.TaskID
	position         int // Index in the batch's tasks.
	phase            phase
	attempt          int // Number of the current or latest attempt; 0 before the first.
	run              runtimes.Estimate
	class            runtimes.Class
	endpoint         *endpoint        // Set while the task is held or at an endpoint.
	slot             int              // Index in the endpoint's tasks.
	avoid            model.EndpointID // Endpoint that last refused the task or ran it without a result.
	failures         int              // Number of runs that failed.
	losses           []model.Loss     // Endpoints that have crashed, or may have, under runs of the task.
	mayHaveRun       bool             // An earlier attempt ran, or may have run.
	sentAt           time.Time
	unlistedSince    time.Time // Time since which the endpoint has not listed the task; zero while it lists it.
	openRevokes      int       // Revokes that have not been replied to.
	unsettledRevokes int       // Consecutive revokes whose replies did not tell whether the task ended.
	stopping         bool      // Its batch was cancelled and its endpoint is asked to stop it.
	stoppedAt        time.Time // When the endpoint was asked to stop it.
	timeUnknown      bool      // The time since sentAt is not that of the run.
}

func (t *task) spec() *model.Task { return &t.batch.Tasks[t.position] }

// runState reports whether a task that is not at an endpoint may have run in an earlier attempt.
func (t *task) runState() model.RunState {
	if t.mayHaveRun || len(t.losses) > 0 {
		return model.MayHaveRun
	}
	return model.NotRun
}

// latestStart returns the latest time at which the task can start and still be expected to end by its
// deadline.
func (t *task) latestStart() time.Time {
	if !t.class.Learned() {
		return t.batch.Deadline // A declared run time alone is not reliable enough to cancel a batch for.
	}
	return t.batch.Deadline.Add(-t.run.Median)
}

func (m *Machine) handleSubmission(now time.Time, s *Submitted, fx *Effects) {
	if _, known := m.batches[s.Batch.ID]; known {
		return
	}
	m.usePlacement(s.Profile.Placement)
	b := m.newBatch(now, s)
	if m.fits(b.Tasks) {
		m.learnNeeds(b) // Needs that no endpoint meets say nothing of how many tasks fit on one.
	}
	verdict := m.admit(now, b)
	if verdict.RetryAfter > 0 {
		verdict.RetryAfter = m.retryAfter(now, b, verdict.RetryAfter)
	}
	m.logAdmission(now, b, verdict, fx)
	if !verdict.Admit {
		result := model.RefusedBatch(s.Batch.ID, verdict.Reason)
		result.RetryAfter = verdict.RetryAfter
		result.Load = m.Load()
		fx.Ended = append(fx.Ended, result)
		return
	}
	m.accept(now, b)
	m.giveUpExhausted(now, b, fx)
}

func (m *Machine) newBatch(now time.Time, s *Submitted) *batch {
	b := &batch{Batch: s.Batch, profile: s.Profile, arrived: now, index: notInHeap}
	b.tasks = make([]task, len(b.Tasks))
	ids := taskIDs(b.ID.Job, b.Tasks)
	b.runs = m.runTimes.Batch(b.Team, len(b.Tasks))
	for i := range b.tasks {
		class, run := b.runs.Add(b.Tasks[i].Declared, b.profile.DefaultRunTime)
		b.tasks[i] = task{batch: b, id: ids(i), position: i, class: class, run: run, losses: b.Tasks[i].Losses}
	}
	b.work, b.medianLongestRun, b.p95LongestRun = b.runs.Work, b.runs.MedianLongest, b.runs.P95Longest
	b.setTimeLimits()
	return b
}

// taskIDs formats the ids of all tasks in a single allocation and returns a function that maps the
// position of a task to its id.
func taskIDs(job model.JobID, tasks []model.Task) func(int) model.TaskID {
	var text strings.Builder
	const digits = 3 // Of a task's index, which is below model.MaxTasksPerJob.
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

func (m *Machine) accept(now time.Time, b *batch) {
	m.acceptedBatches++
	b.place.Order = m.acceptedBatches
	b.results = make([]model.TaskResult, 0, len(b.tasks))
	b.team = m.queue.teamOf(b.Team)
	b.team.openBatches++
	m.queue.setPriority(b.team, b.Priority)
	b.team.demand.add(now, b.work)
	b.origin = m.originOf(now, b.ID.Job)
	m.batches[b.ID] = b
	clear, isolated := splitIsolated(longestLast(b.tasks))
	m.queue.pushAll(b, clear)
	if !m.lateAt(b).After(now) {
		m.queue.markLate(b)
	}
	b.timer = newTimer(func(now time.Time, fx *Effects) { m.handleBatchTimer(now, b, fx) })
	m.timers.set(&b.timer, m.nextTimerAt(b))
	for _, t := range isolated {
		m.enqueueIsolated(t)
	}
}

// splitIsolated returns the tasks that may run beside others, and those that have to be isolated.
func splitIsolated(tasks []*task) (clear, isolated []*task) {
	if !slices.ContainsFunc(tasks, (*task).isolated) {
		return tasks, nil
	}
	for _, t := range tasks {
		if t.isolated() {
			isolated = append(isolated, t)
		} else {
			clear = append(clear, t)
		}
	}
	return clear, isolated
}

// longestLast sorts tasks by ascending run time. The task that is pushed last starts first, and the
// longest has to start first since a batch ends only when all of its tasks have ended.
func longestLast(tasks []task) []*task {
	all := make([]*task, 0, len(tasks))
	for i := range tasks {
		all = append(all, &tasks[i])
	}
	slices.SortFunc(all, func(a, b *task) int {
		return cmp.Or(cmp.Compare(a.run.Mean, b.run.Mean), cmp.Compare(b.position, a.position))
	})
	return all
}

func (m *Machine) enqueue(t *task) {
	if t.isolated() {
		m.enqueueIsolated(t)
		return
	}
	t.phase = inQueue
	m.queue.push(t)
}

// dispatchBy returns the time by which all of the batch's tasks have to be at endpoints.
func (b *batch) dispatchBy() time.Time { return b.Deadline.Add(-b.p95LongestRun) }

// dispatchTime returns how long the pool takes to send all queued tasks of the batch when it sends
// nothing else.
func (m *Machine) dispatchTime(b *batch) time.Duration {
	return b.queuedWork / time.Duration(m.queue.slots)
}

// giveUpAt returns the time from which the batch, with the tasks that are queued now, can no longer be
// expected to end by its deadline. A batch that has not started needs enough time for all of its tasks,
// and has to end while its answer is of use.
func (m *Machine) giveUpAt(b *batch) time.Time {
	if len(b.queued) == 0 {
		return b.Deadline
	}
	next := b.nextQueued()
	if b.started || !next.class.Learned() {
		return next.latestStart()
	}
	return b.usefulUntil.Add(-m.dispatchTime(b) - b.medianLongestRun)
}

// nextTimerAt returns when the batch becomes urgent or late or has to be cancelled, whichever is first.
func (m *Machine) nextTimerAt(b *batch) time.Time {
	next := m.giveUpAt(b)
	if b.place.Late || len(b.queued) == 0 {
		return next
	}
	if late := m.lateAt(b); late.Before(next) {
		next = late
	}
	urgent := b.dispatchBy().Add(-m.dispatchTime(b) - b.Deadline.Sub(b.arrived)/urgentDivisor)
	if !b.urgent && urgent.Before(next) {
		return urgent
	}
	return next
}

func (m *Machine) handleBatchTimer(now time.Time, b *batch, fx *Effects) {
	if at := m.nextTimerAt(b); at.After(now) {
		m.timers.set(&b.timer, at)
		return
	}
	switch {
	case len(b.queued) == 0 || !m.giveUpAt(b).After(now):
		m.cancel(now, b, model.ReasonDeadline, fx)
		return
	case !m.lateAt(b).After(now):
		m.queue.markLate(b)
	default:
		b.urgent = true
		m.queue.update(b)
	}
	m.timers.set(&b.timer, m.nextTimerAt(b))
}

func (m *Machine) handleCancellation(now time.Time, id model.BatchID, fx *Effects) {
	if b, ok := m.batches[id]; ok {
		m.cancel(now, b, model.ReasonCancelled, fx)
	}
}

// cancel ends a batch for the given reason. Tasks that are not at an endpoint never start; those that
// are get revoked and count as possibly run.
func (m *Machine) cancel(now time.Time, b *batch, reason model.Reason, fx *Effects) {
	m.logCancellation(now, b, reason, fx)
	m.queue.remove(b)
	b.queued = nil
	for i := range b.tasks {
		if t := &b.tasks[i]; t.phase != ended {
			m.abandonTask(now, t, reason, fx)
		}
	}
	m.endBatch(b, fx)
}

// abandonTask adds a result without an answer for a task of a cancelled batch, and revokes the task if it
// is at an endpoint.
func (m *Machine) abandonTask(now time.Time, t *task, reason model.Reason, fx *Effects) {
	result := model.TaskResult{Index: t.spec().Index, Run: t.runState(), Reason: reason, Losses: t.losses}
	switch t.phase {
	case atEndpoint:
		result.Run = model.MayHaveRun
		t.stopping, t.stoppedAt = true, now
		m.recordOverrun(now, t, reason)
		m.revoke(t, 0, fx)
	case held:
		m.unbind(t)
		t.phase = ended
	default:
		t.phase = ended
	}
	t.batch.results = append(t.batch.results, result)
}

// recordResult adds a task's result to its batch and ends the batch when it was the last one.
func (m *Machine) recordResult(now time.Time, t *task, result model.TaskResult, fx *Effects) {
	b := t.batch
	result.Index, result.Losses = t.spec().Index, t.losses
	t.phase = ended
	b.results = append(b.results, result)
	if len(b.results) < len(b.tasks) {
		return
	}
	if b.Whole {
		fx.Served = append(fx.Served, Served{now.Sub(b.arrived), b.Objective.For(b.medianLongestRun)})
	}
	m.endBatch(b, fx)
}

// close removes a batch that ends from the machine's state.
func (m *Machine) close(b *batch) {
	b.ended = true
	b.team.openBatches--
	b.origin.batches--
	m.timers.stop(&b.timer)
	delete(m.batches, b.ID)
}

func (m *Machine) endBatch(b *batch, fx *Effects) {
	m.close(b)
	fx.Ended = append(fx.Ended, model.BatchResult{ID: b.ID, Results: b.results, Load: m.Load()})
}
