package register

import (
	"maps"

	"redwingpulley/kernel/model"
)

// news returns the message that tells of an agreed state.
func (m *Machine) news(state State) Message {
	return Message{
		Kind: Chosen, Value: &state, Revision: state.Revision(), Serving: m.serving,
		Voting: m.votes(), Empty: m.empty(), Pending: m.durable.Value.Revision(),
		Fences: maps.Clone(m.durable.Fences), Seen: maps.Clone(m.durable.Seen),
	}
}

// News returns the message that tells of the newest known agreed state, and of the stores.
func (m *Machine) News() Message { return m.news(m.served) }

// newsOf returns the message that tells of a proposal's value, as a difference where there is one.
func (m *Machine) newsOf(p *proposal) Message {
	news := m.news(p.value)
	if p.delta != nil {
		news.Value, news.Delta = nil, p.delta
	}
	return news
}

// askForNews asks for newer states: all members while none is learned, else one at a time.
func (m *Machine) askForNews() {
	question := m.question()
	if m.serving {
		m.learnAt = m.now.Add(fetchInterval)
		m.do(Ask{m.random.Uint64(), question})
		return
	}
	m.learnAt = m.now.Add(m.learnWait)
	m.learnWait = min(2*m.learnWait, learnInterval)
	m.do(Broadcast{question})
	m.tryServe()
}

func (m *Machine) question() Message {
	return Message{Kind: Fetch, Run: m.config.Seed, Revision: m.served.Revision(), Serving: m.serving}
}

// fetched answers a question for news: with the state when it is newer, else with the revision.
// The question itself may tell of a newer one.
func (m *Machine) fetched(from model.NodeID, message Message) {
	answer := m.news(m.served)
	if m.served.Revision() <= message.Revision {
		answer.Value, answer.Fences, answer.Seen = nil, nil, nil
	}
	answer.Run = message.Run
	m.send(from, answer)
	if message.Serving {
		m.ask(from, message.Revision)
	}
}

func (m *Machine) told(t Told) { m.ask(t.From, t.Revision) }

func (m *Machine) ask(node model.NodeID, revision model.Revision) {
	if revision > m.served.Revision() {
		m.send(node, m.question())
	}
}

// learn takes in an agreed state or an answer that there is none newer.
func (m *Machine) learn(from model.NodeID, message Message) {
	if message.Value != nil {
		m.hear(*message.Value)
	}
	if message.Delta != nil {
		m.hearDelta(from, *message.Delta)
	}
	if m.serving || message.Run != m.config.Seed {
		return
	}
	m.answered[from] = message
	m.tryServe()
}

// hearDelta takes on the next agreed state, or asks for the states between.
func (m *Machine) hearDelta(from model.NodeID, d Delta) {
	if d.Change.Revision == m.served.Revision()+1 {
		m.hear(m.served.with(d))
		return
	}
	m.ask(from, d.Change.Revision)
}

// hear takes on an agreed state when it is newer.
func (m *Machine) hear(state State) {
	if state.Revision() <= m.served.Revision() {
		return
	}
	if m.serving {
		m.serve(state)
		return
	}
	m.served = state
}

// tryServe begins to serve once a majority of the replicas has told its revision, and none of them
// has accepted a newer one that may be agreed. No other answer makes certain that this process did
// not serve a newer revision before its restart. Where a cut keeps the majority away, it waits
// before it believes the newest of the members that serve.
func (m *Machine) tryServe() {
	if m.serving {
		return
	}
	told := 0
	for _, node := range m.config.Replicas {
		if m.toldAll(node) {
			told++
		}
	}
	if len(m.config.Replicas) == 0 || told >= m.majority() || m.aloneWithOthers() || m.firstStart() {
		m.serve(m.served)
	}
}

// toldAll reports whether a replica votes and has accepted no state beyond the newest one known to
// be agreed.
func (m *Machine) toldAll(node model.NodeID) bool {
	if node == m.config.Self {
		return m.votes() && m.durable.Value.Revision() <= m.served.Revision()
	}
	answer := m.answered[node]
	return answer.Voting && answer.Pending <= m.served.Revision()
}

// aloneWithOthers reports whether the wait for a majority is over and a member that serves has
// answered.
func (m *Machine) aloneWithOthers() bool {
	if !m.waitedAlone() {
		return false
	}
	for _, answer := range m.answered {
		if answer.Serving {
			return true
		}
	}
	return false
}

func (m *Machine) waitedAlone() bool {
	return m.config.Alone != 0 && !m.now.Before(m.started.Add(m.config.Alone))
}

// empty reports whether this is a replica whose disk never held a vote.
func (m *Machine) empty() bool {
	return m.replica() && !m.durable.Voting && !m.durable.Copied && m.durable.Accepted == Ballot{}
}

// firstStart reports whether the group starts for the first time and a replica is still missing: a
// majority has empty disks, and no replica votes or holds a state. Then revision 0 is in force, but
// nobody votes before all replicas have come.
func (m *Machine) firstStart() bool {
	if !m.waitedAlone() || m.served.Revision() > 0 {
		return false
	}
	empty := 0
	if m.empty() {
		empty++
	}
	for _, node := range m.config.Replicas {
		answer, ok := m.answered[node]
		if ok && !answer.Empty {
			return false
		}
		if ok {
			empty++
		}
	}
	return empty >= m.majority()
}
