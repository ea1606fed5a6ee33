package poolstate

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"redwingpulley/kernel/model"
	"redwingpulley/kernel/port"
)

// submitRepeatable submits a job of one task for each of the given needs. A task may run again until
// maxFailures of its runs have failed.
func (h *harness) submitRepeatable(maxFailures int, needs ...model.Needs) Effects {
	b := model.Batch{
		ID: model.BatchID{Job: "n.i.1.1.t"}, Pool: finderPool, Team: "t", Deadline: h.now.Add(10 * time.Second),
		Key: "key", MaxFailures: maxFailures,
	}
	for i, n := range needs {
		b.Tasks = append(b.Tasks, model.Task{Index: i, Needs: n})
	}
	return h.step(Submitted{b, model.BuiltInProfile()})
}

func TestFailedTaskRunsAgainElsewhereUpToMaxFailures(t *testing.T) {
	is := is.New(t)
	h := newHarness(1, 1)
	first := h.submitRepeatable(2, model.Needs{}).Starts[0]
	fx := h.reply(first, port.TaskFailed)
	is.Equal(len(fx.Ended), 0)
	is.Equal(fx.Starts[0].Attempt, 2)
	is.True(fx.Starts[0].Endpoint != first.Endpoint)
	fx = h.reply(fx.Starts[0], port.TaskFailed)
	is.Equal(len(fx.Starts), 0)
	is.Equal(fx.Ended[0].Results[0].Reason, model.ReasonTaskFailed)
	is.Equal(fx.Ended[0].Results[0].Run, model.MayHaveRun)
}

// Guards against runs that wait until their deadline at an endpoint that has started again: their lease's holder has to learn
// of the endpoint's next incarnation.
func TestRevokeAtReplacedEndpointNamesItsSuccessor(t *testing.T) {
	is := is.New(t)
	h := newHarness()
	first := model.Endpoint{ID: "e@1", Service: "finder", Address: "10.0.0.1:1", Slots: 1, State: model.EndpointServing, Born: 1, Sequence: 1, Leased: true}
	h.step(Announced{Endpoint: first})
	next := first
	next.ID, next.Born = "e@2", 2
	is.Equal(len(h.submitRepeatable(2, model.Needs{}).Starts), 1)
	fx := h.step(Announced{Endpoint: next})
	is.Equal(len(fx.Revokes), 1)
	is.Equal(fx.Revokes[0].Endpoint, first.ID)
	is.Equal(fx.Revokes[0].ReplacedBy, next.ID)
}

// Guards against starts that are meant for an incarnation that has gone: its last announcement arrived after the first one of the
// next incarnation, while the end of a run there was not known yet.
func TestLateAnnouncementDoesNotBringAReplacedIncarnationBack(t *testing.T) {
	is := is.New(t)
	h := newHarness()
	first := model.Endpoint{ID: "e@1", Service: "finder", Address: "10.0.0.1:1", Slots: 2, State: model.EndpointServing, Born: 1, Sequence: 1, Leased: true}
	h.step(Announced{Endpoint: first})
	next := first
	next.ID, next.Born = "e@2", 2
	s := h.submitRepeatable(2, model.Needs{}).Starts[0]
	h.step(Announced{Endpoint: next})
	is.Equal(h.Load().Slots, 2)
	first.Sequence = 2
	h.step(Announced{Endpoint: first})
	is.Equal(h.Load().Slots, 2)
	h.reply(s, port.TaskDone)
	is.Equal(len(h.Endpoints()), 1)
}

