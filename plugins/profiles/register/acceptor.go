package register

import (
	"maps"
	"time"

	"redwingpulley/kernel/model"
)

// handlePrepare promises the ballot, unless a higher one was promised.
func (m *Machine) handlePrepare(from model.NodeID, message Message) {
	if !m.canVote() {
		return
	}
	if message.Ballot.Less(m.durable.Promised) {
		m.send(from, Message{Kind: Rejected, Ballot: m.durable.Promised})
		return
	}
	m.durable.Promised, m.promisedAt = message.Ballot, m.now
	m.durable.Votes++
	vote := m.vote(Promise, message.Ballot)
	vote.Accepted = m.durable.Accepted
	entered := m.durable.Accepted == (Ballot{}) && m.durable.Value.Revision() > 0 // The group's first ballot; see group.go.
	if m.durable.Accepted != message.Accepted || entered {
		value := m.durable.Value
		vote.Value = &value
	}
	m.persist(Send{from, vote})
}

// handleAccept accepts the proposed value, unless a higher ballot was promised.
func (m *Machine) handleAccept(from model.NodeID, message Message) {
	if !m.canVote() {
		return
	}
	if message.Ballot.Less(m.durable.Promised) {
		m.send(from, Message{Kind: Rejected, Ballot: m.durable.Promised})
		return
	}
	value, ok := m.proposedValue(message)
	if !ok {
		m.send(from, Message{Kind: NeedValue, Ballot: message.Ballot})
		return
	}
	m.durable.Promised, m.promisedAt = message.Ballot, m.now
	m.durable.Accepted = message.Ballot
	m.durable.Value = value
	m.durable.Votes++
	m.resolveAt = m.now.Add(resolveDelay + time.Duration(m.random.Int64N(int64(resolveDelay))))
	m.persist(Send{from, m.vote(Accepted, message.Ballot)})
}

// proposedValue returns the value that an Accept proposes; ok is false when it comes as a difference
// from a value that this replica lacks. A ballot has one value, so the ballot identifies the value.
func (m *Machine) proposedValue(message Message) (value State, ok bool) {
	switch {
	case message.Value != nil:
		return *message.Value, true
	case m.durable.Accepted == message.Ballot: // A duplicate of a message.
		return m.durable.Value, true
	case m.durable.Accepted != message.Base:
		return State{}, false
	case message.Delta == nil:
		return m.durable.Value, true
	}
	return m.durable.Value.withDelta(*message.Delta), true
}

// vote returns a vote that names the store it is cast from and the newest stores known of the other
// replicas: the proposer counts no vote from a store that any voter knows to be fenced.
func (m *Machine) vote(kind MessageKind, ballot Ballot) Message {
	return Message{
		Kind: kind, Ballot: ballot, Store: m.durable.Store, Votes: m.durable.Votes,
		Fences: maps.Clone(m.durable.Fences),
	}
}
