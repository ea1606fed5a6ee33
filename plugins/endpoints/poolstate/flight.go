package poolstate

import (
	"time"

	"redwingpulley/kernel/model"
	"redwingpulley/kernel/port"
)

const (
	revokeRetry    = 200 * time.Millisecond // Before the second revoke of a task; doubles with each.
	maxRevokeRetry = 2 * time.Second

	// crowdedTime is how long a leased endpoint is taken to have no room after it has refused a task.
	crowdedTime = 150 * time.Millisecond

	// unlistedTime is how long a task without an answer may be missing in its endpoint's
	// announcements before the endpoint is asked. A start or an answer may be under way at one of
	// them, not for as long as this.
	unlistedTime = 500 * time.Millisecond
)

// replied handles the answer to a start. Only the attempt that is at the endpoint counts.
func (m *Machine) replied(now time.Time, r Replied, fx *Effects) {
	t, ok := m.flights[r.Task]
	if !ok || t.attempt != r.Attempt {
		return
	}
	switch r.Reply.State {
	case port.TaskDone:
		m.landed(now, t, r.Reply.Answer, fx)
	case port.TaskNotRun:
		m.judge(now, t.endpoint, t.batch.ID.Job, true)
		m.refused(now, t, fx)
	case port.TaskNoRoom:
		m.refused(now, t, fx)
	case port.TaskAway:
		m.away(t.endpoint)
		m.fenced(now, t, fx)
	case port.TaskUnknown:
		if !t.batch.over {
			m.judge(now, t.endpoint, t.batch.ID.Job, true)
		}
		m.revoke(t, 0, fx)
	case port.TaskLost:
		m.lostRun(now, t, fx)
	default:
		m.failed(now, t, fx)
	}
}

// revokeReplied handles the answer to a revoke, which settles what a lost connection left open.
func (m *Machine) revokeReplied(now time.Time, r RevokeReplied, fx *Effects) {
	t, ok := m.flights[r.Task]
	if !ok || t.attempt != r.Attempt {
		return
	}
	t.asking = max(t.asking-1, 0)
	switch r.Reply.State {
	case port.TaskRevoked, port.TaskNotRun:
		m.fenced(now, t, fx)
	case port.TaskDone:
		m.landed(now, t, r.Reply.Answer, fx)
	case port.TaskRunning, port.TaskUnknown:
		m.askAgain(now, t, fx)
	case port.TaskLost:
		m.lostRun(now, t, fx)
	default:
		m.failed(now, t, fx)
	}
}

// askAgain repeats a revoke that settled nothing. The task holds its slot meanwhile; only when the
// endpoint's lease has ended and the task's deadline has passed is it given up.
func (m *Machine) askAgain(now time.Time, t *task, fx *Effects) {
	if t.batch.over && !t.endpoint.live && !now.Before(t.batch.Deadline) {
		m.release(t)
		return
	}
	after := min(revokeRetry<<min(t.silences, 8), maxRevokeRetry)
	t.silences++
	m.revoke(t, after, fx)
}

// landed records a task's answer.
func (m *Machine) landed(now time.Time, t *task, answer []byte, fx *Effects) {
	m.judge(now, t.endpoint, t.batch.ID.Job, false)
	m.learn(t, now.Sub(t.sent))
	m.release(t)
	if !t.batch.over {
		m.record(now, t, model.TaskResult{Done: true, Answer: answer}, fx)
	}
}

// learn takes a run time into the estimates, and corrects what the task's team was charged.
func (m *Machine) learn(t *task, run time.Duration) {
	m.runTimes.learn(t.batch.profile.LearnWeight, t.class, run)
	m.queue.charge(t.batch.team, run-t.run.mean)
}

// refused handles an endpoint's answer that it did not start the task. Something else has the slot,
// such as a task of the pool's former owner, so it counts as taken until the endpoint says what it
// runs, or for a short time where announcements do not tell.
func (m *Machine) refused(now time.Time, t *task, fx *Effects) {
	switch e := t.endpoint; {
	case e.live && e.Leased:
		m.crowd(now, e, 1, e.lacking(t.spec().Needs))
	case e.live:
		e.refusals++
	}
	m.fenced(now, t, fx)
}

