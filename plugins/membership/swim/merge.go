package swim

import (
	"slices"
	"strings"
	"time"

	"redwingpulley/kernel/model"
)

// merge takes over what is newer in a message.
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

// mergeSelf refutes what others wrongly think of this member. A run whose clock was behind that of
// an earlier run raises its epoch above it.
func (m *Machine) mergeSelf(r Record, fx *Effects) {
	switch {
	case m.self.State == Left:
	case sameRun(r, m.self):
		if r.State != Alive && r.Version >= m.self.Version {
			m.self.Version = r.Version
			m.changeSelf()
		}
	case r.Epoch >= m.self.Epoch:
		m.raiseEpoch(r.Epoch + 1)
		fx.Changes = append(fx.Changes, Change{m.self.Node.ID, Alive, Alive, "another run of this member had a later epoch"})
	}
}

func (m *Machine) raiseEpoch(epoch uint64) {
	m.self.Epoch = epoch
	m.changeSelf()
	for _, e := range m.values {
		if e.Origin == m.self.Node.ID {
			e.Epoch = epoch
			e.sent = 0
		}
	}
}

func (m *Machine) mergeRecord(now time.Time, r Record, fx *Effects) {
	held, known := m.members[r.Node.ID]
	if !known {
		m.mergeUnknown(now, r, fx)
		return
	}
	order := compare(r, held.Record)
	switch {
	case order < 0:
		held.contested = held.contested || !sameRun(r, held.Record)
	case order > 0:
		m.mergeNewer(now, held, r, fx)
	case r.State == Alive && !held.State.Live():
		m.probeEarly(now, held, probeDead, fx) // Someone still reaches it.
	case r.State == Suspect && held.State == Alive:
		m.suspect(now, held, "another member suspects it", fx)
	case r.State == Dead && held.State == Alive:
		m.suspect(now, held, "another member takes it for dead", fx)
		m.probeEarly(now, held, probeLive, fx)
	case r.State > held.State:
		m.setState(now, held, r.State, "another member says so", fx)
	}
}

func (m *Machine) mergeUnknown(now time.Time, r Record, fx *Effects) {
	if !r.State.Live() {
		return
	}
	added := m.add(r.Node.ID, r)
	if r.State == Suspect {
		added.suspectUntil = now.Add(m.suspicion())
	}
	fx.Learned = append(fx.Learned, r.Node)
	fx.Changes = append(fx.Changes, Change{r.Node.ID, 0, r.State, "first heard of it"})
	fx.View = true
}

// mergeNewer takes over a record of a later run or version. Word that a live member is dead only
// makes it suspect, so that it can refute.
func (m *Machine) mergeNewer(now time.Time, held *member, r Record, fx *Effects) {
	before := held.Record
	state := r.State
	if state == Dead && before.State == Alive && before.Epoch != 0 {
		state = Suspect
	}
	held.Record = r
	held.State = before.State
	held.sent = 0
	held.suspectUntil = now.Add(m.suspicion())
	if before.Node != r.Node {
		fx.View = true
	}
	if before.Node.Peers != r.Node.Peers {
		fx.Learned = append(fx.Learned, r.Node)
	}
	if !before.State.Live() && state.Live() {
		m.nextRejoin = now // Others of the same side are likely back too.
	}
	m.setState(now, held, state, "newer word of it", fx)
	if r.State == Dead && state == Suspect {
		m.probeEarly(now, held, probeLive, fx)
	}
}

func (m *Machine) suspect(now time.Time, other *member, why string, fx *Effects) {
	if other.State == Alive {
		m.setState(now, other, Suspect, why, fx)
	}
}

func (m *Machine) setState(now time.Time, other *member, to State, why string, fx *Effects) {
	from := other.State
	if from == to {
		return
	}
	other.State = to
	other.sent = 0
	switch {
	case to == Suspect:
		other.suspectUntil = now.Add(m.suspicion())
	case !to.Live():
		other.deadSince = now
	}
	if from.Live() != to.Live() {
		fx.View = true
	}
	fx.Changes = append(fx.Changes, Change{other.Node.ID, from, to, why})
}

func (m *Machine) published(p Published) {
	v := Value{Origin: m.self.Node.ID, Topic: p.Topic, Epoch: m.self.Epoch, Version: 1, Data: p.Data}
	at, found := m.findValue(v.Origin, v.Topic)
	if found {
		v.Version = m.values[at].Version + 1
		m.values[at] = &entry{Value: v}
		return
	}
	m.values = slices.Insert(m.values, at, &entry{Value: v})
}

func (m *Machine) findValue(origin model.NodeID, topic string) (at int, found bool) {
	return slices.BinarySearchFunc(m.values, Value{Origin: origin, Topic: topic}, func(e *entry, v Value) int {
		if c := strings.Compare(string(e.Origin), string(v.Origin)); c != 0 {
			return c
		}
		return strings.Compare(e.Topic, v.Topic)
	})
}

func (m *Machine) mergeValue(v Value, fx *Effects) {
	if v.Origin == m.self.Node.ID {
		if v.Epoch > m.self.Epoch {
			m.raiseEpoch(v.Epoch + 1)
		}
		return
	}
	if _, known := m.members[v.Origin]; !known {
		return // It comes again once its member is known.
	}
	at, found := m.findValue(v.Origin, v.Topic)
	switch {
	case !found:
		m.values = slices.Insert(m.values, at, &entry{Value: v})
	case v.newer(m.values[at].Value):
		m.values[at] = &entry{Value: v}
	default:
		return
	}
	fx.Values = append(fx.Values, v)
}
