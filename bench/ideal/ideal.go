// Package ideal computes offline how a clairvoyant scheduler with a single queue over all slots would
// have served a trace: it knows the true run times, starts the next task the moment a slot becomes
// free, and refuses at once each job that could not end by its deadline.
package ideal

import (
	"container/heap"
	"slices"
	"time"

	"redwingpulley/bench/trace"
)

// Result is the outcome of one job in the ideal schedule.
type Result struct {
	Refused  bool
	Response time.Duration // Time from sending to the end of the last task; 0 when refused.
	Floor    time.Duration // Run time of the longest task, which is the response time on an idle system.
}

// Schedule simulates the jobs on the given number of slots, first come, first served; each job starts
// its longest tasks first. The jobs must be sorted by the time of sending. A cancelled job occupies its
// slots until the cancellation.
func Schedule(slots int, jobs []trace.Job) []Result {
	free := make(slotHeap, slots)
	results := make([]Result, 0, len(jobs))
	for _, job := range jobs {
		results = append(results, free.run(job))
	}
	return results
}

// slotHeap is a heap of the times at which the slots become free, the earliest first.
type slotHeap []time.Duration

// run assigns the job's tasks to the slots that become free first. When the job would miss its
// deadline, it is refused and the slots stay as they were.
func (s *slotHeap) run(job trace.Job) Result {
	runs := job.Runs()
	slices.SortFunc(runs, func(a, b time.Duration) int { return int(b - a) })
	result := Result{Floor: runs[0]}
	if len(*s) == 0 {
		return Result{Refused: true, Floor: result.Floor}
	}
	saved := slices.Clone(*s)
	at := job.At()
	for _, run := range runs {
		end := max(at, (*s)[0]) + run
		if job.CancelMS > 0 {
			end = max(min(end, at+time.Duration(job.CancelMS)*time.Millisecond), (*s)[0])
		}
		result.Response = max(result.Response, end-at)
		(*s)[0] = end
		heap.Fix(s, 0)
	}
	if job.DeadlineMS > 0 && result.Response > job.Deadline() {
		*s = saved
		return Result{Refused: true, Floor: result.Floor}
	}
	return result
}

func (s slotHeap) Len() int           { return len(s) }
func (s slotHeap) Less(i, j int) bool { return s[i] < s[j] }
func (s slotHeap) Swap(i, j int)      { s[i], s[j] = s[j], s[i] }

// Push is part of heap.Interface and does nothing, since the number of slots does not change.
func (s *slotHeap) Push(any) {}

// Pop is part of heap.Interface and does nothing, since the number of slots does not change.
func (s *slotHeap) Pop() any { return nil }
