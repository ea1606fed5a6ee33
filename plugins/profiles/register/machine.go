// Package register holds the decisions of the replicated register of profiles: replicas agree on
// edits by a majority, chosen states spread to all members, and replicas whose disk was lost rejoin.
// It does no I/O: its caller steps a Machine with events and executes the effects that it returns.
//
// The protocol is Paxos on one register whose value is the whole state, as in CASPaxos: an edit
// is a function from the chosen state to the next. A proposer has a majority promise a ballot,
// takes the state of the highest accepted ballot among the replies, applies the edit, and has a
// majority accept the result. Whatever the edit's outcome, the result is written back before it
// is answered, so the answer holds for all later ballots.
package register

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"redwingpulley/kernel/invariant"
	"redwingpulley/kernel/model"
)

const (
	roundTimeout       = 700 * time.Millisecond // Wait for the votes of a majority before a new ballot.
	backoffUnit        = 10 * time.Millisecond  // Bound of the random wait before the next ballot, per lost ballot.
	backoffLimit       = 20                     // Lost ballots after which that bound no longer grows.
	firstRetryInterval = 50 * time.Millisecond  // Between the first attempts to join or to learn; doubles with each.
	joinInterval       = time.Second            // Longest interval between attempts to join.
	resolveDelay       = 2 * time.Second        // Shortest wait before a replica resolves whether a value it accepted was chosen.
	learnInterval      = 500 * time.Millisecond // Longest interval between requests for the newest revision before this member serves.
	fetchInterval      = 3 * time.Second        // Between Fetch messages to one other member, in case Chosen messages were lost.
	refetchInterval    = 500 * time.Millisecond // Between two requests for a state, which may be large, while a newer revision is known to exist.
	rewriteDelay       = 2 * time.Second        // Before a failed write is tried again.
	queueLimit         = 64                     // Most edits that wait for their turn to be proposed.
)

// Config names the replicas and this member's part among them. A replica has a place in the group,
// which another member may take over when the member that has it is gone.
type Config struct {
	Self     model.NodeID   // Replica whose place this member has, or the member's identity without a place.
	Node     model.NodeID   `json:",omitempty"` // This member's id if places may be taken over, else "".
	Replicas []model.NodeID // Sorted; each is named after the first member that had its place.
	Takes    Store          `json:",omitzero"` // Store of the former member when this one takes over its place, else zero.
	Seed     uint64         // Random for each machine; also tells its ballots from those of earlier machines of the replica.
	Copied   bool           // Whether the file on the disk is a copy, as after a restore.
	Alone    time.Duration  // Wait for a majority at the start before members that serve are trusted; 0 waits forever.
	Reform   bool           // Whether the operators state that the disks of a majority are lost for good.
}

// Machine is the state machine of one member of the register. It is not safe for concurrent use.
type Machine struct {
	config Config
	random *rand.Rand
	now    time.Time

	durable         Durable                  // What a replica keeps on its disk.
	intact          bool                     // Whether durable comes from a voting store on the disk that is not known to be old, or was rebuilt by joining.
	joinReplies     map[model.NodeID]Message // Replies to Join of the current store, by replica.
	joinAt          time.Time                // When Join is sent next.
	joinWait        time.Duration
	newStoreStarted bool      // Whether this machine has started a new store.
	verified        bool      // Whether enough other replicas have replied to Join, so that this one may vote.
	votesBy         Phase     // On what ground it has begun to vote.
	replaced        bool      // Whether another member has taken this replica's place.
	reclaiming      bool      // Whether this replica keeps its file until that member votes; see release.go.
	renewed         bool      // Whether this replica has got its place back and does not vote yet.
	releaseEnds     time.Time // When a member that has given its place back may take it over again.

	served       State // The newest state known to be chosen; in force once serving.
	serving      bool
	learnReplies map[model.NodeID]Message // Replies to Fetch until this member serves, by sender.
	learnAt      time.Time                // When Fetch is sent next.
	learnWait    time.Duration
	toldRevision model.Revision // Newest revision that another member is known to have.
	stateFetchAt time.Time      // Earliest time to request the next state.
	startedAt    time.Time
	rewriteAt    time.Time // Zero unless a write has failed.
	resolveAt    time.Time // Earliest time to resolve an accepted value; see hasUnresolvedValue.

	queue          []Submitted
	reads          []read        // Reads that the next round answers.
	passed         []passedReads // Reads that other replicas are asked to answer.
	promisedAt     time.Time     // When this machine last promised a ballot or accepted a value.
	proposal       *proposal
	highestRound   uint64                    // Highest round of any ballot seen.
	rounds         Rounds                    // Rounds that this machine has proposed.
	outcomeUnknown map[string]model.Revision // Edits proposed here whose outcome is unknown, by ID, with the newest revision that they can follow.

	effects []Effect
}

