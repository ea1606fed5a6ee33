package endpoints

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"redwingpulley/kernel/model"
	"redwingpulley/kernel/port"
	"redwingpulley/plugins/endpoints/poolstate"
)

// repeatableBatch returns a batch of a job that its caller may submit again.
func repeatableBatch() model.Batch {
	b := testBatch(10 * time.Second)
	b.Key, b.MaxFailures = "key", 2
	return b
}

func TestOrphanedBatchIsCancelledOnlyIfItsJobMayRunAgain(t *testing.T) {
	for _, keyed := range []bool{true, false} {
		withVirtualClock(t, func(t *testing.T, is *is.I) {
			_, _, owner, atOwner := newPair(t)
			var stopped atomic.Int32
			atOwner.revokeReply = func(model.TaskID) port.RevokeReply {
				stopped.Add(1)
				return port.RevokeReply{State: port.TaskStopped}
			}
			b := repeatableBatch()
			if !keyed {
				b = testBatch(10 * time.Second)
			}
			ctx, cancel := context.WithCancel(t.Context())
			go owner.handleRun(ctx, "origin", encodeBatch(envelope{Origin: "o1", Target: "w1", Sequence: 1}, b))
			time.Sleep(100 * time.Millisecond) // On the virtual clock: the tasks run for a second.
			cancel()
			time.Sleep(orphanGrace + time.Millisecond) // On the virtual clock: until the grace is over.
			synctest.Wait()
			if keyed {
				is.Equal(stopped.Load(), int32(2)) // Both tasks, long before the caller submits the job again.
			} else {
				is.Equal(stopped.Load(), int32(0)) // The origin may still resume it.
			}
		})
	}
}

func TestBatchContinuesWhenItsOriginResumesIt(t *testing.T) {
	withVirtualClock(t, func(t *testing.T, is *is.I) {
		_, _, owner, _ := newPair(t)
		ctx, cancel := context.WithCancel(t.Context())
		e := envelope{Origin: "o1", Target: "w1", Sequence: 1}
		b := repeatableBatch()
		go owner.handleRun(ctx, "origin", encodeBatch(e, b))
		time.Sleep(100 * time.Millisecond) // On the virtual clock: the tasks run for a second.
		cancel()
		time.Sleep(orphanGrace / 2) // On the virtual clock: within the grace.
		reply := owner.handleResume(t.Context(), "origin", batchRef{e, b.ID, b.Pool})
		is.Equal(len(reply.Results), 2)
		is.True(reply.Results[0].Done && reply.Results[1].Done)
	})
}

// pausedMember is a member whose process was paused. Its membership view is stale until resumed is set.
type pausedMember struct {
	*fakeMember
	resumed atomic.Bool
}

func (m *pausedMember) Fresh() bool { return m.resumed.Load() }

// Guards against two runs of a task: the pool's owner stood still, its view is recent again before the pool has made a step, and the
// caller has sent its job to another member meanwhile.
func TestNoTaskOfABatchFromBeforeAPauseStarts(t *testing.T) {
	withVirtualClock(t, func(t *testing.T, is *is.I) {
		_, _, owner, atOwner := newPair(t)
		lost := make(chan struct{})
		atOwner.tasks = func(_ context.Context, s port.TaskStart) port.TaskReply {
			<-lost
			if s.Attempt > 1 {
				return port.TaskReply{State: port.TaskDone}
			}
			return port.TaskReply{State: port.TaskLost}
		}
		atOwner.revokeReply = func(model.TaskID) port.RevokeReply { return port.RevokeReply{State: port.TaskLost} }
		results := make(chan model.BatchResult, 1)
		go func() { results <- owner.Run(t.Context(), "owner", repeatableBatch()) }()
		synctest.Wait()
		is.Equal(owner.instruments.starts.Count(), int64(2))
		atOwner.pauses.Add(1)
		close(lost)
		result := <-results
		is.Equal(result.Results[0].Reason, model.ReasonPaused)
		is.Equal(owner.instruments.starts.Count(), int64(2))
	})
}

// Guards against the same by a start on which the pool decided before the pause.
func TestStartThatWasDecidedBeforeAPauseIsNotSent(t *testing.T) {
	withVirtualClock(t, func(t *testing.T, is *is.I) {
		_, _, owner, atOwner := newPair(t)
		c := &call{ctx: t.Context(), pauses: atOwner.Pauses()}
		atOwner.pauses.Add(1)
		reply, _ := owner.callStart(model.PoolID{}, c, poolstate.Start{Task: "origin.o1.1.1.t.0", Attempt: 1, Endpoint: "e1", Address: "e1"})
		is.Equal(reply.State, port.TaskNoRoom)
		is.Equal(owner.instruments.starts.Count(), int64(0))
	})
}

func TestNoTaskStartsWhileTheMembershipViewIsStale(t *testing.T) {
	withVirtualClock(t, func(t *testing.T, is *is.I) {
		_, _, owner, atOwner := newPair(t)
		paused := &pausedMember{fakeMember: atOwner}
		owner.liveness = paused
		owner.step(pool1, poolstate.Submitted{Batch: repeatableBatch(), Profile: model.BuiltInProfile()})
		time.Sleep(time.Second) // On the virtual clock: nothing may start however long it waits.
		is.Equal(owner.instruments.starts.Count(), int64(0))
		paused.resumed.Store(true)
		time.Sleep(2 * poolstate.DefaultEndpointLease / 3) // On the virtual clock: the endpoint's lease still holds.
		owner.step(pool1, announcedEvent())
		synctest.Wait()
		is.Equal(owner.instruments.starts.Count(), int64(2))
	})
}
