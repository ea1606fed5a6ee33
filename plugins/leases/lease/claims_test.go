package lease

import (
	"testing"
	"time"

	"redwingpulley/kernel/port"
)

// Guards against two runs of a task: a holder that does not reach an endpoint takes its lease for expired, while the
// next holder has extended it for a run that it was only about to stop.
func TestLeaseIsNotExtendedWhileARunIsListedThatNobodyWaitsFor(t *testing.T) {
	h := newHarness(t)
	running := []port.TaskRun{testRun(5)}
	h.step(StartRequested{Run: testRun(0)})
	fx := h.advance(time.Millisecond).replyToHold(running)
	h.is.Equal(fx.ClaimQuery, running)
	h.is.Equal(len(fx.Starts), 0) // A start extends the lease, too.
	h.is.True(fx.Hold == nil || fx.Hold.Until == 0)
	fx = h.advance(time.Millisecond).step(Claimed{Queried: running})
	h.is.Equal(fx.Stops[0].Run, testRun(5))
	h.is.Equal(len(fx.Starts), 0)
	h.is.True(fx.Hold != nil)
	h.is.Equal(fx.Hold.Until, int64(0))
	fx = h.advance(100 * time.Millisecond).replyToHold(running) // The stop was lost.
	h.is.Equal(fx.Stops[0].Run, testRun(5))
	h.is.Equal(len(fx.Starts), 0)
	fx = h.advance(time.Millisecond).replyToHold(nil, port.RunEnd{Number: 1, Run: testRun(5), How: port.TaskStopped})
	h.is.Equal(len(fx.Starts), 1)
	h.is.True(fx.Hold.Until > 0)
}
