package lease

import (
	"testing"
	"time"

	"redwingpulley/kernel/port"
)

// Guards against two runs of a task at an endpoint that leaves: a hold under the retiring token, which extends the lease before the endpoint is
// known to have accepted that token, got no answer. Once a later one was answered, it was left out of account, and arrived afterwards.
func TestLateHoldUnderTheRetiringTokenMayExtendTheLease(t *testing.T) {
	h := newRunningHarness(t, 1)
	running := []port.TaskRun{testRun(0)}
	h.replyToHold(running)
	h.step(RetireRequested{})
	h.advance(time.Millisecond).replyToHold(running)
	h.is.True(h.machine.hasRetiringToken())
	h.is.True(h.fx.Hold.Until > 0)
	late := h.now
	h.advance(200 * time.Millisecond).failHold()
	for h.now.Before(late.Add(minOrderDelay)) {
		if !h.machine.holdInFlight {
			h.advance(retireRetryDelay).step(Elapsed{})
		}
		h.advance(100 * time.Millisecond).replyToHold(running)
	}
	for h.now.Before(late.Add(MaxOrderDelay)) { // The endpoint is cut off. The hold may extend the lease at any moment of this.
		h.advance(200 * time.Millisecond)
		if h.machine.holdInFlight {
			h.failHold()
		} else {
			h.step(Elapsed{})
		}
		h.is.Equal(len(h.fx.Finished), 0)
	}
}
