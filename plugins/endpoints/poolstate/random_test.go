package poolstate

import (
	"flag"
	"fmt"
	"maps"
	"os"
	"reflect"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"redwingpulley/kernel/model"
	"redwingpulley/kernel/port"
)

// TestMain sets the seed and the length of random runs that the command line does not set.
func TestMain(m *testing.M) {
	flag.Parse()
	named := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { named[f.Name] = true })
	for name, value := range map[string]string{"rapid.seed": "20260101", "rapid.steps": "150", "rapid.checks": "300"} {
		if !named[name] {
			flag.Set(name, value)
		}
	}
	os.Exit(m.Run())
}

// environment simulates the endpoints and members around a pool. It tracks which tasks were sent and
// which of them have ended, and checks each effect of the machine against that.
type environment struct {
	t         *rapid.T
	now       time.Time
	profile   model.Profile
	machine   *Machine
	twin      *Machine                            // Second machine, which gets the same events and must give the same effects.
	leases    map[model.EndpointID]time.Time      // Ends of the leases.
	announced map[model.EndpointID]model.Endpoint // Latest announcements.
	inFlight  map[model.TaskID]Start              // Tasks that were sent and whose end the machine has not been told.
	attempts  map[model.TaskID]int                // Attempts sent so far.
	ran       map[model.TaskID]bool               // Tasks with a run that failed or was lost.
	cordoned  map[model.EndpointID]bool           // Endpoints whose lease another member holds, as the machine was told.
	revokes   []Revoke
	open      map[model.BatchID]int // Number of tasks of each batch that has not ended.
	started   map[model.BatchID]int
	next      int
}

var randomEndpoints = []model.EndpointID{"a", "b", "c", "d"}

func newEnvironment(t *rapid.T) *environment {
	profile := model.BuiltInProfile()
	profile.Placement = rapid.SampledFrom([]string{"least_wait", "random", "round_robin", "stale_view"}).Draw(t, "placement")
	profile.Admission = rapid.SampledFrom([]string{"deadline", "open"}).Draw(t, "admission")
	profile.RetryBudget = 0.5
	return &environment{
		t: t, now: start, profile: profile,
		machine: New(finderPool, "sj1-a", shipped, 1), twin: New(finderPool, "sj1-a", shipped, 1),
		leases: map[model.EndpointID]time.Time{}, announced: map[model.EndpointID]model.Endpoint{},
		inFlight: map[model.TaskID]Start{}, attempts: map[model.TaskID]int{},
		ran: map[model.TaskID]bool{}, cordoned: map[model.EndpointID]bool{},
		open: map[model.BatchID]int{}, started: map[model.BatchID]int{},
	}
}

func (env *environment) step(event Event) {
	var fx, same Effects
	env.machine.Step(env.now, event, &fx)
	env.twin.Step(env.now, event, &same)
	if !reflect.DeepEqual(fx, same) {
		env.t.Fatalf("equal events gave different effects:\n%+v\n%+v", fx, same)
	}
	for _, s := range fx.Starts {
		env.checkStart(s)
	}
	env.revokes = append(env.revokes, fx.Revokes...)
	for _, result := range fx.Ended {
		env.checkEnd(result)
	}
}

func (env *environment) checkStart(s Start) {
	if earlier, twice := env.inFlight[s.Task]; twice {
		env.t.Fatalf("task %s was sent to %s and again to %s before its end was confirmed", s.Task, earlier.Endpoint, s.Endpoint)
	}
	if env.attempts[s.Task]+1 != s.Attempt {
		env.t.Fatalf("attempt %d of task %s follows %d", s.Attempt, s.Task, env.attempts[s.Task])
	}
	e := env.announced[s.Endpoint]
	if e.State != model.EndpointServing || !env.leases[s.Endpoint].After(env.now) {
		env.t.Fatalf("task %s was sent to %s, which is leaving or whose lease has ended", s.Task, s.Endpoint)
	}
	if env.cordoned[s.Endpoint] {
		env.t.Fatalf("task %s was sent to %s, whose lease another member holds", s.Task, s.Endpoint)
	}
	if !s.Deadline.After(env.now) {
		env.t.Fatalf("task %s was sent after its deadline", s.Task)
	}
	env.attempts[s.Task] = s.Attempt
	env.inFlight[s.Task] = s
	if taken := env.takenSlots(e); taken > e.Slots {
		env.t.Fatalf("endpoint %s has %d of %d slots taken", e.ID, taken, e.Slots)
	}
}

func (env *environment) takenSlots(e model.Endpoint) int {
	taken := len(env.machine.endpoints[e.ID].foreign)
	for _, s := range env.inFlight {
		if s.Endpoint == e.ID && env.now.Before(s.Deadline) {
			taken++
		}
	}
	return taken
}

