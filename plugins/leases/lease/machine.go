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

func (m *Machine) wanted(now time.Time, w Wanted, fx *Effects) {
	switch {
	case m.gone:
		fx.Settled = append(fx.Settled, Settled{w.Run, port.TaskNotRun, "another lifetime has taken its place"})
		return
	case now.Before(m.fencedUntil):
		fx.Settled = append(fx.Settled, Settled{w.Run, port.TaskAway, "another member holds the endpoint"})
		return
	case m.runs[w.Run] != nil:
		return
	}
	m.renewToken(now)
	r := &run{payload: w.Payload}
	m.runs[w.Run] = r
	if m.opened {
		m.start(now, w.Run, r, fx)
	}
}

// renewToken takes a new token after a pause in which another member may have held the endpoint.
func (m *Machine) renewToken(now time.Time) {
	if m.token != 0 && (len(m.runs) > 0 || m.holding || now.Sub(m.idleAt) < idleTime) {
		return
	}
	fresh := uint64(now.UnixMilli())<<holderBits | m.config.Holder&(1<<holderBits-1)
	m.token = max(fresh, m.token+1<<holderBits)
	m.opened = false
}

func (m *Machine) start(now time.Time, id port.TaskRun, r *run, fx *Effects) {
	r.phase = sent
	m.extendedAt = now
	fx.Starts = append(fx.Starts, port.StartOrder{Run: id, Payload: r.payload, Until: m.until(now), Token: m.token})
	r.payload = nil
}

// until returns the end of a lease that is granted now, by the endpoint's clock.
func (m *Machine) until(now time.Time) int64 {
	return m.clock + now.Sub(m.clockAt).Milliseconds() + m.config.Lease.Milliseconds()
}

func (m *Machine) hear(now time.Time, clock int64) {
	if clock > 0 {
		m.clock, m.clockAt = clock, now
	}
}

func (m *Machine) startEnded(now time.Time, e StartEnded, fx *Effects) {
	m.hear(now, e.Reply.Clock)
	r, known := m.runs[e.Run]
	if !known || r.phase != sent {
		return
	}
	switch e.Reply.State {
	case port.OrderDone:
		m.confirm(now, r)
	case port.OrderUnknown:
		r.phase = doubtful
		r.stopAt = now // Stopped there, it never starts later.
	case port.OrderFenced:
		m.settle(now, e.Run, port.TaskAway, "another member holds the endpoint", fx)
		m.fenced(now, fx)
	case port.OrderOtherLife:
		m.settle(now, e.Run, port.TaskNotRun, "another lifetime has taken its place", fx)
		m.lost(now, "another lifetime has taken its place", fx)
		m.gone = true
	case port.OrderNoRoom:
		m.settle(now, e.Run, port.TaskNoRoom, e.Reply.Detail, fx)
	default:
		m.settle(now, e.Run, port.TaskNotRun, string(e.Reply.State)+": "+e.Reply.Detail, fx)
	}
}

func (m *Machine) confirm(now time.Time, r *run) {
	r.phase = confirmed
	r.confirmedAt = now
	if now.Before(m.fencedUntil) {
		r.phase = entrusted
		return
	}
	if r.unwanted {
		r.stopAt = now
	}
}

func (m *Machine) unwanted(now time.Time, id port.TaskRun, fx *Effects) {
	r, known := m.runs[id]
	if !known {
		return
	}
	r.unwanted = true
	switch r.phase {
	case waiting:
		m.settle(now, id, port.TaskNotRun, "never sent", fx)
	case entrusted:
		m.settle(now, id, port.TaskLost, "the endpoint has another holder", fx)
	case sent, confirmed, doubtful:
		if !r.stopping && r.stoppedAt.IsZero() {
			r.stopAt = now // A stop that comes before the start keeps it from running.
		}
	}
}

