package poolstate

import (
	"time"

	"redwingpulley/kernel/model"
	"redwingpulley/plugins/endpoints/urgency"
)

// lateMarginDivisor sets how long before its latest possible start a batch counts as late: the time that its
// objective leaves for waiting, divided by this. Of batches that start at the last moment half end late, since run times
// vary.
const lateMarginDivisor = 8

// setTimeLimits sets the times that the objective of the batch's job gives, by the pool's estimate of the job's
// longest task. Without the time at which the job was submitted they count from the batch's arrival.
func (b *batch) setTimeLimits() {
	limits := urgency.TimeLimits{Objective: b.Objective, Submitted: b.Submitted, Longest: b.medianLongestRun, Deadline: b.Deadline}
	if b.Submitted.IsZero() || b.Submitted.After(b.arrived) {
		limits.Submitted = b.arrived
	}
	if b.hasObjective() && b.JobTasks > len(b.tasks) {
		limits.Longest = max(limits.Longest, b.runs.MedianLongestOf(b.JobTasks))
	}
	b.longestRun = limits.Longest
	b.inTimeUntil, b.usefulUntil = limits.InTimeUntil(), limits.UsefulUntil()
	b.lateMargin = max(b.Objective.For(limits.Longest)-limits.Longest, 0) / lateMarginDivisor
}

func (b *batch) hasObjective() bool { return b.Objective != (model.Objective{}) }

// inTime reports whether the batch could still meet its objective if its longest task started now.
func (b *batch) inTime(now time.Time) bool {
	run := b.medianLongestRun
	if b.started {
		run = 0 // The longest task, which starts first, may have started in time.
	}
	return !b.place.Late && !b.inTimeUntil.Before(now.Add(run))
}

// maxWait returns how long the batch's last task may wait; 0 means any time. A whole job has to meet its
// objective. A part of a job only has to be of use: refusing it would waste the work on the other parts.
func (b *batch) maxWait(now time.Time) time.Duration {
	switch {
	case !b.hasObjective():
		return 0
	case b.Whole:
		return max(b.waitUntil(now, b.inTimeUntil), 1)
	}
	return max(b.waitUntil(now, b.usefulUntil), 1)
}

// maxPlannedWait returns the expected wait above which the pool leaves it to the job's owner to plan the batch
// again, which it does with the loads that it knows then; 0 means any. A batch that can be in time here is not sent on.
func (b *batch) maxPlannedWait(now time.Time) time.Duration {
	if b.MaxWait == 0 || !b.hasObjective() {
		return b.MaxWait
	}
	return max(b.MaxWait, b.waitUntil(now, b.inTimeUntil))
}

// waitUntil returns how long the batch's last task may wait for the batch to end by the given time.
func (b *batch) waitUntil(now, end time.Time) time.Duration { return end.Sub(now) - b.medianLongestRun }

// lateAt returns the time from which the batch, with the tasks that are queued now, can no longer be
// expected to meet its objective even if the pool starts nothing else.
func (m *Machine) lateAt(b *batch) time.Time {
	if len(b.queued) == 0 || !b.hasObjective() || !b.nextQueued().class.Learned() {
		return b.Deadline
	}
	run := b.medianLongestRun
	if b.started {
		run = b.nextQueued().run.Median
	}
	return b.inTimeUntil.Add(-b.lateMargin - m.dispatchTime(b) - run)
}

// retryAfter returns the delay that is advised to the caller of a batch that the pool refuses, and for which it expects to have room
// after the given time.
func (m *Machine) retryAfter(now time.Time, b *batch, roomIn time.Duration) time.Duration {
	return m.refusals.RetryAfter(now, urgency.Refused{
		RoomIn: roomIn, PoolTime: b.work / time.Duration(max(m.totals.slots, 1)), Left: b.Deadline.Sub(now), Priority: b.Priority,
	}, m.random.Float64())
}
