package trace

import (
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"
)

// Workload describes a load to generate. Equal workloads, with equal seeds, give equal traces.
type Workload struct {
	Service  string
	Seed     uint64
	Length   time.Duration
	Slots    int           // Slots of all endpoints that the load is meant for.
	Load     float64       // Offered slot time as a share of the slots' capacity.
	Teams    int           // Number of teams with equal shares of the load.
	Greedy   float64       // Load of one additional team, as a multiple of another team's share; 0 for no such team.
	Deadline time.Duration // Minimum deadline of a job; a job with a long task gets a longer one (deadlineFactor).
	Largest  int           // Number of tasks of the largest jobs; 0 means MaxTasks.

	Bursts        []Burst
	CancelWaves   []CancelWave
	Stragglers    float64 // Share of tasks that run several times longer than is typical of their job.
	DeclaredError float64 // Declared run times are off by up to this factor; 0 for no declared run times.
}

// Burst is a period of additional load.
type Burst struct {
	At     time.Duration
	Length time.Duration
	Load   float64 // Additional load, in the unit of Workload.Load.
}

// CancelWave is a period in which callers cancel a share of their jobs shortly after sending them.
type CancelWave struct {
	At     time.Duration
	Length time.Duration
	Share  float64 // Share of the jobs sent in the period that is cancelled.
}

// Run times, cancellation delays and deadlines of generated jobs, modelled on the jobs of the
// dispatcher's users.
const (
	minRunMS           = 50
	maxTypicalRunMS    = 1000
	longRunShare       = 0.01 // Share of tasks with a run time between maxTypicalRunMS and maxRunMS.
	maxRunMS           = 4000
	minStragglerFactor = 3 // Least factor by which a straggler runs longer than is typical of its job.
	maxStragglerFactor = 6
	minCancelDelayMS   = 20
	maxCancelDelayMS   = 400
	deadlineFactor     = 3 // A deadline is at least this many times the run time of the job's longest task.
)

// Generate returns the jobs of the workload, sorted by the time of sending. Jobs arrive as a Poisson
// process whose rate yields the workload's load.
func Generate(w Workload) []Job {
	g := generator{w, rand.New(rand.NewPCG(w.Seed, 1))}
	workPerJob := g.meanWorkPerJob()
	parts := [][]Job{g.arrivals(0, w.Length, w.Load, workPerJob)}
	for _, burst := range w.Bursts {
		parts = append(parts, g.arrivals(burst.At, burst.Length, burst.Load, workPerJob))
	}
	jobs := Merge(parts...)
	for _, wave := range w.CancelWaves {
		g.cancelInWave(jobs, wave)
	}
	return jobs
}

// Merge returns the jobs of several traces, sorted by the time of sending.
func Merge(traces ...[]Job) []Job {
	all := slices.Concat(traces...)
	slices.SortStableFunc(all, func(a, b Job) int { return int(a.AtMS - b.AtMS) })
	return all
}

type generator struct {
	Workload
	random *rand.Rand
}

// meanWorkPerJob estimates the mean slot time of a job. It draws its sample from a separate random
// source, so that the trace does not depend on the sample.
func (g generator) meanWorkPerJob() time.Duration {
	const sampleJobs = 4000
	sampler := generator{g.Workload, rand.New(rand.NewPCG(g.Seed, 2))}
	var work time.Duration
	for range sampleJobs {
		work += sampler.job(0).Work()
	}
	return work / sampleJobs
}

// arrivals returns the jobs of a Poisson process that starts at from and lasts for length.
func (g generator) arrivals(from, length time.Duration, load float64, workPerJob time.Duration) []Job {
	rate := load * float64(g.Slots) / workPerJob.Seconds() // Jobs per second.
	if rate <= 0 {
		return nil
	}
	var jobs []Job
	at := from
	for {
		at += time.Duration(g.random.ExpFloat64() / rate * float64(time.Second))
		if at >= from+length {
			return jobs
		}
		jobs = append(jobs, g.job(at))
	}
}

func (g generator) job(at time.Duration) Job {
	job := Job{AtMS: at.Milliseconds(), Service: g.Service, Team: g.team()}
	typicalMS := g.typicalRunMS()
	longestMS := int64(0)
	for range g.taskCount() {
		runMS := g.runMS(typicalMS)
		longestMS = max(longestMS, runMS)
		job.RunMS = append(job.RunMS, runMS)
		if g.DeclaredError > 0 {
			job.DeclaredMS = append(job.DeclaredMS, g.declaredRunMS(runMS))
		}
	}
	job.DeadlineMS = max(g.Deadline.Milliseconds(), deadlineFactor*longestMS)
	return job
}

// team draws the team of a job. The greedy team, which has the highest number, is drawn
// Workload.Greedy times as often as another one.
func (g generator) team() string {
	share := g.random.Float64() * (float64(g.Teams) + g.Greedy)
	return TeamName(min(int(share), g.Teams))
}

// TeamName returns the name of a team, by its number from 0 on. The greedy team comes after the
// others: its number is Workload.Teams.
func TeamName(number int) string { return "team-" + strconv.Itoa(number+1) }

// taskCount draws the number of tasks of a job: most jobs are small, few are as large as allowed.
func (g generator) taskCount() int {
	largest := g.Largest
	if largest == 0 {
		largest = MaxTasks
	}
	n := math.Exp(g.random.Float64() * math.Log(float64(largest)))
	return min(int(n), largest)
}

// typicalRunMS draws the typical run time of a job's tasks from a log-uniform distribution.
func (g generator) typicalRunMS() float64 {
	return minRunMS * math.Exp(g.random.Float64()*math.Log(maxTypicalRunMS/minRunMS))
}

// runMS draws the run time of one task: a value near its job's typical run time, a multiple of it for
// a straggler, or one of several seconds for a long task.
func (g generator) runMS(typicalMS float64) int64 {
	runMS := typicalMS * (0.7 + 0.6*g.random.Float64())
	switch pick := g.random.Float64(); {
	case pick < g.Stragglers:
		runMS *= minStragglerFactor + (maxStragglerFactor-minStragglerFactor)*g.random.Float64()
	case pick < g.Stragglers+longRunShare:
		runMS = maxTypicalRunMS + (maxRunMS-maxTypicalRunMS)*g.random.Float64()
	}
	return int64(min(max(runMS, minRunMS), maxRunMS))
}

// declaredRunMS returns the run time that the caller declares for a task: the true one, off by a
// random factor of up to Workload.DeclaredError either way.
func (g generator) declaredRunMS(runMS int64) int64 {
	factor := math.Exp((2*g.random.Float64() - 1) * math.Log(g.DeclaredError))
	return max(1, int64(float64(runMS)*factor))
}

// cancelInWave marks a share of the jobs sent during the wave as cancelled by their callers.
func (g generator) cancelInWave(jobs []Job, wave CancelWave) {
	for i := range jobs {
		at := jobs[i].At()
		if at >= wave.At && at < wave.At+wave.Length && g.random.Float64() < wave.Share {
			jobs[i].CancelMS = minCancelDelayMS + g.random.Int64N(maxCancelDelayMS-minCancelDelayMS)
		}
	}
}
