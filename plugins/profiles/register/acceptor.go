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
	value := m.durable.Value
	vote.Value = &value
	m.persist(Send{from, vote})
}

// accept takes the value on, unless a higher ballot was promised.
func (m *Machine) accept(from model.NodeID, message Message) {
	if !m.votes() || message.Value == nil {
		return
	}
	if message.Ballot.Less(m.durable.Promised) {
		m.send(from, Message{Kind: Rejected, Ballot: m.durable.Promised})
		return
	}
	m.durable.Promised = message.Ballot
	m.durable.Accepted = message.Ballot
	m.durable.Value = *message.Value
	m.durable.Votes++
	m.settleAt = m.now.Add(settleDelay + time.Duration(m.random.Int64N(int64(settleDelay))))
	m.persist(Send{from, m.vote(Accepted, message.Ballot)})
}

// vote returns an answer that tells which store it is from, and which stores of others it knows to
// be gone: the proposer counts no vote that another voter knows to be from a store that is gone.
func (m *Machine) vote(kind MessageKind, ballot Ballot) Message {
	return Message{
		Kind: kind, Ballot: ballot, Store: m.durable.Store, Votes: m.durable.Votes,
		Fences: maps.Clone(m.durable.Fences),
	}
}
