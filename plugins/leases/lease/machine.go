package lease

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"redwingpulley/kernel/model"
	"redwingpulley/kernel/port"
)

const (
	// maxClockDrift is the fraction by which an endpoint's clock may run slow.
	maxClockDrift = 0.02
	// expiryMargin covers the network delay of the last lease extension.
	expiryMargin = 50 * time.Millisecond
	// holdWaitFraction is the fraction of the lease for which the endpoint may delay its reply to a
	// hold. It is small enough that the lease stays in force when one hold is lost and sent again.
	holdWaitFraction = 0.35
	// ackDelay is how long the acknowledgement of ends waits for a hold that is sent for another
	// reason.
	ackDelay = 400 * time.Millisecond
	// tokenIdleTimeout is how long a fencing token may still be used after the last run has finished.
	// After a longer time another member may have held the lease.
	tokenIdleTimeout = time.Second
	// retryDelay is the delay before a hold or stop that failed is sent again.
	retryDelay = 30 * time.Millisecond
	// maxFailedHolds is the number of consecutive failed holds after which holds no longer
	// extend the lease, so that the time of its expiry is known.
	maxFailedHolds = 2

	holderBits = 12 // Lowest bits of a token, which contain the holder's id; the others are a time in milliseconds.
)

// Details of outcomes.
const (
	detailReplaced        = "another incarnation has replaced the endpoint"
	detailLeasedElsewhere = "another member holds the endpoint's lease"
)

// Machine holds the state of the lease on one incarnation of an endpoint. Create one with New.
type Machine struct {
	config        Config
	token         uint64
	tokenAccepted bool             // The endpoint has answered a hold with this token.
	acceptedToken uint64           // Highest token with which the endpoint has answered a hold.
	fenced        bool             // The endpoint has accepted a higher token of another holder.
	fencedBy      uint64           // That token, or a lower bound of it.
	replaced      bool             // Another incarnation of the endpoint has replaced this one.
	successor     model.EndpointID // That incarnation; "" when it is not known.

	endpointClock int64     // Newest reading of the endpoint's clock, in milliseconds.
	clockReadAt   time.Time // When endpointClock was read.

	holdInFlight    bool
	holdSentAt      time.Time     // When the newest hold was sent.
	holdToken       uint64        // Fencing token of the newest hold.
	holdExtends     bool          // The newest hold extends the lease.
	holdWaits       time.Duration // For how long the endpoint may delay its reply to the newest hold.
	holdRepliedAt   time.Time     // When the newest reply to a hold arrived; zero before the first.
	failedHolds     int           // Consecutive holds that failed.
	holdRetryAt     time.Time     // When to send the next hold after a failed one; zero after a successful one.
	leaseExtendedAt time.Time     // When the newest hold or start that extends the lease was sent.
	ordersArriveBy  time.Time     // Latest time at which starts and holds without an answer may arrive, at this incarnation or the next one.
	lateExtensions  lateExtensions
	leaseSeenAt     time.Time // When the endpoint has listed a run last, so that the lease was in force.
	// holderExtensionsUntil is the time until which late orders of the holder that has fenced this one may extend the lease.
	holderExtensionsUntil time.Time
	holderToken           uint64 // Highest fencing token under which another holder has queried claims.

	refusingSince time.Time // When the endpoint first refused a connection after its newest reply; zero when it has not.

	lastEnd        uint64    // Number of the newest end that was received.
	lastEndSent    uint64    // Newest end that the newest hold acknowledges.
	lastEndAcked   uint64    // Newest end whose acknowledgement the endpoint has received.
	lastFinishedAt time.Time // When the newest outcome of a run was reported.
	fencedUntil    time.Time // Until then the endpoint is left to the holder that fenced this one.
	retirement     retirement
	fence          fence

	runs map[port.TaskRun]*run
	// foreignRuns are the runs of other holders that the endpoint has listed last.
	foreignRuns        map[port.TaskRun]*foreignRun
	claimQueryInFlight bool      // A ClaimQuery has not been answered. No hold is sent meanwhile.
	claimsQueriedAt    time.Time // When the newest ClaimQuery was sent.
	claimsValidFrom    time.Time // When the newest ClaimQuery that was answered was sent.
	// unclaimedEnds are the latest ends of runs that were not requested here, oldest first.
	unclaimedEnds []port.RunEnd
	// presumedLost are the latest runs of this member that were reported as lost before the endpoint reported their ends, oldest first.
	presumedLost []port.TaskRun
}

// phase is the progress of a run.
type phase int

const (
	queued          phase = iota // The start waits: for a reply to a hold, or until the lease may be extended.
	startSent                    // The start has no reply yet.
	confirmed                    // The endpoint has confirmed the start.
	startUnanswered              // No reply to the start came in time; the run is being stopped.
	handedOver                   // Another member holds the lease now and forwards the run's end.
	atSuccessor                  // The machine of the endpoint's next incarnation settles the run.
	inherited                    // An earlier incarnation was asked to start the run, and this one has not listed its runs since.
)

