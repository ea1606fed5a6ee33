// Package register decides about the replicated register of profiles: it agrees on changes by a
// majority of the replicas, spreads what is agreed, and brings replicas back whose disk is lost.
//
// The protocol is Paxos on one register whose value is the whole state, as in CASPaxos: a change
// is a function from the agreed state to the next. A proposer has a majority promise a ballot,
// takes the state of the highest accepted ballot among the answers, applies the change, and has a
// majority accept the result. Whatever the change's outcome, the result is written back before it
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
	roundTimeout  = 700 * time.Millisecond // Wait for a majority before a new ballot.
	backoffUnit   = 10 * time.Millisecond  // Jitter of the wait after a lost ballot, per lost ballot.
	backoffLimit  = 20                     // Lost ballots after which the jitter grows no more.
	firstInterval = 50 * time.Millisecond  // Between the first attempts at joining and learning; doubles.
	joinInterval  = time.Second            // Between later attempts to get a vote.
	settleDelay   = 2 * time.Second        // Before a replica settles what its proposer left open.
	learnInterval = 500 * time.Millisecond // Between later questions while no revision is learned.
	fetchInterval = 3 * time.Second        // Between questions to another member, against lost news.
	rewriteDelay  = 2 * time.Second        // Before a write that failed is tried again.
	queueLimit    = 64                     // Changes that may wait for their turn.
)

// Config names the members that agree.
type Config struct {
	Self     model.NodeID   // Of the replica, where this member has the place of one.
	Node     model.NodeID   `json:",omitempty"` // This member, where places may change hands; else "".
	Replicas []model.NodeID // Sorted; each is named by the first member that had its place.
	Takes    Store          `json:",omitzero"` // The store whose place this member takes.
	Seed     uint64         // Random with each start; also tells the ballots of one run from the next.
	Copied   bool           // Whether the file on the disk is a copy, as after a restore.
	Alone    time.Duration  // Wait for a majority at the start before members that serve are believed; 0 is forever.
	Reform   bool           // Operators state that the disks of a majority are lost for good.
}

// Machine is one member's part of the register. It is not safe for concurrent use.
type Machine struct {
	config Config
	random *rand.Rand
	now    time.Time

	durable  Durable // Of a replica.
	intact   bool    // Whether the file of an earlier run was found and is not known to be old.
	joined   map[model.NodeID]Message
	joinAt   time.Time
	joinWait time.Duration
	joining  bool // Whether this run has begun a new store.
	verified bool // Whether others have confirmed that the file is no older copy.
	replaced bool // Whether another member has this replica's place.

	served    State
	serving   bool
	answered  map[model.NodeID]Message // What replicas told at the start.
	learnAt   time.Time
	learnWait time.Duration
	started   time.Time
	rewriteAt time.Time // Zero unless a write has failed.
	settleAt  time.Time // Zero when nothing that this replica accepted is open.

	queue    []Submitted
	proposal *proposal
	highest  uint64                    // Highest round seen.
	open     map[string]model.Revision // Ids of changes that ended unknown here, with what they expected.

	effects []Effect
}

// Created is the creation of a machine, as a record keeps it.
type Created struct {
	Config   Config
	Restored *Durable
}

// Machine returns the machine.
func (c Created) Machine() *Machine { return New(c.Config, c.Restored) }

// New returns a member's machine. restored is what its disk holds, nil when that is nothing that
// can be used. Step it with Woken once to start it.
func New(config Config, restored *Durable) *Machine {
	m := &Machine{
		config:   config,
		random:   rand.New(rand.NewPCG(config.Seed, config.Seed)),
		joined:   make(map[model.NodeID]Message),
		answered: make(map[model.NodeID]Message),
		open:     make(map[string]model.Revision),
		served:   Initial(),
		joinWait: firstInterval, learnWait: firstInterval,
		durable: Durable{Value: Initial(), Chosen: Initial()},
	}
	if restored != nil {
		m.durable = *restored
		m.durable.Fences = maps.Clone(restored.Fences)
		m.durable.Seen = maps.Clone(restored.Seen)
		m.served = restored.Chosen
		m.durable.Copied = restored.Copied || config.Copied
		m.intact = restored.Voting && !m.durable.Copied
		m.highest = restored.Promised.Round
	}
	if m.durable.Fences == nil {
		m.durable.Fences = make(map[model.NodeID]Store)
	}
	if config.Takes != (Store{}) {
		m.durable.Fences[config.Self] = config.Takes
	}
	if m.durable.Seen == nil {
		m.durable.Seen = make(map[model.NodeID]uint64)
	}
	return m
}

// Step advances the machine and returns what its caller has to do.
func (m *Machine) Step(now time.Time, event Event) []Effect {
	m.now, m.effects = now, nil
	if m.started.IsZero() {
		m.started = now
	}
	switch e := event.(type) {
	case Submitted:
		m.submit(e)
	case Received:
		m.receive(e.From, e.Message)
	case Told:
		m.told(e)
	case WriteFailed:
		m.rewriteAt = now.Add(rewriteDelay)
	case Woken:
	}
	m.wake()
	return m.effects
}

