package lease

import (
	"testing"
	"time"

	"github.com/matryer/is"

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

// answerHold lets an endpoint carry out the hold in flight a millisecond after it was sent.
func (h *harness) answerHold(endpoint *fakeEndpoint) Effects {
	h.advance(time.Millisecond)
	endpoint.now = h.now
	return h.step(HoldReplied{endpoint.hold(0, *h.fx.Hold)})
}

// Guards against two runs of a task: a hold got no answer, and the endpoint carried it out seconds later, with a lease from then, though it had
// answered others since. It was cut off by then, so that the run went on that its caller had given up, beside that of the job sent again.
func TestLateHoldIsRefusedOnceTheEndpointHasAnsweredAgain(t *testing.T) {
	is := is.New(t)
	endpoint := newFakeEndpoint()
	endpoint.grants = true
	h := newHarness(t)
	h.step(StartRequested{Run: testRun(0)})
	start := h.answerHold(endpoint).Starts[0]
	late := *h.fx.Hold
	is.True(late.Until > 0)
	h.step(StartReplied{testRun(0), endpoint.start(start)})
	h.advance(200 * time.Millisecond).failHold()
	h.advance(retryDelay).step(Elapsed{})
	h.answerHold(endpoint)
	h.answerHold(endpoint)
	is.True(h.fx.Hold.Until > 0) // The lease goes on under the new token.
	is.True(h.machine.Pending(testRun(0)))

	h.advance(3 * time.Second)
	endpoint.now = h.now
	is.Equal(endpoint.hold(0, late).State, port.OrderFenced)
}
