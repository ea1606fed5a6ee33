package lease

import (
	"testing"
	"time"

	"redwingpulley/kernel/model"
	"redwingpulley/kernel/port"
)

// loseRuns makes the endpoint unreachable until the lease has expired.
func (h *harness) loseRuns() (lost []Finished) {
	for len(lost) == 0 {
		h.advance(200 * time.Millisecond)
		if h.machine.holdInFlight {
			lost = append(lost, h.failHold().Finished...)
		} else {
			lost = append(lost, h.step(Elapsed{}).Finished...)
		}
	}
	return lost
}

// Guards against a storm of messages when a partition between members and endpoints heals: each endpoint then reports the runs that
// its lease has ended, and each such end went to all members of the group, although the holder itself had started and reported the runs.
func TestEndsOfOwnRunsThatWereReportedAsLostAreNotForwarded(t *testing.T) {
	h := newRunningHarness(t, 2)
	h.is.Equal(len(h.loseRuns()), 2)
	h.step(StartRequested{Run: testRun(2)})
	fx := h.advance(time.Millisecond).replyToHold(nil,
		port.RunEnd{Number: 1, Run: testRun(0), How: port.TaskLost}, port.RunEnd{Number: 2, Run: testRun(1), How: port.TaskDone})
	h.is.Equal(len(fx.ForwardEnds), 0)
	h.is.Equal(len(fx.Finished), 0) // Each run is reported once.
	h.is.Equal(fx.Starts[0].Run, testRun(2))
}

// Guards against a member that never learns the end of its run, since the holder had lost a run of the same name.
func TestEndOfAClaimedRunIsForwardedAlthoughARunOfItsNameWasLostHere(t *testing.T) {
	h := newRunningHarness(t, 1)
	h.loseRuns()
	h.step(StartRequested{Run: testRun(2)})
	h.advance(time.Millisecond).replyToHold([]port.TaskRun{testRun(0)})
	h.step(Claimed{Queried: []port.TaskRun{testRun(0)}, Claims: []Claim{{Run: testRun(0), Member: "n2"}}})
	end := port.RunEnd{Number: 1, Run: testRun(0), How: port.TaskDone}
	fx := h.advance(time.Millisecond).replyToHold(nil, end)
	h.is.Equal(fx.ForwardEnds, []ForwardedEnd{{end, model.NodeID("n2")}})
}
