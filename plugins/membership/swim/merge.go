package swim

import (
	"slices"
	"strings"
	"time"

	"redwingpulley/kernel/model"
)

// merge applies the records and values of a message that are newer than those held. Records without
// an id or with an unknown state are ignored.
func (m *Machine) merge(now time.Time, message Message, fx *Effects) {
	for _, r := range message.Records {
		switch {
		case r.Node.ID == "" || r.State < Alive || r.State > Left:
		case r.Node.ID == m.self.Node.ID:
			m.mergeSelf(r, fx)
		default:
			m.mergeRecord(now, r, fx)
		}
	}
	for _, v := range message.Values {
		m.mergeValue(v, fx)
	}
}

// mergeSelf refutes a record that wrongly reports this member as suspect, dead or left. When the
// record belongs to another incarnation with the same or a later epoch, as after a restart with a clock
// set back, this incarnation raises its epoch above it.
func (m *Machine) mergeSelf(r Record, fx *Effects) {
	switch {
	case m.self.State == Left:
	case sameIncarnation(r, m.self):
		if r.State != Alive && r.Version >= m.self.Version {
			m.self.Version = r.Version
			m.bumpVersion()
		}
	case r.Epoch >= m.self.Epoch:
		m.raiseEpoch(r.Epoch + 1)
		fx.StateChanges = append(fx.StateChanges, StateChange{m.self.Node.ID, Alive, Alive, "another incarnation of this member had an equal or later epoch"})
	}
}

// raiseEpoch sets a later epoch of this incarnation and publishes its values again under that epoch.
func (m *Machine) raiseEpoch(epoch uint64) {
	m.self.Epoch = epoch
	m.bumpVersion()
	for _, e := range m.values {
		if e.Origin == m.self.Node.ID {
			e.Epoch = epoch
			e.transmits = 0
		}
	}
}

// mergeRecord applies a record of another member.
func (m *Machine) mergeRecord(now time.Time, r Record, fx *Effects) {
	current, known := m.members[r.Node.ID]
	if !known {
		m.mergeNewMember(now, r, fx)
		return
	}
	order := compareVersions(r, current.Record)
	switch {
	case order < 0:
		current.olderIncarnationSeen = current.olderIncarnationSeen || !sameIncarnation(r, current.Record)
	case order > 0:
		m.mergeNewerRecord(now, current, r, fx)
	case r.State == Alive && !current.State.Live():
		m.probeEarly(now, current, probeDead, fx) // The sender considers it alive.
	case r.State == Suspect && current.State == Alive:
		m.suspect(now, current, "another member suspects it", fx)
		m.verifyEnd(now, current, r, fx)
	case r.State == Suspect && current.State == Suspect:
		m.verifyEnd(now, current, r, fx)
	case r.State == Dead && current.State == Alive:
		m.suspect(now, current, "another member considers it dead", fx)
		m.probeEarly(now, current, probeLive, fx)
	case r.State > current.State:
		m.setState(now, current, r.State, "another member reports this state", fx)
	}
}

// mergeNewMember adds a member that was not known, unless it is reported dead or left.
func (m *Machine) mergeNewMember(now time.Time, r Record, fx *Effects) {
	if !r.State.Live() {
		return
	}
	added := m.add(r.Node.ID, r)
	if r.State == Suspect {
		added.suspectUntil = now.Add(m.suspicionTimeout())
	}
	fx.NewAddresses = append(fx.NewAddresses, r.Node)
	fx.StateChanges = append(fx.StateChanges, StateChange{r.Node.ID, 0, r.State, "first update about it received"})
	fx.ViewChanged = true
}

