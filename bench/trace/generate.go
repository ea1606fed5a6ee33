package trace

import (
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"
)

// Workload describes load to be generated. Equal workloads and seeds give equal traces.
type Workload struct {
	Service  string
	Seed     uint64
	Length   time.Duration
	Slots    int           // Of all endpoints that the load is meant for.
	Load     float64       // Offered work as a share of the slots.
	Teams    int           // Teams with equal shares.
	Greedy   float64       // Load of one further team, as a multiple of a team's share; 0 for none.
	Deadline time.Duration // Of a job whose tasks all run up to a second.
	Largest  int           // Tasks of the largest jobs; 0 is taken as MaxTasks.

	Bursts        []Burst
	Waves         []Wave
	Stragglers    float64 // Share of tasks that run several times longer than their kind.
	DeclaredError float64 // Declared run times are off by up to this factor; 0 declares none.
}

// Burst is a time of higher load.
type Burst struct {
	At     time.Duration
	Length time.Duration
	Load   float64 // As Workload.Load, added to it.
}

// Wave is a time in which a share of the jobs sent is cancelled shortly after.
type Wave struct {
	At     time.Duration
	Length time.Duration
	Share  float64
}

// Run times and sizes of the users' jobs.
const (
	shortestRun  = 50   // Milliseconds.
	longestUsual = 1000 // Milliseconds.
	longShare    = 0.01 // Of tasks that last several seconds.
	longestRun   = 4000 // Milliseconds.
	stragglerMin = 3    // Times its run time.
	stragglerMax = 6
	cancelMinMS  = 20
	cancelMaxMS  = 400
	spareFactor  = 3 // A deadline leaves the longest task this many times its run time.
)

// Generate returns the jobs of the workload in the order of their times. Jobs arrive as a Poisson
// process whose rate gives the load asked for.
func Generate(w Workload) []Job {
	g := generator{w, rand.New(rand.NewPCG(w.Seed, 1))}
	perJob := g.meanWork()
	parts := [][]Job{g.arrivals(0, w.Length, w.Load, perJob)}
	for _, burst := range w.Bursts {
		parts = append(parts, g.arrivals(burst.At, burst.Length, burst.Load, perJob))
	}
	jobs := Merge(parts...)
	for _, wave := range w.Waves {
		g.cancel(jobs, wave)
	}
	return jobs
}

// Merge returns the jobs of several traces in the order of their times.
func Merge(traces ...[]Job) []Job {
	all := slices.Concat(traces...)
	slices.SortStableFunc(all, func(a, b Job) int { return int(a.AtMS - b.AtMS) })
	return all
}

type generator struct {
	Workload
	random *rand.Rand
}

// meanWork estimates the slot time of one job from a sample of its own.
func (g generator) meanWork() time.Duration {
	const sample = 4000
	apart := generator{g.Workload, rand.New(rand.NewPCG(g.Seed, 2))}
	var work time.Duration
	for range sample {
		work += apart.job(0).Work()
	}
	return work / sample
}

// arrivals returns jobs of a Poisson process from the given time on.
func (g generator) arrivals(from, length time.Duration, load float64, perJob time.Duration) []Job {
	rate := load * float64(g.Slots) / perJob.Seconds() // Jobs a second.
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
	kind := g.usualRun()
	longest := int64(0)
	for range g.size() {
		run := g.run(kind)
		longest = max(longest, run)
		job.RunMS = append(job.RunMS, run)
		if g.DeclaredError > 0 {
			job.DeclaredMS = append(job.DeclaredMS, g.declared(run))
		}
	}
	job.DeadlineMS = max(g.Deadline.Milliseconds(), spareFactor*longest)
	return job
}

// team picks a team; the greedy one, which comes last, is picked more often.
func (g generator) team() string {
	share := g.random.Float64() * (float64(g.Teams) + g.Greedy)
	return TeamName(min(int(share), g.Teams))
}

// TeamName returns the name of the team of a number from 0 on; the greedy one's number is the
// count of the others.
func TeamName(number int) string { return "team-" + strconv.Itoa(number+1) }

// size draws the tasks of a job: most are small, few are as large as allowed.
func (g generator) size() int {
	largest := g.Largest
	if largest == 0 {
		largest = MaxTasks
	}
	n := math.Exp(g.random.Float64() * math.Log(float64(largest)))
	return min(int(n), largest)
}

// usualRun draws the run time of a job's kind of task, in milliseconds, evenly over the logarithm.
func (g generator) usualRun() float64 {
	return shortestRun * math.Exp(g.random.Float64()*math.Log(longestUsual/shortestRun))
}

func (g generator) run(kind float64) int64 {
	run := kind * (0.7 + 0.6*g.random.Float64())
	switch pick := g.random.Float64(); {
	case pick < g.Stragglers:
		run *= stragglerMin + (stragglerMax-stragglerMin)*g.random.Float64()
	case pick < g.Stragglers+longShare:
		run = longestUsual + (longestRun-longestUsual)*g.random.Float64()
	}
	return int64(min(max(run, shortestRun), longestRun))
}

func (g generator) declared(run int64) int64 {
	off := math.Exp((2*g.random.Float64() - 1) * math.Log(g.DeclaredError))
	return max(1, int64(float64(run)*off))
}

func (g generator) cancel(jobs []Job, wave Wave) {
	for i := range jobs {
		at := jobs[i].At()
		if at >= wave.At && at < wave.At+wave.Length && g.random.Float64() < wave.Share {
			jobs[i].CancelMS = cancelMinMS + g.random.Int64N(cancelMaxMS-cancelMinMS)
		}
	}
}
