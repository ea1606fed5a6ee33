package endpoints

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// Guards against review/6, TWICE: a batch lay unread in the socket of a member that stood still. Its sender had given it up, and the
// caller had sent the job to another member, when it was read and its tasks were started.
func TestBatchThatWasReadAfterItsSenderHadGivenItUpStartsNothing(t *testing.T) {
	withVirtualClock(t, func(t *testing.T, is *is.I) {
		n, origin, owner, atOwner := newPair(t)
		atEndpoints := useRuns(atOwner)
		n.faults[methodRun] = []fault{late}
		n.faults[methodCancel] = slices.Repeat([]fault{dropRequest}, 20)
		ctx, cancel := context.WithTimeout(t.Context(), lateBy/2)
		defer cancel()
		origin.Run(ctx, "owner", repeatableBatch())
		synctest.Wait()
		time.Sleep(2 * runTime) // On the virtual clock: runs would have ended.
		is.Equal(owner.instruments.starts.Count(), int64(0))
		is.Equal(atEndpoints.startCount(), 0)
	})
}

// Guards against a job that fails although its caller waits, since its batch was read late.
func TestBatchThatWasReadLateIsSentAgainWhileItsCallerWaits(t *testing.T) {
	withVirtualClock(t, func(t *testing.T, is *is.I) {
		n, origin, owner, _ := newPair(t)
		n.faults[methodRun] = []fault{late}
		result := origin.Run(t.Context(), "owner", repeatableBatch())
		is.True(result.Results[0].Done && result.Results[1].Done)
		is.Equal(n.calls[methodRun], 2)
		is.Equal(owner.instruments.starts.Count(), int64(2))
	})
}

// Guards against the same fault by the sender: it stood still after it had sent the batch, and its caller has left meanwhile.
func TestOutdatedBatchIsNotSentAgainByASenderThatStoodStill(t *testing.T) {
	withVirtualClock(t, func(t *testing.T, is *is.I) {
		n, origin, owner, _ := newPair(t)
		n.faults[methodRun] = []fault{late}
		atOrigin := origin.liveness.(*fakeMember)
		time.AfterFunc(lateBy/2, func() { atOrigin.pauses.Add(1) })
		is.True(origin.Run(t.Context(), "owner", repeatableBatch()).Refused)
		is.Equal(n.calls[methodRun], 1)
		is.Equal(owner.instruments.starts.Count(), int64(0))
	})
}

// Guards against a sender that knows nothing of the receiver's clock and is refused for ever.
func TestSenderLearnsTheClockOfAMemberByARefusal(t *testing.T) {
	withVirtualClock(t, func(t *testing.T, is *is.I) {
		n, origin, _, atOwner := newPair(t)
		atOwner.pauses.Add(1) // What the origin knows of the clock is from before the pause.
		is.True(origin.Run(t.Context(), "owner", repeatableBatch()).Results[0].Done)
		is.Equal(n.calls[methodRun], 2)
		again := repeatableBatch()
		again.ID.Part = 1
		is.True(origin.Run(t.Context(), "owner", again).Results[0].Done)
		is.Equal(n.calls[methodRun], 3)
	})
}
