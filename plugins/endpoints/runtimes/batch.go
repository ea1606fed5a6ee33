package runtimes

import (
	"math"
	"time"

	"redwingpulley/kernel/model"
)

// Estimate is the estimated run time of a task.
type Estimate struct {
	Mean   time.Duration
	Median time.Duration
	P95    time.Duration // 95th percentile.
}

// Batch estimates the run times of the tasks of a batch, which are of one team. Create one with
// Estimates.Batch and add each task.
type Batch struct {
	estimates *Estimates
	team      model.TeamID
	tasks     int // Tasks of the batch.
	groups    []group

	Work          time.Duration // Sum of the mean run times of the tasks added.
	MedianLongest time.Duration // Median run time of the longest task, if all were of the class with the longest.
	P95Longest    time.Duration // 95th percentile of that.
}

// group holds the tasks of a batch that are of the same class, and the estimates for the class.
type group struct {
	size                      int
	class                     Class
	tasks                     int
	declared                  time.Duration // The longest declared run time among the tasks.
	mean, median, p95         blend
	medianLongest, p95Longest blend
}

// Batch returns the estimates for a batch with the given number of tasks, none of which has been added.
func (e *Estimates) Batch(team model.TeamID, tasks int) Batch {
	return Batch{estimates: e, team: team, tasks: tasks}
}

// Add adds a task with its declared run time, or the default one if it declares none, and returns its class and estimate.
func (b *Batch) Add(declared, defaultRun time.Duration) (Class, Estimate) {
	g := b.groupOf(declared)
	if declared <= 0 {
		declared = defaultRun
	}
	g.tasks++
	g.declared = max(g.declared, declared)
	estimate := Estimate{g.mean.with(declared), g.median.with(declared), g.p95.with(declared)}
	b.Work += estimate.Mean
	b.MedianLongest = max(b.MedianLongest, g.medianLongest.with(declared))
	b.P95Longest = max(b.P95Longest, g.p95Longest.with(declared))
	return g.class, estimate
}

// groupOf returns the tasks of the class to which a declared run time belongs. The estimates are computed once for each class.
func (b *Batch) groupOf(declared time.Duration) *group {
	size := sizeOf(declared)
	for i := range b.groups {
		if b.groups[i].size == size {
			return &b.groups[i]
		}
	}
	c := b.estimates.ClassOf(b.team, declared)
	n := 1 / float64(max(b.tasks, 1))
	b.groups = append(b.groups, group{
		size: size, class: c, mean: c.mean(), median: c.quantile(medianQuantile), p95: c.quantile(p95Quantile),
		medianLongest: c.quantile(math.Pow(medianQuantile, n)), p95Longest: c.quantile(math.Pow(p95Quantile, n)),
	})
	return &b.groups[len(b.groups)-1]
}

// MedianLongestOf returns the median run time of the longest of the given number of tasks, if all were of the class with the longest
// among those added. It serves for a job of which the batch is a part.
func (b *Batch) MedianLongestOf(tasks int) (longest time.Duration) {
	quantile := math.Pow(medianQuantile, 1/float64(max(tasks, 1)))
	for i := range b.groups {
		g := &b.groups[i]
		longest = max(longest, g.class.quantile(quantile).with(g.declared))
	}
	return longest
}

// EndWithin returns the probability that all tasks added end within a time, when all start at once.
func (b *Batch) EndWithin(limit time.Duration) float64 {
	probability := 1.0
	for i := range b.groups {
		g := &b.groups[i]
		probability *= g.class.endWithin(g.tasks, limit, g.declared)
	}
	return probability
}
