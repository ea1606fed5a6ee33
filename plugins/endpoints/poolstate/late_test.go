package poolstate

import (
	"container/heap"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"redwingpulley/kernel/model"
	"redwingpulley/kernel/port"
)

// Guards against issue 24: a batch that was late already took the slot from one that could still meet its objective, so that
// both were late.
func TestBatchThatCanMeetItsObjectiveGoesBeforeALateOne(t *testing.T) {
	is := is.New(t)
	h := newHarness(1)
	h.learnRunTime()
	running := h.submitWithObjective(false).Starts[0]
	late := h.submitWithObjective(false)
	is.Equal(len(late.Starts), 0)
	h.advance(300 * time.Millisecond) // 260 ms of wait are allowed.
	inTime := h.submitWithObjective(false)
	is.Equal(len(inTime.Starts), 0)
	next := h.reply(running, port.TaskDone).Starts[0]
	is.Equal(next.Task, model.TaskID("n.i.1."+strconv.Itoa(h.jobs)+".t.0"))
	is.Equal(len(h.reply(next, port.TaskDone).Starts), 1) // The late one starts as soon as none goes before it.
}

// Guards against the same order for ever: a late batch starts at the latest when its answer would be of no use any more.
func TestLateBatchIsNotPassedForEver(t *testing.T) {
	is := is.New(t)
	h := newHarness(1)
	h.learnRunTime()
	running := h.submitWithObjective(false).Starts[0]
	h.submitWithObjective(false)
	late := model.TaskID("n.i.1." + strconv.Itoa(h.jobs) + ".t.0")
	queuedAt := h.now
	h.advance(300 * time.Millisecond) // 260 ms of wait are allowed.
	for running.Task != late {
		is.True(h.now.Sub(queuedAt) < 2*time.Second) // The answer is of use for 1,080 ms.
		h.submitWithObjective(false)
		h.submitWithObjective(false)
		h.advance(100 * time.Millisecond)
		running = h.reply(running, port.TaskDone).Starts[0]
	}
	is.True(h.now.Sub(queuedAt) > 500*time.Millisecond)
}

// mixedLoad is a simulated pool of endpoints that two tasks fill. The jobs differ in needs, run times and numbers of tasks.
type mixedLoad struct {
	*harness
	random  *rand.Rand
	ends    mixedEnds
	arrived map[model.JobID]time.Time
	ended   map[model.TeamID]int // Number of jobs that have ended, by team.
	inTime  map[model.TeamID]int // Number of those within their objective.
}

// mixedEnd is the end of a run.
type mixedEnd struct {
	at    time.Time
	start Start
}

type mixedEnds []mixedEnd

func (e mixedEnds) Len() int           { return len(e) }
func (e mixedEnds) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e mixedEnds) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *mixedEnds) Push(x any)        { *e = append(*e, x.(mixedEnd)) }
func (e *mixedEnds) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// mixedKind is a kind of job.
type mixedKind struct {
	share float64       // Share of the work of all kinds.
	tasks int           // Number of tasks that go to the pool; jobs of eight tasks go to several.
	run   time.Duration // Run time of a task.
}

// objective returns the latency objective of a job of the kind.
func (k mixedKind) objective() time.Duration { return mixedObjective.For(k.run) }

var (
	mixedKinds = map[model.TeamID]mixedKind{
		"wide": {0.2, 3, 60 * time.Millisecond}, "small": {0.5, 2, 200 * time.Millisecond}, "long": {0.3, 4, 900 * time.Millisecond},
	}
	mixedObjective = model.Objective{Stretch: 1.6, Slack: 60 * time.Millisecond, Useful: 3}
)

const (
	mixedEndpoints = 12
	mixedCores     = 16000 // Cores of an endpoint, in thousandths.
	mixedNeeds     = 8000  // Average cores that a task needs, in thousandths.
)

// newMixedLoad returns an idle pool.
func newMixedLoad(seed uint64) *mixedLoad {
	l := &mixedLoad{
		harness: newHarness(), random: rand.New(rand.NewPCG(seed, 1)),
		arrived: map[model.JobID]time.Time{}, ended: map[model.TeamID]int{}, inTime: map[model.TeamID]int{},
	}
	for i := range mixedEndpoints {
		id := model.EndpointID(strconv.Itoa(i))
		l.step(Announced{model.Endpoint{
			ID: id, Address: string(id), Service: "finder", DataCentre: "sj1", Slots: 8, State: model.EndpointServing,
			Has: model.Needs{MilliCores: mixedCores}, Leased: true, Lease: time.Hour,
		}})
	}
	return l
}

