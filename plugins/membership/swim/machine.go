package swim

import (
	"iter"
	"math/rand/v2"
	"slices"
	"time"

	"redwingpulley/kernel/model"
	"redwingpulley/kernel/port"
)

const (
	maxPausePeriods = 3                // A longer gap between ticks means that the process was paused.
	alonePeriods    = 5                // Periods without an answer after which the member acts on its stale view all the same.
	deadRetention   = 10 * time.Minute // How long members that are not seeds are kept after their death.
)

// Machine is one member's view of all members, with the probes that keep it up to date. Create one
// with New.
type Machine struct {
	config  Config
	random  *rand.Rand
	self    Record
	leaving bool                     // Set by Leaving; the member never serves again.
	members map[model.NodeID]*member // All known members except this one.
	ids     []model.NodeID           // Keys of members, sorted.
	seeds   map[model.NodeID]bool
	values  []*valueEntry // Sorted by origin and topic.

	nextTick time.Time // Start of the next period.
	lastTick time.Time // Start of the current period, or the time at which a pause was detected.

	pauses          uint64 // Pauses of the process that were detected.
	fresh           bool   // The view is recent enough to act on it.
	staleSince      time.Time
	joined          bool   // The view has been fresh at least once.
	firstFreshProbe uint64 // Lowest id of a probe whose answer makes the view fresh again.

	probes           map[uint64]*probe // Probes whose result is not known, by id.
	lastProbeID      uint64
	round            []model.NodeID // Members still to be probed in this round.
	nextRejoin       time.Time      // Time of the next probe of a dead member.
	earlyProbes      int            // Early probes sent in this period.
	backgroundCursor int            // Last position that addBackground handled, in ids followed by values.
}

// member is another member as this one sees it.
type member struct {
	Record
	suspectUntil   time.Time // End of the suspicion, while the member is suspect.
	deadSince      time.Time // Set while the member is dead or has left.
	lastEarlyProbe time.Time
	transmits      int // Times that the present record was sent as an update.
	// olderIncarnationSeen is set when a record that compares lower, with another epoch or incarnation,
	// was received: that incarnation may be the live one, started with its clock set back. The next
	// message to the member then contains the held record, so that a live incarnation can raise its
	// epoch above it.
	olderIncarnationSeen bool
}

// valueEntry is the newest value of one member under one topic.
type valueEntry struct {
	Value
	transmits int // Times that the value was sent as an update.
}

// New returns the machine of a member that has had no contact with others yet. The seeds count as
// alive until they fail to answer.
func New(now time.Time, config Config) *Machine {
	m := &Machine{
		config:     config,
		random:     rand.New(rand.NewPCG(config.RandomSeed, config.Epoch)),
		self:       Record{Node: config.Self, Epoch: config.Epoch, State: Alive},
		members:    make(map[model.NodeID]*member),
		seeds:      make(map[model.NodeID]bool),
		probes:     make(map[uint64]*probe),
		nextTick:   now,
		lastTick:   now,
		staleSince: now,
		nextRejoin: now.Add(rejoinPeriods * config.Period),
	}
	for _, seed := range config.Seeds {
		if seed.ID == config.Self.ID {
			continue
		}
		m.seeds[seed.ID] = true
		m.add(seed.ID, Record{Node: seed, State: Alive})
	}
	m.fresh = len(m.members) == 0 && !config.Discovering
	m.joined = m.fresh
	return m
}

// add inserts a member that is not known yet.
func (m *Machine) add(id model.NodeID, r Record) *member {
	added := &member{Record: r}
	m.members[id] = added
	at, _ := slices.BinarySearch(m.ids, id)
	m.ids = slices.Insert(m.ids, at, id)
	return added
}

// remove deletes a member and its values.
func (m *Machine) remove(id model.NodeID) {
	delete(m.members, id)
	if at, found := slices.BinarySearch(m.ids, id); found {
		m.ids = slices.Delete(m.ids, at, at+1)
	}
	m.values = slices.DeleteFunc(m.values, func(e *valueEntry) bool { return e.Origin == id })
}

// Step applies an event and returns the effects that the caller has to execute.
func (m *Machine) Step(now time.Time, event Event) Effects {
	var fx Effects
	m.detectPause(now, &fx)
	switch e := event.(type) {
	case Elapsed:
		m.handleElapsed(now, &fx)
	case PingReceived:
		m.handlePing(now, e, &fx)
	case PingAnswered:
		m.handleAnswer(now, e, &fx)
	case PingFailed:
		m.handlePingFailure(now, e, &fx)
	case RelayEnded:
		m.handleRelayEnd(now, e, &fx)
	case RelayedPingAnswered:
		m.merge(now, e.Message, &fx)
	case SeedAnswered:
		m.merge(now, e.Message, &fx)
		if !m.joined {
			m.setFresh(&fx)
		}
	case MessageRequested:
		fx.Reply = m.compose(e.To)
	case Published:
		m.publish(e)
	case ProbeRequested:
		m.handleProbeRequest(now, e.Node, &fx)
	case Serving:
		m.setDraining(false, &fx)
	case Leaving:
		m.leaving = true
		m.setDraining(true, &fx)
	case Stopping:
		m.handleStopping(&fx)
	}
	return fx
}

// NextTimer returns the time at which the next Elapsed is due.
func (m *Machine) NextTimer() time.Time { return m.nextTick }

// Self returns this member's own record.
func (m *Machine) Self() Record { return m.self }

// Fresh reports whether the view is recent enough to act on it, and until when it stays so without
// a further event.
func (m *Machine) Fresh() (fresh bool, until time.Time) {
	return m.fresh, m.lastTick.Add(maxPausePeriods * m.config.Period)
}

