package endpoints

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"redwingpulley/kernel/model"
	"redwingpulley/plugins/endpoints/poolstate"
)

// Guards against two runs of a task at once when a caller whose connection broke submits its job again while the
// runs of the cancelled one are being stopped, whichever pool of the member the job is planned to.
func TestTaskOfAResentJobStartsOnlyAfterTheEndOfItsEarlierRun(t *testing.T) {
	other := model.PoolID{Service: pool1.Service, DataCentre: pool1.DataCentre, Part: 1}
	for _, pool := range []model.PoolID{pool1, other} {
		withVirtualClock(t, func(t *testing.T, is *is.I) {
			_, _, owner, atOwner := newPair(t)
			r := useRuns(atOwner)
			owner.step(other, announcedEvent())
			first, again := submissionOf("origin.o1.1.1.t", pool1), submissionOf("origin.o1.1.2.t", pool)
			owner.step(pool1, first)
			time.Sleep(10 * time.Millisecond) // On the virtual clock: the first run is at work.
			owner.step(pool1, poolstate.Cancelled{Batch: first.Batch.ID})
			owner.step(pool, again)
			time.Sleep(stopTime / 2) // On the virtual clock: the first run is being stopped.
			duringStop := r.startCount()
			time.Sleep(stopTime) // On the virtual clock: the first run has ended.
			afterStop := r.startCount()
			time.Sleep(2 * runTime) // On the virtual clock: the second run has ended too.
			is.Equal([]int{duringStop, afterStop}, []int{1, 2})
			is.True(!r.overlapping)
			is.Equal(r.atWork(), 0)
		})
	}
}

// Guards against a start that is sent after its batch was cancelled while it waited for an earlier run.
func TestStartThatWaitsForAnEarlierRunIsNotSentWhenItsBatchIsCancelled(t *testing.T) {
	withVirtualClock(t, func(t *testing.T, is *is.I) {
		_, _, owner, atOwner := newPair(t)
		r := useRuns(atOwner)
		first, again := submissionOf("origin.o1.1.1.t", pool1), submissionOf("origin.o1.1.2.t", pool1)
		owner.step(pool1, first)
		synctest.Wait()
		owner.step(pool1, again)
		synctest.Wait()
		owner.step(pool1, poolstate.Cancelled{Batch: again.Batch.ID})
		time.Sleep(2 * runTime) // On the virtual clock: the first run has ended.
		is.Equal(r.startCount(), 1)
		owner.withPool(pool1, func(o *pool) { is.Equal(o.machine.Load().Free, 2) })
	})
}

// Guards against a run that goes on, unknown to the pool, because the order to stop it was handled before its start.
func TestRunIsStoppedWhenItsBatchIsCancelledBeforeItsStartIsRegistered(t *testing.T) {
	for _, registerTime := range []time.Duration{0, 5 * time.Millisecond} {
		withVirtualClock(t, func(t *testing.T, is *is.I) {
			_, _, owner, atOwner := newPair(t)
			r := useRuns(atOwner)
			r.registerTime = registerTime
			first := submissionOf("origin.o1.1.1.t", pool1)
			owner.step(pool1, first)
			if registerTime > 0 {
				synctest.Wait()
			}
			owner.step(pool1, poolstate.Cancelled{Batch: first.Batch.ID})
			time.Sleep(runTime / 2) // On the virtual clock: longer than a stop takes, shorter than the run.
			atWork := r.atWork()
			time.Sleep(runTime) // On the virtual clock: the run has ended by itself.
			is.Equal(atWork, 0)
		})
	}
}

// Guards against runs that go on, and start again when the caller submits its job again, because the order to cancel
// their batch was lost together with a connection.
func TestBatchIsCancelledWhenTheFirstOrderToCancelItIsLost(t *testing.T) {
	withVirtualClock(t, func(t *testing.T, is *is.I) {
		n, origin, _, atOwner := newPair(t)
		r := useRuns(atOwner)
		n.faults[methodCancel] = []fault{dropRequest, dropRequest}
		ctx, cancel := context.WithCancel(t.Context())
		go origin.Run(ctx, "owner", repeatableBatch())
		time.Sleep(10 * time.Millisecond) // On the virtual clock: the runs are at work.
		before := r.atWork()
		cancel()
		time.Sleep(runTime / 2) // On the virtual clock: longer than a stop takes, shorter than the runs.
		after := r.atWork()
		time.Sleep(runTime) // On the virtual clock: the runs have ended by themselves.
		is.Equal([]int{before, after}, []int{2, 0})
	})
}
