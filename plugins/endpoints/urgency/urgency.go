// Package urgency decides in which order the queued batches of a pool start. The load that it addresses is
// more demand than slots for seconds, for instance the burst of one class of jobs.
//
// The order, from the first rule to the last:
//  1. A batch that has to start now to end by its deadline, unless it is late.
//  2. A team with a batch that is not late. A batch is late once it can no longer meet its latency objective.
//     Teams whose batches are all late get what the others leave, and at least a sixteenth (lateShareDivisor) of the
//     slot time while others wait.
//  3. The team's share: each team is charged for its work, divided by the weight of its priority, and a team
//     that is ahead of its share waits for the others.
//  4. Within a team, and among the teams that are not ahead: batches that are not late first, then by arrival
//     plus a time for the remaining work.
//
// The package holds these rules and no state of a pool.
package urgency

import (
	"time"

	"redwingpulley/kernel/model"
)

// lateShareDivisor gives the least share of the slot time that goes to teams whose batches are all late, as
// long as there are any: one part in this many. A late answer is worth a fraction of one in time, but not
// nothing.
const lateShareDivisor = 16

// maxWeight is the weight of the priority 0.
const maxWeight = 1 << model.MaxPriority

// Weight returns the weight of a priority when teams share slots. Each priority has half the weight of the
// one before it, so that no team starves.
func Weight(priority int) int { return maxWeight >> model.ClampPriority(priority) }

// Charge returns what a team of the given weight is charged for work.
func Charge(work time.Duration, weight int) time.Duration {
	return work * maxWeight / time.Duration(weight)
}

// WorkFor returns the work for which a team of the given weight is charged the given time.
func WorkFor(charge time.Duration, weight int) time.Duration {
	return charge * time.Duration(weight) / maxWeight
}

// Place is the sort key of a batch among other queued ones.
type Place struct {
	Late  bool      // The batch can no longer meet its objective.
	Key   time.Time // Its arrival plus a time for its remaining work; zero if it has to start now.
	Order uint64    // Its number in the order of arrival.
}

// Before reports whether a batch goes before another one of the same team, or of another team that is not
// ahead of its share either.
func (p *Place) Before(other *Place) bool {
	switch {
	case p.Late != other.Late:
		return other.Late
	case p.Key.Equal(other.Key):
		return p.Order < other.Order
	}
	return p.Key.Before(other.Key)
}

// LateShare decides when a team whose batches are all late gets its turn although others wait. The zero value
// is ready to use.
type LateShare struct {
	credit time.Duration // Slot time that late batches may take.
}

// Due reports whether the late team's next task may start before those of the other teams.
func (s *LateShare) Due(work time.Duration) bool { return s.credit >= work }

// AddInTime adds work of a batch that was started while late teams wait.
func (s *LateShare) AddInTime(work time.Duration) { s.credit += work / lateShareDivisor }

// AddLate subtracts work of a late team that was started while others wait.
func (s *LateShare) AddLate(work time.Duration) { s.credit -= work }

// Reset drops the share that late teams did not use. It is called when no team is late, or none waits that is not.
func (s *LateShare) Reset() { s.credit = 0 }

// TimeLimits gives the times until which the answer of a job is in time, and of use.
type TimeLimits struct {
	Objective model.Objective
	Submitted time.Time     // When the job was submitted.
	Longest   time.Duration // Estimated run time of the job's longest task.
	Deadline  time.Time
}

// InTimeUntil returns when the job's objective ends; the deadline if that is sooner, or if there is no objective.
func (l *TimeLimits) InTimeUntil() time.Time {
	if l.Objective == (model.Objective{}) {
		return l.Deadline
	}
	return earlier(l.Submitted.Add(l.Objective.For(l.Longest)), l.Deadline)
}

// UsefulUntil returns when the job's answer is of no use any more, which is at the latest at its deadline.
func (l *TimeLimits) UsefulUntil() time.Time {
	if l.Objective.Useful <= 0 {
		return l.Deadline
	}
	return earlier(l.Submitted.Add(l.Objective.UsefulFor(l.Longest)), l.Deadline)
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
