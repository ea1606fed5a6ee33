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

// repeatable is a batch of a job that its caller may send again.
func repeatable() model.Batch {
	b := batch(10 * time.Second)
	b.Key, b.MaxFailures = "key", 2
	return b
}

func TestABatchWhoseOriginIsLostIsStopped(t *testing.T) {
	for _, keyed := range []bool{true, false} {
		inBubble(t, func(t *testing.T, is *is.I) {
			_, _, owner, atOwner := pair(t)
			var stopped atomic.Int32
			atOwner.asked = func(model.TaskID) port.RevokeReply {
				stopped.Add(1)
				return port.RevokeReply{State: port.TaskStopped}
			}
			b := repeatable()
			if !keyed {
				b = batch(10 * time.Second)
			}
			ctx, lose := context.WithCancel(t.Context())
			go owner.handleRun(ctx, "origin", encodeBatch(envelope{Origin: "o1", Target: "w1", Sequence: 1}, b))
			time.Sleep(100 * time.Millisecond) // On the virtual clock: the tasks run for a second.
			lose()
			time.Sleep(orphanGrace + time.Millisecond) // On the virtual clock: the grace is over.
			synctest.Wait()
			if keyed {
				is.Equal(stopped.Load(), int32(2)) // Both tasks, long before the caller sends the job again.
			} else {
				is.Equal(stopped.Load(), int32(0)) // Its answer may still be asked for.
			}
		})
	}
}

func TestABatchWhoseOriginAsksAgainGoesOn(t *testing.T) {
	inBubble(t, func(t *testing.T, is *is.I) {
		_, _, owner, _ := pair(t)
		ctx, lose := context.WithCancel(t.Context())
		e := envelope{Origin: "o1", Target: "w1", Sequence: 1}
		b := repeatable()
		go owner.handleRun(ctx, "origin", encodeBatch(e, b))
		time.Sleep(100 * time.Millisecond) // On the virtual clock: the tasks run for a second.
		lose()
		time.Sleep(orphanGrace / 2) // On the virtual clock: within the grace.
		reply := owner.handleResume(t.Context(), "origin", batchRef{e, b.ID, b.Pool})
		is.Equal(len(reply.Results), 2)
		is.True(reply.Results[0].Done && reply.Results[1].Done)
	})
}

// standstill is a member whose process stood still, until it is thawed.
type standstill struct {
	*fakeMember
	thawed atomic.Bool
}

func (s *standstill) Fresh() bool { return s.thawed.Load() }

func TestNothingStartsWhileTheViewOfTheMembersIsStale(t *testing.T) {
	inBubble(t, func(t *testing.T, is *is.I) {
		_, _, owner, atOwner := pair(t)
		frozen := &standstill{fakeMember: atOwner}
		owner.liveness = frozen
		owner.step(pool1, poolstate.Submitted{Batch: repeatable(), Profile: model.BuiltInProfile()})
		time.Sleep(time.Second) // On the virtual clock: nothing may start however long it waits.
		is.Equal(owner.instruments.starts.Count(), int64(0))
		frozen.thawed.Store(true)
		time.Sleep(2 * poolstate.EndpointLease / 3) // On the virtual clock: the endpoint's lease still holds.
		owner.step(pool1, announced())
		synctest.Wait()
		is.Equal(owner.instruments.starts.Count(), int64(2))
	})
}
