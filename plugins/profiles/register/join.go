package register

import (
	"maps"

	"redwingpulley/kernel/model"
)

// A replica that starts may not vote at once: its disk may be empty, or hold an older copy.
//
// It asks the others with Join. They note its store as the newest one, so that votes of a former
// store count no more, and tell what they have promised and accepted. With an intact file it is
// enough that nobody has seen a later vote of it. Otherwise it joins under a new store, and takes
// on the highest ballots of so many others that each majority it may have been part of holds one
// of them. Then it knows at least as much as it did before the loss.

// askToJoin asks the other replicas for what they know of this one.
func (m *Machine) askToJoin() {
	m.joinAt = m.now.Add(m.joinWait)
	m.joinWait = min(2*m.joinWait, joinInterval)
	if !m.intact && !m.joining {
		m.newStore()
	}
	for _, node := range m.config.Replicas {
		if node != m.config.Self {
			m.send(node, Message{Kind: Join, Run: m.config.Seed, Store: m.durable.Store, Votes: m.durable.Votes})
		}
	}
	m.tryJoin()
}

// newStore begins a new life of the disk under a number above all known ones.
func (m *Machine) newStore() {
	number := max(m.durable.Store.Number, m.durable.Fences[m.config.Self].Number) + 1
	m.durable.Store = Store{number, m.random.Uint64() | 1, m.config.Node}
	m.durable.Voting = false
	m.durable.Votes = 0
	m.durable.Fences[m.config.Self] = m.durable.Store
	m.durable.Seen[m.config.Self] = 0
	m.intact = false
	m.joining = true
	m.verified = false
	m.joined = make(map[model.NodeID]Message)
}

// admit notes the store of a replica that joins, synced before it is answered.
func (m *Machine) admit(from model.NodeID, message Message) {
	if !m.replica() {
		return
	}
	m.fence(from, message.Store)
	value, chosen := m.durable.Value, m.served
	m.persist(Send{from, Message{
		Kind: Joined, Run: message.Run, Store: message.Store, Votes: m.durable.Seen[from],
		Fences: maps.Clone(m.durable.Fences), Seen: maps.Clone(m.durable.Seen),
		Voting: m.durable.Voting && !m.durable.Copied, Copied: m.durable.Copied, Promised: m.durable.Promised,
		Accepted: m.durable.Accepted, Value: &value, Chosen: &chosen,
	}})
}

// hearJoined takes in an answer to Join.
func (m *Machine) hearJoined(from model.NodeID, message Message) {
	if !m.replica() || m.votes() || message.Run != m.config.Seed || message.Store != m.durable.Store || message.Value == nil || message.Chosen == nil {
		return
	}
	known := message.Fences[m.config.Self]
	if m.lostPlace() {
		return
	}
	if known != m.durable.Store || message.Votes > m.durable.Votes {
		m.newStore()
		m.joinAt = m.now
		return
	}
	m.joined[from] = message
	m.tryJoin()
}

// tryJoin begins to vote once enough others have answered.
func (m *Machine) tryJoin() {
	if !m.enoughJoined() {
		return
	}
	if !m.intact {
		m.adopt()
	}
	m.durable.Voting, m.durable.Copied = true, false
	m.verified, m.intact = true, true
	m.durable.Fences[m.config.Self] = m.durable.Store
	m.persist()
	if !m.serving {
		m.learnAt = m.now
	}
}

func (m *Machine) enoughJoined() bool {
	others := len(m.config.Replicas) - 1
	if m.intact {
		return len(m.joined) >= m.majority()-1
	}
	voting, empty, files := 0, 0, 0
	for _, answer := range m.joined {
		if answer.Voting {
			voting++
		}
		if answer.Voting || answer.Copied {
			files++
		}
		if answer.Accepted == (Ballot{}) {
			empty++
		}
	}
	switch {
	case m.config.Reform && len(m.joined) == others:
		return true
	case m.durable.Copied && files == others: // All folders were moved.
		return true
	case empty == others: // Nothing was ever agreed.
		return true
	}
	return voting >= len(m.config.Replicas)-m.majority()+1
}

// adopt takes on the highest ballots of the answers.
func (m *Machine) adopt() {
	for _, node := range m.config.Replicas {
		answer, ok := m.joined[node]
		if !ok {
			continue
		}
		m.hear(*answer.Chosen)
		if m.durable.Promised.Less(answer.Promised) {
			m.durable.Promised = answer.Promised
		}
		if m.durable.Accepted.Less(answer.Accepted) {
			m.durable.Accepted, m.durable.Value = answer.Accepted, *answer.Value
		}
	}
}
