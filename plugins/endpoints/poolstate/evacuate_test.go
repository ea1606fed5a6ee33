package poolstate

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"redwingpulley/kernel/model"
	"redwingpulley/kernel/port"
)

// evacuateUntilNoStart evacuates the data centre and lets the time pass for which batches that have started in part may go on. It
// checks that no task starts in between unless the test wants that.
func (h *harness) evacuateUntilNoStart(is *is.I) (ended []model.BatchResult) {
	is.Helper()
	fx := h.step(Evacuated{Active: true})
	is.Equal(len(fx.Starts), 0)
	ended = fx.Ended
	h.now = h.now.Add(evacuationTime - startDelay)
	fx = h.step(Elapsed{})
	is.Equal(len(fx.Starts), 0)
	return append(ended, fx.Ended...)
}

// Guards against batches that wait in an evacuated data centre until their deadlines although others could run them, and against a
// load that attracts more.
func TestEvacuatedPoolRefusesWhatHasNotStarted(t *testing.T) {
	is := is.New(t)
	h := newHarness(1)
	running := h.submit("j", "t", 1).Starts[0]
	h.submit("k", "t", 1)
	fx := h.step(Evacuated{Active: true})
	is.Equal(len(fx.Ended), 1)
	is.True(fx.Ended[0].Refused && fx.Ended[0].RetryAfter > 0)
	is.Equal(fx.Ended[0].Reason, model.ReasonEvacuated)
	is.Equal(h.Load().Slots+h.Load().Free, 0)
	is.Equal(h.submit("l", "t", 1).Ended[0].Reason, model.ReasonEvacuated)
	is.Equal(len(h.advance(evacuationTime).Revokes), 0) // What runs is drained.
	is.True(h.reply(running, port.TaskDone).Ended[0].Results[0].Done)
}

// Guards against a job that can't complete because the rest of its tasks may not start any more, and against one that starts tasks in
// the data centre for as long as it has some.
func TestEvacuatedPoolGoesOnForAWhileWithBatchesStartedInPart(t *testing.T) {
	is := is.New(t)
	h := newHarness(1)
	fx := h.submit("j", "t", 3)
	is.Equal(len(h.step(Evacuated{Active: true}).Ended), 0)
	h.now = h.now.Add(evacuationTime - startDelay - time.Millisecond)
	fx = h.reply(fx.Starts[0], port.TaskDone)
	is.Equal(len(fx.Starts), 1)
	h.now = h.now.Add(time.Millisecond)
	fx = h.step(Elapsed{})
	is.Equal(len(fx.Starts), 0)
	is.Equal(len(fx.Ended), 1)
	is.Equal(fx.Ended[0].Results[len(fx.Ended[0].Results)-1].Reason, model.ReasonEvacuated)
	is.True(fx.Revokes[0].Stop) // As at a deadline.
}

// Guards against a start on one of the paths by which tasks reach endpoints, after the time for batches started in part is over.
func TestEvacuatedPoolStartsNothingOnAnyPath(t *testing.T) {
	needs := model.Needs{MilliCores: 1000}
	for name, prepare := range map[string]func(h *harness){
		"queued": func(h *harness) { h.submit("n.i.1.9.t", "t", 5) },
		"held for an endpoint": func(h *harness) {
			s := h.submitRepeatable(9, model.Needs{}, model.Needs{}).Starts[0]
			t := h.inFlight[s.Task]
			for _, other := range t.batch.queued {
				h.queue.pop()
				h.bind(h.now, other, port.Choice{Endpoint: s.Endpoint}, &Effects{})
				break
			}
		},
		"leased by another holder": func(h *harness) {
			h.announceLeased("z", 1000)
			h.reply(h.submitRepeatable(9, needs, needs).Starts[0], port.TaskLeasedElsewhere)
		},
		"isolated": func(h *harness) {
			s := h.submitPatient(model.Needs{}).Starts[0]
			h.submitPatient(model.Needs{}) // Occupies the endpoint, so that the isolated task waits.
			h.lose(s, port.LossCrashed)
		},
		"requeued": func(h *harness) { h.submitRepeatable(9, model.Needs{}, model.Needs{}) },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := newHarness(1)
			prepare(h)
			h.evacuateUntilNoStart(is)
			for id := range h.endpoints {
				is.Equal(len(h.step(Announced{Endpoint: model.Endpoint{ID: id, Slots: 9, State: model.EndpointServing, Has: needs}}).Starts), 0)
			}
			for _, task := range h.inFlight {
				s := Start{Task: task.id, Attempt: task.attempt}
				is.Equal(len(h.reply(s, port.TaskNotRun).Starts), 0)
			}
			is.Equal(h.OpenBatches(), 0)
		})
	}
}

// Guards against a probe of an endpoint in quarantine, and a task of a confined team, that start in an evacuated data centre: neither
// takes the placement's way.
func TestEvacuatedPoolStartsNoProbeAndNoTaskOfAConfinedTeam(t *testing.T) {
	is := is.New(t)
	h := newHarness(1, 1)
	s := h.submitRepeatable(9, model.Needs{}, model.Needs{}, model.Needs{}).Starts[0]
	for _, e := range h.endpointList {
		h.quarantine(h.now, e)
		h.startProbing(h.now, e)
		h.updateTotals(e)
	}
	h.evacuateUntilNoStart(is)
	is.Equal(len(h.reply(s, port.TaskDone).Starts), 0)

	h = newUniformHarness(12, 2)
	h.submitOf("other")
	h.crashOneByOne("blamed")
	h.evacuateUntilNoStart(is)
	is.Equal(h.submitOf("blamed").Ended[0].Reason, model.ReasonEvacuated)
}

// Guards against endpoints that stay idle after a withdrawal, or are used by what they announced before the evacuation.
func TestEndOfEvacuationGivesEndpointsBackAsAnnouncedLast(t *testing.T) {
	is := is.New(t)
	h := newHarness(1, 1)
	s := h.submitPatient(model.Needs{}).Starts[0]
	h.submitPatient(model.Needs{})
	h.lose(s, port.LossCrashed) // An endpoint is reserved for it.
	h.evacuateUntilNoStart(is)
	h.announce("a", 3, model.EndpointServing)
	h.announce("b", 1, model.EndpointLeaving)
	h.step(Evacuated{})
	is.Equal(h.Load().Slots, 3)
	is.True(len(h.submit("n.i.1.9.t", "t", 2).Starts) > 0)
}
