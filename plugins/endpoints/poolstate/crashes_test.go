package poolstate

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"redwingpulley/kernel/model"
	"redwingpulley/kernel/port"
)

// lose reports that a run was lost for the given cause.
func (h *harness) lose(s Start, cause port.LossCause) Effects {
	return h.step(Replied{Task: s.Task, Attempt: s.Attempt, Reply: port.TaskReply{State: port.TaskLost, Cause: cause}})
}

// Guards against issue 28, BUDGET: lost runs were not counted, so that a task which crashes each endpoint that starts it was sent
// to one endpoint after another until its deadline.
func TestTaskThatCrashesItsEndpointsIsNotStartedForEver(t *testing.T) {
	is := is.New(t)
	h := newHarness(1, 1, 1, 1, 1, 1, 1, 1)
	fx := h.submitRepeatable(4, model.Needs{})
	starts := 0
	for len(fx.Starts) > 0 && starts < 20 {
		starts++
		h.now = h.now.Add(100 * time.Millisecond)
		fx = h.lose(fx.Starts[0], port.LossCrashed)
	}
	is.True(starts < 6) // Three crashes, and fewer than three starts after them.
	is.Equal(len(fx.Ended), 1)
	is.Equal(fx.Ended[0].Results[0].Run, model.MayHaveRun)
}