// mergeNewerRecord replaces the held record by one of a later incarnation or version. A report that an alive
// member is dead only makes it suspect, so that it can refute.
func (m *Machine) mergeNewerRecord(now time.Time, current *member, r Record, fx *Effects) {
	before := current.Record
	state := r.State
	if state == Dead && before.State == Alive && before.Epoch != 0 {
		state = Suspect
	}
	current.Record = r
	current.State = before.State
	current.transmits = 0
	current.suspectUntil = now.Add(m.suspicionTimeout())
	if before.Node != r.Node {
		fx.ViewChanged = true
	}
	if before.Node.Peers != r.Node.Peers {
		fx.NewAddresses = append(fx.NewAddresses, r.Node)
	}
	if !before.State.Live() && state.Live() {
		m.nextRejoin = now // Other members from its side of a partition are probably reachable again too.
	}
	m.setState(now, current, state, "newer update about it received", fx)
	if r.State == Dead && state == Suspect {
		m.probeEarly(now, current, probeLive, fx)
	}
}

// suspect makes an alive member suspect.
func (m *Machine) suspect(now time.Time, other *member, reason string, fx *Effects) {
	if other.State == Alive {
		m.setState(now, other, Suspect, reason, fx)
	}
}

// verifyEnd probes a suspect whose process has ended by the report of another member, which shortens the suspicion here too. One that
// merely does not answer may be overloaded: a probe by each member that hears of it would keep it from answering.
func (m *Machine) verifyEnd(now time.Time, other *member, report Record, fx *Effects) {
	if !report.ProcessEnded || other.ProcessEnded || !m.isSmall() {
		return
	}
	other.ProcessEnded = true
	m.probeEarly(now, other, probeLive, fx)
}

// setState changes a member's state, starts the suspicion timeout or the retention period that
// belongs to the new state, and queues the record as an update.
func (m *Machine) setState(now time.Time, other *member, to State, reason string, fx *Effects) {
	from := other.State
	if from == to {
		return
	}
	other.State = to
	other.ProcessEnded = other.ProcessEnded && to == Suspect
	other.transmits = 0
	switch {
	case to == Suspect:
		other.suspectUntil = now.Add(m.suspicionTimeout())
	case !to.Live():
		other.deadSince = now
	}
	if from.Live() != to.Live() {
		fx.ViewChanged = true
	}
	fx.StateChanges = append(fx.StateChanges, StateChange{other.Node.ID, from, to, reason})
}

// publish sets this member's value under a topic.
func (m *Machine) publish(p Published) {
	v := Value{Origin: m.self.Node.ID, Topic: p.Topic, Epoch: m.self.Epoch, Version: 1, Data: p.Data}
	at, found := m.findValue(v.Origin, v.Topic)
	if found {
		v.Version = m.values[at].Version + 1
		m.values[at] = &valueEntry{Value: v}
		return
	}
	m.values = slices.Insert(m.values, at, &valueEntry{Value: v})
}

// findValue returns the index of a member's value under a topic, or the one at which to insert it.
func (m *Machine) findValue(origin model.NodeID, topic string) (at int, found bool) {
	return slices.BinarySearchFunc(m.values, Value{Origin: origin, Topic: topic}, func(e *valueEntry, v Value) int {
		if c := strings.Compare(string(e.Origin), string(v.Origin)); c != 0 {
			return c
		}
		return strings.Compare(e.Topic, v.Topic)
	})
}

// mergeValue applies a value of another member when it is newer than the one held. A value of this
// member with a later epoch comes from an earlier incarnation whose clock was ahead.
func (m *Machine) mergeValue(v Value, fx *Effects) {
	if v.Origin == m.self.Node.ID {
		if v.Epoch > m.self.Epoch {
			m.raiseEpoch(v.Epoch + 1)
		}
		return
	}
	if _, known := m.members[v.Origin]; !known {
		return // The value is received again once its member is known.
	}
	at, found := m.findValue(v.Origin, v.Topic)
	switch {
	case !found:
		m.values = slices.Insert(m.values, at, &valueEntry{Value: v})
	case v.newer(m.values[at].Value):
		m.values[at] = &valueEntry{Value: v}
	default:
		return
	}
	fx.NewValues = append(fx.NewValues, v)
}
