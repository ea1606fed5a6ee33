package swim

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"redwingpulley/kernel/model"
	"redwingpulley/kernel/port"
)

const (
	freezePeriods = 3                // A longer gap between own ticks means that the process stood still.
	alonePeriods  = 5                // Without any answer for as long, the member goes on alone.
	forgetAfter   = 10 * time.Minute // Dead members that settings do not name are forgotten after it.
)

// Machine holds one member's view of all members. Create one with New.
type Machine struct {
	config  Config
	random  *rand.Rand
	self    Record
	leaving bool
	members map[model.NodeID]*member // Without this member itself.
	ids     []model.NodeID           // Keys of members, sorted.
	seeds   map[model.NodeID]bool
	values  []*entry // Sorted by origin and topic.

	nextTick time.Time
	lastTick time.Time

	fresh      bool // The view is recent enough to act on it.
	staleSince time.Time
	joined     bool   // The view was fresh once.
	freshProbe uint64 // First probe sent since the view went stale.

	probes     map[uint64]*probe
	lastProbe  uint64
	round      []model.NodeID // Members still to be probed in this round.
	nextRejoin time.Time
	hints      int // Early probes of this period.
	background int // Next member or value to be told again.
}

// member is another member as this one sees it.
type member struct {
	Record
	suspectUntil time.Time // While suspect.
	deadSince    time.Time // While dead or left.
	earlyProbe   time.Time // Time of the last early probe.
	sent         int       // Times that the newest news of it was sent.
	contested    bool      // An earlier run was heard of, which may be the one that lives.
}

// entry is the newest value of one member under one topic.
type entry struct {
	Value
	sent int
}

