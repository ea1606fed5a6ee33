package register

import (
	"maps"

	"redwingpulley/kernel/model"
)

// chosenMessage returns the message that announces a chosen state.
func (m *Machine) chosenMessage(state State) Message {
	fences := maps.Clone(m.durable.Fences)
	if m.mayRelease() || m.renewed {
		delete(fences, m.config.Self) // This store may not be on the disk yet; the Join that follows the write tells of it.
	}
	return Message{
		Kind: Chosen, Value: &state, Revision: state.Revision(), Serving: m.serving,
		Voting: m.canVote(), Empty: m.empty(), Pending: m.durable.Value.Revision(),
		Fences: fences, Seen: maps.Clone(m.durable.Seen),
	}
}

// ChosenMessage returns the message that announces the newest known chosen state and the newest known stores.
func (m *Machine) ChosenMessage() Message { return m.chosenMessage(m.served) }

// StoresMessage returns the message that tells the newest known stores, without a state.
func (m *Machine) StoresMessage() Message {
	message := m.ChosenMessage()
	message.Value = nil
	return message
}

// chosenProposalMessage returns the message that announces a proposal's value, as a difference where
// there is one.
func (m *Machine) chosenProposalMessage(p *proposal) Message {
	chosenMessage := m.chosenMessage(p.value)
	if p.delta != nil {
		chosenMessage.Value, chosenMessage.Delta = nil, p.delta
	}
	return chosenMessage
}

// membersAskedAtStart is the number of members, besides the replicas, that a member asks at a time until it serves.
// They matter only where no majority of the replicas can be reached. The number does not grow with that of all
// members, since many may start at the same time.
const membersAskedAtStart = 3

// fetchNewer sends Fetch for a newer chosen state to one random member. Until this member serves, it asks
// the replicas and some other members for their revisions instead, and one that has the newest for the state.
func (m *Machine) fetchNewer() {
	fetchMessage := m.fetchMessage()
	if m.serving {
		m.learnAt = m.now.Add(fetchInterval)
		if m.toldRevision > m.served.Revision() {
			m.learnAt = m.now.Add(refetchInterval)
			m.stateFetchAt = m.learnAt
		}
		m.emit(Ask{m.random.Uint64(), fetchMessage})
		return
	}
	m.learnAt = m.now.Add(m.learnWait)
	m.learnWait = min(2*m.learnWait, learnInterval)
	fetchMessage.Brief = true
	for _, replica := range m.config.Replicas {
		if replica != m.config.Self {
			m.send(replica, fetchMessage)
		}
	}
	for range membersAskedAtStart {
		m.emit(Ask{m.random.Uint64(), fetchMessage})
	}
	m.tryStartServing()
}

func (m *Machine) fetchMessage() Message {
	return Message{Kind: Fetch, Run: m.config.Seed, Revision: m.served.Revision(), Serving: m.serving}
}

// handleFetch replies to Fetch with the newest known chosen state when it is newer than the sender's,
// else without a state. Where the sender serves a newer one, this member fetches that in turn.
func (m *Machine) handleFetch(from model.NodeID, message Message) {
	reply := m.chosenMessage(m.served)
	if m.served.Revision() <= message.Revision || message.Brief {
		reply.Value = nil
	}
	if reply.Value == nil && message.Serving {
		reply.Fences, reply.Seen = nil, nil // A member that does not serve yet needs them, to judge the replies.
	}
	reply.Run = message.Run
	m.send(from, reply)
	if message.Serving {
		m.fetchIfNewer(from, message.Revision)
	}
}

func (m *Machine) handleGossipedRevision(t Told) { m.fetchIfNewer(t.From, t.Revision) }

// fetchIfNewer fetches a revision that a member is known to have, if it is newer than the one served here.
// Until it is known, other members are asked at short intervals: the message or its reply may be lost.
func (m *Machine) fetchIfNewer(node model.NodeID, revision model.Revision) {
	if revision <= m.served.Revision() {
		return
	}
	m.toldRevision = max(m.toldRevision, revision)
	if again := m.now.Add(refetchInterval); m.serving && again.Before(m.learnAt) {
		m.learnAt = again
	}
	m.requestState(node)
}

