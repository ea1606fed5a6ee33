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

// awaitStart lets time pass until a task is started or a batch ends, for at most a minute.
func (h *harness) awaitStart(fx Effects) Effects {
	for i := 0; i < 60 && len(fx.Starts)+len(fx.Ended) == 0; i++ {
		h.now = h.now.Add(time.Second)
		fx = h.step(Elapsed{})
		for _, id := range slices.Sorted(maps.Keys(h.slots)) {
			if len(fx.Starts)+len(fx.Ended) == 0 {
				fx = h.announce(id, h.slots[id], model.EndpointServing)
			}
		}
	}
	return fx
}

// submitPatient submits a job of one task that may run again for two minutes.
func (h *harness) submitPatient(needs model.Needs) Effects {
	h.jobs++
	b := model.Batch{
		ID: model.BatchID{Job: model.JobID(fmt.Sprintf("n.i.1.%d.t", h.jobs))}, Pool: finderPool, Team: "t", Key: fmt.Sprint(h.jobs),
		Deadline: h.now.Add(2 * time.Minute), MaxFailures: 4, Tasks: []model.Task{{Needs: needs}},
	}
	return h.step(Submitted{b, model.BuiltInProfile()})
}

// crash replaces the endpoint of a run by its next incarnation, which has another id, and reports that the run was lost.
func (h *harness) crash(s Start, cause port.LossCause) Effects {
	next := s.Endpoint + "'"
	h.slots[next] = h.slots[s.Endpoint]
	delete(h.slots, s.Endpoint)
	h.step(Down{s.Endpoint})
	fx := h.lose(s, cause)
	if len(fx.Starts)+len(fx.Ended) == 0 {
		fx = h.announce(next, h.slots[next], model.EndpointServing)
	}
	return fx
}

// lose reports that a run was lost for the given cause.
func (h *harness) lose(s Start, cause port.LossCause) Effects {
	return h.step(Replied{Task: s.Task, Attempt: s.Attempt, Reply: port.TaskReply{State: port.TaskLost, Cause: cause}})
}

// crashUntilEnd submits a task each of whose runs is lost for the given cause, and returns how often it was started and the step that
// ended its batch.
func (h *harness) crashUntilEnd(cause port.LossCause) (starts int, last Effects) {
	last = h.submitPatient(model.Needs{})
	for len(last.Starts) > 0 && starts < 20 {
		starts++
		h.now = h.now.Add(100 * time.Millisecond)
		last = h.awaitStart(h.crash(last.Starts[0], cause))
	}
	return starts, last
}

// Guards against issue 28, BUDGET: lost runs were not counted, so that a task which crashes each endpoint that starts it was sent
// to one endpoint after another until its deadline.
func TestTaskThatCrashesItsEndpointsIsNotStartedForEver(t *testing.T) {
	is := is.New(t)
	starts, last := newHarness(1, 1, 1, 1, 1, 1, 1, 1).crashUntilEnd(port.LossCrashed)
	is.True(starts < 6) // Three crashes, and fewer than three starts after them.
	is.Equal(len(last.Ended), 1)
	is.Equal(last.Ended[0].Results[0].Run, model.MayHaveRun)
	is.Equal(last.Ended[0].Results[0].Reason, model.ReasonEndpointsCrashed)
}

// Guards against a task that is started for ever where no endpoint's crash is certain: each of them refuses connections, and
// its lease expires before its next incarnation is found.
func TestTaskWhoseEndpointsRefuseConnectionsIsNotStartedForEver(t *testing.T) {
	is := is.New(t)
	starts, last := newHarness(1, 1, 1, 1, 1, 1, 1, 1).crashUntilEnd(port.LossRefusing)
	is.True(starts < 6) // Three crashes, and fewer than three starts after them.
	is.Equal(len(last.Ended), 1)
}

// Guards against tasks that are given up although their endpoints were only cut off, or have left.
func TestTaskIsNotGivenUpForLossesThatAreNoCrashes(t *testing.T) {
	is := is.New(t)
	h := newHarness(1, 1, 1, 1, 1, 1, 1, 1)
	fx := h.submitPatient(model.Needs{})
	for _, cause := range []port.LossCause{port.LossSilent, port.LossLeft, port.LossDropped, port.LossSilent, port.LossCrashed, port.LossSilent, port.LossDropped} {
		h.now = h.now.Add(100 * time.Millisecond)
		fx = h.awaitStart(h.lose(fx.Starts[0], cause))
		is.Equal(len(fx.Ended), 0)
	}
	is.Equal(len(fx.Starts), 1)
}

// Guards against issue 28, BUDGET: the pool's next owner, or another pool, does not know what the former one has seen.
func TestTaskWithCrashesElsewhereIsNotStarted(t *testing.T) {
	is := is.New(t)
	h := newHarness(1, 1)
	b := model.Batch{
		ID: model.BatchID{Job: "n.i.1.1.t"}, Pool: finderPool, Team: "t", Deadline: h.now.Add(10 * time.Second), Key: "key", MaxFailures: 4,
		Tasks: []model.Task{{Losses: []model.Loss{{Endpoint: "x", Crashed: true}, {Endpoint: "y", Crashed: true}}}},
	}
	fx := h.step(Submitted{b, model.BuiltInProfile()})
	is.Equal(len(fx.Starts), 0)
	is.Equal(fx.Ended[0].Results[0].Reason, model.ReasonEndpointsCrashed)
	is.Equal(fx.Ended[0].Results[0].Run, model.MayHaveRun) // It ran where the endpoints crashed.
}