// run is the state of a run that was requested and has not finished.
type run struct {
	phase           phase
	payload         []byte
	requestedAt     time.Time // When the start was requested.
	confirmedAt     time.Time
	listed          bool // The endpoint has listed the run, which is therefore one of this incarnation.
	stopRequested   bool
	stopRequestedAt time.Time // When the run was first requested to be stopped.
	stopInFlight    bool      // A stop order has no reply yet.
	stopDueAt       time.Time // When to send the next stop order; zero when none is due.
	stopAckedAt     time.Time // When the endpoint acknowledged the stop order.
	startToken      uint64    // Fencing token of the start order; 0 before it is sent.
	startArrivesBy  time.Time // Latest time at which the start may arrive, or may have arrived, and extend the lease.
	claimedAt       time.Time // When this member last claimed the run, which another holder keeps running.
	endReported     bool      // The endpoint has reported the run's end.
	timeUnknown     bool      // See contact.go.
	// lossCause is why the run is lost, unless the successor that settles it has started it.
	lossCause port.LossCause
}

// underLease reports whether the run may be running at the endpoint under this holder's lease.
func (r *run) underLease() bool {
	return r.phase == startSent || r.phase == confirmed || r.phase == startUnanswered
}

// New returns the machine of an endpoint that this member has not called yet.
func New(config Config) *Machine {
	return &Machine{
		config: config, runs: make(map[port.TaskRun]*run), foreignRuns: make(map[port.TaskRun]*foreignRun),
	}
}

// Step applies an event and returns what has to be done.
func (m *Machine) Step(now time.Time, event Event) Effects {
	var fx Effects
	switch e := event.(type) {
	case StartRequested:
		m.handleStartRequest(now, e, &fx)
	case StopRequested:
		m.handleStopRequest(now, e.Run, &fx)
	case RetireRequested:
		m.handleRetireRequest(now, &fx)
	case FenceRequested:
		m.handleFenceRequest(now, &fx)
	case StartReplied:
		m.handleStartReply(now, e, &fx)
	case StopReplied:
		m.handleStopReply(now, e, &fx)
	case HoldReplied:
		m.handleHoldReply(now, e.Reply, &fx)
	case Claimed:
		m.handleClaims(now, e, &fx)
	case TakenOver:
		m.handleTakeover(now, e, &fx)
	case EndForwarded:
		m.handleRunEnd(now, e.End, &fx)
	case Replaced:
		m.handleReplaced(now, e.Successor, &fx)
	case SettleRequested:
		m.handleSettleRequest(now, e, &fx)
	case Settled:
		m.handleSettled(now, e.Outcome, &fx)
	case Elapsed:
	}
	m.advance(now, &fx)
	return fx
}

// Idle reports whether all runs have finished, no hold is in flight and all ends are acknowledged. The
// ends of a replaced incarnation need no acknowledgement.
func (m *Machine) Idle() bool {
	return len(m.runs) == 0 && !m.holdInFlight && (m.replaced || m.lastEndAcked == m.lastEnd)
}

// Pending reports whether a run was requested and has not finished.
func (m *Machine) Pending(id port.TaskRun) bool { _, known := m.runs[id]; return known }

// Wanted reports whether a run was requested, has not finished and is not to be stopped.
func (m *Machine) Wanted(id port.TaskRun) bool {
	r, known := m.runs[id]
	return known && !r.stopRequested
}

// advance does what is due at the given time: it finishes runs that have certainly ended, and sends stop
// orders and the next hold.
func (m *Machine) advance(now time.Time, fx *Effects) {
	m.forgetExpiredRuns(now, fx)
	m.finishEndedRuns(now, fx)
	for _, id := range m.sortedRuns() {
		r := m.runs[id]
		if !r.stopDueAt.IsZero() && !now.Before(r.stopDueAt) && !r.stopInFlight {
			r.stopDueAt, r.stopInFlight = time.Time{}, true
			fx.Stops = append(fx.Stops, port.StopOrder{Run: id, Token: m.token})
		}
	}
	m.takeRetiringToken(now)
	m.outbidLateExtensions(now)
	if !m.holdInFlight && m.holdDue(now) {
		m.sendHold(now, fx)
	}
}

// NextTimer returns when Elapsed is due next; ok is false when no timer is needed.
func (m *Machine) NextTimer(now time.Time) (at time.Time, ok bool) {
	earliest := func(t time.Time) {
		if !ok || t.Before(at) {
			at, ok = t, true
		}
	}
	for _, r := range m.runs {
		if !r.stopDueAt.IsZero() && !r.stopInFlight {
			earliest(r.stopDueAt)
		}
		if at, bounded := m.endedBy(r); bounded {
			earliest(at)
		}
	}
	if due, needed := m.nextHoldAt(now); needed && !m.holdInFlight {
		earliest(due)
	}
	if m.failedHolds >= maxFailedHolds && len(m.foreignRuns) > 0 {
		earliest(m.leaseExpiredBy())
	}
	return at, ok
}

// sortedRuns returns the unfinished runs in an order that does not depend on map iteration, so that the
// machine stays deterministic.
func (m *Machine) sortedRuns() []port.TaskRun {
	ids := make([]port.TaskRun, 0, len(m.runs))
	for id := range m.runs {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, compareRuns)
	return ids
}

// compareRuns orders runs.
func compareRuns(a, b port.TaskRun) int {
	return cmp.Or(strings.Compare(a.Key, b.Key), cmp.Compare(a.Index, b.Index), cmp.Compare(a.Attempt, b.Attempt))
}
