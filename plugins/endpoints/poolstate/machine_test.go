package poolstate

import (
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"redwingpulley/kernel/invariant"
	"redwingpulley/kernel/model"
	"redwingpulley/kernel/port"
	"redwingpulley/plugins/admission/deadline"
	"redwingpulley/plugins/admission/open"
	"redwingpulley/plugins/placement/leastwait"
	"redwingpulley/plugins/placement/random"
	"redwingpulley/plugins/placement/roundrobin"
	"redwingpulley/plugins/placement/staleview"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

var finderPool = model.PoolID{Service: "finder", DataCentre: "sj1"}

// shipped holds the policies that the dispatcher is shipped with.
var shipped = Policies{
	Placements: map[string]port.Placement{
		"least_wait": leastwait.Policy{}, "random": random.Policy{},
		"round_robin": roundrobin.Policy{}, "stale_view": staleview.Policy{},
	},
	Admissions: map[string]port.Admission{"deadline": deadline.Policy{}, "open": open.Policy{}},
}

// harness runs a machine whose events take place at a time that the test sets.
type harness struct {
	*Machine
	now   time.Time
	slots map[model.EndpointID]int
	jobs  int
}

func newHarness(slots ...int) *harness {
	h := &harness{now: start, slots: map[model.EndpointID]int{}, Machine: New(finderPool, "sj1-a", shipped, 1)}
	for i, n := range slots {
		id := model.EndpointID(rune('a' + i))
		h.slots[id] = n
		h.announce(id, n, model.EndpointServing)
	}
	return h
}

func (h *harness) step(e Event) (fx Effects) {
	h.Step(h.now, e, &fx)
	return fx
}

func (h *harness) announce(id model.EndpointID, slots int, state model.EndpointState, running ...model.TaskID) Effects {
	return h.step(Announced{Endpoint: model.Endpoint{
		ID: id, Service: "finder", DataCentre: "sj1", Slots: slots, State: state, Address: string(id), Running: running,
	}})
}

// advance moves the time on and returns all revokes and ended batches. The endpoints announce themselves
// at the new time, unless a whole lease or more has passed.
func (h *harness) advance(d time.Duration) (sum Effects) {
	h.now = h.now.Add(d)
	add := func(fx Effects) {
		sum.Revokes = append(sum.Revokes, fx.Revokes...)
		sum.Ended = append(sum.Ended, fx.Ended...)
	}
	if d < DefaultEndpointLease {
		for _, id := range slices.Sorted(maps.Keys(h.slots)) {
			add(h.announce(id, h.slots[id], model.EndpointServing))
		}
	}
	add(h.step(Elapsed{}))
	return sum
}

func (h *harness) submit(job model.JobID, team model.TeamID, tasks int) Effects {
	b := model.Batch{ID: model.BatchID{Job: job}, Pool: finderPool, Team: team, Deadline: h.now.Add(10 * time.Second)}
	for i := range tasks {
		b.Tasks = append(b.Tasks, model.Task{Index: i})
	}
	return h.step(Submitted{b, model.BuiltInProfile()})
}

func (h *harness) reply(s Start, state port.TaskState) Effects {
	return h.step(Replied{Task: s.Task, Attempt: s.Attempt, Reply: port.TaskReply{State: state, Answer: []byte(s.Task)}})
}

func TestBatchEndsWhenAllTasksHaveAnswered(t *testing.T) {
	is := is.New(t)
	h := newHarness(1, 1)
	fx := h.submit("j", "t", 3)
	is.Equal(len(fx.Starts), 2)
	is.Equal(len(h.reply(fx.Starts[1], port.TaskDone).Starts), 1)
	is.Equal(len(h.reply(fx.Starts[0], port.TaskDone).Ended), 0)
	last := h.step(Replied{Task: "j.2", Attempt: 1, Reply: port.TaskReply{State: port.TaskDone}})
	is.Equal(len(last.Ended), 1)
	is.Equal(len(last.Ended[0].Results), 3)
	is.Equal(h.Load().Free, 2)
}

func TestStartWithUnknownOutcomeIsRevokedBeforeItIsRetried(t *testing.T) {
	is := is.New(t)
	h := newHarness(1)
	first := h.submit("j", "t", 1).Starts[0]
	fx := h.reply(first, port.TaskUnknown)
	is.Equal(len(fx.Starts), 0)
	is.Equal(len(fx.Revokes), 1)
	fx = h.step(RevokeReplied{first.Task, first.Attempt, port.RevokeReply{State: port.TaskUnknown}})
	is.Equal(len(fx.Starts), 0) // No reply does not mean that the task never started.
	fx = h.step(RevokeReplied{first.Task, first.Attempt, port.RevokeReply{State: port.TaskRevoked}})
	is.Equal(len(fx.Starts), 1)
	is.Equal(fx.Starts[0].Attempt, 2)
	is.Equal(len(h.reply(first, port.TaskDone).Ended), 0) // A late answer of the first attempt is ignored.
}

func TestLeavingEndpointGetsNoWork(t *testing.T) {
	is := is.New(t)
	h := newHarness(4)
	h.announce("a", 4, model.EndpointLeaving)
	fx := h.submit("j", "t", 1)
	is.True(fx.Ended[0].Refused)
}

func TestEndpointWithoutAnnouncementsGetsNoWork(t *testing.T) {
	is := is.New(t)
	h := newHarness(4)
	h.now = start.Add(DefaultEndpointLease)
	h.step(Elapsed{})
	is.True(h.submit("j", "t", 1).Ended[0].Refused)
}

func TestTeamsTakeTurns(t *testing.T) {
	is := is.New(t)
	h := newHarness(1)
	running := h.submit("big", "noisy", 5).Starts[0]
	h.submit("small", "quiet", 1)
	second := h.reply(running, port.TaskDone).Starts[0]
	is.Equal(string(second.Task), "small.0")
}

func TestFailedTaskEndsBatchAndStopsItsOtherTasks(t *testing.T) {
	is := is.New(t)
	h := newHarness(2)
	fx := h.submit("j", "t", 4)
	fx = h.reply(fx.Starts[0], port.TaskFailed)
	is.Equal(len(fx.Ended), 1)
	is.Equal(len(fx.Revokes), 1)
	is.True(fx.Revokes[0].Stop)
	is.Equal(h.Load().Queued, 0)
}

func TestStartPanicsWhenSlotsAreExceeded(t *testing.T) {
	is := is.New(t)
	h := newHarness(1)
	h.submit("j", "t", 1)
	e := h.endpoints["a"]
	defer func() {
		v, ok := recover().(invariant.Violation)
		is.True(ok)
		is.Equal(v.Name, "slots")
	}()
	b := h.newBatch(h.now, &Submitted{Batch: model.Batch{ID: model.BatchID{Job: "k"}, Tasks: make([]model.Task, 1)}})
	h.start(h.now, &b.tasks[0], e, "past the placer", &Effects{}) // The only slot is taken already.
	t.Fatal("start did not panic although an invariant was broken")
}
