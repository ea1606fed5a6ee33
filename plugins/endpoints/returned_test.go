package endpoints

import (
	"context"
	"log/slog"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"redwingpulley/kernel/event"
	"redwingpulley/plugins/endpoints/poolstate"
)

// taskEndedHook is a log handler that calls then when the reply to a start is logged, before the reply is applied to the pool.
type taskEndedHook struct {
	slog.Handler
	then func()
}

func (taskEndedHook) Enabled(context.Context, slog.Level) bool { return true }

func (h taskEndedHook) Handle(_ context.Context, r slog.Record) error {
	if r.Message == event.TaskEnded.Name {
		h.then()
	}
	return nil
}

// Guards against a second run of a task that is done: a revoke that was on its way when the run ended found no run, and the pool
// took it for lost before it had the answer.
func TestAnswerCountsAlthoughARevokeFindsItsRunNoMore(t *testing.T) {
	withVirtualClock(t, func(t *testing.T, is *is.I) {
		_, _, owner, atOwner := newPair(t)
		r := useRuns(atOwner)
		s := submissionOf("origin.o1.1.1.t", pool1)
		owner.log = slog.New(taskEndedHook{slog.DiscardHandler, sync.OnceFunc(func() {
			go owner.revokeTask(pool1, poolstate.Revoke{Task: s.Batch.ID.Job.TaskID(0), Attempt: 1, Endpoint: "e1", Address: "e1", Key: s.Batch.Key})
			time.Sleep(10 * time.Millisecond) // On the virtual clock.
		})})
		w := newWaiter()
		go owner.submit(s.Batch, w)
		<-w.ended
		is.Equal(r.startCount(), 1)
		is.True(w.result.Results[0].Done)
	})
}
