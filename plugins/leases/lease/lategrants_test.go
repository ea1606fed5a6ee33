package lease

import (
	"testing"
	"time"

	"redwingpulley/kernel/port"
)

// latestEnd returns the time by which run 0 has certainly ended.
func (h *harness) latestEnd() time.Time {
	h.is.Helper()
	at, bounded := h.machine.endedBy(h.machine.runs[testRun(0)])
	h.is.True(bounded)
	return at
}

// Guards against two runs of a task: a hold that retires an endpoint got no answer and extended the lease late, although the endpoint had
// accepted the retiring token with the next hold. It refuses only orders with lower tokens.
func TestLateHoldUnderAnAcceptedTokenMayExtendTheLease(t *testing.T) {
	h := newRunningHarness(t, 1)
	running := []port.TaskRun{testRun(0)}
	h.replyToHold(running)
	h.step(RetireRequested{})
	h.advance(100 * time.Millisecond).replyToHold(running)
	h.is.Equal(h.machine.retirement.phase, retiring)
	h.is.True(h.fx.Hold != nil && h.fx.Hold.Until > 0)
	unanswered := h.now
	h.advance(200 * time.Millisecond).failHold()
	h.advance(retireRetryDelay).step(Elapsed{})
	h.advance(10 * time.Millisecond).replyToHold(running)
	for h.now.Sub(unanswered) < minOrderDelay { // The endpoint answers for a while.
		h.advance(100 * time.Millisecond).replyToHold(running)
	}
	for range maxFailedHolds {
		h.advance(200 * time.Millisecond).failHold()
		h.advance(retryDelay).step(Elapsed{})
	}
	h.is.True(!h.latestEnd().Before(unanswered.Add(MaxOrderDelay + testConfig.MaxLease)))
}

// Guards against two runs of a task: a query for claims that was overtaken by a later one erased what that had said about late orders.
func TestOvertakenQueryForClaimsDoesNotEraseLateOrders(t *testing.T) {
	running := []port.TaskRun{testRun(0)}
	for _, earlier := range []uint64{1, 2} { // That of a former holder, and one of the same holder.
		h := newRunningHarness(t, 1)
		token := h.machine.token
		h.step(TakenOver{Token: token + 2<<holderBits, Running: running, LateGrantsFor: 10 * time.Second})
		until := h.now.Add(10*time.Second + testConfig.MaxLease)
		h.advance(10 * time.Millisecond).step(TakenOver{Token: token + earlier<<holderBits, Running: running})
		h.is.True(!h.latestEnd().Before(until))
	}
}

// Guards against tasks that wait for 12 s where nothing can happen any more: a start that was sent under a lower token than the endpoint
// has accepted since is refused when it arrives.
func TestUnansweredStartUnderALowerTokenThanTheAcceptedOneExtendsNothing(t *testing.T) {
	h := newRunningHarness(t, 1)
	running := []port.TaskRun{testRun(0)}
	h.replyToHold(running)
	h.step(StartRequested{Run: testRun(1)})
	h.is.Equal(len(h.fx.Starts), 1)
	h.replyToHold(running)
	h.machine.replaceToken(h.now) // As for a fence.
	h.advance(10 * time.Millisecond).replyToHold(running)
	h.advance(10 * time.Millisecond).replyToHold(running)
	h.is.True(h.machine.tokenAccepted)
	h.advance(180 * time.Millisecond).step(StartReplied{testRun(1), port.OrderReply{State: port.OrderUnknown}})
	h.is.Equal(h.machine.lateGrantsFor(h.now.Add(3*time.Second)), time.Duration(0))
}

// Guards against two runs of a task: a late order of one holder had extended the lease just before the next holder listed the run, which
// was taken for ended with that holder's first query.
func TestRunThatALateOrderOfAFormerHolderHasExtendedIsNotOverWithTheNextHoldersQuery(t *testing.T) {
	running := []port.TaskRun{testRun(0)}
	h := newRunningHarness(t, 1)
	token := h.machine.token
	h.step(TakenOver{Token: token + 1<<holderBits, Running: running, LateGrantsFor: 10 * time.Second})
	h.advance(100 * time.Millisecond).step(StopRequested{testRun(0)})
	h.advance(3 * time.Second).step(TakenOver{Token: token + 2<<holderBits, Running: running})
	h.is.Equal(len(h.fx.Finished), 0)
	h.is.True(!h.latestEnd().Before(h.now.Add(testConfig.MaxLease)))
}
