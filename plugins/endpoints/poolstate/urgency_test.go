package poolstate

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"redwingpulley/kernel/model"
	"redwingpulley/kernel/port"
)

var simObjective = model.Objective{Stretch: 1.6, Slack: 60 * time.Millisecond, Useful: 3}

// simClass is a class of jobs that differ little.
type simClass struct {
	tasks       int
	run         time.Duration
	priority    int
	load, burst float64 // Shares of the slots that its jobs need, and that they need more during the burst.
}

// classJobs draws the jobs of a trace with classes.
func (s simTrace) classJobs(random *rand.Rand) (jobs []*simJob) {
	for team, c := range s.classes {
		for at := time.Duration(0); ; {
			load := c.load
			if at >= s.burstAt && at < s.burstAt+s.burst {
				load += c.burst
			}
			gap := float64(c.run) * float64(c.tasks) / (load * float64(s.endpoints*simSlots))
			if at += time.Duration(random.ExpFloat64() * gap); at >= s.length {
				break
			}
			j := &simJob{at: at, team: team}
			for range c.tasks {
				j.runs = append(j.runs, time.Duration(float64(c.run)*math.Exp(0.2*random.NormFloat64())))
				j.declared = append(j.declared, c.run)
			}
			jobs = append(jobs, j)
		}
	}
	slices.SortFunc(jobs, func(a, b *simJob) int { return int(a.at - b.at) })
	return jobs
}

// outcomeShares holds the shares of a team's jobs that ended in time, and late but of use.
type outcomeShares struct{ inTime, late float64 }

// sharesOf returns the shares among the team's jobs that came between two times.
func sharesOf(jobs []*simJob, team int, from, to time.Duration) (w outcomeShares) {
	count := 0.0
	for _, j := range jobs {
		if j.team != team || j.at < from || j.at >= to {
			continue
		}
		count++
		switch took, run := j.end-j.at, slices.Max(j.runs); {
		case j.end == 0:
		case took <= simObjective.For(run):
			w.inTime++
		case took <= simObjective.UsefulFor(run):
			w.late++
		}
	}
	return outcomeShares{w.inTime / count, w.late / count}
}

// newClassTrace returns a trace in which three classes use 0.6 of the slots, and the second one sends enough for twice the
// capacity from 4 to 7 s.
func newClassTrace(seed uint64, parts bool) simTrace {
	return simTrace{
		seed: seed, endpoints: 13, length: 11 * time.Second, deadline: 3 * time.Second, parts: parts,
		burstAt: 4 * time.Second, burst: 3 * time.Second,
		classes: []simClass{
			{tasks: 8, run: 50 * time.Millisecond, load: 0.2},
			{tasks: 2, run: 200 * time.Millisecond, load: 0.2, burst: 1.4},
			{tasks: 4, run: 800 * time.Millisecond, load: 0.2},
		},
	}
}

// Load: twice the capacity for 3 s, from one class. Guards against a burst that makes the jobs of other classes late, and against
// a queue of late parts that makes jobs late after the burst.
func TestBurstIsPaidByItsOwnClass(t *testing.T) {
	for _, parts := range []bool{false, true} {
		t.Run(fmt.Sprint("parts ", parts), func(t *testing.T) {
			is := is.New(t)
			for _, seed := range simSeeds {
				trace := newClassTrace(seed, parts)
				jobs := simulateDefaults(trace)
				during := func(team int) outcomeShares { return sharesOf(jobs, team, trace.burstAt, trace.burstAt+trace.burst) }
				after := sharesOf(jobs, 1, trace.burstAt+trace.burst+time.Second, trace.length)
				t.Logf("%+v %+v %+v, a second after the burst %+v", during(0), during(1), during(2), after)
				is.True(during(0).inTime > 0.9)
				is.True(during(2).inTime > 0.9)
				is.True(during(1).inTime > 0.33) // 0.6 of the slots are left for work of 1.6 times the slots.
				is.True(after.inTime > 0.9)
			}
		})
	}
}

// Load: two classes that each need all slots. Guards against a strict order, in which the less urgent class gets nothing, and
// against priorities without effect. The priorities 0 and 2 have the weights 4 and 1.
func TestLeastUrgentClassDoesNotStarve(t *testing.T) {
	is := is.New(t)
	for _, seed := range simSeeds {
		for _, parts := range []bool{false, true} {
			trace := newClassTrace(seed, parts)
			trace.classes = []simClass{
				{tasks: 4, run: 100 * time.Millisecond, load: 1},
				{tasks: 4, run: 100 * time.Millisecond, load: 1, priority: 2},
			}
			jobs := simulateDefaults(trace)
			urgent, other := sharesOf(jobs, 0, trace.burstAt, trace.length), sharesOf(jobs, 1, trace.burstAt, trace.length)
			t.Logf("%+v %+v", urgent, other)
			is.True(urgent.inTime > 0.65)
			is.True(other.inTime > 0.1)
			is.True(other.inTime < 0.35)
		}
	}
}

// newLateHarness returns a harness with a slot, the running task of team late there, and the team's late task that waits for it.
func newLateHarness() (h *harness, running Start, late model.TaskID) {
	h = newHarness(1)
	h.learnRunTime()
	running = h.submitFor("late", false, 30).Starts[0]
	h.submitFor("late", false, 30)
	h.now = h.now.Add(400 * time.Millisecond)
	h.step(Elapsed{})
	return h, running, model.JobID(fmt.Sprintf("n.i.1.%d.t", h.jobs)).TaskID(0)
}

// Load: a queue that has become late. Guards against late batches that hold back one that can still be in time, of their own team
// or of another one, and against late ones that never start although they are still of use.
func TestLateBatchDoesNotDelayOneInTime(t *testing.T) {
	for _, team := range []model.TeamID{"late", "other"} {
		t.Run(string(team), func(t *testing.T) {
			is := is.New(t)
			h, running, _ := newLateHarness()
			is.Equal(len(h.submitFor(team, false, 30).Starts), 0)
			inTime := model.JobID(fmt.Sprintf("n.i.1.%d.t", h.jobs)).TaskID(0)
			fx := h.reply(running, port.TaskDone)
			is.Equal(fx.Starts[0].Task, inTime)
			is.Equal(len(h.reply(fx.Starts[0], port.TaskDone).Starts), 1) // The late one follows.
		})
	}
}

// Load: a team whose batches are all late beside one that always has others. Guards against late batches that never get a slot.
func TestLateTeamGetsAShare(t *testing.T) {
	is := is.New(t)
	h, running, late := newLateHarness()
	started := 0
	for ; running.Task != late; started++ {
		h.submitFor("other", false, 30)
		h.now = h.now.Add(50 * time.Millisecond)
		running = h.reply(running, port.TaskDone).Starts[0]
		is.True(started <= 40)
	}
	is.True(started > 10)
}

// Load: a burst that is refused. Guards against refused callers that return together and are refused again.
func TestRetryAfterSpreads(t *testing.T) {
	is := is.New(t)
	h := newHarness(1)
	h.learnRunTime()
	var delays []time.Duration
	for range 12 {
		for _, result := range h.submitWithObjective(true).Ended {
			delays = append(delays, result.RetryAfter)
		}
	}
	is.True(len(delays) >= 9)
	slices.Sort(delays)
	is.True(delays[len(delays)-1] > 3*delays[0])
}
