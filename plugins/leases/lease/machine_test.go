package lease

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"redwingpulley/kernel/port"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

var config = Config{Holder: 7, Lease: time.Second, StopTime: 50 * time.Millisecond, Away: 3 * time.Second}

func nth(index int) port.TaskRun { return port.TaskRun{Key: "k", Index: index, Attempt: 1} }

// harness steps a machine at times that the test sets.
type harness struct {
	is      *is.I
	machine *Machine
	now     time.Time
	fx      Effects
}

func newHarness(t *testing.T) *harness {
	return &harness{is: is.New(t), machine: New(config), now: start}
}

func (h *harness) step(event Event) Effects {
	h.fx = h.machine.Step(h.now, event)
	return h.fx
}

func (h *harness) after(d time.Duration) *harness {
	h.now = h.now.Add(d)
	return h
}

// clock is the endpoint's clock, which runs as the test's does.
func (h *harness) clock() int64 { return h.now.Sub(start).Milliseconds() + 1000 }

func (h *harness) answer(running []port.TaskRun, ended ...port.RunEnd) Effects {
	return h.step(HoldEnded{port.HoldReply{State: port.OrderDone, Clock: h.clock(), Running: running, Ended: ended}})
}

// opened returns a harness whose endpoint runs the given tasks.
func opened(t *testing.T, count int) *harness {
	h := newHarness(t)
	var all []port.TaskRun
	for i := range count {
		h.step(Wanted{Run: nth(i)})
		all = append(all, nth(i))
	}
	h.after(time.Millisecond).answer(nil)
	for _, r := range all {
		h.after(time.Millisecond).step(StartEnded{r, port.OrderReply{State: port.OrderDone, Clock: h.clock()}})
	}
	return h
}

func TestNothingStartsBeforeTheEndpointHasAnswered(t *testing.T) {
	h := newHarness(t)
	fx := h.step(Wanted{Run: nth(0), Payload: []byte("x")})
	h.is.Equal(len(fx.Starts), 0)
	h.is.True(fx.Hold != nil)
	h.is.Equal(fx.Hold.Until, int64(0)) // Its clock is not known yet.
	fx = h.after(time.Millisecond).answer(nil)
	h.is.Equal(len(fx.Starts), 1)
	h.is.Equal(fx.Starts[0].Until, h.clock()+1000)
	h.is.Equal(fx.Starts[0].Token, fx.Hold.Token)
}

func TestAnEndIsTheAnswerAndIsAcknowledgedWithTheNextHold(t *testing.T) {
	h := opened(t, 2)
	fx := h.after(60*time.Millisecond).answer([]port.TaskRun{nth(1)}, port.RunEnd{Number: 1, Run: nth(0), How: port.TaskDone})
	h.is.Equal(fx.Settled, []Settled{{nth(0), port.TaskDone, "ended done"}})
	h.is.True(fx.Hold != nil)
	h.is.Equal(fx.Hold.Seen, uint64(1))
	h.is.True(fx.Hold.Until > h.clock())
}

func TestEndsOfAnIdleEndpointAreAcknowledged(t *testing.T) {
	h := opened(t, 1)
	fx := h.answer(nil, port.RunEnd{Number: 1, Run: nth(0), How: port.TaskDone})
	h.is.True(fx.Hold == nil) // A start that comes soon brings a hold anyway.
	at, ok := h.machine.Wake(h.now)
	h.is.True(ok)
	h.now = at
	fx = h.step(Elapsed{})
	h.is.True(fx.Hold != nil)
	h.is.Equal(fx.Hold.Seen, uint64(1))
	h.is.Equal(fx.Hold.Until, int64(0))
	h.answer(nil)
	h.is.True(h.machine.Idle())
}

func TestAnEndIsTakenOnce(t *testing.T) {
	h := opened(t, 1)
	end := port.RunEnd{Number: 1, Run: nth(0), How: port.TaskFailed}
	h.is.Equal(h.answer(nil, end).Settled[0].State, port.TaskFailed)
	h.step(Wanted{Run: nth(0)}) // The same run must not take the old end.
	h.is.Equal(len(h.answer([]port.TaskRun{nth(0)}, end).Settled), 0)
}

func TestAnUnansweredStartIsStoppedBeforeItCountsAsNotRun(t *testing.T) {
	h := newHarness(t)
	h.step(Wanted{Run: nth(0)})
	h.after(time.Millisecond).answer(nil)
	fx := h.after(200 * time.Millisecond).step(StartEnded{nth(0), port.OrderReply{State: port.OrderUnknown}})
	h.is.Equal(len(fx.Settled), 0)
	h.is.Equal(fx.Stops[0].Run, nth(0))
	fx = h.after(time.Millisecond).step(StopEnded{nth(0), port.OrderReply{State: port.OrderUnknown}})
	h.is.Equal(len(fx.Stops), 0)
	fx = h.after(retryPause).step(Elapsed{})
	h.is.Equal(len(fx.Stops), 1) // Until it is answered.
	h.after(time.Millisecond).step(StopEnded{nth(0), port.OrderReply{State: port.OrderDone}})
	h.is.Equal(len(h.after(time.Millisecond).answer(nil).Settled), 0) // This hold was sent before the stop.
	h.is.Equal(len(h.after(time.Millisecond).answer(nil).Settled), 0) // This one may have come before the run's end.
	h.after(config.StopTime).answer(nil)
	fx = h.after(time.Millisecond).answer(nil)
	h.is.Equal(fx.Settled[0].State, port.TaskNotRun)
}

