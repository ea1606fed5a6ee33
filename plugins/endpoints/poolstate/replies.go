package poolstate

import (
	"time"

	"redwingpulley/kernel/model"
	"redwingpulley/kernel/port"
	"redwingpulley/plugins/endpoints/crashes"
)

const (
	revokeBackoff    = 200 * time.Millisecond // Before the second revoke of a task; doubles with each further one.
	maxRevokeBackoff = 2 * time.Second

	// blockedTime is how long slots and resources of a leased endpoint are assumed to be taken by others
	// after it has refused a task, has lost a run, or was handed over with running tasks. It bounds how
	// often a task starts whose runs end at once.
	blockedTime = 150 * time.Millisecond

	// unlistedTime is how long a task without an answer may be missing from its endpoint's announcements
	// before it is revoked. Its start or answer may be in transit when an announcement is sent, but not
	// for as long as this.
	unlistedTime = 500 * time.Millisecond
)

// handleStartReply handles the reply to a start. Replies to attempts other than the one at the endpoint
// are ignored.
func (m *Machine) handleStartReply(now time.Time, r Replied, fx *Effects) {
	t, ok := m.inFlight[r.Task]
	if !ok || t.attempt != r.Attempt {
		return
	}
	t.losses = crashes.Merge(t.losses, r.Losses)
	t.timeUnknown = t.timeUnknown || r.Reply.TimeUnknown
	switch r.Reply.State {
	case port.TaskDone:
		m.handleAnswer(now, t, r.Reply.Answer, fx)
	case port.TaskNotRun:
		m.recordOutcome(now, t.endpoint, t.batch.ID.Job, true)
		m.handleRefusal(now, t, fx)
	case port.TaskNoRoom:
		m.handleRefusal(now, t, fx)
	case port.TaskLeasedElsewhere:
		m.cordon(t.endpoint)
		m.requeueUnstarted(now, t, fx)
	case port.TaskUnknown:
		if !t.batch.ended {
			m.recordOutcome(now, t.endpoint, t.batch.ID.Job, true)
		}
		t.timeUnknown = true
		m.revoke(t, 0, fx)
	case port.TaskLost:
		t.recordLoss(r.Reply.Cause)
		m.handleLostRun(now, t, fx)
	case port.TaskStopped:
		m.handleStopped(now, t, fx)
	default:
		m.handleFailure(now, t, fx)
	}
}

// handleRevokeReply handles the reply to a revoke, which tells what became of a task when the start
// alone did not, for instance because a connection was lost.
func (m *Machine) handleRevokeReply(now time.Time, r RevokeReplied, fx *Effects) {
	t, ok := m.inFlight[r.Task]
	if !ok || t.attempt != r.Attempt {
		return
	}
	t.openRevokes = max(t.openRevokes-1, 0)
	t.timeUnknown = t.timeUnknown || r.Reply.TimeUnknown
	switch r.Reply.State {
	case port.TaskRevoked, port.TaskNotRun:
		m.requeueUnstarted(now, t, fx)
	case port.TaskDone:
		m.handleAnswer(now, t, r.Reply.Answer, fx)
	case port.TaskRunning, port.TaskUnknown:
		m.retryRevoke(now, t, fx)
	case port.TaskLost:
		m.handleLostRun(now, t, fx)
	case port.TaskStopped:
		m.handleStopped(now, t, fx)
	default:
		m.handleFailure(now, t, fx)
	}
}

// retryRevoke repeats, with a backoff, a revoke whose reply did not tell whether the task has ended.
// The task occupies its slot until that is known. At an endpoint without a lease, which may never answer, it is released
// once its batch has ended, the endpoint's announcements have expired and its deadline has passed.
func (m *Machine) retryRevoke(now time.Time, t *task, fx *Effects) {
	if t.batch.ended && !t.endpoint.Leased && !t.endpoint.live && !now.Before(t.batch.Deadline) {
		m.release(t)
		return
	}
	after := min(revokeBackoff<<min(t.unsettledRevokes, 8), maxRevokeBackoff)
	t.unsettledRevokes++
	m.revoke(t, after, fx)
}

