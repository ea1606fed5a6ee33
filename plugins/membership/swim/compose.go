package swim

import (
	"cmp"
	"math/bits"
	"slices"

	"redwingpulley/kernel/model"
)

const (
	minUpdateBytes     = 1000 // Bytes of updates that one message may have in a small group, besides the sender's own record.
	updateBytesAMember = 25   // Bytes that each live member adds to that: the updates of a mass restart grow with the group.
	maxBackgroundBytes = 250  // Bytes of records and values that are repeated when there are few updates.
	retransmitFactor   = 2    // An update is sent this many times the logarithm of the number of members.
)

// compose returns a message to a member: this member's own record, the receiver's record when the
// receiver should refute it, the updates that were sent least often, and known records and values
// in turn, so that what was lost with a message or during a partition eventually arrives.
func (m *Machine) compose(to model.NodeID) Message {
	message := Message{Records: []Record{m.self}}
	if other, ok := m.members[to]; ok && (other.State != Alive || other.olderIncarnationSeen) && other.Epoch != 0 {
		other.olderIncarnationSeen = false
		message.Records = append(message.Records, other.Record)
	}
	remaining := m.addUpdates(to, &message)
	m.addBackground(to, remaining, &message)
	return message
}

// composeFullState returns a message with all known records and values.
func (m *Machine) composeFullState() Message {
	message := Message{Records: []Record{m.self}, FullState: true}
	for _, id := range m.ids {
		if other := m.members[id]; other.Epoch != 0 {
			message.Records = append(message.Records, other.Record)
		}
	}
	for _, e := range m.values {
		message.Values = append(message.Values, e.Value)
	}
	return message
}

// pending is one member's record or one value that was sent fewer times than the limit. Either
// member or value is set.
type pending struct {
	member    *member
	value     *valueEntry
	transmits int
	size      int
}

// addUpdates adds pending updates that fit into the message and returns the bytes left over.
func (m *Machine) addUpdates(to model.NodeID, message *Message) (remaining int) {
	remaining = max(minUpdateBytes, updateBytesAMember*m.countLive())
	for _, u := range m.pending(to) {
		if u.size > remaining {
			continue
		}
		remaining -= u.size
		if u.member != nil {
			u.member.transmits++
			message.Records = append(message.Records, u.member.Record)
			continue
		}
		u.value.transmits++
		message.Values = append(message.Values, u.value.Value)
	}
	return remaining
}

// pending returns the updates that have to be sent again, the least often sent first, without those that concern the
// receiver. In a large group, values that change each second must not take the place of all else.
func (m *Machine) pending(to model.NodeID) []pending {
	limit := retransmitFactor * m.logLive()
	var all []pending
	for _, id := range m.ids {
		if other := m.members[id]; other.transmits < limit && other.Epoch != 0 && id != to {
			all = append(all, pending{member: other, transmits: other.transmits, size: other.size()})
		}
	}
	for _, e := range m.values {
		if e.transmits < limit && e.Origin != to {
			all = append(all, pending{value: e, transmits: e.transmits, size: e.size()})
		}
	}
	slices.SortStableFunc(all, comparePending)
	return all
}

// comparePending orders updates by how often they were sent. A value counts as sent more often the more often it has
// changed.
func comparePending(a, b pending) int { return cmp.Compare(a.precedence(), b.precedence()) }

func (p pending) precedence() int {
	if p.value == nil {
		return p.transmits
	}
	return p.transmits + bits.Len64(p.value.Version)
}

// addBackground repeats live members' records and values, each in its turn, within the budget in
// bytes. It stops at maxBackgroundBytes, but adds one that is larger when it is the first.
func (m *Machine) addBackground(to model.NodeID, budget int, message *Message) {
	total := len(m.ids) + len(m.values)
	used := 0
	for range total {
		next := (m.backgroundCursor + 1) % total
		size := m.backgroundSize(next, to)
		if used+size > budget || (used > 0 && used+size > maxBackgroundBytes) {
			return
		}
		m.backgroundCursor = next
		if size > 0 {
			used += size
			m.appendAt(next, message)
		}
	}
}

// backgroundSize returns the encoded size of the record or value at a position of the background
// cursor, or 0 when it need not be repeated.
func (m *Machine) backgroundSize(at int, to model.NodeID) int {
	if at >= len(m.ids) {
		return m.values[at-len(m.ids)].size()
	}
	other := m.members[m.ids[at]]
	if !other.State.Live() || other.Epoch == 0 || other.Node.ID == to {
		return 0
	}
	return other.size()
}

// appendAt adds the record or value at a position of the background cursor to the message.
func (m *Machine) appendAt(at int, message *Message) {
	if at >= len(m.ids) {
		message.Values = append(message.Values, m.values[at-len(m.ids)].Value)
		return
	}
	message.Records = append(message.Records, m.members[m.ids[at]].Record)
}
