package node

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"redwingpulley/bench/leased"
)

const (
	lateOrder   = 2300 * time.Millisecond // How late a stuck endpoint carries its orders out.
	callerPause = 1300 * time.Millisecond // Time after which a caller sends its job again.
	// membershipPeriodMS is the period that the product has on the users' platform. With one of 100 ms a delay of 300 ms counts as a pause, after
	// which a member refuses the jobs that it has accepted and not started.
	membershipPeriodMS = 250
)

// stuckEndpoint is the fault of an endpoint that gets stuck with the first start after arm: it answers no order until it has carried that
// start out, and carries each of them out by lateOrder late.
type stuckEndpoint struct {
	mu           sync.Mutex
	armed, stuck bool
}

func (s *stuckEndpoint) arm() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.armed = true
}

func (s *stuckEndpoint) fault(path string, _ int) leased.Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.armed && path == "/run-start" {
		s.armed, s.stuck = false, true
	}
	if s.stuck {
		return leased.Fault{ExecuteAfter: lateOrder, FromArrival: true}
	}
	return leased.Fault{}
}

// recoverAfterStart ends the fault once the endpoint has started the task. If it ended at a set time, a stop that arrives just then could
// be carried out before the late start, which would then be refused.
func (s *stuckEndpoint) recoverAfterStart(ctx context.Context, e *leased.Endpoint, task string) {
	for e.StartCounts()[task] == 0 {
		select {
		case <-time.After(time.Millisecond):
		case <-ctx.Done():
			return
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stuck = false
}

// watchOverlaps reports, once the test has ended the watch, whether two endpoints ran a task at the same time.
func watchOverlaps(task string, a, b *leased.Endpoint) (overlapped func() bool) {
	stop, result := make(chan struct{}), make(chan bool)
	go func() {
		overlap := false
		for {
			select {
			case <-time.After(time.Millisecond):
				overlap = overlap || slices.Contains(a.Running(), task) && slices.Contains(b.Running(), task)
			case <-stop:
				result <- overlap
				return
			}
		}
	}()
	return func() bool {
		close(stop)
		return <-result
	}
}

// Guards against review/7, TWICE: an endpoint leaves a start and its stops unanswered and carries them out seconds later, with a lease
// from then. The job was answered 504; sent again to an entry VM of another data centre, it ran there beside the late start.
func TestPlatformJobSentToAnotherVMDoesNotRunBesideALateStart(t *testing.T) {
	is := is.New(t)
	s := &platformCluster{t: t, dataCentres: 2, period: membershipPeriodMS}
	s.start(1, 2)
	var stuck stuckEndpoint
	near, far := s.startEndpoint(1, 16000, stuck.fault), s.startEndpoint(2, 16000, nil)
	s.putConfig(1)
	s.awaitReady()
	const id, task, shortDeadline, longDeadline = "00000000000000ee", "00000000000000ee.0.0.0", 700, 10_000
	spec := leased.Spec{MS: 600, CPU: 100}
	s.eventually(func() bool { // The fencing token is in use, so that a start needs no hold before it.
		before := near.Calls("/run-start")
		status, _ := s.submitJob(s.callers[0], 1, 1, 100)
		return status == http.StatusOK && near.Calls("/run-start") > before
	})
	overlapped := watchOverlaps(task, near, far)
	stuck.arm()
	go stuck.recoverAfterStart(t.Context(), near, task)
	status, _ := s.postWithin(shortDeadline, s.callers[0], id, 1, spec)
	is.Equal(status, http.StatusGatewayTimeout)
	time.Sleep(callerPause) // As callers do: the resend has to come when the first start is still under way.
	status, _ = s.postWithin(longDeadline, s.callers[1], id, 1, spec)
	is.Equal(status, http.StatusOK)
	is.True(!overlapped())
	is.Equal(near.StartCounts()[task], 1) // The late start was carried out.
}
