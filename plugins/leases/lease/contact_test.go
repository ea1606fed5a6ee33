package lease

import (
	"testing"
	"time"

	"redwingpulley/kernel/port"
)

// startAgain replaces the machine by one that has sent the start.
func (h *harness) startAgain() *harness {
	h.machine = New(testConfig)
	h.step(StartRequested{Run: testRun(0)})
	h.advance(time.Millisecond).replyToHold(nil)
	return h
}

// Guards against run times learned from late news: after a disconnection of endpoints, tasks seemed to run for many times as long as they
// do, and jobs were refused for seconds.
func TestTimeOfARunIsKnownOnlyWhileTheEndpointIsInContact(t *testing.T) {
	const wait = time.Duration(holdWaitFraction * float64(time.Second))
	for name, c := range map[string]struct {
		trouble func(h *harness)
		unknown bool
	}{
		"none":                        {func(*harness) {}, false},
		"long run":                    {func(h *harness) { h.advance(wait).replyToHold([]port.TaskRun{testRun(0)}) }, false},
		"stop answered":               {func(h *harness) { h.step(StopRequested{testRun(0)}) }, false},
		"stop unanswered":             {func(h *harness) { h.step(StopReplied{testRun(0), port.OrderReply{State: port.OrderUnknown}}) }, true},
		"hold unanswered":             {func(h *harness) { h.failHold(); h.advance(retryDelay).step(Elapsed{}) }, true},
		"hold reply late":             {func(h *harness) { h.advance(wait + port.MaxTimingError) }, true},
		"start unanswered":            {func(h *harness) { h.machine.runs[testRun(0)].phase = startUnanswered }, true},
		"start not answered yet":      {func(h *harness) { h.startAgain() }, false},
		"start not answered for long": {func(h *harness) { h.startAgain().advance(port.MaxTimingError) }, true},
		"start answered late":         {func(h *harness) { h.startAgain().advance(port.MaxTimingError).confirm(testRun(0)) }, true},
		"no hold for long": {func(h *harness) {
			h.replyToHold([]port.TaskRun{testRun(0), testRun(5)}) // Claims are queried first.
			h.advance(2 * port.MaxTimingError).step(Claimed{Queried: []port.TaskRun{testRun(5)}})
		}, true},
		"lease moved": {func(h *harness) { h.fence() }, true},
	} {
		t.Run(name, func(t *testing.T) {
			h := newRunningHarness(t, 1)
			c.trouble(h)
			end := port.RunEnd{Number: 1, Run: testRun(0), How: port.TaskDone}
			h.advance(10 * time.Millisecond)
			if h.machine.fenced {
				h.step(EndForwarded{end})
			} else {
				h.replyToHold(nil, end)
			}
			h.is.Equal(h.fx.Finished[0].TimeUnknown, c.unknown)
		})
	}
}