// run submits jobs for the given time whose tasks need the given share of the pool's cores on average.
func (l *mixedLoad) run(length time.Duration, load float64) {
	next := map[model.TeamID]time.Time{}
	for end := l.now.Add(length); l.now.Before(end); {
		team, at := l.firstArrival(next, load)
		if len(l.ends) > 0 && l.ends[0].at.Before(at) {
			e := heap.Pop(&l.ends).(mixedEnd)
			l.now = e.at
			l.handle(l.reply(e.start, port.TaskDone))
			continue
		}
		l.now = at
		l.handle(l.step(Elapsed{}))
		l.submitKind(team)
		next[team] = at.Add(l.gap(mixedKinds[team], load))
	}
}

// firstArrival returns the team whose next job arrives first, and when that is.
func (l *mixedLoad) firstArrival(next map[model.TeamID]time.Time, load float64) (first model.TeamID, at time.Time) {
	for _, team := range slices.Sorted(maps.Keys(mixedKinds)) {
		if next[team].IsZero() {
			next[team] = l.now.Add(l.gap(mixedKinds[team], load))
		}
		if first == "" || next[team].Before(at) {
			first, at = team, next[team]
		}
	}
	return first, at
}

// gap draws the time to the next job of the kind, between half and one and a half of the mean.
func (l *mixedLoad) gap(k mixedKind, load float64) time.Duration {
	coreTime := k.run.Seconds() * float64(k.tasks*mixedNeeds)
	rate := load * k.share * mixedEndpoints * mixedCores / coreTime
	return time.Duration((0.5 + l.random.Float64()) / rate * float64(time.Second))
}

// handle lets the started tasks run and counts the jobs that have ended.
func (l *mixedLoad) handle(fx Effects) {
	for _, s := range fx.Starts {
		run := mixedKinds[l.teamOf(s.Task.Job())].run
		heap.Push(&l.ends, mixedEnd{l.now.Add(run), s})
	}
	for _, result := range fx.Ended {
		team := l.teamOf(result.ID.Job)
		l.ended[team]++
		if l.now.Sub(l.arrived[result.ID.Job]) <= mixedKinds[team].objective() && !result.Refused {
			l.inTime[team]++
		}
		delete(l.arrived, result.ID.Job)
	}
}

// teamOf returns the team of a job, which its id ends with.
func (*mixedLoad) teamOf(id model.JobID) model.TeamID {
	return model.TeamID(strings.TrimLeft(string(id), "0123456789"))
}

// submitKind submits a job of the team's kind, as a part that the pool does not refuse.
func (l *mixedLoad) submitKind(team model.TeamID) {
	l.jobs++
	k := mixedKinds[team]
	b := model.Batch{
		ID: model.BatchID{Job: model.JobID(strconv.Itoa(l.jobs) + string(team))}, Pool: finderPool, Team: team, MaxFailures: 1,
		Deadline: l.now.Add(3 * time.Second), Objective: mixedObjective,
	}
	needs := min(max(int(mixedNeeds*(1+0.2*l.random.NormFloat64())), mixedNeeds/2), mixedNeeds*3/2)
	for i := range k.tasks {
		b.Tasks = append(b.Tasks, model.Task{Index: i, Declared: k.run, Needs: model.Needs{MilliCores: needs}})
	}
	l.arrived[b.ID.Job] = l.now
	l.handle(l.step(Submitted{b, model.BuiltInProfile()}))
}

// Guards against issue 24: a pool with more work than its endpoints can do answered most of the short jobs late, since those
// that were late already went first.
func TestOverloadedPoolAnswersHalfOfTheShortJobsInTime(t *testing.T) {
	const (
		load   = 0.9 // Tasks with such needs fill about 0.82 of the cores.
		length = 20 * time.Second
		seeds  = 12
		least  = 0.5
	)
	is := is.New(t)
	ended, inTime := map[model.TeamID]int{}, map[model.TeamID]int{}
	for seed := range uint64(seeds) {
		l := newMixedLoad(seed + 1)
		l.run(length, load)
		for team := range mixedKinds {
			ended[team] += l.ended[team]
			inTime[team] += l.inTime[team]
		}
	}
	t.Logf("in time: %v of %v", inTime, ended)
	is.True(float64(inTime["wide"]) >= least*float64(ended["wide"]))
	is.True(float64(inTime["small"]) >= least*float64(ended["small"]))
}
