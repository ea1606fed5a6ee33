package poolstate

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"redwingpulley/kernel/invariant"
	"redwingpulley/kernel/model"
	"redwingpulley/kernel/port"
	"redwingpulley/plugins/endpoints/runtimes"
)

// runJobs submits jobs of one task, replies to each start with the state that outcome returns, and
// returns the number of starts at each endpoint.
func (h *harness) runJobs(jobs int, outcome func(Start) port.TaskState) map[model.EndpointID]int {
	starts := map[model.EndpointID]int{}
	for range jobs {
		h.jobs++
		fx := h.submit(model.JobID(fmt.Sprintf("n.i.1.%d.t", h.jobs)), "t", 1)
		for len(fx.Starts) > 0 {
			s := fx.Starts[0]
			starts[s.Endpoint]++
			fx = h.reply(s, outcome(s))
		}
	}
	return starts
}

func failAt(id model.EndpointID, state port.TaskState) func(Start) port.TaskState {
	return func(s Start) port.TaskState {
		if s.Endpoint == id {
			return state
		}
		return port.TaskDone
	}
}

func done(Start) port.TaskState { return port.TaskDone }

func TestFailingEndpointIsQuarantinedAndProbed(t *testing.T) {
	for _, state := range []port.TaskState{port.TaskFailed, port.TaskNotRun} {
		t.Run(string(state), func(t *testing.T) {
			is := is.New(t)
			h := newHarness(2, 2, 2, 2)
			sent := 0
			for range 4 { // A refusal blocks its slot until the next announcement.
				sent += h.runJobs(25, failAt("b", state))["b"]
				h.advance(firstProbeDelay / 10)
			}
			is.True(sent <= 2*minFailuresInRow)
			is.Equal(h.Load().Slots, 6)
			h.advance(firstProbeDelay)
			is.Equal(h.runJobs(100, failAt("b", state))["b"], 1)
			h.advance(firstProbeDelay)
			is.Equal(h.runJobs(100, done)["b"], 0) // The next probe waits twice as long.
			h.advance(firstProbeDelay)
			is.True(h.runJobs(100, done)["b"] > probesToRecover)
			is.Equal(h.Load().Slots, 8)
		})
	}
}

func TestTaskFailingEverywhereQuarantinesNoEndpoint(t *testing.T) {
	is := is.New(t)
	h := newHarness(2, 2, 2, 2)
	h.runJobs(50, done)
	h.runJobs(500, func(Start) port.TaskState { return port.TaskFailed })
	is.Equal(h.quarantinedEndpoints, 0)
	h = newHarness(2, 2, 2, 2)
	for i := range 200 { // One job in four fails wherever it runs.
		h.runJobs(1, func(Start) port.TaskState {
			if i%4 == 0 {
				return port.TaskFailed
			}
			return port.TaskDone
		})
	}
	is.Equal(h.quarantinedEndpoints, 0)
}

func TestRefusedTaskIsRetriedElsewhereWithinRetryBudget(t *testing.T) {
	is := is.New(t)
	h := newHarness(1, 1)
	fx := h.submit("j", "t", 1)
	first := fx.Starts[0]
	fx = h.reply(first, port.TaskNotRun)
	is.Equal(len(fx.Starts), 1)
	is.True(fx.Starts[0].Endpoint != first.Endpoint)
	h.retries.tokens = 0
	fx = h.reply(fx.Starts[0], port.TaskNotRun)
	is.Equal(len(fx.Starts), 0)
	is.Equal(fx.Ended[0].Results, []model.TaskResult{{Run: model.NotRun, Reason: model.ReasonRefused}})
}

func TestRefusalBlocksSlotUntilNextAnnouncement(t *testing.T) {
	is := is.New(t)
	h := newHarness(1)
	fx := h.submit("j", "t", 1)
	fx = h.reply(fx.Starts[0], port.TaskNotRun)
	is.Equal(len(fx.Starts), 0) // A task of the pool's former owner may occupy the slot.
	is.Equal(h.Load().Free, 0)
	is.Equal(len(h.announce("a", 1, model.EndpointServing).Starts), 1)
}

func TestUnconfirmedTaskOccupiesItsSlotUntilItIsRevoked(t *testing.T) {
	is := is.New(t)
	h := newHarness(1)
	s := h.submit("j", "t", 1).Starts[0]
	h.reply(s, port.TaskUnknown)
	fx := h.step(RevokeReplied{s.Task, 1, port.RevokeReply{State: port.TaskUnknown}})
	is.Equal(fx.Revokes[0].After, revokeBackoff)
	is.Equal(h.Load().Free, 0)
	h.advance(DefaultEndpointLease)
	is.Equal(h.Load().Slots, 0)
	fx = h.announce("a", 1, model.EndpointServing) // The endpoint is back, and the end of its task is not confirmed.
	is.Equal(h.Load().Slots, 1)
	is.Equal(h.Load().Free, 0)
	h.step(RevokeReplied{s.Task, 1, port.RevokeReply{State: port.TaskRevoked}})
	is.Equal(len(h.inFlight), 1) // The revoked task has been started again.
	is.Equal(len(fx.Starts), 0)
}

