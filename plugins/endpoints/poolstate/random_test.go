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

// TestMain sets the seed and the length of random runs where the command line names none.
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

// world is what a pool's surroundings know: what was sent, and what has been settled.
type world struct {
	t        *rapid.T
	now      time.Time
	profile  model.Profile
	machine  *Machine
	twin     *Machine // Gets the same events and must give the same effects.
	leases   map[model.EndpointID]time.Time
	declared map[model.EndpointID]model.Endpoint
	away     map[model.TaskID]Start // Sent and not settled.
	tries    map[model.TaskID]int
	ran      map[model.TaskID]bool     // Had a run that failed or was lost.
	others   map[model.EndpointID]bool // Held by another member, as far as this one was told.
	revokes  []Revoke
	open     map[model.BatchID]int // Tasks of batches that have not ended.
	started  map[model.BatchID]int
	next     int
}

var randomEndpoints = []model.EndpointID{"a", "b", "c", "d"}

func newWorld(t *rapid.T) *world {
	profile := model.BuiltInProfile()
	profile.Placement = rapid.SampledFrom([]string{"least_wait", "random", "round_robin", "stale_view"}).Draw(t, "placement")
	profile.Admission = rapid.SampledFrom([]string{"deadline", "open"}).Draw(t, "admission")
	profile.RetryBudget = 0.5
	return &world{
		t: t, now: start, profile: profile,
		machine: New(finderPool, "sj1-a", shipped, 1), twin: New(finderPool, "sj1-a", shipped, 1),
		leases: map[model.EndpointID]time.Time{}, declared: map[model.EndpointID]model.Endpoint{},
		away: map[model.TaskID]Start{}, tries: map[model.TaskID]int{},
		ran: map[model.TaskID]bool{}, others: map[model.EndpointID]bool{},
		open: map[model.BatchID]int{}, started: map[model.BatchID]int{},
	}
}

func (w *world) step(event Event) {
	var fx, same Effects
	w.machine.Step(w.now, event, &fx)
	w.twin.Step(w.now, event, &same)
	if !reflect.DeepEqual(fx, same) {
		w.t.Fatalf("equal events gave other effects:\n%+v\n%+v", fx, same)
	}
	for _, s := range fx.Starts {
		w.checkStart(s)
	}
	w.revokes = append(w.revokes, fx.Revokes...)
	for _, result := range fx.Ended {
		w.checkEnd(result)
	}
}

func (w *world) checkStart(s Start) {
	if earlier, twice := w.away[s.Task]; twice {
		w.t.Fatalf("task %s was sent to %s and again to %s without a fence", s.Task, earlier.Endpoint, s.Endpoint)
	}
	if w.tries[s.Task]+1 != s.Attempt {
		w.t.Fatalf("attempt %d of task %s follows %d", s.Attempt, s.Task, w.tries[s.Task])
	}
	e := w.declared[s.Endpoint]
	if e.State != model.EndpointServing || !w.leases[s.Endpoint].After(w.now) {
		w.t.Fatalf("task %s was sent to %s, which is leaving or behind its lease", s.Task, s.Endpoint)
	}
	if w.others[s.Endpoint] {
		w.t.Fatalf("task %s was sent to %s, which another member holds", s.Task, s.Endpoint)
	}
	if !s.Deadline.After(w.now) {
		w.t.Fatalf("task %s was sent behind its deadline", s.Task)
	}
	w.tries[s.Task] = s.Attempt
	w.away[s.Task] = s
	if taken := w.takenAt(e); taken > e.Slots {
		w.t.Fatalf("endpoint %s has %d of %d slots taken", e.ID, taken, e.Slots)
	}
}

func (w *world) takenAt(e model.Endpoint) int {
	taken := len(w.machine.endpoints[e.ID].foreign)
	for _, s := range w.away {
		if s.Endpoint == e.ID && w.now.Before(s.Deadline) {
			taken++
		}
	}
	return taken
}