// Wake returns the time at which the machine wants to be stepped with Woken.
func (m *Machine) Wake() time.Time {
	at := m.learnAt
	if m.replica() && !m.votes() && !m.replaced && m.joinAt.Before(at) {
		at = m.joinAt
	}
	if !m.rewriteAt.IsZero() && m.rewriteAt.Before(at) {
		at = m.rewriteAt
	}
	if m.settles() && m.settleAt.Before(at) {
		at = m.settleAt
	}
	if p := m.proposal; p != nil && p.wakeAt().Before(at) {
		at = p.wakeAt()
	}
	for _, waiting := range m.queue {
		if waiting.Deadline.Before(at) {
			at = waiting.Deadline
		}
	}
	return at
}

// Votes reports whether this member is a replica that may vote.
func (m *Machine) Votes() bool { return m.votes() }

func (m *Machine) wake() {
	if m.lostPlace() {
		m.replaced = true
		m.do(Replaced{})
	}
	if m.replica() && !m.votes() && !m.replaced && !m.now.Before(m.joinAt) {
		m.askToJoin()
	}
	if !m.now.Before(m.learnAt) {
		m.askForNews()
	}
	if !m.rewriteAt.IsZero() && !m.now.Before(m.rewriteAt) {
		m.persist()
	}
	if m.settles() && !m.now.Before(m.settleAt) {
		m.settleOpen()
	}
	m.expireQueue()
	m.wakeProposal()
}

func (m *Machine) receive(from model.NodeID, message Message) {
	m.observe(from, message)
	switch message.Kind {
	case Prepare:
		m.prepare(from, message)
	case Accept:
		m.accept(from, message)
	case Promise, Accepted, Rejected, Need:
		m.counted(from, message)
	case Join:
		m.admit(from, message)
	case Joined:
		m.hearJoined(from, message)
	case Fetch:
		m.fetched(from, message)
	case Chosen:
		m.learn(from, message)
	}
}

// observe notes which stores and votes of replicas a message shows.
func (m *Machine) observe(from model.NodeID, message Message) {
	for _, node := range m.config.Replicas {
		if store, ok := message.Fences[node]; ok {
			m.fence(node, store)
		}
	}
	for _, node := range m.config.Replicas {
		if votes, ok := message.Seen[node]; ok && message.Fences[node] == m.durable.Fences[node] {
			m.durable.Seen[node] = max(m.durable.Seen[node], votes)
		}
	}
	m.highest = max(m.highest, message.Ballot.Round, message.Promised.Round)
	if slices.Contains([]MessageKind{Promise, Accepted}, message.Kind) && message.Store == m.durable.Fences[from] {
		m.durable.Seen[from] = max(m.durable.Seen[from], message.Votes)
	}
}

// fence notes a newer store of a replica; the votes of older ones do not count from now on.
func (m *Machine) fence(node model.NodeID, store Store) bool {
	known := m.durable.Fences[node]
	if store.Number <= known.Number {
		return store == known
	}
	m.durable.Fences[node] = store
	m.durable.Seen[node] = 0
	return true
}

func (m *Machine) replica() bool { return slices.Contains(m.config.Replicas, m.config.Self) }

// votes is false for a store that others know to be replaced.
func (m *Machine) votes() bool {
	return m.verified && m.durable.Voting && m.durable.Fences[m.config.Self] == m.durable.Store
}

// lostPlace reports whether another member has taken this replica's place since it had it.
func (m *Machine) lostPlace() bool {
	known := m.durable.Fences[m.config.Self]
	return !m.replaced && m.replica() && known.Node != "" && known.Node != m.config.Node && known.Number > m.config.Takes.Number
}

// Holder returns the member that has the place of a replica, and the store that it has there.
func (m *Machine) Holder(replica model.NodeID) (model.NodeID, Store) {
	store := m.durable.Fences[replica]
	return cmp.Or(store.Node, replica), store
}

func (m *Machine) majority() int { return len(m.config.Replicas)/2 + 1 }

func (m *Machine) do(effect Effect) { m.effects = append(m.effects, effect) }

func (m *Machine) send(to model.NodeID, message Message) { m.do(Send{to, message}) }

// persist writes what a replica must not forget and then has the effects carried out. The maps are
// copied, since the write happens after the Step.
func (m *Machine) persist(then ...Effect) {
	m.rewriteAt = time.Time{}
	d := m.durable
	d.Fences = maps.Clone(d.Fences)
	d.Seen = maps.Clone(d.Seen)
	m.do(Persist{d, then})
}

// serve puts a state in force. No process ever goes back to an older one.
func (m *Machine) serve(state State) {
	invariant.Check(state.Revision() >= m.served.Revision(), "revision-never-lower",
		"%s serves %d and was to serve %d", m.config.Self, m.served.Revision(), state.Revision())
	m.served, m.serving = state, true
	maps.DeleteFunc(m.open, func(_ string, expect model.Revision) bool { return expect < state.Revision() })
	if !m.replica() {
		m.do(Serve{state})
		return
	}
	if state.Revision() > m.durable.Chosen.Revision() {
		m.durable.Chosen = state
	}
	m.persist()
	m.do(Serve{state})
}
