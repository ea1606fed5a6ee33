package poolstate

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"redwingpulley/kernel/model"
	"redwingpulley/kernel/port"
)

// interferenceHarness is a harness in which tasks end by themselves: after 100 ms, and after 150 ms if tasks of teams a and b are
// on one endpoint when it starts or ends.
type interferenceHarness struct {
	*harness
	running []Start
	started map[model.TaskID]time.Time
	beside  int // Tasks of a and b that started beside a task of the other.
	changes int
}

func newInterferenceHarness(endpoints int) *interferenceHarness {
	h := newUniformHarness(endpoints, 2)
	h.separateInterfering()
	return &interferenceHarness{harness: h, started: map[model.TaskID]time.Time{}}
}

// disturbs reports whether the endpoint of a task runs a task of the other one of teams a and b.
func (h *interferenceHarness) disturbs(id model.TaskID) bool {
	t := h.inFlight[id]
	other := map[model.TeamID]model.TeamID{"a": "b", "b": "a"}[t.batch.Team]
	for _, u := range t.endpoint.tasks {
		if u.batch.Team == other {
			return true
		}
	}
	return false
}

// start submits a job of one task, and reports whether it started at once.
func (h *interferenceHarness) start(team model.TeamID) bool {
	h.jobs++
	fx := h.submit(model.JobID(fmt.Sprintf("n.i.1.%d.t", h.jobs)), team, 1)
	h.add(fx)
	return len(fx.Starts) == 1
}

func (h *interferenceHarness) add(fx Effects) {
	h.changes += len(fx.Interference)
	for _, s := range fx.Starts {
		h.running = append(h.running, s)
		h.started[s.Task] = h.now
		if h.disturbs(s.Task) {
			h.beside++
		}
	}
}

// tick advances the time and announces the endpoints with the tasks that they run.
func (h *interferenceHarness) tick(d time.Duration) {
	h.now = h.now.Add(d)
	for _, id := range slices.Sorted(maps.Keys(h.slots)) {
		var running []model.TaskID
		for _, t := range h.endpoints[id].tasks {
			running = append(running, t.id)
		}
		h.announce(id, h.slots[id], model.EndpointServing, running...)
	}
	h.step(Elapsed{})
}

// run advances the time in steps of 10 ms, each with a chance of 1 in n of a task of each of four teams.
func (h *interferenceHarness) run(d time.Duration, n uint64) {
	for random, end := uint64(1), h.now.Add(d); h.now.Before(end); h.tick(10 * time.Millisecond) {
		for _, team := range []model.TeamID{"a", "b", "c", "d"} {
			if random = random*6364136223846793005 + 1442695040888963407; (random>>33)%n == 0 {
				h.start(team)
			}
		}
		for i := len(h.running) - 1; i >= 0; i-- {
			s := h.running[i]
			if took := h.now.Sub(h.started[s.Task]); took >= 150*time.Millisecond || took >= 100*time.Millisecond && !h.disturbs(s.Task) {
				h.running = append(h.running[:i], h.running[i+1:]...)
				h.add(h.reply(s, port.TaskDone))
			}
		}
	}
}

// Guards against teams that go on slowing each other down although there is room to keep them apart, and against a task that waits or
// is refused where there is none.
func TestInterferingTeamsAreSeparatedOnlyWhereThereIsRoom(t *testing.T) {
	is := is.New(t)
	h := newInterferenceHarness(12)
	h.run(40*time.Second, 3)          // More than half of the slots are taken.
	is.True(h.InterferingPairs() > 0) // The reverse of a pair that is found may stay unknown, since its teams no longer meet.
	before, jobs := h.beside, h.jobs
	h.run(10*time.Second, 3)
	is.True(h.jobs-jobs > 300)
	is.True(h.beside-before <= (h.jobs-jobs)/200)

	h.run(time.Second, 1<<30) // All end.
	for range 12 {
		is.True(h.start("a"))
	}
	for range 12 {
		is.True(h.start("b")) // Beside a task of a, since there is no other room.
	}
}

// Guards against a switch that has an effect while it is off.
func TestPoolLearnsNothingUnlessItSeparates(t *testing.T) {
	is := is.New(t)
	h := newInterferenceHarness(12)
	h.separation = separation{}
	h.run(20*time.Second, 3)
	is.Equal(h.changes+h.InterferingPairs(), 0)
	is.True(h.beside > h.jobs/50)
}