// handleAnswer frees the slot of a task that has answered and records its answer.
func (m *Machine) handleAnswer(now time.Time, t *task, answer []byte, fx *Effects) {
	m.recordOutcome(now, t.endpoint, t.batch.ID.Job, false)
	answerStuck := !t.unlistedSince.IsZero() && now.Sub(t.unlistedSince) > port.MaxTimingError
	t.timeUnknown = t.timeUnknown || answerStuck
	run := now.Sub(t.sentAt)
	m.learn(t, run)
	m.correctCharge(t, run)
	m.learnSpeed(now, t, run)
	m.learnInterference(t, run, fx)
	m.release(t)
	if !t.batch.ended {
		m.recordResult(now, t, model.TaskResult{Done: true, Answer: answer}, fx)
	}
}

// learn adds a run time to the estimates, if it was measured.
func (m *Machine) learn(t *task, run time.Duration) {
	if !t.timeUnknown {
		t.class.Learn(t.batch.profile.LearnWeight, m.nominalRun(t.endpoint, run))
	}
}

// correctCharge corrects the charge of the task's team, which was made by the estimate, to the time for which the slot was taken.
func (m *Machine) correctCharge(t *task, taken time.Duration) {
	m.queue.charge(t.batch.team, taken-t.run.Mean)
}

// handleStopped handles the end of a run that was stopped: without the stop it would have run for longer than until then.
func (m *Machine) handleStopped(now time.Time, t *task, fx *Effects) {
	if t.stopping {
		if run := t.stoppedAt.Sub(t.sentAt); run > t.run.Mean {
			m.learn(t, run)
		}
		m.correctCharge(t, now.Sub(t.sentAt))
	}
	m.handleFailure(now, t, fx)
}

// handleRefusal handles an endpoint's reply that it did not start the task. The slot may be in use by
// something else, such as a task of the pool's former owner. It counts as taken until the endpoint
// announces which tasks it runs. At a leased endpoint, whose announcements list no tasks, the slot and
// the resources are blocked for a short time instead.
func (m *Machine) handleRefusal(now time.Time, t *task, fx *Effects) {
	switch e := t.endpoint; {
	case e.live && e.Leased:
		m.blockCapacity(now, e, 1, e.usedByOthers(t.spec().Needs))
	case e.live:
		e.blockedSlots++
	}
	m.requeueUnstarted(now, t, fx)
}

// cordon stops sending work to an endpoint whose lease another member may hold. The endpoint's next
// announcement ends this: announcements reach only the pool's owner.
func (m *Machine) cordon(e *endpoint) {
	e.cordon = true
	m.updateTotals(e)
	m.requeueHeldIfUnavailable(e)
}

// handleDisowned cordons all leased endpoints until their next announcements, since they may have
// announced to another owner that they are leaving. Endpoints without a lease report to this member
// directly.
func (m *Machine) handleDisowned() {
	for _, e := range m.endpointList {
		if e.Leased {
			m.cordon(e)
		}
	}
}

// unblockCapacity ends the assumption that others use slots and resources of an endpoint.
func (m *Machine) unblockCapacity(e *endpoint) {
	e.blockedSlots, e.blockedNeeds = 0, model.Needs{}
	m.updateTotals(e)
}

// requeueUnstarted puts a task that is known not to have started back into the queue. If the job does
// not allow failed runs, this uses up a retry, and the batch ends when the retry budget is exhausted.
func (m *Machine) requeueUnstarted(now time.Time, t *task, fx *Effects) {
	t.avoid = t.endpoint.ID
	m.release(t)
	switch {
	case t.batch.ended:
	case crashes.Judge(t.losses) == crashes.Exhausted:
		m.failTask(now, t, t.runState(), model.ReasonEndpointsCrashed, fx)
	case t.batch.outlived:
		m.failTask(now, t, t.runState(), model.ReasonPaused, fx)
	case t.batch.MaxFailures > 0 || m.retries.tryWithdraw():
		m.enqueue(t)
		m.timers.set(&t.batch.timer, m.nextTimerAt(t.batch))
	default:
		m.failTask(now, t, t.runState(), model.ReasonRefused, fx)
	}
}

