package poolstate

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"redwingpulley/kernel/model"
	"redwingpulley/kernel/port"
)

// Guards against batches that wait in an evacuated data centre until their deadlines although others could run them, a load that
// attracts more, and a run that is stopped.
func TestEvacuatedPoolRefusesWhatHasNotStarted(t *testing.T) {
	is := is.New(t)
	h := newHarness(1)
	running := h.submit("j", "t", 1).Starts[0]
	h.submit("k", "t", 1)
	fx := h.step(Evacuated{Active: true})
	is.True(fx.Ended[0].Refused && fx.Ended[0].RetryAfter > 0)
	is.Equal(fx.Ended[0].Reason, model.ReasonEvacuated)
	is.Equal(h.Load().Slots+h.Load().Free, 0)
	is.Equal(h.submit("l", "t", 1).Ended[0].Reason, model.ReasonEvacuated)
	is.Equal(len(h.advance(evacuationGrace).Revokes), 0)
	is.True(h.reply(running, port.TaskDone).Ended[0].Results[0].Done)
}

// Guards against a job that can't complete because the rest of its tasks may not start any more, and against one that starts tasks in
// the data centre for as long as it has some.
func TestEvacuatedPoolGoesOnForAWhileWithBatchesStartedInPart(t *testing.T) {
	is := is.New(t)
	h := newHarness(1)
	first := h.submit("j", "t", 3).Starts[0]
	is.Equal(len(h.step(Evacuated{Active: true}).Ended), 0)
	h.now = h.now.Add(evacuationGrace - port.MaxStartWait - time.Millisecond)
	is.Equal(len(h.reply(first, port.TaskDone).Starts), 1)
	fx := h.advance(time.Millisecond)
	is.Equal(fx.Ended[0].Results[2].Reason, model.ReasonEvacuated)
	is.True(fx.Revokes[0].Stop) // As at a deadline.
}

// Guards against a start on one of the paths by which tasks reach endpoints, after the time for batches started in part is over, and
// against endpoints that stay idle after the withdrawal, or are used by what they announced before the evacuation.
func TestEvacuatedPoolStartsNothingOnAnyPathUntilTheWithdrawal(t *testing.T) {
	for name, prepare := range map[string]func(h *harness){
		"queued": func(h *harness) { h.submit("n.i.1.9.t", "t", 5) },
		"held for an endpoint": func(h *harness) {
			s := h.submitRepeatable(9, model.Needs{}, model.Needs{}).Starts[0]
			waiting := h.queue.first()
			h.queue.pop()
			h.bind(h.now, waiting, port.Choice{Endpoint: s.Endpoint}, &Effects{})
		},
		"leased by another holder": func(h *harness) {
			h.reply(h.submitRepeatable(9, model.Needs{}, model.Needs{}).Starts[0], port.TaskLeasedElsewhere)
		},
		"isolated": func(h *harness) {
			s := h.submitPatient(model.Needs{}).Starts[0]
			h.submitPatient(model.Needs{}) // Occupies the endpoint, so that the isolated task waits.
			h.lose(s, port.LossCrashed)
		},
		"probe": func(h *harness) {
			h.submitRepeatable(9, model.Needs{}, model.Needs{})
			h.quarantine(h.now, h.endpointList[0])
			h.startProbing(h.now, h.endpointList[0])
		},
		"confined team": func(h *harness) {
			h.submitRepeatable(9, model.Needs{}, model.Needs{})
			h.queue.teams["t"].failures.confined = true
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := newHarness(1)
			prepare(h)
			is.Equal(len(h.step(Evacuated{Active: true}).Starts), 0)
			h.now = h.now.Add(evacuationGrace - port.MaxStartWait)
			is.Equal(len(h.step(Elapsed{}).Starts), 0)
			is.Equal(len(h.announce("a", 9, model.EndpointServing).Starts), 0)
			for _, task := range h.inFlight {
				is.Equal(len(h.reply(Start{Task: task.id, Attempt: task.attempt}, port.TaskNotRun).Starts), 0) // It would be requeued.
			}
			is.Equal(h.OpenBatches(), 0)
			h.announce("b", 3, model.EndpointServing)
			h.step(Evacuated{})
			is.Equal(len(h.submit("n.i.1.8.t", "u", 1).Starts), 1)
		})
	}
}