func TestAStartWhoseAnswerIsLostButWhichIsListedGoesOn(t *testing.T) {
	h := newHarness(t)
	h.step(Wanted{Run: nth(0)})
	h.after(time.Millisecond).answer(nil)
	h.after(time.Millisecond).answer([]port.TaskRun{nth(0)})
	fx := h.after(time.Millisecond).step(StartEnded{nth(0), port.OrderReply{State: port.OrderUnknown}})
	h.is.Equal(len(fx.Stops), 0)
	fx = h.answer(nil, port.RunEnd{Number: 1, Run: nth(0), How: port.TaskDone})
	h.is.Equal(fx.Settled[0].State, port.TaskDone)
}

func TestASilentEndpointIsNoLongerHeldAndItsRunsAreLostOnceTheLeaseHasLapsed(t *testing.T) {
	h := opened(t, 1)
	extended := h.machine.extendedAt
	for h.now.Sub(start) < 3*time.Second {
		if h.machine.holding {
			h.after(200 * time.Millisecond).step(HoldEnded{port.HoldReply{State: port.OrderUnknown}})
		} else {
			at, ok := h.machine.Wake(h.now)
			h.is.True(ok)
			h.now = at
			h.step(Elapsed{})
		}
		if h.fx.Hold != nil && h.fx.Hold.Until > 0 {
			extended = h.now
		}
		if len(h.fx.Settled) > 0 {
			break
		}
	}
	h.is.Equal(h.fx.Settled[0].State, port.TaskLost)
	h.is.True(h.now.Sub(extended) >= 1020*time.Millisecond) // A clock that is 2% slow.
	h.is.True(h.now.Sub(start) < 2500*time.Millisecond)
}

func TestARunThatTheEndpointForgotIsLost(t *testing.T) {
	h := opened(t, 1)
	h.is.Equal(len(h.after(time.Millisecond).answer(nil).Settled), 0) // The hold was sent before the start.
	fx := h.after(time.Millisecond).answer(nil)
	h.is.Equal(fx.Settled[0].State, port.TaskLost)
}

func TestAnotherLifetimeHasLostAllRuns(t *testing.T) {
	h := opened(t, 2)
	fx := h.step(HoldEnded{port.HoldReply{State: port.OrderOtherLife}})
	h.is.Equal(len(fx.Settled), 2)
	h.is.Equal(fx.Settled[0].State, port.TaskLost)
	h.is.True(fx.Hold == nil)
	h.is.Equal(h.step(Wanted{Run: nth(9)}).Settled[0].State, port.TaskNotRun)
}

func TestAFencedHolderLeavesTheEndpointAloneAndTakesTheEndsItIsTold(t *testing.T) {
	h := opened(t, 1)
	fx := h.step(HoldEnded{port.HoldReply{State: port.OrderFenced}})
	h.is.Equal(fx.Lost, LossFenced)
	h.is.Equal(len(fx.Settled), 0) // The next holder keeps it going.
	h.is.True(fx.Hold == nil)
	_, ok := h.machine.Wake(h.now)
	h.is.True(!ok) // No call before the time is over.
	h.is.Equal(h.step(Wanted{Run: nth(1)}).Settled[0].State, port.TaskAway)
	fx = h.step(Told{port.RunEnd{Run: nth(0), How: port.TaskDone}})
	h.is.Equal(fx.Settled[0].State, port.TaskDone)

	token := h.machine.token
	fx = h.after(config.Away).step(Wanted{Run: nth(2)})
	h.is.True(fx.Hold != nil)
	h.is.True(fx.Hold.Token > token)
}

func TestRunsOfAnotherHolderAreStoppedUnlessAMemberWaitsForThem(t *testing.T) {
	h := newHarness(t)
	h.step(Wanted{Run: nth(0)})
	fx := h.answer([]port.TaskRun{nth(5), nth(6)})
	h.is.Equal(fx.Ask, []port.TaskRun{nth(5), nth(6)})
	fx = h.step(Claimed{Asked: fx.Ask, Claimed: []port.TaskRun{nth(6)}})
	h.is.Equal(len(fx.Stops), 1)
	h.is.Equal(fx.Stops[0].Run, nth(5))
	fx = h.after(time.Millisecond).answer(nil, port.RunEnd{Number: 4, Run: nth(6), How: port.TaskDone})
	h.is.Equal(fx.PassOn, []port.RunEnd{{Number: 4, Run: nth(6), How: port.TaskDone}})
}

func TestAStoppedRunEndsByItsListedEnd(t *testing.T) {
	h := opened(t, 1)
	fx := h.step(Unwanted{nth(0)})
	h.is.Equal(len(fx.Stops), 1)
	h.is.Equal(len(fx.Settled), 0)
	h.step(StopEnded{nth(0), port.OrderReply{State: port.OrderDone}})
	fx = h.answer(nil, port.RunEnd{Number: 1, Run: nth(0), How: port.TaskStopped})
	h.is.Equal(fx.Settled[0].State, port.TaskStopped)
}

func TestATokenIsTakenAnewAfterAPause(t *testing.T) {
	h := opened(t, 1)
	first := h.machine.token
	h.answer(nil, port.RunEnd{Number: 1, Run: nth(0), How: port.TaskDone})
	h.now = h.now.Add(idleTime)
	h.step(Elapsed{})
	h.answer(nil)
	fx := h.after(time.Second).step(Wanted{Run: nth(1)})
	h.is.True(fx.Hold.Token > first)
	h.is.Equal(len(fx.Starts), 0)
}
