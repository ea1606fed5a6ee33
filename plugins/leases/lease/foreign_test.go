package lease

import (
	"testing"
	"time"

	"redwingpulley/kernel/port"
)

// newHolderOfForeignRun returns a harness that has taken over an endpoint where a run of member m2 is in progress. Its own run
// has ended.
func newHolderOfForeignRun(t *testing.T) (h *harness, foreign []port.TaskRun) {
	h = newHarness(t)
	foreign = []port.TaskRun{testRun(5)}
	h.step(StartRequested{Run: testRun(0)})
	h.advance(time.Millisecond).replyToHold(foreign)
	h.step(Claimed{Queried: foreign, Claims: []Claim{{Run: testRun(5), Member: "m2"}}})
	h.confirm(testRun(0))
	h.advance(100*time.Millisecond).replyToHold(foreign, port.RunEnd{Number: 1, Run: testRun(0), How: port.TaskDone})
	h.claim(testRun(5))
	return h, foreign
}

// claim answers the query of the last list: member m2 still waits for the run.
func (h *harness) claim(run port.TaskRun) {
	h.is.Equal(h.fx.ClaimQuery.Runs, []port.TaskRun{run})
	h.step(Claimed{Queried: []port.TaskRun{run}, Claims: []Claim{{Run: run, Member: "m2"}}})
}

// Guards against a run whose end nobody learns, so that its task waits until its deadline: the holder that took over the
// lease had no run of its own any more and sent no further hold.
func TestLeaseIsExtendedUntilTheRunsThatOthersWaitForHaveEnded(t *testing.T) {
	h, foreign := newHolderOfForeignRun(t)
	for range 12 {
		h.is.True(h.fx.Hold != nil && h.fx.Hold.Until == h.clock()+1000)
		h.advance(150 * time.Millisecond).replyToHold(foreign)
		h.claim(testRun(5))
	}
	end := port.RunEnd{Number: 2, Run: testRun(5), How: port.TaskDone}
	fx := h.advance(100*time.Millisecond).replyToHold(nil, end)
	h.is.Equal(fx.ForwardEnds, []ForwardedEnd{{end, "m2"}})
	h.advance(time.Second).step(Elapsed{})
	h.advance(time.Millisecond).replyToHold(nil) // Acknowledges the end.
	h.is.True(h.machine.Idle())
}

// failHolds leaves all holds of three seconds without an answer.
func (h *harness) failHolds() {
	for range 15 {
		if h.machine.holdInFlight {
			h.advance(200 * time.Millisecond).failHold()
		}
		h.advance(retryDelay).step(Elapsed{})
	}
}

// Guards against holds without end to an endpoint that has ended together with the runs that others waited for there.
func TestHoldsForRunsOfOthersEndWithTheLease(t *testing.T) {
	retired := newHarness(t)
	retired.step(RetireRequested{})
	retired.advance(time.Millisecond).replyToHold([]port.TaskRun{testRun(5)})
	retired.step(Claimed{Queried: []port.TaskRun{testRun(5)}, Claims: []Claim{{Run: testRun(5), Member: "m2"}}})
	takenOver, _ := newHolderOfForeignRun(t)
	for _, h := range []*harness{retired, takenOver} {
		h.failHolds()
		_, armed := h.machine.NextTimer(h.now)
		h.is.True(!armed && !h.machine.holdInFlight)
	}
}