func (m *Machine) stopEnded(now time.Time, e StopEnded, fx *Effects) {
	m.hear(now, e.Reply.Clock)
	r, known := m.runs[e.Run]
	if !known {
		return
	}
	r.stopping = false
	switch e.Reply.State {
	case port.OrderDone:
		r.stoppedAt = now
	case port.OrderFenced:
		m.fenced(now, fx)
	case port.OrderOtherLife:
		m.lost(now, "another lifetime has taken its place", fx)
		m.gone = true
	default:
		r.stopAt = now.Add(retryPause)
	}
}

func (m *Machine) holdEnded(now time.Time, reply port.HoldReply, fx *Effects) {
	m.holding = false
	switch reply.State {
	case port.OrderDone:
		m.heldNow(now, reply, fx)
	case port.OrderFenced:
		m.fenced(now, fx)
	case port.OrderOtherLife:
		m.lost(now, "another lifetime has taken its place", fx)
		m.gone = true
	default:
		m.failures++
		m.retryAt = now.Add(retryPause)
		m.refuseWaiting(now, reply.Detail, fx)
	}
}

// heldNow takes in an answer to a hold.
func (m *Machine) heldNow(now time.Time, reply port.HoldReply, fx *Effects) {
	m.hear(now, reply.Clock)
	m.failures, m.retryAt = 0, time.Time{}
	m.acknowledged = max(m.acknowledged, m.told)
	for _, end := range reply.Ended {
		if end.Number <= m.seen {
			continue
		}
		m.seen = end.Number
		if !m.Waits(end.Run) {
			fx.PassOn = append(fx.PassOn, end)
			delete(m.foreign, end.Run)
			continue
		}
		m.ended(now, end, fx)
	}
	m.compare(now, reply.Running, fx)
	if !m.opened {
		m.opened = true
		m.startWaiting(now, fx)
	}
}

func (m *Machine) startWaiting(now time.Time, fx *Effects) {
	for _, id := range m.sorted() {
		if r := m.runs[id]; r.phase == waiting {
			m.start(now, id, r, fx)
		}
	}
}

func (m *Machine) refuseWaiting(now time.Time, detail string, fx *Effects) {
	for _, id := range m.sorted() {
		if m.runs[id].phase == waiting {
			m.settle(now, id, port.TaskNotRun, "the endpoint does not answer: "+detail, fx)
		}
	}
}

// compare looks for runs that the endpoint has lost, and for those of other holders.
func (m *Machine) compare(now time.Time, running []port.TaskRun, fx *Effects) {
	there := make(map[port.TaskRun]bool, len(running))
	for _, id := range running {
		there[id] = true
		r, ours := m.runs[id]
		_, asked := m.foreign[id]
		switch {
		case ours && r.phase == sent:
			m.confirm(now, r)
		case !ours && !asked:
			m.foreign[id] = false
			fx.Ask = append(fx.Ask, id)
		}
	}
	for id := range m.foreign {
		if !there[id] {
			delete(m.foreign, id)
		}
	}
	for _, id := range m.sorted() {
		if r := m.runs[id]; !there[id] {
			m.missing(now, id, r, fx)
		}
	}
}

// missing settles a run that the endpoint neither runs nor lists among the ends, where its answer is
// new enough to tell.
func (m *Machine) missing(now time.Time, id port.TaskRun, r *run, fx *Effects) {
	stopped := !r.stoppedAt.IsZero() && m.held.After(r.stoppedAt.Add(m.config.StopTime))
	switch {
	case r.phase == doubtful && stopped:
		m.settle(now, id, port.TaskNotRun, "stopped before it started", fx)
	case r.phase == confirmed && stopped:
		m.settle(now, id, port.TaskStopped, "stopped", fx)
	case r.phase == confirmed && m.held.After(r.confirmedAt):
		m.settle(now, id, port.TaskLost, "the endpoint does not know it any more", fx)
	}
}

