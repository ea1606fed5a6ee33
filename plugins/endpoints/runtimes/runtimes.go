// Package runtimes estimates how long tasks run, since declared run times are often far off. The load that it addresses: classes of
// tasks of which some run many times as long as the others, where a single long run says little.
//
// It learns for a service, for each class of declared run times, and for each team's tasks of a class. A level with few samples relies on
// the level above it, and the service on the declared run time. It knows no clock: its callers measure run times.
package runtimes

import (
	"maps"
	"math"
	"math/bits"
	"time"

	"redwingpulley/kernel/model"
)

const (
	sizeClasses = 24 // Number of classes of declared run times, each twice as long as the one before; from 1 ms.
	// PriorSamples is how many run times of a level weigh as much as the estimate of the level above it.
	PriorSamples = 8
	// maxPriorFactor multiplies PriorSamples for the upper quantiles. The rarer a long run is, the more
	// run times it takes to know that the narrower level has none.
	maxPriorFactor = 4

	maxTeamClasses = 4096 // Highest number of pairs of team and size class whose run times are learned.

	medianQuantile = 0.5
	p95Quantile    = 0.95
)

// Estimates holds the run times of a service. Create one with New. It is not safe for concurrent use.
type Estimates struct {
	service histogram
	sizes   [sizeClasses]histogram
	teams   map[teamSize]Class
}

// teamSize identifies a team's tasks of one size class; see sizeOf.
type teamSize struct {
	team model.TeamID
	size int
}

// New returns the estimates for a service of which no task has ended.
func New() Estimates { return Estimates{teams: make(map[teamSize]Class)} }

// Mean returns the mean run time of the service's tasks; 0 before any has ended.
func (e *Estimates) Mean() time.Duration { return duration(e.service.mean) }

// Class is the class of a team's tasks with similar declared run times.
type Class struct {
	levels *[3]*histogram // Of the service, of the size class and of the team's tasks of that size class.
}

// Learned reports whether enough tasks of the service have ended to rely on the estimates.
func (c Class) Learned() bool { return c.levels[0].samples >= PriorSamples }

// Learn adds the run time of a task of the class. A profile with a higher learn weight forgets earlier run times sooner.
func (c Class) Learn(learnWeight float64, run time.Duration) {
	halfLife := halfLifeOf(learnWeight)
	for _, level := range c.levels {
		level.add(halfLife, run)
	}
}

// ClassOf returns the class of a team's tasks with the declared run time, which is 0 for tasks that declare none.
func (e *Estimates) ClassOf(id model.TeamID, declared time.Duration) Class {
	size := sizeOf(declared)
	key := teamSize{id, size}
	c, ok := e.teams[key]
	if !ok {
		c = Class{&[3]*histogram{&e.service, &e.sizes[size], {}}}
		if len(e.teams) < maxTeamClasses {
			e.teams[key] = c
		}
	}
	return c
}

// Snapshot returns a function that removes the classes of teams that have been added since. It does not undo what was learned.
func (e *Estimates) Snapshot() (restore func()) {
	before := maps.Clone(e.teams)
	return func() { e.teams = before }
}

// sizeOf returns the size class of a declared run time; 0 is the class of tasks that declare none.
func sizeOf(declared time.Duration) int {
	return min(bits.Len64(uint64(max(declared.Milliseconds(), 0))), sizeClasses-1)
}

// blend is a weighted sum of the estimates of all levels. The weight that is left is that of the declared run time.
type blend struct {
	learned  float64 // In milliseconds.
	declared float64 // Weight of the declared run time, 0 to 1.
}

// with returns the estimate for a task with the given declared run time.
func (b blend) with(declared time.Duration) time.Duration {
	return duration(b.learned) + time.Duration(b.declared*float64(declared))
}

// blendOf blends a value of the levels. Each level that has samples gets samples/(samples+prior) of the
// weight that narrower ones leave; the service's own prior is PriorSamples.
func (c Class) blendOf(prior float64, value func(*histogram) float64) blend {
	b := blend{declared: 1}
	for i, level := range c.levels {
		if level.samples == 0 {
			continue
		}
		if i == 0 {
			b.add(level.share(PriorSamples), value(level))
		} else {
			b.add(level.share(prior), value(level))
		}
	}
	return b
}

// add gives a value the given share of the whole weight.
func (b *blend) add(share, value float64) {
	b.learned += share * (value - b.learned)
	b.declared -= share * b.declared
}

// share returns the weight of the histogram beside a level above it that weighs as much as prior samples.
func (h *histogram) share(prior float64) float64 {
	return float64(h.samples) / (float64(h.samples) + prior)
}

func (c Class) mean() blend {
	return c.blendOf(PriorSamples, func(h *histogram) float64 { return h.mean })
}

func (c Class) quantile(quantile float64) blend {
	prior := PriorSamples * min(medianQuantile/(1-quantile), maxPriorFactor)
	return c.blendOf(prior, func(h *histogram) float64 { return h.quantile(quantile) })
}

// endWithin returns the probability that the given number of tasks of the class all end within a time.
// The distribution is that of one of the levels, with the level's weight as its probability.
func (c Class) endWithin(tasks int, limit, declared time.Duration) float64 {
	ms := float64(limit) / float64(time.Millisecond)
	b := c.blendOf(PriorSamples, func(h *histogram) float64 { return math.Pow(h.shareWithin(ms), float64(tasks)) })
	if declared <= limit {
		return b.learned + b.declared
	}
	return b.learned
}

func duration(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