// requestState requests the newest state of a member, unless another request is under way.
func (m *Machine) requestState(node model.NodeID) {
	if m.now.Before(m.stateFetchAt) {
		return
	}
	m.stateFetchAt = m.now.Add(refetchInterval)
	m.send(node, m.fetchMessage())
}

// handleChosen learns a chosen state, if the message has one. Until this member serves, it also records
// the message when it is a reply to Fetch.
func (m *Machine) handleChosen(from model.NodeID, message Message) {
	if message.Value != nil {
		m.learnState(*message.Value)
	}
	if message.Delta != nil {
		m.learnDelta(from, *message.Delta)
	}
	if m.serving || message.Run != m.config.Seed {
		return
	}
	m.learnReplies[from] = message
	if message.Revision > m.served.Revision() {
		m.requestState(from)
	}
	m.tryStartServing()
}

// learnDelta learns the next chosen state from a difference, or fetches the state when this member
// lacks the one before.
func (m *Machine) learnDelta(from model.NodeID, d Delta) {
	if d.Change.Revision == m.served.Revision()+1 {
		m.learnState(m.served.withDelta(d))
		return
	}
	m.fetchIfNewer(from, d.Change.Revision)
}

// learnState learns a chosen state when it is newer than the one known.
func (m *Machine) learnState(state State) {
	if state.Revision() <= m.served.Revision() {
		return
	}
	if m.serving {
		m.serve(state)
		return
	}
	m.served = state
}

// tryStartServing begins to serve once a majority of the replicas has reported its revision, and none
// of them has accepted a newer one that may be chosen. Without a majority, this process might serve an
// older revision than it served before a restart. Where a partition keeps the majority away, it waits
// for Config.Alone before it trusts the newest revision of the members that serve.
func (m *Machine) tryStartServing() {
	if m.serving {
		return
	}
	upToDate := 0
	for _, node := range m.config.Replicas {
		if m.hasNoPendingState(node) {
			upToDate++
		}
	}
	if len(m.config.Replicas) == 0 || upToDate >= m.majority() || m.mayTrustServingMember() || m.isFirstStart() {
		m.serve(m.served)
	}
}

// hasNoPendingState reports whether a replica votes and has accepted no state newer than the newest
// one known to be chosen.
func (m *Machine) hasNoPendingState(node model.NodeID) bool {
	if node == m.config.Self {
		return m.canVote() && m.durable.Value.Revision() <= m.served.Revision()
	}
	reply := m.learnReplies[node]
	return reply.Voting && m.fromNewestStore(node, reply) && reply.Pending <= m.served.Revision()
}

// mayTrustServingMember reports whether the wait for a majority is over and a member that serves has
// replied.
func (m *Machine) mayTrustServingMember() bool {
	if !m.majorityWaitOver() {
		return false
	}
	for _, reply := range m.learnReplies {
		if reply.Serving {
			return true
		}
	}
	return false
}

// majorityWaitOver reports whether this member has waited for a majority as long as Config.Alone says.
func (m *Machine) majorityWaitOver() bool {
	return m.config.Alone != 0 && !m.now.Before(m.startedAt.Add(m.config.Alone))
}

// empty reports whether this member is a replica whose disk holds no trace of a vote, and that has not taken over its
// place from one that may have voted.
func (m *Machine) empty() bool {
	return m.isReplica() && !m.durable.Voting && !m.durable.Copied && m.durable.Accepted == Ballot{} && m.durable.Takes == Store{}
}

// isFirstStart reports whether the group starts for the first time and a replica is still missing: a
// majority has empty disks, and no replica votes or holds a state. Then revision 0 is in force, but
// no replica votes before all of them have joined.
func (m *Machine) isFirstStart() bool {
	if !m.majorityWaitOver() || m.served.Revision() > 0 {
		return false
	}
	empty := 0
	if m.empty() {
		empty++
	}
	for _, node := range m.config.Replicas {
		reply, ok := m.learnReplies[node]
		if ok && !reply.Empty {
			return false
		}
		if ok {
			empty++
		}
	}
	return empty >= m.majority()
}
