package poolstate

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"redwingpulley/kernel/model"
	"redwingpulley/kernel/port"
)

// Guards against two runs of a task: a process that stood still for seconds started the tasks of its batches again, whose runs had
// been lost meanwhile, while the jobs that their callers had sent again ran elsewhere.
func TestTaskWhoseRunWasLostDuringAPauseDoesNotStartAgain(t *testing.T) {
	for _, state := range []port.TaskState{port.TaskLost, port.TaskFailed, port.TaskNotRun, port.TaskNoRoom, port.TaskLeasedElsewhere} {
		is := is.New(t)
		h := newHarness(2, 2)
		s := h.submitRepeatable(3, model.Needs{}).Starts[0]
		h.advance(4 * time.Second)
		h.step(Resumed{})
		h.announce("a", 2, model.EndpointServing)
		fx := h.reply(s, state)
		is.Equal(len(fx.Starts), 0)
		is.Equal(len(fx.Ended), 1)
		is.Equal(fx.Ended[0].Results[0].Reason, model.ReasonPaused)
	}
}

// Guards against an answer that is thrown away: a run may have ended during the pause.
func TestTaskThatWasDoneDuringAPauseIsAnswered(t *testing.T) {
	is := is.New(t)
	h := newHarness(2)
	s := h.submitRepeatable(3, model.Needs{}).Starts[0]
	h.advance(2 * time.Second)
	is.Equal(len(h.step(Resumed{}).Ended), 0)
	fx := h.reply(s, port.TaskDone)
	is.True(fx.Ended[0].Results[0].Done)
}

// Guards against a queued task that starts after a pause. A batch that has started in part ends; one that has not started is refused,
// so that an origin that still waits sends it elsewhere.
func TestQueuedTasksDoNotStartAfterAPause(t *testing.T) {
	is := is.New(t)
	h := newHarness(1)
	h.submitRepeatable(3, model.Needs{}, model.Needs{}) // One task runs, and one waits.
	h.submit("n.i.1.2.t", "t", 1)                       // Waits.
	h.advance(time.Second)
	fx := h.step(Resumed{})
	is.Equal(len(fx.Starts), 0)
	is.Equal(len(fx.Ended), 2)
	is.True(!fx.Ended[0].Refused)
	is.True(fx.Ended[1].Refused)
	is.Equal(fx.Ended[1].Reason, model.ReasonPaused)
}
