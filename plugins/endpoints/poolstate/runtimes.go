package poolstate

import (
	"math"
	"math/bits"
	"time"

	"redwingpulley/kernel/model"
)

const (
	sizeClasses = 24 // Number of classes of declared run times, each twice as long as the one before; from 1 ms.
	// priorSamples is how many observed run times weigh as much as a declared one.
	priorSamples = 8

	maxTeamClasses = 4096 // Highest number of pairs of team and size class whose run times are learned.
	p95Quantile    = 0.95
	peakDecay      = 1.0 / 4096 // Decay of the peak towards the mean with each shorter run time.
)

var (
	// servicePriorWeights weighs a declared run time against the estimates for the service.
	servicePriorWeights = priorWeights{priorSamples, priorSamples, priorSamples}
	// classPriorWeights weighs the estimates of a level against those of the next narrower one: the service
	// against a class, and a class against a team's tasks of it. The rarer a long run is, the more run
	// times it takes to know that the narrower level has none.
	classPriorWeights = priorWeights{priorSamples, 4 * priorSamples, 64 * priorSamples}
)

// runTime is an estimate of how long a task runs.
type runTime struct {
	mean   time.Duration
	median time.Duration
	p95    time.Duration // 95th percentile.
	peak   time.Duration // Roughly the longest of the last few thousand run times.
}

// largeBatchTasks is the batch size at which the longest task is assumed to have a single task's 95th
// percentile as its median run time and the peak as its 95th percentile.
const largeBatchTasks = 16

// p95Longest estimates the 95th percentile of the run time of the longest of the given number of tasks.
func (r *runTime) p95Longest(tasks int) time.Duration {
	return interpolate(r.p95, r.peak, sizeFraction(tasks))
}

// medianLongest estimates the median run time of the longest of the given number of tasks.
func (r *runTime) medianLongest(tasks int) time.Duration {
	share := sizeFraction(tasks)
	if share <= 1 {
		return interpolate(r.median, r.p95, share)
	}
	return interpolate(r.p95, r.peak, share-1)
}

// sizeFraction is 0 for one task and 1 for largeBatchTasks, and grows with the logarithm of the number.
func sizeFraction(tasks int) float64 { return math.Log2(float64(tasks)) / math.Log2(largeBatchTasks) }

func interpolate(low, high time.Duration, share float64) time.Duration {
	return low + time.Duration(min(share, 1)*float64(max(high-low, 0)))
}

// runTimes learns how long the service's tasks run, since declared run times are often far off.
// It learns for the service, for each class of declared run times, and for each team's tasks of a class.
// A level with few observed run times relies on the level above it.
type runTimes struct {
	service stats
	sizes   [sizeClasses]stats
	teams   map[teamSize]*stats
}

// teamSize identifies a team's tasks of one size class; see sizeOf.
type teamSize struct {
	team model.TeamID
	size int
}

// class refers to the statistics to which a task's run time is added.
type class struct {
	size    int
	team    *stats
	service *stats
}

// learned reports whether enough tasks of the service have ended to rely on the estimates.
func (c class) learned() bool { return c.service.samples >= priorSamples }

func newRunTimes() runTimes { return runTimes{teams: make(map[teamSize]*stats)} }

// classOf returns the class of a team's tasks with the declared run time.
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
	return class{size: size, team: s, service: &r.service}
}

// sizeOf returns the size class of a declared run time; 0 is the class of tasks that declare none.
func sizeOf(declared time.Duration) int {
	return min(bits.Len64(uint64(max(declared.Milliseconds(), 0))), sizeClasses-1)
}

// estimateFor returns the estimate for a task of the class.
func (r *runTimes) estimateFor(profile *model.Profile, declared time.Duration, c class) runTime {
	prior := profile.DefaultRunTime
	if declared > 0 {
		prior = declared
	}
	estimate := runTime{mean: prior, median: prior, p95: prior, peak: prior}
	estimate = r.service.blendWith(estimate, servicePriorWeights)
	estimate = r.sizes[c.size].blendWith(estimate, classPriorWeights)
	return c.team.blendWith(estimate, classPriorWeights)
}

// learn adds a run time to the statistics of the service, of the class and of the team's tasks of it.
func (r *runTimes) learn(weight float64, c class, run time.Duration) {
	r.service.learn(weight, run)
	r.sizes[c.size].learn(weight, run)
	c.team.learn(weight, run)
}

// stats holds moving statistics of run times, in nanoseconds.
type stats struct {
	samples   float64
	mean      float64
	deviation float64 // Mean absolute deviation.
	median    float64
	p95       float64
	peak      float64
}

func (s *stats) learn(weight float64, run time.Duration) {
	x := float64(run)
	if s.samples == 0 {
		*s = stats{samples: 1, mean: x, deviation: x / 2, median: x, p95: 2 * x, peak: 2 * x}
		return
	}
	s.samples++
	weight = max(weight, 1/s.samples)
	s.peak = max(x, s.peak-(s.peak-s.mean)*peakDecay)
	off := x - s.mean
	s.mean += weight * off
	s.deviation += weight * (max(off, -off) - s.deviation)
	s.median += quantileStep(weight, s.deviation, x, s.median, 0.5)
	s.p95 += quantileStep(weight, s.deviation, x, s.p95, p95Quantile)
}

// quantileStep returns the change of an estimate of a quantile for a new sample. The ratio of steps up
// to steps down makes it settle where the wanted share of the samples lies below it.
func quantileStep(weight, scale, sample, estimate, quantile float64) float64 {
	if sample > estimate {
		return 2 * weight * scale * quantile
	}
	return -min(2*weight*scale*(1-quantile), estimate/2)
}

// priorWeights gives, for each estimate, the number of run times that a level needs for its own estimate
// to weigh as much as that of the level above it.
type priorWeights struct{ mean, p95, peak float64 }

// blendWith returns the average of the learned estimates and prior, weighted by the number of samples.
func (s *stats) blendWith(prior runTime, weights priorWeights) runTime {
	if s.samples == 0 {
		return prior
	}
	blend := func(prior time.Duration, learned, weight float64) time.Duration {
		share := s.samples / (s.samples + weight)
		return prior + time.Duration(share*(learned-float64(prior)))
	}
	return runTime{
		mean:   blend(prior.mean, s.mean, weights.mean),
		median: blend(prior.median, s.median, weights.mean),
		p95:    blend(prior.p95, s.p95, weights.p95),
		peak:   blend(prior.peak, s.peak, weights.peak),
	}
}
