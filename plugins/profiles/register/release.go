package register

import (
	"time"

	"redwingpulley/kernel/model"
)

// A member that takes over a place fences the store of the former one before it votes itself. If a disk is lost in
// between, it cannot join any more, and the file of the former member is needed.
//
// So a former member that comes back keeps its file and sends Reclaim until the present one votes. The present one
// gives the place back while its own store has cast no vote: the former member then goes on with its file under
// a newer store, as if it had only been away. A third member may have taken the same place in between and have
// voted. A join quorum had replied to that one, so the present member needs the word of so many others that each
// join quorum includes one of them: its store directly replaced that of the former member there.

// releaseTimeout is how long the former member of a place that was given back has to use it again. Then the member that
// gave it back takes it over again, if as many others vote as a takeover needs.
const releaseTimeout = 5 * time.Second

// recordFormer records which store of another member a newer store of a replica replaces here. A replica without an
// intact file may have forgotten a store in between.
func (m *Machine) recordFormer(node model.NodeID, known, newer Store) {
	if known.Node == newer.Node {
		return
	}
	delete(m.durable.Former, node)
	if m.durable.Voting && !m.durable.Copied {
		m.durable.Former[node] = known
	}
}

// leaveOrReclaim handles that another member has taken this replica's place.
func (m *Machine) leaveOrReclaim() {
	m.replaced = true
	if !m.intact {
		m.emit(Replaced{})
		return
	}
	m.reclaiming = true
	m.joinAt, m.joinWait = m.now, firstRetryInterval
}

// Reclaiming reports whether this member keeps the file of a place that another one has taken. It has no place meanwhile.
func (m *Machine) Reclaiming() bool { return m.reclaiming }

// requestRelease sends Reclaim to the member that has taken this replica's place.
func (m *Machine) requestRelease() {
	m.joinAt = m.now.Add(m.joinWait)
	m.joinWait = min(2*m.joinWait, joinInterval)
	m.emit(SendMember{m.durable.Fences[m.config.Self].Node, Message{Kind: Reclaim, Store: m.durable.Store}})
}

func (m *Machine) runReleaseTimer() {
	if !m.durable.Released || m.replaced || m.now.Before(m.releaseEnds) {
		return
	}
	timedOut := !m.releaseEnds.IsZero() // It is zero at the first step after the release, or after a start.
	m.releaseEnds = m.now.Add(releaseTimeout)
	if timedOut && m.votingReplies() >= JoinQuorum(len(m.config.Replicas)) {
		m.takeAgain()
	}
}

// takeAgain takes the place over again, under a store newer than any that the former member may have started.
func (m *Machine) takeAgain() {
	m.durable.Released, m.releaseEnds = false, time.Time{}
	m.durable.Store.Number += takeoverStep
	m.startNewStore()
	m.joinAt, m.joinWait = m.now, firstRetryInterval
}

// mayRelease reports whether no store of this member has voted since it took over its place.
func (m *Machine) mayRelease() bool { return m.durable.Takes != (Store{}) && !m.durable.Voting }

// handleReclaim tells the former member of this place that this one votes, or gives the place back to it.
func (m *Machine) handleReclaim(message Message) {
	if !m.isReplica() || m.replaced || !message.Store.Less(m.durable.Store) {
		return
	}
	reply := Message{Kind: Release, Store: m.durable.Store, Voting: m.canVote()}
	if !reply.Voting {
		if !m.mayRelease() || message.Store != m.durable.Takes || !m.directSuccessor() {
			return
		}
		m.durable.Released = true
	}
	m.persist(SendMember{message.Store.Node, reply}) // Either is true after a restart only once it is synced.
}

// directSuccessor reports whether no other member can have voted between the former member of this place and this one.
func (m *Machine) directSuccessor() bool {
	if m.durable.Released {
		return true
	}
	witnesses := 0
	for node, reply := range m.joinReplies {
		if reply.Voting && m.fromNewestStore(node, reply) && reply.Former == m.durable.Takes {
			witnesses++
		}
	}
	return witnesses >= m.majority()-1
}

// handleRelease gives up this replica's file once the member that took its place votes, or goes on with it when that
// member gives the place back.
func (m *Machine) handleRelease(message Message) {
	if !m.reclaiming || message.Store != m.durable.Fences[m.config.Self] {
		return
	}
	m.reclaiming = false
	if message.Voting {
		m.emit(Replaced{})
		return
	}
	m.durable.Store = Store{message.Store.Number + 1, m.random.Uint64() | 1, m.config.Node}
	m.durable.Fences[m.config.Self] = m.durable.Store
	m.durable.Seen[m.config.Self] = 0
	m.replaced, m.verified, m.renewed = false, false, true
	m.joinReplies = make(map[model.NodeID]Message)
	m.joinAt, m.joinWait = m.now, firstRetryInterval
}