// Pauses returns how many pauses of the process were detected.
func (m *Machine) Pauses() uint64 { return m.pauses }

// Live returns the live members, this one among them, sorted by id.
func (m *Machine) Live() []port.Node {
	live := make([]port.Node, 0, len(m.ids)+1)
	for r := range m.sorted() {
		if r.State.Live() || r.Node.ID == m.self.Node.ID {
			live = append(live, r.Node)
		}
	}
	return live
}

// Records returns the records of all known members, this one among them, sorted by id.
func (m *Machine) Records() []Record {
	all := make([]Record, 0, len(m.ids)+1)
	for r := range m.sorted() {
		all = append(all, *r)
	}
	return all
}

// sorted iterates over the records of all known members, this one among them, in the order of their ids.
func (m *Machine) sorted() iter.Seq[*Record] {
	return func(yield func(*Record) bool) {
		self, _ := slices.BinarySearch(m.ids, m.self.Node.ID)
		for i := range len(m.ids) + 1 {
			r := &m.self
			switch {
			case i < self:
				r = &m.members[m.ids[i]].Record
			case i > self:
				r = &m.members[m.ids[i-1]].Record
			}
			if !yield(r) {
				return
			}
		}
	}
}

// detectPause marks the view stale when the process was paused: others may meanwhile have taken
// over what this member owns, so it must not act on its view before another member has answered.
// Suspects get their full time to refute again, since no refutation could be handled during the
// pause. Wall time is compared too, because the monotonic clock stands still in a suspended VM.
func (m *Machine) detectPause(now time.Time, fx *Effects) {
	limit := maxPausePeriods * m.config.Period
	if now.Sub(m.lastTick) <= limit && now.Round(0).Sub(m.lastTick.Round(0)) <= limit {
		return
	}
	m.pauses++
	m.lastTick = now
	m.nextTick = now.Add(m.config.Period)
	clear(m.probes)
	for _, other := range m.members {
		if other.State == Suspect {
			other.suspectUntil = now.Add(m.suspicionTimeout())
		}
	}
	m.setStale(now, fx)
	m.requestFullState(fx)
}

// setStale marks the view as too old to act on. A member that knows no other keeps a fresh view.
func (m *Machine) setStale(now time.Time, fx *Effects) {
	if len(m.members) == 0 {
		return
	}
	m.fresh = false
	m.staleSince = now
	m.firstFreshProbe = m.lastProbeID + 1
	fx.ViewChanged = true
}

func (m *Machine) setFresh(fx *Effects) {
	if m.fresh {
		return
	}
	m.fresh, m.joined = true, true
	fx.ViewChanged = true
}

// handleElapsed ends a period and begins the next one.
func (m *Machine) handleElapsed(now time.Time, fx *Effects) {
	if now.Before(m.nextTick) {
		return
	}
	if m.self.State == Left {
		m.nextTick = now.Add(m.config.Period)
		return
	}
	m.lastTick = now
	m.nextTick = now.Add(m.config.Period)
	m.earlyProbes = 0
	m.expire(now, fx)
	if !m.fresh {
		m.requestFullState(fx)
		if now.Sub(m.staleSince) >= alonePeriods*m.config.Period {
			m.setFresh(fx)
		}
		return
	}
	m.probeNext(fx)
	m.probeDead(now, fx)
}

// expire marks suspects dead whose suspicion timeout has passed, and removes members that have been
// dead for the retention period.
func (m *Machine) expire(now time.Time, fx *Effects) {
	var expired []model.NodeID
	for _, id := range m.ids {
		other := m.members[id]
		switch {
		case other.State == Suspect && !other.suspectUntil.After(now):
			m.setState(now, other, Dead, "suspicion timeout passed without a refutation", fx)
		case !other.State.Live() && !m.seeds[id] && now.Sub(other.deadSince) >= deadRetention:
			expired = append(expired, id)
		}
	}
	for _, id := range expired {
		m.remove(id)
	}
}

// setDraining changes whether this member drains and announces it directly instead of by gossip alone: ownership then
// moves at once.
func (m *Machine) setDraining(draining bool, fx *Effects) {
	if m.self.Node.Draining == draining || (m.leaving && !draining) {
		return
	}
	m.self.Node.Draining = draining
	m.bumpVersion()
	fx.ViewChanged = true
	m.announceSelf(fx)
}

// handleStopping marks this member as left and announces it.
func (m *Machine) handleStopping(fx *Effects) {
	m.self.State = Left
	m.bumpVersion()
	m.announceSelf(fx)
}

// bumpVersion makes this member's own record newer. The record is not queued as an update, because
// each message begins with it.
func (m *Machine) bumpVersion() { m.self.Version++ }

// announceSelf sends this member's own record, with the newest updates, to those that need them at once; gossip brings them to the others.
func (m *Machine) announceSelf(fx *Effects) {
	for _, other := range m.announceTargets() {
		m.ping(other, probeAnnounce, false, fx)
	}
}

// announceToAll is the number of live members up to which each of them is sent a member's own record directly. Above it,
// the messages of a restart of all members would grow with the square of their number.
const announceToAll = 64

// announceTargets returns the members that are sent this member's own record directly: all in a small group. In a
// large one, those of its data centre, among which its pools move, the members in reserve, which forward endpoints'
// announcements to the owners, and as many others as gossip needs to spread it.
func (m *Machine) announceTargets() []*member {
	live := m.shuffledLive("")
	if len(live) < announceToAll {
		return live
	}
	spread := m.logLive()
	return slices.DeleteFunc(live, func(other *member) bool {
		if other.Node.DataCentre == m.self.Node.DataCentre || other.Node.Reserve {
			return false
		}
		spread--
		return spread < 0
	})
}