// away gives an endpoint no work that another member holds. Its next announcement, which reaches the
// pool's owner alone, tells that it is this member's again.
func (m *Machine) away(e *endpoint) {
	e.away = true
	m.refresh(e)
	m.unbindUnless(e)
}

// disowned gives leased endpoints no work before their next announcements: they may have told another
// owner that they leave. Endpoints without a lease tell this member themselves.
func (m *Machine) disowned() {
	for _, e := range m.members {
		if e.Leased {
			m.away(e)
		}
	}
}

// roomAgain takes it that an endpoint has room again.
func (m *Machine) roomAgain(e *endpoint) {
	e.refusals, e.absent = 0, model.Needs{}
	m.refresh(e)
}

// fenced puts a task that is known not to have started back into the queue. Where a task may be
// started only once its batch ends when the pool's retry budget is used up.
func (m *Machine) fenced(now time.Time, t *task, fx *Effects) {
	t.avoid = t.endpoint.ID
	m.release(t)
	switch {
	case t.batch.over:
	case t.batch.MaxFailures > 0 || m.retries.spend():
		m.enqueue(t)
		m.timers.set(&t.batch.timer, m.nextDue(t.batch))
	default:
		m.giveUp(now, t, t.runState(), model.ReasonRefused, fx)
	}
}

// lostRun handles a run that has surely ended without a result. Where the job allows further runs
// the task waits for another endpoint; the lost run is no failed one.
func (m *Machine) lostRun(now time.Time, t *task, fx *Effects) {
	m.judge(now, t.endpoint, t.batch.ID.Job, true)
	if t.batch.over || t.stopping || t.batch.MaxFailures == 0 {
		m.failed(now, t, fx)
		return
	}
	m.again(t)
}

// again puts a task back into the queue after a run that has surely ended.
func (m *Machine) again(t *task) {
	t.ran = true
	t.avoid = t.endpoint.ID
	m.release(t)
	m.enqueue(t)
	m.timers.set(&t.batch.timer, m.nextDue(t.batch))
}

// failed handles a task that ran and failed. It runs again while its job allows that; otherwise the
// job cannot complete any more.
func (m *Machine) failed(now time.Time, t *task, fx *Effects) {
	t.failures++
	if !t.batch.over && !t.stopping && t.failures < t.batch.MaxFailures {
		m.judge(now, t.endpoint, t.batch.ID.Job, true)
		m.again(t)
		return
	}
	switch {
	case !t.stopping:
		m.judge(now, t.endpoint, t.batch.ID.Job, true)
	case now.Sub(t.sent) > t.run.mean:
		m.learn(t, now.Sub(t.sent)) // It would have run for at least as long.
	}
	m.release(t)
	if !t.batch.over {
		m.giveUp(now, t, model.MayHaveRun, model.ReasonTaskFailed, fx)
	}
}

// giveUp ends a task without an answer, and with it its batch.
func (m *Machine) giveUp(now time.Time, t *task, run model.RunState, reason model.Reason, fx *Effects) {
	t.place = ended
	t.batch.results = append(t.batch.results, model.TaskResult{Index: t.spec().Index, Run: run, Reason: reason})
	m.cancel(now, t.batch, reason, fx)
}

// revoke asks the endpoint about a task, unless an earlier revoke has yet to be answered.
func (m *Machine) revoke(t *task, after time.Duration, fx *Effects) {
	if t.asking > 0 {
		return
	}
	t.asking++
	fx.Revokes = append(fx.Revokes, Revoke{
		Task: t.id, Attempt: t.attempt, Endpoint: t.endpoint.ID, Address: t.endpoint.Address,
		Stop: t.stopping, After: after, Key: t.batch.Key,
	})
}

// release frees the slot of a task whose end at its endpoint is confirmed.
func (m *Machine) release(t *task) {
	e := t.endpoint
	delete(m.flights, t.id)
	last := e.tasks[len(e.tasks)-1]
	e.tasks[t.slot] = last
	last.slot = t.slot
	e.tasks[len(e.tasks)-1] = nil
	e.tasks = e.tasks[:len(e.tasks)-1]
	e.taken = e.taken.Less(t.spec().Needs)
	t.endpoint, t.place = nil, ended
	e.released[e.next] = t.id
	e.next = (e.next + 1) % len(e.released)
	m.refresh(e)
	m.dropIfEmpty(e)
}
