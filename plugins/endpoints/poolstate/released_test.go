package poolstate

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"redwingpulley/kernel/model"
	"redwingpulley/kernel/port"
)

// Guards against a second run of a task whose first one is still at work at a leased endpoint that no longer announces
// itself: the holder of the lease learns the end even then.
func TestTaskAtALeasedEndpointIsReleasedOnlyWhenItsEndIsKnown(t *testing.T) {
	is := is.New(t)
	h := newHarness()
	h.announceLeased("a", 16000)
	s := h.submitRepeatable(1, model.Needs{MilliCores: 1000}).Starts[0]
	h.step(Cancelled{Batch: model.BatchID{Job: s.Task.Job()}})
	h.now = s.Deadline.Add(time.Minute) // The endpoint's lease and the batch's deadline have passed.
	h.step(Elapsed{})
	unknown := h.step(RevokeReplied{s.Task, s.Attempt, port.RevokeReply{State: port.TaskUnknown}})
	is.Equal(len(unknown.Released), 0)
	is.Equal(len(unknown.Revokes), 1)
	stopped := h.step(RevokeReplied{s.Task, s.Attempt, port.RevokeReply{State: port.TaskStopped}})
	is.Equal(stopped.Released, []Release{{s.Task, s.Attempt, s.Key}})
	is.Equal(len(h.Endpoints()), 0)
}
