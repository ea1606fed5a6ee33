package register

import (
	"maps"

	"redwingpulley/kernel/model"
)

// A replica that starts may not vote at once: its disk may be empty, or hold an older copy.
//
// It sends Join to the other replicas. They record its store as the newest one of its place, so that
// votes of a former store no longer count, and reply with what they have promised and accepted. With
// an intact file it is enough that a majority, itself included, has seen no later vote of its store.
// Otherwise it joins under a new store, and takes over the highest ballots of enough other replicas that
// each majority it may have been part of includes one of them. Then it knows at least as much as it
// did before the loss.

// requestJoin sends Join to the other replicas and begins to vote if no reply is needed.
func (m *Machine) requestJoin() {
	m.joinAt = m.now.Add(m.joinWait)
	m.joinWait = min(2*m.joinWait, joinInterval)
	if !m.intact && !m.newStoreStarted {
		m.startNewStore()
	}
	var joins []Effect
	for _, node := range m.config.Replicas {
		if node != m.config.Self {
			join := Message{Kind: Join, Run: m.config.Seed, Store: m.durable.Store, Votes: m.durable.Votes, Brief: m.intact}
			joins = append(joins, Send{node, join})
		}
	}
	if m.mayRelease() || m.renewed { // The others fence the former store, so this one must be known after a restart.
		m.persist(joins...)
	} else {
		m.effects = append(m.effects, joins...)
	}
	m.tryStartVoting()
}

// takeoverStep is the distance between the store numbers of two holders of a place. A member that comes back counts
// its own stores up by one, so that none of them is newer than that of a member that has taken its place.
const takeoverStep = 1 << 32

// startNewStore gives the disk a new store, with a number above all known ones of this place.
func (m *Machine) startNewStore() {
	number := max(m.durable.Store.Number, m.durable.Fences[m.config.Self].Number) + 1
	if m.config.Takes != (Store{}) && !m.newStoreStarted {
		number = (number/takeoverStep + 1) * takeoverStep
	}
	m.durable.Store = Store{number, m.random.Uint64() | 1, m.config.Node}
	m.durable.Voting = false
	m.durable.Votes = 0
	m.durable.Fences[m.config.Self] = m.durable.Store
	m.durable.Seen[m.config.Self] = 0
	m.intact = false
	m.newStoreStarted = true
	m.verified = false
	m.joinReplies = make(map[model.NodeID]Message)
}

// handleJoin records the store of a replica that joins, and replies once that is written and synced.
func (m *Machine) handleJoin(from model.NodeID, message Message) {
	if !m.isReplica() || m.replaced {
		return
	}
	m.fenceOlderStores(from, message.Store)
	reply := Message{
		Kind: Joined, Run: message.Run, Store: message.Store, Votes: m.durable.Seen[from],
		Fences: maps.Clone(m.durable.Fences), Seen: maps.Clone(m.durable.Seen),
		Voting: m.durable.Voting && !m.durable.Copied, Copied: m.durable.Copied, Promised: m.durable.Promised,
		Accepted: m.durable.Accepted, Takes: m.durable.Takes, Former: m.durable.Former[from],
	}
	if !message.Brief {
		value, chosen := m.durable.Value, m.served
		reply.Value, reply.Chosen = &value, &chosen
	}
	m.persist(Send{from, reply})
}

// handleJoined records a reply to Join. It starts a new store when the reply shows that this replica's
// store is fenced or that its file is older than a vote that it has cast.
func (m *Machine) handleJoined(from model.NodeID, message Message) {
	if !m.isReplica() || m.canVote() || message.Run != m.config.Seed || message.Store != m.durable.Store {
		return
	}
	if !m.intact && (message.Value == nil || message.Chosen == nil) {
		return // A reply to a Join that was sent before this store was found not to be intact.
	}
	if m.replaced || m.placeTaken() {
		return
	}
	known := message.Fences[m.config.Self]
	if known != m.durable.Store || message.Votes > m.durable.Votes {
		m.startNewStore()
		m.joinAt = m.now
		return
	}
	m.joinReplies[from] = message
	m.tryStartVoting()
}

// tryStartVoting begins to vote once enough other replicas have replied to Join.
func (m *Machine) tryStartVoting() {
	if m.durable.Released {
		return
	}
	ground, enough := m.groundToVote()
	if !enough {
		return
	}
	if !m.intact {
		m.adoptHighestBallots()
	}
	m.votesBy = ground
	m.durable.Voting, m.durable.Copied, m.durable.Takes = true, false, Store{}
	m.renewed = false
	m.verified, m.intact = true, true
	m.durable.Fences[m.config.Self] = m.durable.Store
	m.persist()
	if !m.serving {
		m.learnAt = m.now
	}
}

// groundToVote returns on what ground the replies to Join so far allow this replica to vote; enough is false while they do not.
func (m *Machine) groundToVote() (ground Phase, enough bool) {
	if m.intact {
		return VotesWithFile, len(m.joinReplies) >= m.majority()-1
	}
	others := len(m.config.Replicas) - 1
	empty, withFile := 0, 0
	for _, reply := range m.joinReplies {
		if reply.Voting || reply.Copied {
			withFile++
		}
		if reply.Accepted == (Ballot{}) && reply.Takes == (Store{}) { // The former member of a place may have accepted one.
			empty++
		}
	}
	switch {
	case m.config.Reform && len(m.joinReplies) == others:
		return VotesAfterRestore, true
	case m.durable.Copied && withFile == others: // No replica has lost its file: all the folders were copied or moved.
		return VotesAfterRestore, true
	case empty == others && m.durable.Takes == (Store{}): // No other replica has accepted a value, so none was chosen.
		return VotesAfterFirst, true
	}
	return VotesAfterJoin, m.votingReplies() >= JoinQuorum(len(m.config.Replicas))
}

// votingReplies counts the replies to Join of replicas that vote.
func (m *Machine) votingReplies() (voting int) {
	for node, reply := range m.joinReplies {
		if reply.Voting && m.fromNewestStore(node, reply) {
			voting++
		}
	}
	return voting
}

// joinProgress returns how many replies to Join count so far and how many are needed. It leaves out the cases in which all
// other replicas together are enough: a first start, folders that were all copied, and Config.Reform.
func (m *Machine) joinProgress() (counted, needed int) {
	if m.intact {
		return len(m.joinReplies), m.majority() - 1
	}
	return m.votingReplies(), JoinQuorum(len(m.config.Replicas))
}

// fromNewestStore reports whether a replica's message comes from the newest known store of its place, and
// not from a member whose place another one has taken over. Any join quorum that the newest store has had
// and any majority have a replica in common, which names that store in its own message.
func (m *Machine) fromNewestStore(node model.NodeID, message Message) bool {
	return message.Fences[node] == m.durable.Fences[node]
}

// JoinQuorum returns how many voting others have to reply to a replica that joins under a new store:
// each majority of the replicas holds one of them.
func JoinQuorum(replicas int) int { return replicas - MajorityOf(replicas) + 1 }

// adoptHighestBallots takes over the highest promised and accepted ballots, and the newest chosen
// state, of the replies to Join.
func (m *Machine) adoptHighestBallots() {
	for _, node := range m.config.Replicas {
		reply, ok := m.joinReplies[node]
		if !ok || !m.fromNewestStore(node, reply) {
			continue
		}
		m.learnState(*reply.Chosen)
		if m.durable.Promised.Less(reply.Promised) {
			m.durable.Promised = reply.Promised
		}
		if m.durable.Accepted.Less(reply.Accepted) {
			m.durable.Accepted, m.durable.Value = reply.Accepted, *reply.Value
		}
	}
}
