package register

import (
	"maps"
	"time"

	"redwingpulley/kernel/model"
)

// prepare promises the ballot, unless a higher one was promised.
func (m *Machine) prepare(from model.NodeID, message Message) {
	if !m.votes() {
		return
	}
	if message.Ballot.Less(m.durable.Promised) {
		m.send(from, Message{Kind: Rejected, Ballot: m.durable.Promised})
		return
	}
	m.durable.Promised = message.Ballot
	m.durable.Votes++
	vote := m.vote(Promise, message.Ballot)
	vote.Accepted = m.durable.Accepted
	if m.durable.Accepted != message.Accepted {
		value := m.durable.Value
		vote.Value = &value
	}
	m.persist(Send{from, vote})
}

// accept takes the value on, unless a higher ballot was promised.
func (m *Machine) accept(from model.NodeID, message Message) {
	if !m.votes() {
		return
	}
	if message.Ballot.Less(m.durable.Promised) {
		m.send(from, Message{Kind: Rejected, Ballot: m.durable.Promised})
		return
	}
	value, ok := m.proposed(message)
	if !ok {
		m.send(from, Message{Kind: Need, Ballot: message.Ballot})
		return
	}
	m.durable.Promised = message.Ballot
	m.durable.Accepted = message.Ballot
	m.durable.Value = value
	m.durable.Votes++
	m.settleAt = m.now.Add(settleDelay + time.Duration(m.random.Int64N(int64(settleDelay))))
	m.persist(Send{from, m.vote(Accepted, message.Ballot)})
}

// proposed returns the value of an Accept; ok is false when this replica lacks the value that it
// differs from. A ballot has one value, so its number stands for it.
func (m *Machine) proposed(message Message) (value State, ok bool) {
	switch {
	case message.Value != nil:
		return *message.Value, true
	case m.durable.Accepted == message.Ballot: // A message that came twice.
		return m.durable.Value, true
	case m.durable.Accepted != message.Base:
		return State{}, false
	case message.Delta == nil:
		return m.durable.Value, true
	}
	return m.durable.Value.with(*message.Delta), true
}

// vote returns an answer that tells which store it is from, and which stores of others it knows to
// be gone: the proposer counts no vote that another voter knows to be from a store that is gone.
func (m *Machine) vote(kind MessageKind, ballot Ballot) Message {
	return Message{
		Kind: kind, Ballot: ballot, Store: m.durable.Store, Votes: m.durable.Votes,
		Fences: maps.Clone(m.durable.Fences),
	}
}
