package lease

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"redwingpulley/kernel/port"
)

const (
	// clockError is by how much an endpoint's clock may run slow, as a share.
	clockError = 0.02
	// lapseMargin covers the way of the last extension to the endpoint.
	lapseMargin = 50 * time.Millisecond
	// holdShare is the part of a lease for which a hold waits: one lost hold and its repetition
	// leave the lease in force.
	holdShare = 0.35
	// acknowledgeAfter is how long ends wait for a hold that is sent anyway.
	acknowledgeAfter = 400 * time.Millisecond
	// idleTime is how long after its last run the token is used again. Another member may have held
	// the endpoint meanwhile.
	idleTime = time.Second
	// retryPause is the wait before a call that got no answer is repeated.
	retryPause = 30 * time.Millisecond
	// extendingFailures is how many holds in a row may fail before the lease is no longer extended,
	// so that it is known when it has lapsed.
	extendingFailures = 2

	holderBits = 12 // Of a token; the rest is the time, in milliseconds.
)

// Machine holds the state of one lifetime of an endpoint. Create one with New.
type Machine struct {
	config Config
	token  uint64
	opened bool // The endpoint has answered under this token.
	gone   bool // Another lifetime has taken its place.

	clock   int64     // Of the endpoint, milliseconds,
	clockAt time.Time // at this time.

	holding    bool
	held       time.Time // When the newest hold was sent.
	failures   int       // Holds in a row that got no answer.
	retryAt    time.Time // Zero, or when the next hold follows one that failed.
	extendedAt time.Time // When the newest extension of the lease was sent.

	seen         uint64 // Number of the newest end.
	told         uint64 // The newest end that a hold was sent with.
	acknowledged uint64
	idleAt       time.Time // When the last run was settled.
	fencedUntil  time.Time

	runs    map[port.TaskRun]*run
	foreign map[port.TaskRun]bool // Runs of others that were asked for; true for those that a live member waits for.
}

type phase int

const (
	waiting   phase = iota // For the endpoint to be opened.
	sent                   // The start has no answer yet.
	confirmed              // It is there.
	doubtful               // The start got no answer.
	entrusted              // The endpoint has another holder, which passes its end on.
)

// run is a run that was wanted and has not been settled.
type run struct {
	phase       phase
	payload     []byte
	confirmedAt time.Time
	unwanted    bool
	stopping    bool      // A stop has no answer yet.
	stopAt      time.Time // When the next stop is sent; zero when none is.
	stoppedAt   time.Time // When the endpoint answered the stop.
}

// New returns the machine of an endpoint that nobody has called yet.
func New(config Config) *Machine {
	return &Machine{
		config: config, runs: make(map[port.TaskRun]*run), foreign: make(map[port.TaskRun]bool),
	}
}

// Step applies an event and returns what has to be done.
func (m *Machine) Step(now time.Time, event Event) Effects {
	var fx Effects
	switch e := event.(type) {
	case Wanted:
		m.wanted(now, e, &fx)
	case Unwanted:
		m.unwanted(now, e.Run, &fx)
	case StartEnded:
		m.startEnded(now, e, &fx)
	case StopEnded:
		m.stopEnded(now, e, &fx)
	case HoldEnded:
		m.holdEnded(now, e.Reply, &fx)
	case Claimed:
		m.claimed(e, &fx)
	case Told:
		m.ended(now, e.End, &fx)
	case Elapsed:
	}
	m.advance(now, &fx)
	return fx
}

// Idle reports whether no run is unsettled and no end unacknowledged.
func (m *Machine) Idle() bool {
	return len(m.runs) == 0 && !m.holding && (m.gone || m.acknowledged == m.seen)
}

// Waits reports whether a run is wanted and not settled.
func (m *Machine) Waits(r port.TaskRun) bool { _, known := m.runs[r]; return known }

// advance does what is due: stops, the lapse of the lease, and the next hold.
func (m *Machine) advance(now time.Time, fx *Effects) {
	if m.failures >= extendingFailures && !now.Before(m.lapsedAt()) {
		m.loseLapsed(now, fx)
	}
	for _, id := range m.sorted() {
		r := m.runs[id]
		if !r.stopAt.IsZero() && !now.Before(r.stopAt) && !r.stopping {
			r.stopAt, r.stopping = time.Time{}, true
			fx.Stops = append(fx.Stops, port.StopOrder{Run: id, Token: m.token})
		}
	}
	if !m.holding && m.holdDue(now) {
		m.hold(now, fx)
	}
}

// Wake returns when Elapsed is due next; ok is false when nothing waits for time to pass.
func (m *Machine) Wake(now time.Time) (at time.Time, ok bool) {
	earliest := func(t time.Time) {
		if !ok || t.Before(at) {
			at, ok = t, true
		}
	}
	for _, r := range m.runs {
		if !r.stopAt.IsZero() && !r.stopping {
			earliest(r.stopAt)
		}
	}
	if due, wanted := m.holdAt(now); wanted && !m.holding {
		earliest(due)
	}
	if m.failures >= extendingFailures && m.active() {
		earliest(m.lapsedAt())
	}
	return at, ok
}

// sorted returns the unsettled runs in an order that depends on the events alone.
func (m *Machine) sorted() []port.TaskRun {
	ids := make([]port.TaskRun, 0, len(m.runs))
	for id := range m.runs {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b port.TaskRun) int {
		return cmp.Or(strings.Compare(a.Key, b.Key), cmp.Compare(a.Index, b.Index), cmp.Compare(a.Attempt, b.Attempt))
	})
	return ids
}
