package swim

import (
	"cmp"
	"slices"

	"redwingpulley/kernel/model"
)

const (
	maxNews       = 1000 // Bytes of news in one message, beside the sender's own record.
	maxBackground = 250  // Bytes that are told again when there is little news.
	sendFactor    = 2    // News are sent this many times the logarithm of the members.
)

// compose returns a message to a member: the sender's record, what the member should refute, the
// news that were sent least often, and something old in turn, so that what a lost message or a cut
// kept back arrives in the end.
func (m *Machine) compose(to model.NodeID) Message {
	message := Message{Records: []Record{m.self}}
	if other, ok := m.members[to]; ok && (other.State != Alive || other.contested) && other.Epoch != 0 {
		other.contested = false
		message.Records = append(message.Records, other.Record)
	}
	room := m.addNews(to, &message)
	m.addBackground(to, room, &message)
	return message
}

// composeAll returns all that is known.
func (m *Machine) composeAll() Message {
	message := Message{Records: []Record{m.self}, All: true}
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

// news is one member's record or one value that was sent fewer times than the limit.
type news struct {
	member *member
	value  *entry
	sent   int
	size   int
}

func (m *Machine) addNews(to model.NodeID, message *Message) (room int) {
	room = maxNews
	for _, n := range m.news(to) {
		if n.size > room {
			continue
		}
		room -= n.size
		if n.member != nil {
			n.member.sent++
			message.Records = append(message.Records, n.member.Record)
			continue
		}
		n.value.sent++
		message.Values = append(message.Values, n.value.Value)
	}
	return room
}

// news returns what was sent too few times, the least often sent first.
func (m *Machine) news(to model.NodeID) []news {
	limit := sendFactor * m.logMembers()
	var all []news
	for _, id := range m.ids {
		if other := m.members[id]; other.sent < limit && other.Epoch != 0 && id != to {
			all = append(all, news{member: other, sent: other.sent, size: other.size()})
		}
	}
	for _, e := range m.values {
		if e.sent < limit && e.Origin != to {
			all = append(all, news{value: e, sent: e.sent, size: e.size()})
		}
	}
	slices.SortStableFunc(all, func(a, b news) int { return cmp.Compare(a.sent, b.sent) })
	return all
}

// addBackground tells live members and values again, each in its turn, while there is room.
func (m *Machine) addBackground(to model.NodeID, room int, message *Message) {
	total := len(m.ids) + len(m.values)
	told := 0
	for range total {
		next := (m.background + 1) % total
		size := m.backgroundSize(next, to)
		if told+size > room || (told > 0 && told+size > maxBackground) {
			return
		}
		m.background = next
		if size > 0 {
			told += size
			m.addAt(next, message)
		}
	}
}

// backgroundSize returns the size of what stands at a place of the background's turn, or 0 when
// it is not worth telling.
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

func (m *Machine) addAt(at int, message *Message) {
	if at >= len(m.ids) {
		message.Values = append(message.Values, m.values[at-len(m.ids)].Value)
		return
	}
	message.Records = append(message.Records, m.members[m.ids[at]].Record)
}
