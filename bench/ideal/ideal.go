// Package ideal computes offline how a clairvoyant single queue over all slots would have answered
// a trace: it knows the true run times, loses no time between a slot's end and its next task, and
// refuses at once what could not end in time.
package ideal

import (
	"container/heap"
	"slices"
	"time"

	"redwingpulley/bench/trace"
)

// Result is how the ideal ended one job.
type Result struct {
	Refused  bool
	Response time.Duration // From sending to the last task's end; 0 when refused.
	Floor    time.Duration // The longest task: the response on an empty system.
}

// Schedule runs the jobs, which are in the order of their times, first come, first served on the
// given number of slots, the longest task of a job first. A cancelled job takes its slots until
// the cancellation.
func Schedule(slots int, jobs []trace.Job) []Result {
	free := make(slotHeap, slots)
	results := make([]Result, 0, len(jobs))
	for _, job := range jobs {
		results = append(results, free.run(job))
	}
	return results
}

// slotHeap holds the time at which each slot is free next, the earliest first.
type slotHeap []time.Duration

func (s *slotHeap) run(job trace.Job) Result {
	runs := job.Runs()
	slices.SortFunc(runs, func(a, b time.Duration) int { return int(b - a) })
	result := Result{Floor: runs[0]}
	if len(*s) == 0 {
		return Result{Refused: true, Floor: result.Floor}
	}
	before := slices.Clone(*s)
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
		*s = before
		return Result{Refused: true, Floor: result.Floor}
	}
	return result
}

func (s slotHeap) Len() int           { return len(s) }
func (s slotHeap) Less(i, j int) bool { return s[i] < s[j] }
func (s slotHeap) Swap(i, j int)      { s[i], s[j] = s[j], s[i] }

// Push is part of heap.Interface; the number of slots does not change.
func (s *slotHeap) Push(any) {}

// Pop is part of heap.Interface; the number of slots does not change.
func (s *slotHeap) Pop() any { return nil }