// Created holds the arguments of New, as kept in the record of a machine's steps.
type Created struct {
	Config   Config
	Restored *Durable
}

// Machine returns a new machine with the recorded arguments.
func (c Created) Machine() *Machine { return New(c.Config, c.Restored) }

// New returns a member's machine. restored is what its disk holds, or nil when the disk holds
// nothing usable. Step the machine with Woken once to start it.
func New(config Config, restored *Durable) *Machine {
	m := &Machine{
		config:         config,
		random:         rand.New(rand.NewPCG(config.Seed, config.Seed)),
		joinReplies:    make(map[model.NodeID]Message),
		learnReplies:   make(map[model.NodeID]Message),
		outcomeUnknown: make(map[string]model.Revision),
		served:         Initial(),
		joinWait:       firstRetryInterval, learnWait: firstRetryInterval,
		durable: Durable{Value: Initial(), Chosen: Initial()},
	}
	if restored != nil {
		m.durable = *restored
		m.durable.Fences = maps.Clone(restored.Fences)
		m.durable.Seen = maps.Clone(restored.Seen)
		m.durable.Former = maps.Clone(restored.Former)
		m.served = restored.Chosen
		m.durable.Copied = restored.Copied || config.Copied
		m.intact = restored.Voting && !m.durable.Copied
		m.highestRound = restored.Promised.Round
		m.newStoreStarted = restored.Takes != (Store{}) // The former member may reclaim its place from this very store.
	}
	if m.durable.Fences == nil {
		m.durable.Fences = make(map[model.NodeID]Store)
	}
	if config.Takes != (Store{}) {
		m.durable.Fences[config.Self] = config.Takes
		m.durable.Takes = config.Takes
	}
	if m.durable.Seen == nil {
		m.durable.Seen = make(map[model.NodeID]uint64)
	}
	if m.durable.Former == nil {
		m.durable.Former = make(map[model.NodeID]Store)
	}
	return m
}

// Step advances the machine by one event and returns the effects that its caller has to execute.
func (m *Machine) Step(now time.Time, event Event) []Effect {
	m.now, m.effects = now, nil
	if m.startedAt.IsZero() {
		m.startedAt = now
	}
	switch e := event.(type) {
	case Submitted:
		m.handleSubmitted(e)
	case Received:
		m.handleMessage(e.From, e.Message)
	case Told:
		m.handleGossipedRevision(e)
	case WriteFailed:
		m.rewriteAt = now.Add(rewriteDelay)
	case Woken:
	}
	m.runTimers()
	return m.effects
}

// NextTimer returns the time at which the machine has to be stepped with Woken next.
func (m *Machine) NextTimer() time.Time {
	at := m.learnAt
	if (m.joining() || m.reclaiming) && m.joinAt.Before(at) {
		at = m.joinAt
	}
	if m.durable.Released && !m.replaced && m.releaseEnds.Before(at) {
		at = m.releaseEnds
	}
	if !m.rewriteAt.IsZero() && m.rewriteAt.Before(at) {
		at = m.rewriteAt
	}
	if m.hasUnresolvedValue() && m.resolveAt.Before(at) {
		at = m.resolveAt
	}
	if p := m.proposal; p != nil && p.nextTimer().Before(at) {
		at = p.nextTimer()
	}
	for _, waiting := range m.queue {
		if waiting.Deadline.Before(at) {
			at = waiting.Deadline
		}
	}
	return m.nextReadTimer(at)
}

// CanVote reports whether this member is a replica that may vote now.
func (m *Machine) CanVote() bool { return m.canVote() }

func (m *Machine) runTimers() {
	if m.placeTaken() {
		m.leaveOrReclaim()
	}
	if m.reclaiming && !m.now.Before(m.joinAt) {
		m.requestRelease()
	}
	m.runReleaseTimer()
	if m.joining() && !m.now.Before(m.joinAt) {
		m.requestJoin()
	}
	if !m.now.Before(m.learnAt) {
		m.fetchNewer()
	}
	if !m.rewriteAt.IsZero() && !m.now.Before(m.rewriteAt) {
		m.persist()
	}
	if m.hasUnresolvedValue() && !m.now.Before(m.resolveAt) {
		m.resolveAccepted()
	}
	m.expireQueue()
	m.runReadTimers()
	m.runProposalTimer()
}