func TestForeignTaskOccupiesSlotAndIsStoppedWhenItsOriginIsGone(t *testing.T) {
	is := is.New(t)
	h := newHarness()
	endpoint := model.Endpoint{ID: "a", Slots: 2, State: model.EndpointServing, Running: []model.TaskID{"n.i.1.1.t.0"}}
	h.step(Owners{Live: []Origin{{"n", "i"}}})
	h.step(Announced{Endpoint: endpoint})
	is.Equal(h.Load().Free, 1)
	h.step(Owners{Live: []Origin{{"n", "restarted"}}})
	is.Equal(len(h.advance(originGrace/2).Revokes), 0)
	fx := h.advance(originGrace / 2)
	is.Equal(fx.Revokes, []Revoke{{Task: "n.i.1.1.t.0", Endpoint: "a", Stop: true}})
	is.Equal(h.step(Announced{Endpoint: endpoint}).Revokes, fx.Revokes) // Repeated while the endpoint lists the task.
	endpoint.Running = nil
	h.step(Announced{Endpoint: endpoint})
	is.Equal(h.Load().Free, 2)
}

func TestBatchEndsWhenItsOriginIsGone(t *testing.T) {
	is := is.New(t)
	h := newHarness(1)
	h.submit("n.i.1.1.t", "t", 2)
	h.step(Owners{Live: nil})
	fx := h.advance(originGrace)
	is.Equal(len(fx.Ended), 1)
	is.Equal(len(fx.Revokes), 1)
	is.True(fx.Revokes[0].Stop)
	is.Equal(h.Load().Queued, 0)
}

func TestEndedTaskInOldAnnouncementOccupiesNoSlot(t *testing.T) {
	is := is.New(t)
	h := newHarness(1)
	s := h.submit("j", "t", 1).Starts[0]
	h.reply(s, port.TaskDone)
	h.step(Announced{Endpoint: model.Endpoint{ID: "a", Slots: 1, State: model.EndpointServing, Running: []model.TaskID{s.Task}}})
	is.Equal(h.Load().Free, 1)
}

func TestTaskThatWouldMissItsDeadlineIsNotStarted(t *testing.T) {
	is := is.New(t)
	h := newHarness(1)
	for range 2 * runtimes.PriorSamples {
		s := h.submit("learn", "t", 1).Starts[0]
		h.now = h.now.Add(time.Second)
		h.announce("a", 1, model.EndpointServing)
		h.reply(s, port.TaskDone)
	}
	running := h.submit("first", "t", 1).Starts[0]
	h.step(Submitted{model.Batch{
		ID: model.BatchID{Job: "second"}, Team: "t", Tasks: make([]model.Task, 1), Deadline: h.now.Add(2500 * time.Millisecond),
	}, profileWithoutAdmission()})
	h.now = h.now.Add(2 * time.Second)
	fx := h.reply(running, port.TaskDone)
	is.Equal(len(fx.Starts), 0)
	i := slices.IndexFunc(fx.Ended, func(r model.BatchResult) bool { return r.ID.Job == "second" })
	is.Equal(fx.Ended[i].Results, []model.TaskResult{{Run: model.NotRun, Reason: model.ReasonDeadline}})
}

func tasksNumbered(tasks int) []model.Task {
	all := make([]model.Task, tasks)
	for i := range all {
		all[i].Index = i
	}
	return all
}

func profileWithoutAdmission() model.Profile {
	profile := model.BuiltInProfile()
	profile.Admission = "open"
	return profile
}

func TestPlacementNeverExceedsSlots(t *testing.T) {
	for name := range shipped.Placements {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := newHarness(2, 2)
			profile := profileWithoutAdmission()
			profile.Placement = name
			fx := h.step(Submitted{model.Batch{
				ID: model.BatchID{Job: "j"}, Team: "t", Tasks: tasksNumbered(20), Deadline: h.now.Add(time.Minute),
			}, profile})
			is.True(len(fx.Starts) <= 4)
			is.Equal(len(fx.Starts)+h.Load().Queued, 20)
			h.announce("a", 2, model.EndpointLeaving)
			is.Equal(len(h.endpoints["a"].held), 0) // Held tasks went back to the queue.
		})
	}
}

func TestStartPanicsWhenAnInvariantIsBroken(t *testing.T) {
	for name, violate := range map[string]func(*harness, *task){
		"one-start": func(h *harness, t *task) { h.inFlight[t.id] = t },
		"serving":   func(h *harness, _ *task) { h.announce("a", 1, model.EndpointLeaving) },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := newHarness(1)
			b := h.newBatch(h.now, &Submitted{Batch: model.Batch{ID: model.BatchID{Job: "k"}, Tasks: make([]model.Task, 1)}})
			violate(h, &b.tasks[0])
			defer func() {
				v, ok := recover().(invariant.Violation)
				is.True(ok)
				is.Equal(v.Name, name)
			}()
			h.start(h.now, &b.tasks[0], h.endpoints["a"], "on purpose", &Effects{})
			t.Fatal("start did not panic although an invariant was broken")
		})
	}
}