func (w *world) checkEnd(result model.BatchResult) {
	tasks, open := w.open[result.ID]
	if !open {
		w.t.Fatalf("batch %v ended twice", result.ID)
	}
	delete(w.open, result.ID)
	if result.Refused {
		for index := range tasks {
			if w.tries[result.ID.Job.TaskID(index)] > 0 {
				w.t.Fatalf("batch %v was refused after its task %d had been sent", result.ID, index)
			}
		}
	}
	seen := map[int]bool{}
	for _, r := range result.Results {
		seen[r.Index] = true
		tried := w.tries[result.ID.Job.TaskID(r.Index)] > 0
		_, unsettled := w.away[result.ID.Job.TaskID(r.Index)]
		ran := w.ran[result.ID.Job.TaskID(r.Index)]
		if r.Run == model.NotRun && (unsettled || ran) || r.Done && !tried {
			w.t.Fatalf("result %+v of a task with tries %t, unsettled %t", r, tried, unsettled)
		}
	}
	if !result.Refused && (len(seen) != tasks || len(result.Results) != tasks) {
		w.t.Fatalf("batch %v of %d tasks ended with %d results", result.ID, tasks, len(result.Results))
	}
}

func (w *world) announce(t *rapid.T) {
	id := rapid.SampledFrom(randomEndpoints).Draw(t, "endpoint")
	e := model.Endpoint{ID: id, Slots: rapid.IntRange(1, 3).Draw(t, "slots"), State: model.EndpointServing, Has: model.Needs{MilliCores: 2 + 2*int(id[0]%2)}}
	if known, ok := w.declared[id]; ok {
		e.Slots = known.Slots
	}
	if rapid.IntRange(0, 4).Draw(t, "leaving") == 0 {
		e.State = model.EndpointLeaving
	}
	e.Leased = id > "b"
	delete(w.others, id)
	if e.Leased && rapid.IntRange(0, 4).Draw(t, "handed over") == 0 {
		e.Running, e.Taken = []model.TaskID{"gone.x.1.1.t.0"}, model.Needs{MilliCores: 1}
	}
	if !e.Leased && rapid.IntRange(0, 4).Draw(t, "foreign") == 0 {
		e.Running = append(e.Running, "gone.x.1.1.t.0")
	}
	w.declared[id] = e
	w.leases[id] = w.now.Add(EndpointLease)
	w.step(Announced{Endpoint: e})
}