func (m *Machine) handleMessage(from model.NodeID, message Message) {
	if message.Kind.fromReplicasOnly() && !slices.Contains(m.config.Replicas, from) {
		return
	}
	m.observeStores(from, message)
	switch message.Kind {
	case Prepare:
		m.handlePrepare(from, message)
	case Accept:
		m.handleAccept(from, message)
	case Promise, Accepted, Rejected, NeedValue:
		m.handleVote(from, message)
	case Join:
		m.handleJoin(from, message)
	case Joined:
		m.handleJoined(from, message)
	case Fetch:
		m.handleFetch(from, message)
	case Chosen:
		m.handleChosen(from, message)
	case Confirm:
		m.handleConfirm(from, message)
	case Confirmed:
		m.handleConfirmed(from, message)
	case Reclaim:
		m.handleReclaim(message)
	case Release:
		m.handleRelease(message)
	}
}

// observeStores records which stores of replicas a message names, how many votes they have cast, and
// the rounds of the message's ballots.
func (m *Machine) observeStores(from model.NodeID, message Message) {
	for _, node := range m.config.Replicas {
		if store, ok := message.Fences[node]; ok {
			m.fenceOlderStores(node, store)
		}
	}
	for _, node := range m.config.Replicas {
		if votes, ok := message.Seen[node]; ok && message.Fences[node] == m.durable.Fences[node] {
			m.durable.Seen[node] = max(m.durable.Seen[node], votes)
		}
	}
	m.highestRound = max(m.highestRound, message.Ballot.Round, message.Promised.Round)
	if slices.Contains([]MessageKind{Promise, Accepted}, message.Kind) && message.Store == m.durable.Fences[from] {
		m.durable.Seen[from] = max(m.durable.Seen[from], message.Votes)
	}
}

// fenceOlderStores records a newer store of a replica; votes of its older stores no longer count. It
// returns false for a store that is fenced itself.
func (m *Machine) fenceOlderStores(node model.NodeID, store Store) bool {
	known := m.durable.Fences[node]
	if !known.Less(store) {
		return store == known
	}
	m.recordFormer(node, known, store)
	m.durable.Fences[node] = store
	m.durable.Seen[node] = 0
	return true
}

func (m *Machine) isReplica() bool { return slices.Contains(m.config.Replicas, m.config.Self) }

// canVote reports whether this replica has joined and its store is the newest one known for its place.
func (m *Machine) canVote() bool {
	return m.verified && m.durable.Voting && m.durable.Fences[m.config.Self] == m.durable.Store
}

// joining reports whether this replica asks the others to join.
func (m *Machine) joining() bool { return m.isReplica() && !m.canVote() && !m.replaced }

// placeTaken reports whether another member has taken this replica's place under a newer store, and
// replaced does not yet record it.
func (m *Machine) placeTaken() bool {
	known := m.durable.Fences[m.config.Self]
	return !m.replaced && m.isReplica() && known.Node != "" && known.Node != m.config.Node && m.config.Takes.Less(known)
}

// Holder returns the member that has a replica's place, and that member's store.
func (m *Machine) Holder(replica model.NodeID) (model.NodeID, Store) {
	store := m.durable.Fences[replica]
	return cmp.Or(store.Node, replica), store
}

func (m *Machine) majority() int { return MajorityOf(len(m.config.Replicas)) }

// MajorityOf returns how many of the replicas are a majority.
func MajorityOf(replicas int) int { return replicas/2 + 1 }

func (m *Machine) emit(effect Effect) { m.effects = append(m.effects, effect) }

func (m *Machine) send(to model.NodeID, message Message) { m.emit(Send{to, message}) }

// persist has the durable state written and the effects in then executed after the write. The maps
// are copied, since the write happens after the Step.
func (m *Machine) persist(then ...Effect) {
	m.rewriteAt = time.Time{}
	d := m.durable
	d.Fences = maps.Clone(d.Fences)
	d.Seen = maps.Clone(d.Seen)
	d.Former = maps.Clone(d.Former)
	m.emit(Persist{d, then})
}

// serve puts a state in force in this process. A process never goes back to an older state.
func (m *Machine) serve(state State) {
	invariant.Check(state.Revision() >= m.served.Revision(), "revision-never-lower",
		"%s serves revision %d and was asked to serve revision %d", m.config.Self, m.served.Revision(), state.Revision())
	m.served, m.serving = state, true
	maps.DeleteFunc(m.outcomeUnknown, func(_ string, expect model.Revision) bool { return expect < state.Revision() })
	if !m.isReplica() {
		m.emit(Serve{state})
		return
	}
	if state.Revision() > m.durable.Chosen.Revision() {
		m.durable.Chosen = state
	}
	m.persist()
	m.emit(Serve{state})
}