// handleLostRun handles a run that is known to have ended without a result. If the job allows failed
// runs, the task is queued again; the lost run does not count as a failed one.
func (m *Machine) handleLostRun(now time.Time, t *task, fx *Effects) {
	m.recordOutcome(now, t.endpoint, t.batch.ID.Job, true)
	if t.endpoint.live && t.endpoint.Leased {
		m.blockCapacity(now, t.endpoint, 1, model.Needs{})
	}
	if t.batch.ended || t.stopping || t.batch.MaxFailures == 0 {
		m.handleFailure(now, t, fx)
		return
	}
	m.requeueAfterRun(now, t, fx)
}

// requeueAfterRun puts a task back into the queue after a run that is known to have ended, or fails the task if too many endpoints
// have crashed under its runs, or if the process has stood still since the batch was accepted.
func (m *Machine) requeueAfterRun(now time.Time, t *task, fx *Effects) {
	t.mayHaveRun = true
	t.avoid = t.endpoint.ID
	m.release(t)
	if crashes.Judge(t.losses) == crashes.Exhausted {
		m.failTask(now, t, model.MayHaveRun, model.ReasonEndpointsCrashed, fx)
		return
	}
	if t.batch.outlived {
		m.failTask(now, t, model.MayHaveRun, model.ReasonPaused, fx)
		return
	}
	m.enqueue(t)
	m.timers.set(&t.batch.timer, m.nextTimerAt(t.batch))
}

// handleFailure handles a task that ran and failed. The task runs again if its job allows that;
// otherwise its batch ends, since the job can no longer complete.
func (m *Machine) handleFailure(now time.Time, t *task, fx *Effects) {
	t.failures++
	if !t.batch.ended && !t.stopping && t.failures < t.batch.MaxFailures {
		m.recordOutcome(now, t.endpoint, t.batch.ID.Job, true)
		m.requeueAfterRun(now, t, fx)
		return
	}
	if !t.stopping {
		m.recordOutcome(now, t.endpoint, t.batch.ID.Job, true)
	}
	m.release(t)
	if !t.batch.ended {
		m.failTask(now, t, model.MayHaveRun, model.ReasonTaskFailed, fx)
	}
}

// failTask ends a task without an answer and cancels the rest of its batch.
func (m *Machine) failTask(now time.Time, t *task, run model.RunState, reason model.Reason, fx *Effects) {
	t.phase = ended
	t.batch.results = append(t.batch.results, model.TaskResult{Index: t.spec().Index, Run: run, Reason: reason, Losses: t.losses})
	m.cancel(now, t.batch, reason, fx)
}

// revoke sends a revoke for a task to its endpoint, unless the reply to an earlier one is outstanding.
func (m *Machine) revoke(t *task, after time.Duration, fx *Effects) {
	if t.openRevokes > 0 {
		return
	}
	t.openRevokes++
	fx.Revokes = append(fx.Revokes, Revoke{
		Task: t.id, Attempt: t.attempt, Endpoint: t.endpoint.ID, Address: t.endpoint.Address,
		Stop: t.stopping, ReplacedBy: t.endpoint.replacedBy, After: after, Key: t.batch.Key,
	})
}

// release frees the slot of a task whose end at its endpoint is confirmed.
func (m *Machine) release(t *task) {
	e := t.endpoint
	m.released = append(m.released, Release{t.id, t.attempt, t.batch.Key})
	delete(m.inFlight, t.id)
	m.removeCompanion(t)
	if e.occupant == t {
		e.isolated, e.occupant = e.down, nil // It counts as held while it is down.
	}
	last := e.tasks[len(e.tasks)-1]
	e.tasks[t.slot] = last
	last.slot = t.slot
	e.tasks[len(e.tasks)-1] = nil
	e.tasks = e.tasks[:len(e.tasks)-1]
	e.taken = e.taken.Minus(t.spec().Needs)
	t.endpoint, t.phase = nil, ended
	e.recordReleased(t.id)
	m.updateTotals(e)
	m.removeIfSettled(e)
}