func (env *environment) checkEnd(result model.BatchResult) {
	tasks, open := env.open[result.ID]
	if !open {
		env.t.Fatalf("batch %v ended twice", result.ID)
	}
	delete(env.open, result.ID)
	if result.Refused {
		for index := range tasks {
			if env.attempts[result.ID.Job.TaskID(index)] > 0 {
				env.t.Fatalf("batch %v was refused after its task %d had been sent", result.ID, index)
			}
		}
	}
	seen := map[int]bool{}
	for _, r := range result.Results {
		seen[r.Index] = true
		tried := env.attempts[result.ID.Job.TaskID(r.Index)] > 0
		_, unsettled := env.inFlight[result.ID.Job.TaskID(r.Index)]
		ran := env.ran[result.ID.Job.TaskID(r.Index)]
		if r.Run == model.NotRun && (unsettled || ran) || r.Done && !tried {
			env.t.Fatalf("result %+v of a task: sent %t, in flight %t", r, tried, unsettled)
		}
	}
	if !result.Refused && (len(seen) != tasks || len(result.Results) != tasks) {
		env.t.Fatalf("batch %v of %d tasks ended with %d results", result.ID, tasks, len(result.Results))
	}
}

func (env *environment) announce(t *rapid.T) {
	id := rapid.SampledFrom(randomEndpoints).Draw(t, "endpoint")
	e := model.Endpoint{ID: id, Slots: rapid.IntRange(1, 3).Draw(t, "slots"), State: model.EndpointServing, Has: model.Needs{MilliCores: 2 + 2*int(id[0]%2)}}
	if known, ok := env.announced[id]; ok {
		e.Slots = known.Slots
	}
	if rapid.IntRange(0, 4).Draw(t, "leaving") == 0 {
		e.State = model.EndpointLeaving
	}
	e.Leased = id > "b"
	delete(env.cordoned, id)
	if e.Leased && rapid.IntRange(0, 4).Draw(t, "handed over") == 0 {
		e.Running, e.Taken = []model.TaskID{"gone.x.1.1.t.0"}, model.Needs{MilliCores: 1}
	}
	if !e.Leased && rapid.IntRange(0, 4).Draw(t, "foreign") == 0 {
		e.Running = append(e.Running, "gone.x.1.1.t.0")
	}
	env.announced[id] = e
	env.leases[id] = env.now.Add(EndpointLease)
	env.step(Announced{Endpoint: e})
}

func (env *environment) submit(t *rapid.T) {
	env.next++
	b := model.Batch{
		ID: model.BatchID{Job: model.JobID(fmt.Sprintf("n.i.1.%d.t", env.next))}, Pool: finderPool,
		Team:     model.TeamID(rapid.SampledFrom([]string{"s", "t", "u"}).Draw(t, "team")),
		Deadline: env.now.Add(time.Duration(rapid.IntRange(1, 6000).Draw(t, "deadline")) * time.Millisecond),

		MaxFailures: rapid.IntRange(0, 3).Draw(t, "failures"),
		Whole:       rapid.Bool().Draw(t, "whole"),
	}
	if rapid.Bool().Draw(t, "objective") {
		b.Objective = model.Objective{Stretch: 1.6, Slack: 60 * time.Millisecond, Useful: 3}
	}
	most := rapid.IntRange(0, 5).Draw(t, "cores")
	for i := range rapid.IntRange(1, 12).Draw(t, "tasks") {
		b.Tasks = append(b.Tasks, model.Task{Index: i, Needs: model.Needs{MilliCores: most * (i % 2)}})
	}
	env.open[b.ID] = len(b.Tasks)
	env.step(Submitted{Batch: b, Profile: env.profile})
}

// drawInFlight draws a task that is in flight; ok is false when there is none.
func (env *environment) drawInFlight(t *rapid.T) (s Start, ok bool) {
	if len(env.inFlight) == 0 {
		return Start{}, false
	}
	ids := slices.Sorted(maps.Keys(env.inFlight))
	return env.inFlight[rapid.SampledFrom(ids).Draw(t, "task")], true
}

func (env *environment) reply(t *rapid.T) {
	s, ok := env.drawInFlight(t)
	if !ok {
		return
	}
	state := rapid.SampledFrom([]port.TaskState{
		port.TaskDone, port.TaskDone, port.TaskDone, port.TaskNotRun, port.TaskFailed, port.TaskUnknown,
		port.TaskLost, port.TaskNoRoom, port.TaskAway,
	}).Draw(t, "state")
	if state != port.TaskUnknown {
		delete(env.inFlight, s.Task)
	}
	switch state {
	case port.TaskFailed, port.TaskLost:
		env.ran[s.Task] = true
	case port.TaskAway:
		env.cordoned[s.Endpoint] = true
	}
	env.step(Replied{s.Task, s.Attempt, port.TaskReply{State: state}})
}

