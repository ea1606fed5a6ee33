package poolstate

import (
	"time"

	"redwingpulley/kernel/invariant"
	"redwingpulley/kernel/model"
	"redwingpulley/kernel/port"
)

// admit decides by the profile's admission policy whether the pool accepts a batch, and refuses one that would wait for longer
// than its job allows.
func (m *Machine) admit(now time.Time, b *batch) port.Verdict {
	if m.evacuation.active {
		return evacuatedVerdict()
	}
	policy, ok := m.policies.Admissions[b.profile.Admission]
	invariant.Check(ok, "profile-admission", "profile names unknown admission %q", b.profile.Admission)
	if team, known := m.queue.teams[b.Team]; known && team.failures.confined {
		return m.admitConfined(b)
	}
	room := m.roomFor(b)
	request := port.AdmissionRequest{
		Tasks:       len(b.Tasks),
		Remaining:   b.Deadline.Sub(now),
		Expected:    b.medianLongestRun,
		EndWithin:   b.runs.EndWithin,
		Work:        b.work,
		Slots:       m.totals.slots,
		Free:        room,
		Fits:        m.fits(b.Tasks),
		QueuedTasks: m.queue.count + m.totals.held,
		QueuedWork:  m.queue.work,
		QueueLimit:  b.profile.QueueTasks,
	}
	residual := time.Duration(len(m.inFlight)) * m.runTimes.Mean() / 2
	queued := m.queue.workAhead(now, b, request.Work)
	request.Ahead = residual + queued
	unclaimed := max(room-m.queue.count-m.totals.held, 0)
	request.Wait, request.MaxWait = m.waitBehind(b, unclaimed, queued), b.maxWait(now)
	verdict := policy.Admit(request)
	if planned := b.maxPlannedWait(now); verdict.Admit && planned > 0 && m.expectedWait(b, unclaimed) > planned {
		return port.Verdict{Reason: model.ReasonBusy}
	}
	return verdict
}

// waitBehind returns how long the batch's last task is expected to wait for a slot when the given work
// of other batches goes first and the given number of tasks can start at once.
func (m *Machine) waitBehind(b *batch, room int, queued time.Duration) time.Duration {
	if len(b.Tasks) <= room {
		return 0
	}
	own := b.work * time.Duration(len(b.Tasks)-room) / time.Duration(len(b.Tasks))
	return (queued + own) / time.Duration(max(m.totals.slots, 1))
}

// expectedWait returns how long the batch's last task is expected to wait for a slot behind all queued work in
// the pool: 0 if all tasks find one at once. While all slots are taken, the running tasks free one each mean run time over
// the number of slots. Until a run time has been learned, only queued work counts.
func (m *Machine) expectedWait(b *batch, room int) time.Duration {
	if len(b.Tasks) <= room {
		return 0
	}
	mean := m.runTimes.Mean()
	beyond := time.Duration(len(b.Tasks)-room) * mean
	return (m.queue.work + beyond) / time.Duration(max(m.totals.slots, 1))
}
