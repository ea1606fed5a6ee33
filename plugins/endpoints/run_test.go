package endpoints

import (
	"context"
	"encoding/json"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"redwingpulley/kernel/model"
	"redwingpulley/kernel/port"
	"redwingpulley/kernel/wait"
)

func TestBatchTakesOneMessageWithoutFaults(t *testing.T) {
	withVirtualClock(t, func(t *testing.T, is *is.I) {
		n, origin, _, _ := newPair(t)
		result := origin.Run(t.Context(), "owner", testBatch(10*time.Second))
		is.Equal(len(result.Results), 2)
		is.True(result.Results[0].Done)
		is.Equal(n.calls, map[string]int{methodRun: 1})
	})
}

func TestBatchIsResumedAndNotRestartedWhenItsReplyIsLost(t *testing.T) {
	withVirtualClock(t, func(t *testing.T, is *is.I) {
		n, origin, owner, _ := newPair(t)
		n.faults[methodRun] = []fault{dropReply}
		n.faults[methodResume] = []fault{dropRequest, dropReply}
		result := origin.Run(t.Context(), "owner", testBatch(10*time.Second))
		is.Equal(len(result.Results), 2)
		is.True(result.Results[0].Done && result.Results[1].Done)
		is.Equal(n.calls, map[string]int{methodRun: 1, methodResume: 3})
		is.Equal(owner.instruments.starts.Count(), int64(2))
	})
}

func TestBatchIsFencedWhenItsRequestIsLost(t *testing.T) {
	withVirtualClock(t, func(t *testing.T, is *is.I) {
		n, origin, owner, _ := newPair(t)
		n.faults[methodRun] = []fault{dropRequest}
		b := testBatch(10 * time.Second)
		is.True(origin.Run(t.Context(), "owner", b).Refused)
		late := encodeBatch(envelope{Origin: "o1", Target: "w1", Sequence: 1}, b)
		is.True(owner.handleRun(t.Context(), "origin", late).Refused) // The request arrives late.
		is.Equal(owner.instruments.starts.Count(), int64(0))
	})
}

func TestBatchMayHaveRunWhenItsOwnerRestarts(t *testing.T) {
	withVirtualClock(t, func(t *testing.T, is *is.I) {
		n, origin, _, _ := newPair(t)
		n.faults[methodRun] = []fault{dropReply}
		time.AfterFunc(500*time.Millisecond, func() { newPools(t, n, restartedOwner) }) // The new incarnation replaces the handlers.
		result := origin.Run(t.Context(), "owner", testBatch(10*time.Second))
		is.True(!result.Refused)
		is.Equal(result.Results[0].Run, model.MayHaveRun)
	})
}

func TestRequestForAnEarlierIncarnationIsAnsweredAsLost(t *testing.T) {
	withVirtualClock(t, func(t *testing.T, is *is.I) {
		_, _, owner, _ := newPair(t)
		e := envelope{Origin: "o1", Target: "w0", Sequence: 1}
		is.Equal(owner.handleRun(t.Context(), "origin", encodeBatch(e, testBatch(time.Minute))), runReply{Lost: true})
		is.Equal(owner.handleResume(t.Context(), "origin", batchRef{envelope: e}), runReply{Lost: true})
		e.Target = "" // The sender did not know which incarnation it reached.
		is.Equal(owner.handleResume(t.Context(), "origin", batchRef{envelope: e}), runReply{Lost: true})
		is.Equal(owner.instruments.starts.Count(), int64(0))
	})
}

func TestQueuedBatchHasNotRunAtItsDeadline(t *testing.T) {
	withVirtualClock(t, func(t *testing.T, is *is.I) {
		_, origin, owner, atOwner := newPair(t)
		atOwner.tasks = func(ctx context.Context, s port.TaskStart) port.TaskReply {
			wait.For(ctx, 5*time.Second) // Longer than the pool expects.
			return port.TaskReply{State: port.TaskDone, Answer: []byte("1")}
		}
		atOwner.revokeReply = func(model.TaskID) port.RevokeReply { return port.RevokeReply{State: port.TaskRunning} }
		first, second := testBatch(time.Minute), testBatch(1500*time.Millisecond)
		first.ID.Job = "origin.o1.1.2.t"
		done := make(chan model.BatchResult)
		go func() { done <- origin.Run(t.Context(), "owner", first) }()
		synctest.Wait()
		result := origin.Run(t.Context(), "owner", second)
		is.Equal(len(result.Results), 2)
		for _, r := range result.Results {
			is.Equal(r.Run, model.NotRun)
		}
		is.Equal(owner.instruments.starts.Count(), int64(2)) // Both are tasks of the first batch.
		<-done
	})
}

func TestUnreachableOwnerHasNoSlotsUntilItReplies(t *testing.T) {
	withVirtualClock(t, func(t *testing.T, is *is.I) {
		n, origin, _, _ := newPair(t)
		slots := func() int { return origin.Loads("finder")[0].Slots }
		result := origin.Run(t.Context(), "owner", testBatch(10*time.Second))
		is.Equal(slots(), 2)
		n.faults[methodRun] = []fault{dropRequest}
		n.faults[methodReach] = []fault{dropRequest, dropReply}
		n.faults[methodResume] = []fault{dropRequest, dropRequest}
		late := testBatch(10 * time.Second)
		late.ID.Part = 1
		result = origin.Run(t.Context(), "owner", late)
		is.True(result.Refused)
		is.Equal(slots(), 0)
		<-time.After(3 * probeInterval)
		synctest.Wait()
		is.Equal(slots(), 2)
		is.Equal(n.calls[methodReach], 3)
	})
}