// ended settles a run by its end.
func (m *Machine) ended(now time.Time, end port.RunEnd, fx *Effects) {
	r, known := m.runs[end.Run]
	if !known {
		return
	}
	state := end.How
	if state == port.TaskStopped && !r.unwanted {
		state = port.TaskLost // By the start's doubt, or by another holder.
	}
	m.settle(now, end.Run, state, "ended "+string(end.How), fx)
}

// claimed stops the runs of others for which nobody waits.
func (m *Machine) claimed(e Claimed, fx *Effects) {
	for _, id := range e.Asked {
		if slices.Contains(e.Claimed, id) {
			m.foreign[id] = true
			continue
		}
		delete(m.foreign, id) // Asked for again where the stop is lost.
		fx.Stops = append(fx.Stops, port.StopOrder{Run: id, Token: m.token})
	}
}

// fenced gives the endpoint up to its next holder.
func (m *Machine) fenced(now time.Time, fx *Effects) {
	fx.Fenced = true
	m.fencedUntil = now.Add(m.config.Away)
	m.opened = false
	m.acknowledged = m.seen // By the next holder.
	clear(m.foreign)
	for _, id := range m.sorted() {
		r := m.runs[id]
		switch {
		case r.phase == sent: // Its answer is still to come.
		case r.phase == waiting:
			m.settle(now, id, port.TaskAway, "another member holds the endpoint", fx)
		case r.unwanted:
			m.settle(now, id, port.TaskLost, "the endpoint has another holder", fx)
		default:
			r.phase, r.stopAt = entrusted, time.Time{}
		}
	}
}

// lost settles all runs of an endpoint that has surely ended them.
func (m *Machine) lost(now time.Time, why string, fx *Effects) {
	for _, id := range m.sorted() {
		state := port.TaskLost
		if m.runs[id].phase == waiting {
			state = port.TaskNotRun
		}
		m.settle(now, id, state, why, fx)
	}
}

func (m *Machine) settle(now time.Time, id port.TaskRun, state port.TaskState, detail string, fx *Effects) {
	delete(m.runs, id)
	m.idleAt = now
	fx.Settled = append(fx.Settled, Settled{id, state, detail})
}

// lapsedAt returns when the lease has surely lapsed.
func (m *Machine) lapsedAt() time.Time {
	lease := float64(m.config.Lease) * (1 + clockError)
	return m.extendedAt.Add(time.Duration(lease) + lapseMargin)
}

// active reports whether a run is at the endpoint, or may be.
func (m *Machine) active() bool {
	for _, r := range m.runs {
		if r.phase != entrusted {
			return true
		}
	}
	return false
}

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

func (m *Machine) loseLapsed(now time.Time, fx *Effects) {
	for _, id := range m.sorted() {
		if m.runs[id].phase != entrusted {
			m.settle(now, id, port.TaskLost, "the lease has lapsed", fx)
		}
	}
}

func (m *Machine) holdDue(now time.Time) bool {
	at, wanted := m.holdAt(now)
	return wanted && !now.Before(at)
}

// holdAt returns when the next hold is due.
func (m *Machine) holdAt(now time.Time) (at time.Time, wanted bool) {
	switch {
	case m.gone || now.Before(m.fencedUntil) && m.token != 0:
		return time.Time{}, false
	case m.active():
		return m.retryAt, true
	case m.acknowledged < m.seen:
		at = m.idleAt.Add(acknowledgeAfter)
		if m.retryAt.After(at) {
			at = m.retryAt
		}
		return at, m.failures < extendingFailures
	}
	return time.Time{}, false
}

func (m *Machine) hold(now time.Time, fx *Effects) {
	m.holding, m.held, m.told = true, now, m.seen
	order := port.HoldOrder{Seen: m.seen, Token: m.token}
	if m.opened && m.active() {
		order.Wait = time.Duration(holdShare * float64(m.config.Lease))
		if m.failures > 0 {
			order.Wait = 0
		}
		if m.failures < extendingFailures {
			order.Until = m.until(now)
			m.extendedAt = now
		}
	}
	fx.Hold = &order
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
