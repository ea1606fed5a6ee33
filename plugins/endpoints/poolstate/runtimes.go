package poolstate

import (
	"math"
	"math/bits"
	"time"

	"redwingpulley/kernel/model"
)

const (
	sizeClasses = 24 // Of declared run times, each twice as long as the one before; from 1 ms.
	// priorSamples is how many run times weigh as much as a declared one.
	priorSamples = 8

	maxTeamClasses = 4096
	highQuantile   = 0.95
	peakDecay      = 1.0 / 4096 // Of the peak towards the mean with each shorter run time.
)

var (
	// serviceTrust is of the service's own estimates, against a declared run time.
	serviceTrust = trust{priorSamples, priorSamples, priorSamples}
	// classTrust is of a class, against its service: the rarer a long run, the more run times it
	// takes to know that the class has none.
	classTrust = trust{priorSamples, 4 * priorSamples, 64 * priorSamples}
)

// runTime is an estimate of how long a task runs.
type runTime struct {
	mean   time.Duration
	median time.Duration
	high   time.Duration // The 95th percentile.
	peak   time.Duration // Near the longest of the last thousands.
}

// manyTasks is from how many tasks on the longest of a batch is taken to run for the peak in one of
// twenty cases, and for the 95th percentile in one of two.
const manyTasks = 16

// cautious returns the run time that the longest of a number of tasks exceeds in one of twenty
// cases.
func (r *runTime) cautious(tasks int) time.Duration {
	return between(r.high, r.peak, sizeShare(tasks))
}

// typical returns the run time that the longest of a number of tasks exceeds in one of two cases.
func (r *runTime) typical(tasks int) time.Duration {
	share := sizeShare(tasks)
	if share <= 1 {
		return between(r.median, r.high, share)
	}
	return between(r.high, r.peak, share-1)
}

// sizeShare is 0 for one task, 1 for manyTasks, and grows with the logarithm of the tasks.
func sizeShare(tasks int) float64 { return math.Log2(float64(tasks)) / math.Log2(manyTasks) }

func between(low, high time.Duration, share float64) time.Duration {
	return low + time.Duration(min(share, 1)*float64(max(high-low, 0)))
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
	all  *stats
}

// learned reports whether enough tasks have ended to rely on estimates of the class.
func (c class) learned() bool { return c.all.samples >= priorSamples }

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
	return class{size: size, team: s, all: &r.all}
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
	estimate := runTime{mean: prior, median: prior, high: prior, peak: prior}
	estimate = r.all.over(estimate, serviceTrust)
	estimate = r.sizes[c.size].over(estimate, classTrust)
	return c.team.over(estimate, classTrust)
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
	peak      float64
}

func (s *stats) learn(weight float64, run time.Duration) {
	x := float64(run)
	if s.samples == 0 {
		*s = stats{samples: 1, mean: x, deviation: x / 2, median: x, high: 2 * x, peak: 2 * x}
		return
	}
	s.samples++
	weight = max(weight, 1/s.samples)
	s.peak = max(x, s.peak-(s.peak-s.mean)*peakDecay)
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

// trust is by how many run times each estimate of a class must be backed to weigh as much as the
// estimate of the level above it.
type trust struct{ mean, high, peak float64 }

// over blends what was learned with what was expected without it.
func (s *stats) over(prior runTime, t trust) runTime {
	if s.samples == 0 {
		return prior
	}
	blend := func(prior time.Duration, learned, weight float64) time.Duration {
		share := s.samples / (s.samples + weight)
		return prior + time.Duration(share*(learned-float64(prior)))
	}
	return runTime{
		mean:   blend(prior.mean, s.mean, t.mean),
		median: blend(prior.median, s.median, t.mean),
		high:   blend(prior.high, s.high, t.high),
		peak:   blend(prior.peak, s.peak, t.peak),
	}
}