// Guards against more tasks at an endpoint than it has slots: an announcement that lacks the incarnation counted as one of a second
// endpoint at the same address.
func TestAnnouncementWithoutIncarnationAddsNoSecondEndpoint(t *testing.T) {
	complete := model.Endpoint{ID: "e@5", Service: "finder", Address: "10.0.0.1:1", Slots: 2, State: model.EndpointServing, Born: 5, Sequence: 1, Leased: true}
	incomplete := complete
	incomplete.ID, incomplete.Born, incomplete.Sequence = "e@0", 0, 2
	for _, order := range [][]model.Endpoint{{complete, incomplete}, {incomplete, complete, incomplete}} {
		is := is.New(t)
		h := newHarness()
		for _, e := range order {
			h.step(Announced{Endpoint: e})
		}
		is.Equal(h.Load().Slots, 2)
		is.Equal(h.Endpoints()[0].Endpoint.ID, complete.ID)
	}
}

func TestLostRunDoesNotCountAsFailure(t *testing.T) {
	is := is.New(t)
	h := newHarness(1, 1)
	s := h.submitRepeatable(1, model.Needs{}).Starts[0]
	for range 3 {
		fx := h.reply(s, port.TaskLost)
		is.Equal(len(fx.Ended), 0)
		s = fx.Starts[0]
	}
	fx := h.reply(s, port.TaskDone)
	is.True(fx.Ended[0].Results[0].Done)
}

func TestLostRunEndsBatchWhoseTasksMayStartOnce(t *testing.T) {
	is := is.New(t)
	h := newHarness(1, 1)
	s := h.submit("n.i.1.1.t", "t", 1).Starts[0]
	fx := h.reply(s, port.TaskLost)
	is.Equal(len(fx.Starts), 0)
	is.Equal(fx.Ended[0].Results[0].Run, model.MayHaveRun)
}

// TestTaskThatRanIsNotReportedAsNotRun guards against forgetting an earlier run: when the VM that held
// the lease of the endpoint stops, the run is lost, and the batch may end before the next one starts.
func TestTaskThatRanIsNotReportedAsNotRun(t *testing.T) {
	for _, state := range []port.TaskState{port.TaskLost, port.TaskFailed} {
		t.Run(string(state), func(t *testing.T) {
			is := is.New(t)
			h := newHarness(1)
			s := h.submitRepeatable(3, model.Needs{}).Starts[0]
			h.announce("a", 1, model.EndpointLeaving) // Leaves no endpoint for the next run.
			is.Equal(len(h.reply(s, state).Starts), 0)
			fx := h.step(Cancelled{model.BatchID{Job: "n.i.1.1.t"}})
			is.Equal(fx.Ended[0].Results[0].Run, model.MayHaveRun)
		})
	}
	t.Run("refused afterwards", func(t *testing.T) {
		is := is.New(t)
		h := newHarness(1, 1)
		s := h.submitRepeatable(3, model.Needs{}).Starts[0]
		fx := h.reply(s, port.TaskLost)
		h.retries.tokens = 0
		h.reply(fx.Starts[0], port.TaskNotRun)
		fx = h.step(Cancelled{model.BatchID{Job: "n.i.1.1.t"}})
		is.Equal(fx.Ended[0].Results[0].Run, model.MayHaveRun)
	})
}

func TestNoRoomReplyCostsNoRetryAndNoQuarantine(t *testing.T) {
	is := is.New(t)
	h := newHarness()
	h.announceLeased("a", 2000)
	s := h.submitRepeatable(1, model.Needs{MilliCores: 1000}).Starts[0]
	for attempt := range 5 * minFailuresInRow {
		h.retries.tokens = 0
		is.Equal(s.Attempt, attempt+1)
		fx := h.reply(s, port.TaskNoRoom)
		for len(fx.Starts) == 0 {
			is.Equal(len(fx.Ended), 0)
			h.now = h.now.Add(blockedTime)
			fx = h.step(Elapsed{})
		}
		s = fx.Starts[0]
	}
	is.True(h.reply(s, port.TaskDone).Ended[0].Results[0].Done)
}

func (h *harness) announceLeased(id model.EndpointID, milliCores int) Effects {
	return h.step(Announced{Endpoint: model.Endpoint{
		ID: id, Service: "finder", DataCentre: "sj1", Slots: 8, State: model.EndpointServing, Address: string(id),
		Has: model.Needs{MilliCores: milliCores, MemoryMB: 1024}, Leased: true,
	}})
}

