package poolstate

import (
	"math/bits"
	"time"

	"redwingpulley/kernel/model"
)

const (
	sizeClasses    = 24 // Of declared run times, each twice as long as the one before; from 1 ms.
	priorSamples   = 8  // Run times after which what is learned weighs as much as what was expected.
	maxTeamClasses = 4096
	highQuantile   = 0.95
)

// runTime is an estimate of how long a task runs.
type runTime struct {
	mean   time.Duration
	median time.Duration
	high   time.Duration // The 95th percentile.
}

// runTimes learns how long the service's tasks run, since declared run times are often far off.
// It learns for the service, for each class of declared sizes, and for each team's class. A class
// that has ended few tasks relies on the level above it.
type runTimes struct {
	all   stats
	sizes [sizeClasses]stats
	teams map[teamSize]*stats
}

type teamSize struct {
	team model.TeamID
	size int
}

// class is where a task's run time is learned.
type class struct {
	size int
	team *stats
}

func newRunTimes() runTimes { return runTimes{teams: make(map[teamSize]*stats)} }

// classOf returns the class of a team's tasks of the declared run time.
func (r *runTimes) classOf(id model.TeamID, declared time.Duration) class {
	size := sizeOf(declared)
	key := teamSize{id, size}
	s, ok := r.teams[key]
	if !ok {
		s = &stats{}
		if len(r.teams) < maxTeamClasses {
			r.teams[key] = s
		}
	}
	return class{size: size, team: s}
}

// sizeOf returns the class of a declared run time; 0 is the class of tasks that declared none.
func sizeOf(declared time.Duration) int {
	return min(bits.Len64(uint64(max(declared.Milliseconds(), 0))), sizeClasses-1)
}

// of returns the estimate for a task of the class.
func (r *runTimes) of(profile *model.Profile, declared time.Duration, c class) runTime {
	prior := profile.DefaultRunTime
	if declared > 0 {
		prior = declared
	}
	estimate := runTime{mean: prior, median: prior, high: prior}
	estimate = r.all.over(estimate)
	estimate = r.sizes[c.size].over(estimate)
	return c.team.over(estimate)
}

// learn takes a run time into account.
func (r *runTimes) learn(weight float64, c class, run time.Duration) {
	r.all.learn(weight, run)
	r.sizes[c.size].learn(weight, run)
	c.team.learn(weight, run)
}

// stats are moving statistics of run times, in nanoseconds.
type stats struct {
	samples   float64
	mean      float64
	deviation float64 // Mean absolute deviation.
	median    float64
	high      float64
}

func (s *stats) learn(weight float64, run time.Duration) {
	x := float64(run)
	if s.samples == 0 {
		*s = stats{samples: 1, mean: x, deviation: x / 2, median: x, high: 2 * x}
		return
	}
	s.samples++
	weight = max(weight, 1/s.samples)
	off := x - s.mean
	s.mean += weight * off
	s.deviation += weight * (max(off, -off) - s.deviation)
	s.median += quantileStep(weight, s.deviation, x, s.median, 0.5)
	s.high += quantileStep(weight, s.deviation, x, s.high, highQuantile)
}

// quantileStep moves an estimate of a quantile up by more than down, so that it rests where the
// asked share of the samples lies below it.
func quantileStep(weight, scale, sample, estimate, quantile float64) float64 {
	if sample > estimate {
		return 2 * weight * scale * quantile
	}
	return -min(2*weight*scale*(1-quantile), estimate/2)
}

// over blends what was learned with what was expected without it.
func (s *stats) over(prior runTime) runTime {
	if s.samples == 0 {
		return prior
	}
	trust := s.samples / (s.samples + priorSamples)
	blend := func(prior time.Duration, learned float64) time.Duration {
		return prior + time.Duration(trust*(learned-float64(prior)))
	}
	return runTime{
		mean:   blend(prior.mean, s.mean),
		median: blend(prior.median, s.median),
		high:   blend(prior.high, s.high),
	}
}