func TestBatchEndsBeforeItsDeadlineWhenItsOwnerIsLost(t *testing.T) {
	withVirtualClock(t, func(t *testing.T, is *is.I) {
		n, origin, _, _ := newPair(t)
		n.faults[methodRun] = []fault{hang}
		startedAt := time.Now()
		time.AfterFunc(time.Second, func() { n.setAlive(origin1) })
		result := origin.Run(t.Context(), "owner", testBatch(time.Minute))
		is.Equal(result.Results[0].Run, model.MayHaveRun)
		is.Equal(result.Results[0].Reason, model.ReasonOwnerLost)
		is.Equal(time.Since(startedAt), time.Second+ownerLostGrace)
	})
}

func TestCancelledBatchReportsWhichTasksMayHaveRun(t *testing.T) {
	withVirtualClock(t, func(t *testing.T, is *is.I) {
		_, origin, owner, atOwner := newPair(t)
		atOwner.revokeReply = func(model.TaskID) port.RevokeReply { return port.RevokeReply{State: port.TaskStopped} }
		ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
		defer cancel()
		b := testBatch(time.Minute)
		b.Tasks = append(b.Tasks, model.Task{Index: 2}) // Queued, since both slots are busy.
		result := origin.Run(ctx, "owner", b)
		runs := map[int]model.RunState{}
		for _, r := range result.Results {
			runs[r.Index] = r.Run
		}
		is.Equal(runs, map[int]model.RunState{0: model.MayHaveRun, 1: model.MayHaveRun, 2: model.NotRun})
		is.Equal(owner.instruments.starts.Count(), int64(2))
	})
}

func TestBatchCancelledBeforeSendingSendsNothing(t *testing.T) {
	withVirtualClock(t, func(t *testing.T, is *is.I) {
		n, origin, _, _ := newPair(t)
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		is.True(origin.Run(ctx, "owner", testBatch(time.Minute)).Refused)
		is.Equal(len(n.calls), 0)
	})
}

func TestUnlistedTaskIsRevokedOverANewConnection(t *testing.T) {
	withVirtualClock(t, func(t *testing.T, is *is.I) {
		_, origin, owner, atOwner := newPair(t)
		atOwner.tasks = func(ctx context.Context, _ port.TaskStart) port.TaskReply {
			<-ctx.Done() // The connection is broken without an error.
			return port.TaskReply{State: port.TaskUnknown}
		}
		atOwner.revokeReply = func(id model.TaskID) port.RevokeReply {
			return port.RevokeReply{State: port.TaskDone, Answer: []byte(`"` + string(id) + `"`)}
		}
		results := make(chan model.BatchResult, 1)
		go func() { results <- origin.Run(t.Context(), "owner", testBatch(time.Minute)) }()
		listed := announcedEvent()
		listed.Endpoint.Running = []model.TaskID{testBatch(0).ID.Job.TaskID(0), testBatch(0).ID.Job.TaskID(1)}
		for range 5 { // A long task costs no revoke as long as it is listed.
			wait.For(t.Context(), announceInterval)
			owner.step(pool1, listed)
		}
		synctest.Wait()
		is.Equal(len(results), 0)
		owner.step(pool1, announcedEvent())
		synctest.Wait()
		is.Equal(len(results), 0) // The answers may still be on their way.
		wait.For(t.Context(), announceInterval)
		owner.step(pool1, announcedEvent())
		result := <-results
		is.True(result.Results[0].Done && result.Results[1].Done)
		synctest.Wait()
		owner.withPool(pool1, func(o *pool) { is.Equal(len(o.inFlight), 0) })
	})
}

func TestDrainRefusesNewBatchesAndFinishesAcceptedOnes(t *testing.T) {
	withVirtualClock(t, func(t *testing.T, is *is.I) {
		_, origin, owner, _ := newPair(t)
		done := make(chan model.BatchResult)
		go func() { done <- origin.Run(t.Context(), "owner", testBatch(time.Minute)) }()
		synctest.Wait()
		drained := make(chan struct{})
		go func() {
			owner.Drain(t.Context())
			close(drained)
		}()
		wait.For(t.Context(), moveGrace+time.Millisecond) // Batches sent before the move are accepted until then.
		late := testBatch(time.Minute)
		late.ID.Part = 1
		refused := origin.Run(t.Context(), "owner", late)
		is.True(refused.Refused)
		is.Equal(refused.Reason, model.ReasonDraining)
		is.True((<-done).Results[0].Done)
		<-drained
	})
}

func FuzzRunRequest(f *testing.F) {
	valid, _ := json.Marshal(encodeBatch(envelope{Origin: "o1", Sequence: 1}, testBatch(time.Minute))) // The wire types always encode.
	f.Add(string(valid))
	f.Add(strings.Replace(string(valid), `"index":1`, `"index":0`, 1))
	f.Add(strings.Replace(string(valid), `"index":1`, `"index":-1`, 1))
	f.Add(`{"tasks":[null]}`)
	f.Fuzz(func(t *testing.T, text string) {
		var r runRequest
		if json.Unmarshal([]byte(text), &r) != nil || !r.valid() {
			return
		}
		tasks := map[model.TaskID]bool{}
		for _, task := range decodeBatch("origin", r).Tasks {
			tasks[r.ID.Job.TaskID(task.Index)] = true
		}
		if len(tasks) != len(r.Tasks) {
			t.Fatalf("%q decodes to a batch with two tasks of the same ID", text)
		}
	})
}