func TestTasksStartOnlyWhereResourcesSuffice(t *testing.T) {
	is := is.New(t)
	h := newHarness()
	h.announceLeased("a", 16000)
	h.announceLeased("b", 24000)
	task := model.Needs{MilliCores: 7000, MemoryMB: 64}
	fx := h.submitRepeatable(1, task, task, task, task, task, task)
	is.Equal(len(fx.Starts), 5) // Two at endpoint a, three at b.
	is.Equal(h.Load().Free, 0)
	is.Equal(h.Load().Slots, 5)
	is.Equal(len(h.reply(fx.Starts[0], port.TaskDone).Starts), 1)
}

func TestOutdatedAnnouncementIsIgnored(t *testing.T) {
	is := is.New(t)
	h := newHarness()
	worker := model.Endpoint{
		ID: "a@5", Service: "finder", DataCentre: "sj1", Slots: 2, State: model.EndpointServing, Address: "x:1",
		Born: 5, Sequence: 3, Leased: true,
	}
	leaving := worker
	leaving.State, leaving.Sequence = model.EndpointLeaving, 4
	h.step(Announced{Endpoint: leaving})
	h.step(Announced{Endpoint: worker}) // Sent before the one above, and overtaken by it.
	is.Equal(h.Load().Slots, 0)

	next := worker
	next.ID, next.Born, next.Sequence = "a@9", 9, 1
	h.step(Announced{Endpoint: next})
	is.Equal(h.Load().Slots, 2)
	worker.ID, worker.Born, worker.Sequence = "z@6", 6, 50
	h.step(Announced{Endpoint: worker}) // From an earlier incarnation at the address of a@9.
	is.Equal(h.Load().Slots, 2)
	is.Equal(len(h.Endpoints()), 1)
}

func TestGoneEndpointGetsNoWork(t *testing.T) {
	is := is.New(t)
	h := newHarness()
	worker := model.Endpoint{
		ID: "a", Service: "finder", DataCentre: "sj1", Slots: 2, State: model.EndpointServing, Address: "x:1",
		Sequence: 1, Leased: true,
	}
	h.step(Announced{Endpoint: worker})
	worker.State, worker.Sequence = model.EndpointGone, 2
	h.step(Announced{Endpoint: worker})
	h.step(Announced{Endpoint: worker})
	is.Equal(h.Load().Slots, 0)
	is.Equal(len(h.Endpoints()), 0)
}

func TestUnlistedTaskAtLeasedEndpointIsNotRevoked(t *testing.T) {
	is := is.New(t)
	h := newHarness()
	h.announceLeased("a", 16000)
	h.submitRepeatable(1, model.Needs{MilliCores: 1000})
	for range 5 {
		h.now = h.now.Add(time.Second)
		is.Equal(len(h.announceLeased("a", 16000).Revokes), 0)
	}
}

// Guards against issue 16: a task whose runs were lost at once was started again without a pause,
// thousands of times a second, and its pool's owner did nothing else.
func TestRunsLostAtOnceAreRepeatedAtBoundedRate(t *testing.T) {
	is := is.New(t)
	h := newHarness()
	h.announceLeased("a", 16000)
	h.announceLeased("b", 16000)
	slots := h.Load().Slots
	const replies = time.Millisecond // Time from a start to the report that its run is lost.
	starts := 0
	pending := h.submitRepeatable(1, model.Needs{MilliCores: 1000}).Starts
	for since := h.now; h.now.Sub(since) < time.Second; h.now = h.now.Add(replies) {
		fx := h.step(Elapsed{})
		pending = append(pending, fx.Starts...)
		var next []Start
		for _, s := range pending {
			starts++
			next = append(next, h.reply(s, port.TaskLost).Starts...)
		}
		pending = next
	}
	is.True(starts > 1)
	is.True(starts <= slots*int(time.Second/blockedTime+1)) // Each slot at most once in each blockedTime.
}
