package poolstate

import (
	"time"

	"redwingpulley/kernel/model"
	"redwingpulley/kernel/port"
)

// replied handles the answer to a start. Only the attempt that is at the endpoint counts.
func (m *Machine) replied(now time.Time, r Replied, fx *Effects) {
	f, ok := m.flights[r.Task]
	if !ok || f.attempt != r.Attempt {
		return
	}
	switch r.Reply.State {
	case port.TaskDone:
		m.landed(now, f, r.Reply.Answer, fx)
	case port.TaskNotRun:
		m.refused(f, fx)
	case port.TaskUnknown:
		m.revoke(f, 0, fx)
	default:
		m.failed(f, fx)
	}
}

// revokeReplied handles the answer to a revoke, which settles what a lost connection left open.
func (m *Machine) revokeReplied(now time.Time, r RevokeReplied, fx *Effects) {
	f, ok := m.flights[r.Task]
	if !ok || f.attempt != r.Attempt {
		return
	}
	switch r.Reply.State {
	case port.TaskRevoked, port.TaskNotRun:
		m.refused(f, fx)
	case port.TaskDone:
		m.landed(now, f, r.Reply.Answer, fx)
	case port.TaskRunning, port.TaskUnknown:
		m.revoke(f, revokeRetry, fx)
	default:
		m.failed(f, fx)
	}
}

// landed records a task's answer.
func (m *Machine) landed(now time.Time, f *flight, answer []byte, fx *Effects) {
	m.release(f)
	b, ok := m.batches[f.batch]
	if !ok {
		return
	}
	m.estimate.learn(b.profile.LearnWeight, now.Sub(f.sent))
	m.record(b, model.TaskResult{Index: b.Tasks[f.index].Index, Done: true, Answer: answer}, fx)
}

// refused puts a task that is known not to have started back into the queue.
func (m *Machine) refused(f *flight, _ *Effects) {
	m.release(f)
	b, ok := m.batches[f.batch]
	if !ok {
		return
	}
	m.queue.push(b.Team, waiting{batch: b, position: f.index, attempt: f.attempt + 1, run: m.estimate.of(b.profile, b.Tasks[f.index])})
}

// failed ends the batch of a task that ran and failed: the job cannot complete any more.
func (m *Machine) failed(f *flight, fx *Effects) {
	m.release(f)
	m.cancel(f.batch, model.ReasonTaskFailed, fx)
}

func (m *Machine) revoke(f *flight, after time.Duration, fx *Effects) {
	fx.Revokes = append(fx.Revokes, Revoke{
		Task: f.task, Attempt: f.attempt, Endpoint: f.endpoint, Address: f.address,
		Stop: f.stopping, After: after,
	})
}

func (m *Machine) release(f *flight) {
	delete(m.flights, f.task)
	if e, ok := m.endpoints[f.endpoint]; ok {
		e.busy--
		m.updatePlacer(e)
	}
}

func (m *Machine) record(b *batch, result model.TaskResult, fx *Effects) {
	b.results = append(b.results, result)
	b.open--
	if b.open > 0 {
		return
	}
	m.end(b, fx)
}

func (m *Machine) end(b *batch, fx *Effects) {
	delete(m.batches, b.ID)
	fx.Ended = append(fx.Ended, model.BatchResult{ID: b.ID, Results: b.results, Load: m.Load()})
}

// cancel ends a batch for the given reason: what waits never starts, what is at an endpoint is
// told to stop and may have run.
func (m *Machine) cancel(id model.BatchID, reason model.Reason, fx *Effects) {
	b, ok := m.batches[id]
	if !ok {
		return
	}
	m.queue.drop(b)
	ended := make(map[int]bool, len(b.results))
	for _, r := range b.results {
		ended[r.Index] = true
	}
	for _, task := range b.Tasks {
		if !ended[task.Index] {
			b.results = append(b.results, m.abandon(b, task, reason, fx))
		}
	}
	m.end(b, fx)
}

func (m *Machine) abandon(b *batch, task model.Task, reason model.Reason, fx *Effects) model.TaskResult {
	f, flying := m.flights[b.ID.Job.TaskID(task.Index)]
	if !flying {
		run := model.NotRun
		if reason == model.ReasonTaskFailed {
			run = model.MayHaveRun
		}
		return model.TaskResult{Index: task.Index, Run: run, Reason: reason}
	}
	f.stopping = true
	m.revoke(f, 0, fx)
	return model.TaskResult{Index: task.Index, Run: model.MayHaveRun, Reason: reason}
}

// elapsed ends batches behind their deadline and endpoints behind their lease.
func (m *Machine) elapsed(now time.Time, fx *Effects) {
	for id, b := range m.batches {
		if !b.Deadline.After(now) {
			m.cancel(id, model.ReasonDeadline, fx)
		}
	}
	for id, e := range m.endpoints {
		if !e.leaseUntil.After(now) {
			delete(m.endpoints, id)
			if m.placer != nil {
				m.placer.Remove(id)
			}
		}
	}
}
