package lease

import (
	"testing"
	"time"

	"redwingpulley/kernel/model"
	"redwingpulley/kernel/port"
)

// refuseHold reports that the endpoint refuses the connection of the hold in flight, and advances to the next hold.
func (h *harness) refuseHold() {
	h.step(HoldReplied{port.HoldReply{State: port.OrderNotSent, Refused: true}})
	h.advance(retryDelay).step(Elapsed{})
}

// lastCause returns the cause of the only run that has finished in the last step.
func (h *harness) lastCause() port.LossCause {
	h.is.Equal(len(h.fx.Finished), 1)
	h.is.Equal(h.fx.Finished[0].State, port.TaskLost)
	return h.fx.Finished[0].Cause
}

// Guards against work for an endpoint that has ended: that it refuses connections was known only with each start.
func TestRefusedConnectionsAndSuccessorsMeanThatTheEndpointIsDown(t *testing.T) {
	h := newRunningHarness(t, 1)
	h.failHold()
	h.is.True(!h.fx.Down) // The connection may have broken.
	h.advance(retryDelay).step(Elapsed{})
	h.is.True(h.step(HoldReplied{port.HoldReply{State: port.OrderNotSent, Refused: true}}).Down)
	h.advance(retryDelay).step(Elapsed{})
	h.is.True(h.replace().Down)
}

// Guards against crashes that nobody counts: the member that had sent the run has died, and the holder of the lease did not
// report runs that it had not requested itself.
func TestCrashUnderARunOfAnotherHolderIsReported(t *testing.T) {
	h := newRunningHarness(t, 0)
	h.step(StartRequested{Run: testRun(0)})
	h.advance(time.Millisecond).replyToHold([]port.TaskRun{testRun(1)}) // A run of another holder.
	h.step(Claimed{Queried: []port.TaskRun{testRun(1)}})
	h.advance(time.Millisecond).replace()
	h.is.Equal(h.fx.ForeignLosses, []ForeignLoss{{testRun(1), port.LossCrashed}})
}

// Guards against a crash that cannot be told from a lapsed lease in the logs, and against lapsed leases that count as crashes.
func TestLostRunTellsWhetherItsEndpointCrashed(t *testing.T) {
	t.Run("replaced within the lease", func(t *testing.T) {
		h := newRunningHarness(t, 1)
		h.advance(time.Millisecond).replyToHold([]port.TaskRun{testRun(0)})
		h.replace()
		h.is.Equal(h.lastCause(), port.LossCrashed)
	})
	t.Run("replaced after connections were refused within the lease", func(t *testing.T) {
		h := newRunningHarness(t, 1)
		h.failHold()
		h.advance(retryDelay).step(Elapsed{})
		h.refuseHold()
		h.advance(2 * testConfig.MaxLease).replace()
		h.is.Equal(h.step(Settled{Finished{Run: testRun(0), State: port.TaskNotRun}}).Finished[0].Cause, port.LossCrashed)
	})
	t.Run("start not confirmed", func(t *testing.T) {
		h := newHarness(t)
		h.step(StartRequested{Run: testRun(0)})
		h.advance(time.Millisecond).replyToHold(nil)
		h.step(StartReplied{testRun(0), port.OrderReply{State: port.OrderUnknown}})
		h.replace()
		h.step(Settled{Finished{Run: testRun(0), State: port.TaskNotRun}})
		h.is.Equal(h.lastCause(), port.LossNotBegun)
	})
	t.Run("leaving", func(t *testing.T) {
		h := newRunningHarness(t, 1)
		h.advance(time.Millisecond).replyToHold([]port.TaskRun{testRun(0)})
		h.step(RetireRequested{})
		h.replace()
		h.is.Equal(h.lastCause(), port.LossLeft)
	})
	t.Run("cut off", func(t *testing.T) {
		h := newRunningHarness(t, 1)
		h.advance(time.Millisecond).replyToHold([]port.TaskRun{testRun(0)})
		for h.machine.Pending(testRun(0)) {
			h.advance(200 * time.Millisecond).failHold()
			if h.machine.Pending(testRun(0)) {
				h.advance(retryDelay).step(Elapsed{})
			}
		}
		h.is.Equal(h.lastCause(), port.LossSilent)
	})
	t.Run("refusing connections", func(t *testing.T) {
		h := newRunningHarness(t, 1)
		h.advance(time.Millisecond).replyToHold([]port.TaskRun{testRun(0)})
		for h.machine.Pending(testRun(0)) {
			h.refuseHold()
		}
		h.is.Equal(h.lastCause(), port.LossRefusing)
	})
	t.Run("replaced by an endpoint with another id", func(t *testing.T) {
		h := newRunningHarness(t, 1)
		h.step(HoldReplied{port.HoldReply{State: port.OrderOtherIncarnation, Incarnation: model.EndpointID("")}})
		h.is.Equal(h.lastCause(), port.LossCrashed)
	})
	t.Run("no longer listed", func(t *testing.T) {
		h := newRunningHarness(t, 1)
		h.advance(time.Millisecond).replyToHold([]port.TaskRun{testRun(0)})
		h.advance(time.Millisecond).replyToHold(nil)
		h.is.Equal(h.lastCause(), port.LossDropped)
	})
}