// New returns the machine of a member that has heard of no other yet. The members that settings
// name count as alive until they fail to answer.
func New(now time.Time, config Config) *Machine {
	m := &Machine{
		config:     config,
		random:     rand.New(rand.NewPCG(config.Seed, config.Epoch)),
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
	m.fresh = len(m.members) == 0 && !config.Searching
	m.joined = m.fresh
	return m
}

func (m *Machine) add(id model.NodeID, r Record) *member {
	added := &member{Record: r}
	m.members[id] = added
	at, _ := slices.BinarySearch(m.ids, id)
	m.ids = slices.Insert(m.ids, at, id)
	return added
}

func (m *Machine) remove(id model.NodeID) {
	delete(m.members, id)
	if at, found := slices.BinarySearch(m.ids, id); found {
		m.ids = slices.Delete(m.ids, at, at+1)
	}
	m.values = slices.DeleteFunc(m.values, func(e *entry) bool { return e.Origin == id })
}

// Step applies an event and returns what has to be done.
func (m *Machine) Step(now time.Time, event Event) Effects {
	var fx Effects
	m.noticeFreeze(now, &fx)
	switch e := event.(type) {
	case Elapsed:
		m.elapsed(now, &fx)
	case Received:
		m.received(now, e, &fx)
	case Answered:
		m.answered(now, e, &fx)
	case Unanswered:
		m.unanswered(now, e.Probe, &fx)
	case RelayEnded:
		m.relayEnded(now, e, &fx)
	case Merged:
		m.merge(now, e.Message, &fx)
	case Introduced:
		m.merge(now, e.Message, &fx)
		if !m.joined {
			m.setFresh(&fx)
		}
	case Composed:
		fx.Reply = m.compose(e.To)
	case Published:
		m.published(e)
	case Doubted:
		m.doubted(now, e.Node, &fx)
	case Serving:
		m.setDraining(false, &fx)
	case Leaving:
		m.leaving = true
		m.setDraining(true, &fx)
	case Stopping:
		m.stopping(&fx)
	}
	return fx
}

// Wake returns when Elapsed is due next.
func (m *Machine) Wake() time.Time { return m.nextTick }

// Self returns this member's own record.
func (m *Machine) Self() Record { return m.self }

// Fresh reports whether the view is recent enough to act on it, and how long it stays so without a
// further event.
func (m *Machine) Fresh() (fresh bool, until time.Time) {
	return m.fresh, m.lastTick.Add(freezePeriods * m.config.Period)
}

// Live returns the live members, this one among them, sorted by id.
func (m *Machine) Live() []port.Node {
	live := []port.Node{m.self.Node}
	for _, id := range m.ids {
		if other := m.members[id]; other.State.Live() {
			live = append(live, other.Node)
		}
	}
	slices.SortFunc(live, func(a, b port.Node) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return live
}

// Records returns what is known of all members, this one among them, sorted by id.
func (m *Machine) Records() []Record {
	all := []Record{m.self}
	for _, id := range m.ids {
		all = append(all, m.members[id].Record)
	}
	slices.SortFunc(all, func(a, b Record) int { return strings.Compare(string(a.Node.ID), string(b.Node.ID)) })
	return all
}

// noticeFreeze sees that the process stood still: others may have taken over what this member owns,
// so its view is stale until another member has answered. Wall time counts too, since the monotonic
// clock stands still in a suspended VM.
func (m *Machine) noticeFreeze(now time.Time, fx *Effects) {
	limit := freezePeriods * m.config.Period
	if now.Sub(m.lastTick) <= limit && now.Round(0).Sub(m.lastTick.Round(0)) <= limit {
		return
	}
	m.lastTick = now
	m.nextTick = now.Add(m.config.Period)
	clear(m.probes)
	for _, other := range m.members {
		if other.State == Suspect {
			other.suspectUntil = now.Add(m.suspicion())
		}
	}
	m.setStale(now, fx)
	m.askForAll(fx)
}

func (m *Machine) setStale(now time.Time, fx *Effects) {
	if len(m.members) == 0 {
		return
	}
	m.fresh = false
	m.staleSince = now
	m.freshProbe = m.lastProbe + 1
	fx.View = true
}

func (m *Machine) setFresh(fx *Effects) {
	if m.fresh {
		return
	}
	m.fresh, m.joined = true, true
	fx.View = true
}

// elapsed ends a period and begins the next.
func (m *Machine) elapsed(now time.Time, fx *Effects) {
	if now.Before(m.nextTick) {
		return
	}
	if m.self.State == Left {
		m.nextTick = now.Add(m.config.Period)
		return
	}
	m.lastTick = now
	m.nextTick = now.Add(m.config.Period)
	m.hints = 0
	m.expire(now, fx)
	if !m.fresh {
		m.askForAll(fx)
		if now.Sub(m.staleSince) >= alonePeriods*m.config.Period {
			m.setFresh(fx)
		}
		return
	}
	m.probeNext(fx)
	m.probeDead(now, fx)
}

// expire takes suspects for dead after their time, and forgets old dead members.
func (m *Machine) expire(now time.Time, fx *Effects) {
	var forgotten []model.NodeID
	for _, id := range m.ids {
		other := m.members[id]
		switch {
		case other.State == Suspect && !other.suspectUntil.After(now):
			m.setState(now, other, Dead, "it did not refute the suspicion", fx)
		case !other.State.Live() && !m.seeds[id] && now.Sub(other.deadSince) >= forgetAfter:
			forgotten = append(forgotten, id)
		}
	}
	for _, id := range forgotten {
		m.remove(id)
	}
}

// setDraining tells all live members directly: ownership moves at once, and starts and planned
// stops are rare enough for one message to each.
func (m *Machine) setDraining(draining bool, fx *Effects) {
	if m.self.Node.Draining == draining || (m.leaving && !draining) {
		return
	}
	m.self.Node.Draining = draining
	m.changeSelf()
	fx.View = true
	m.tellAll(fx)
}

func (m *Machine) stopping(fx *Effects) {
	m.self.State = Left
	m.changeSelf()
	m.tellAll(fx)
}

// changeSelf makes the own record newer. It needs no place among the news: each message begins
// with it.
func (m *Machine) changeSelf() { m.self.Version++ }

func (m *Machine) tellAll(fx *Effects) {
	for _, other := range m.shuffledLive("") {
		m.ping(other, probeTold, false, fx)
	}
}
