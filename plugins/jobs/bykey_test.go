package jobs

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"redwingpulley/kernel/model"
	"redwingpulley/kernel/port"
)

// startKeyed submits a job of two tasks with the key "k" to a member, and returns when it runs. Its outcome is sent on the channel.
func startKeyed(t *testing.T, member *Jobs) (job model.Job, outcomes chan model.Outcome) {
	job, outcomes = newJob("", 2), make(chan model.Outcome, 1)
	job.Key = "k"
	go func() { outcomes <- member.Submit(t.Context(), job) }()
	advanceClock(0)
	return job, outcomes
}

// Guards against a cancellation that is acknowledged while the job runs on: callers reach any member with it, and know no id but their
// own key (review/4).
func TestJobIsCancelledByItsKeyThroughAnyMember(t *testing.T) {
	withVirtualClock(t, func(t *testing.T, is *is.I) {
		owner, other, _, _ := newMemberPair(t)
		_, outcomes := startKeyed(t, owner)
		is.Equal(other.FindKey(t.Context(), "k"), port.KeyFound)
		is.Equal(other.FindKey(t.Context(), "unknown"), port.KeyUnknown)
		is.Equal(other.CancelKey(t.Context(), "k"), port.KeyFound)
		is.Equal((<-outcomes).Reason, model.ReasonWithdrawn)
		is.Equal(other.CancelKey(t.Context(), "k"), port.KeyUnknown)
	})
}

// Guards against a job that is reported as cancelled or unknown while a member that may run it does not answer.
func TestKeyIsUncertainWhileAMemberDoesNotAnswer(t *testing.T) {
	withVirtualClock(t, func(t *testing.T, is *is.I) {
		_, other, _, atOther := newMemberPair(t)
		atOther.dropReplies.Store(1)
		is.Equal(other.CancelKey(t.Context(), "k"), port.KeyUncertain)
		is.Equal(other.CancelKey(t.Context(), "k"), port.KeyUnknown)
	})
}

// Guards against a running job whose state is given as uncertain since some other member is busy, and against a message to each member for
// each request for the state of a job that runs at the member asked.
func TestRunningJobIsFoundAlthoughAnotherMemberDoesNotAnswer(t *testing.T) {
	withVirtualClock(t, func(t *testing.T, is *is.I) {
		owner, _, atOwner, _ := newMemberPair(t)
		startKeyed(t, owner)
		atOwner.dropReplies.Store(1)
		is.Equal(owner.FindKey(t.Context(), "k"), port.KeyFound)
		is.Equal(atOwner.dropReplies.Load(), int32(1)) // No call was made.
		is.Equal(owner.CancelKey(t.Context(), "k"), port.KeyUncertain)
	})
}

// Guards against the same where another member than the one asked runs the job.
func TestRunningJobIsFoundAtAnotherMemberAlthoughAThirdDoesNotAnswer(t *testing.T) {
	withVirtualClock(t, func(t *testing.T, is *is.I) {
		owner, other, _, atOther := newMemberPair(t)
		startKeyed(t, owner)
		atOther.members["c"] = &fake{node: port.Node{ID: "c"}, handlers: map[string]port.Handler{methodByKey: func(context.Context, model.NodeID, func(any) error) (any, error) {
			return nil, errors.New("it does not answer")
		}}}
		is.Equal(other.FindKey(t.Context(), "k"), port.KeyFound)
		is.Equal(other.CancelKey(t.Context(), "k"), port.KeyUncertain)
	})
}

// Guards against review/8, UNASKED: the request of a job whose cancelling was acknowledged arrived again, at the member that had the job or at
// another one, and all its tasks ran.
func TestRequestOfACancelledJobThatArrivesAgainRunsNothing(t *testing.T) {
	withVirtualClock(t, func(t *testing.T, is *is.I) {
		owner, other, atOwner, atOther := newMemberPair(t)
		job, outcomes := startKeyed(t, owner)
		is.Equal(other.CancelKey(t.Context(), "k"), port.KeyFound)
		is.Equal((<-outcomes).Reason, model.ReasonWithdrawn)
		before := atOwner.runs.Load() + atOther.runs.Load()
		advanceClock(4 * time.Second)
		for _, member := range []*Jobs{owner, other} {
			is.Equal(member.Submit(t.Context(), job).Reason, model.ReasonWithdrawn)
		}
		is.Equal(atOwner.runs.Load()+atOther.runs.Load(), before)
	})
}

// Guards against a job that runs although its cancelling was answered: the cancellation had overtaken the request on another connection.
func TestJobThatIsCancelledBeforeItsRequestArrivesRunsNothing(t *testing.T) {
	withVirtualClock(t, func(t *testing.T, is *is.I) {
		owner, other, atOwner, _ := newMemberPair(t)
		is.Equal(other.CancelKey(t.Context(), "k"), port.KeyUnknown)
		job := newJob("", 2)
		job.Key = "k"
		is.Equal(owner.Submit(t.Context(), job).Reason, model.ReasonWithdrawn)
		is.Equal(atOwner.runs.Load(), int32(0))
	})
}

// Guards against the same where the member that gets the request does not know of the cancellation, but the pool's owner does.
func TestJobThatAPoolKnowsToBeCancelledIsNotPlannedAgain(t *testing.T) {
	withVirtualClock(t, func(t *testing.T, is *is.I) {
		owner, _, atOwner, _ := newMemberPair(t)
		atOwner.run = func(_ context.Context, b model.Batch) model.BatchResult {
			return model.RefusedBatch(b.ID, model.ReasonWithdrawn)
		}
		outcome := owner.Submit(t.Context(), newJob("", 2))
		is.Equal(outcome.Reason, model.ReasonWithdrawn)
		is.Equal(atOwner.runs.Load(), int32(1))
	})
}