func (env *environment) lateReply(t *rapid.T) {
	s, ok := env.drawInFlight(t)
	if !ok {
		return
	}
	env.step(Replied{s.Task, s.Attempt - 1, port.TaskReply{State: port.TaskDone}})
}

func (env *environment) revokeReply(t *rapid.T) {
	if len(env.revokes) == 0 {
		return
	}
	r := env.revokes[0]
	env.revokes = env.revokes[1:]
	state := rapid.SampledFrom([]port.TaskState{
		port.TaskRevoked, port.TaskRunning, port.TaskUnknown, port.TaskDone, port.TaskStopped,
	}).Draw(t, "state")
	s, unsettled := env.inFlight[r.Task]
	if unsettled && s.Attempt == r.Attempt && state != port.TaskRunning && state != port.TaskUnknown {
		delete(env.inFlight, r.Task)
	}
	env.step(RevokeReplied{r.Task, r.Attempt, port.RevokeReply{State: state}})
}

func (env *environment) cancel(t *rapid.T) {
	job := model.JobID(fmt.Sprintf("n.i.1.%d.t", rapid.IntRange(1, env.next+1).Draw(t, "batch")))
	env.step(Cancelled{model.BatchID{Job: job}})
}

func (env *environment) wait(t *rapid.T) {
	env.now = env.now.Add(time.Duration(rapid.IntRange(1, 900).Draw(t, "ms")) * time.Millisecond)
	if rapid.Bool().Draw(t, "timer fires") { // Otherwise another event comes before Elapsed.
		env.step(Elapsed{})
	}
}

func (env *environment) owners(t *rapid.T) {
	live := []Origin{{"n", "i"}}
	if rapid.IntRange(0, 5).Draw(t, "gone") == 0 {
		live = nil
	}
	env.step(Owners{live})
}

// moved makes another member own the pool. This one may own it again later.
func (env *environment) moved(*rapid.T) {
	for id, e := range env.announced {
		if e.Leased {
			env.cordoned[id] = true
		}
	}
	env.step(Disowned{})
	env.step(Moved{})
}

// check compares the sums that the machine updates incrementally with a fresh count.
func (env *environment) check(t *rapid.T) {
	m := env.machine
	count, work := 0, time.Duration(0)
	for _, b := range m.batches {
		for i := range b.tasks {
			if b.tasks[i].phase == inQueue {
				count++
				work += b.tasks[i].run.mean
			}
		}
	}
	var sums totals
	for _, e := range m.endpointList {
		left := e.Has.MilliCores
		for _, t := range e.tasks {
			left -= t.spec().Needs.MilliCores
		}
		if left < 0 {
			t.Fatalf("endpoint %s has tasks that need %d milli-cores more than it has", e.ID, -left)
		}
		left = max(left-e.blockedNeeds.MilliCores, 0) // Resources assumed to be used by others.
		if e.blockedNeeds != (model.Needs{}) && !m.timers.heap.has(&e.unblockTimer) {
			t.Fatalf("endpoint %s has %v blocked for others with no timer to end it", e.ID, e.blockedNeeds)
		}
		free := max(e.schedulableSlots()-e.busy(), 0)
		slots := e.schedulableSlots()
		if averageNeeds := m.averageNeeds.MilliCores; averageNeeds > 0 && left/averageNeeds < free {
			slots -= free - left/averageNeeds
			free = left / averageNeeds
		}
		sums.slots += slots
		sums.free += free
		sums.held += len(e.held)
		sums.serving += min(e.schedulableSlots(), 1)
	}
	sums.largest, sums.largestStale = m.totals.largest, m.totals.largestStale
	if count != m.queue.count || work != m.queue.work || sums != m.totals {
		t.Fatalf("counted afresh: %d tasks, %v, %+v; in the machine: %d, %v, %+v", count, work, sums, m.queue.count, m.queue.work, m.totals)
	}
	if len(env.open) != len(m.batches) {
		t.Fatalf("%d batches have not ended, the machine has %d", len(env.open), len(m.batches))
	}
}

// TestRandomEvents feeds a pool random events. For a longer run: -rapid.checks=100000 -rapid.seed=1.
func TestRandomEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		env := newEnvironment(t)
		t.Repeat(map[string]func(*rapid.T){
			"announce": env.announce, "announce too": env.announce, "submit": env.submit,
			"reply": env.reply, "reply too": env.reply, "reply as well": env.reply, "late reply": env.lateReply,
			"revoke reply": env.revokeReply, "revoke reply too": env.revokeReply,
			"cancel": env.cancel, "wait": env.wait, "owners": env.owners, "moved": env.moved, "": env.check,
		})
	})
}