func (w *world) submit(t *rapid.T) {
	w.next++
	b := model.Batch{
		ID: model.BatchID{Job: model.JobID(fmt.Sprintf("n.i.1.%d.t", w.next))}, Pool: finderPool,
		Team:     model.TeamID(rapid.SampledFrom([]string{"s", "t", "u"}).Draw(t, "team")),
		Deadline: w.now.Add(time.Duration(rapid.IntRange(1, 6000).Draw(t, "deadline")) * time.Millisecond),

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
	w.open[b.ID] = len(b.Tasks)
	w.step(Submitted{Batch: b, Profile: w.profile})
}

// someStart draws a sent task that is not settled; ok is false when there is none.
func (w *world) someStart(t *rapid.T) (s Start, ok bool) {
	if len(w.away) == 0 {
		return Start{}, false
	}
	ids := slices.Sorted(maps.Keys(w.away))
	return w.away[rapid.SampledFrom(ids).Draw(t, "task")], true
}

func (w *world) reply(t *rapid.T) {
	s, ok := w.someStart(t)
	if !ok {
		return
	}
	state := rapid.SampledFrom([]port.TaskState{
		port.TaskDone, port.TaskDone, port.TaskDone, port.TaskNotRun, port.TaskFailed, port.TaskUnknown,
		port.TaskLost, port.TaskNoRoom, port.TaskAway,
	}).Draw(t, "state")
	if state != port.TaskUnknown {
		delete(w.away, s.Task)
	}
	switch state {
	case port.TaskFailed, port.TaskLost:
		w.ran[s.Task] = true
	case port.TaskAway:
		w.others[s.Endpoint] = true
	}
	w.step(Replied{s.Task, s.Attempt, port.TaskReply{State: state}})
}

func (w *world) lateReply(t *rapid.T) {
	s, ok := w.someStart(t)
	if !ok {
		return
	}
	w.step(Replied{s.Task, s.Attempt - 1, port.TaskReply{State: port.TaskDone}})
}

func (w *world) revokeReply(t *rapid.T) {
	if len(w.revokes) == 0 {
		return
	}
	r := w.revokes[0]
	w.revokes = w.revokes[1:]
	state := rapid.SampledFrom([]port.TaskState{
		port.TaskRevoked, port.TaskRunning, port.TaskUnknown, port.TaskDone, port.TaskStopped,
	}).Draw(t, "state")
	s, unsettled := w.away[r.Task]
	if unsettled && s.Attempt == r.Attempt && state != port.TaskRunning && state != port.TaskUnknown {
		delete(w.away, r.Task)
	}
	w.step(RevokeReplied{r.Task, r.Attempt, port.RevokeReply{State: state}})
}

func (w *world) cancel(t *rapid.T) {
	job := model.JobID(fmt.Sprintf("n.i.1.%d.t", rapid.IntRange(1, w.next+1).Draw(t, "batch")))
	w.step(Cancelled{model.BatchID{Job: job}})
}

func (w *world) wait(t *rapid.T) {
	w.now = w.now.Add(time.Duration(rapid.IntRange(1, 900).Draw(t, "ms")) * time.Millisecond)
	if rapid.Bool().Draw(t, "rings") { // Otherwise another event comes before the timer.
		w.step(Elapsed{})
	}
}

func (w *world) owners(t *rapid.T) {
	live := []Origin{{"n", "i"}}
	if rapid.IntRange(0, 5).Draw(t, "gone") == 0 {
		live = nil
	}
	w.step(Owners{live})
}

// moved has another member own the pool, and this one perhaps again later.
func (w *world) moved(*rapid.T) {
	for id, e := range w.declared {
		if e.Leased {
			w.others[id] = true
		}
	}
	w.step(Disowned{})
	w.step(Moved{})
}

// check recounts what the machine keeps as running sums.
func (w *world) check(t *rapid.T) {
	m := w.machine
	count, work := 0, time.Duration(0)
	for _, b := range m.batches {
		for i := range b.tasks {
			if b.tasks[i].place == inQueue {
				count++
				work += b.tasks[i].run.mean
			}
		}
	}
	var sums totals
	for _, e := range m.members {
		left := e.Has.MilliCores
		for _, t := range e.tasks {
			left -= t.spec().Needs.MilliCores
		}
		if left < 0 {
			t.Fatalf("endpoint %s has tasks for %d more than it has", e.ID, -left)
		}
		left = max(left-e.absent.MilliCores, 0) // Of tasks that this owner did not send.
		if e.absent != (model.Needs{}) && !m.timers.heap.has(&e.crowded) {
			t.Fatalf("endpoint %s has %v taken by others for ever", e.ID, e.absent)
		}
		free := max(e.offered()-e.busy(), 0)
		slots := e.offered()
		if usual := m.usual.MilliCores; usual > 0 && left/usual < free {
			slots -= free - left/usual
			free = left / usual
		}
		sums.slots += slots
		sums.free += free
		sums.held += len(e.held)
		sums.serving += min(e.offered(), 1)
	}
	sums.largest, sums.largestStale = m.totals.largest, m.totals.largestStale
	if count != m.queue.count || work != m.queue.work || sums != m.totals {
		t.Fatalf("recount: %d tasks, %v, %+v; kept: %d, %v, %+v", count, work, sums, m.queue.count, m.queue.work, m.totals)
	}
	if len(w.open) != len(m.batches) {
		t.Fatalf("%d batches are open, the machine has %d", len(w.open), len(m.batches))
	}
}

// TestRandomRuns drives a pool with random events. A longer run: -rapid.checks=100000 -rapid.seed=1.
func TestRandomRuns(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		t.Repeat(map[string]func(*rapid.T){
			"announce": w.announce, "announce too": w.announce, "submit": w.submit,
			"reply": w.reply, "reply too": w.reply, "reply as well": w.reply, "late reply": w.lateReply,
			"revoke reply": w.revokeReply, "revoke reply too": w.revokeReply,
			"cancel": w.cancel, "wait": w.wait, "owners": w.owners, "moved": w.moved, "": w.check,
		})
	})
}
