package register

import (
	"time"

	"redwingpulley/kernel/model"
)

// Ballot identifies and orders the rounds of agreement. The zero ballot is below all others.
type Ballot struct {
	Round uint64
	Node  model.NodeID // The proposing replica; breaks ties.
	Run   uint64       // The proposer's Config.Seed: a restarted proposer never reuses a ballot.
}

// Less reports whether b is below other.
func (b Ballot) Less(other Ballot) bool {
	if b.Round != other.Round {
		return b.Round < other.Round
	}
	if b.Node != other.Node {
		return b.Node < other.Node
	}
	return b.Run < other.Run
}

// Store identifies the contents of a replica's disk from one loss to the next. A replica whose disk
// is lost rejoins under a new store with a higher number; votes from the former one no longer count.
type Store struct {
	Number uint64
	Nonce  uint64 // Random; tells apart two stores that were started with the same number.
	// Node is the member that has the store, "" where places are not taken over. Another member may
	// take a replica's place under a new store, as if the replica had lost its disk.
	Node model.NodeID `json:",omitempty"`
}

// Less reports whether s is older than other. Two members that take over one place at the same time choose
// the same number; the nonce then decides, so that all replicas fence the same one of them.
func (s Store) Less(other Store) bool {
	if s.Number != other.Number {
		return s.Number < other.Number
	}
	return s.Nonce < other.Nonce
}

// Durable is what a replica keeps on its disk.
type Durable struct {
	Store    Store
	Voting   bool   // Whether the store may vote. A new store may not before the replica has joined.
	Copied   bool   // Whether the file was found to be a copy and the replica has not joined since.
	Votes    uint64 // Number of votes cast from the store; a lower one reveals an older copy of the file.
	Promised Ballot // Highest ballot promised.
	Accepted Ballot // Ballot of the value accepted last.
	Value    State  // Value accepted at ballot Accepted.
	Chosen   State  // The newest state known to be chosen.

	Fences map[model.NodeID]Store  // The newest known store of each replica.
	Seen   map[model.NodeID]uint64 // Votes known to have been cast from the newest known store of each replica.

	Former   map[model.NodeID]Store `json:",omitempty"` // Store of another member that the newest known one of a replica replaced here; see release.go.
	Takes    Store                  `json:",omitzero"`  // Store of the former member, until a store of this one has voted in its place; else zero.
	Released bool                   `json:",omitempty"` // Whether this member has given the place back to the former one.
}

// MessageKind is the kind of a request or a reply between members.
type MessageKind string

// Kinds of messages. The reply to Prepare is Promise, to Accept it is Accepted, and to both it is
// Rejected when a higher ballot was promised. The reply to Join is Joined, to Fetch it is Chosen;
// Chosen is also sent unasked, to announce a newly chosen state.
const (
	Prepare   MessageKind = "prepare"
	Promise   MessageKind = "promise"
	Accept    MessageKind = "accept"
	Accepted  MessageKind = "accepted"
	Rejected  MessageKind = "rejected"
	Join      MessageKind = "join"
	Joined    MessageKind = "joined"
	NeedValue MessageKind = "need" // Reply to an Accept that proposes a difference from a value that the voter lacks.
	Fetch     MessageKind = "fetch"
	Chosen    MessageKind = "chosen"
	Confirm   MessageKind = "confirm"   // Passes reads on to a replica that proposes.
	Confirmed MessageKind = "confirmed" // Reply to Confirm, once a round that began after it has ended.
	Reclaim   MessageKind = "reclaim"   // Asks the member that took over the sender's place whether it votes; see release.go.
	Release   MessageKind = "release"   // Reply to Reclaim: the place's present member votes, or gives the place back.
)

// fromReplicasOnly reports whether a message of this kind counts only if it comes from a replica, and not from a member that has lost its
// place or never had one.
func (k MessageKind) fromReplicasOnly() bool {
	switch k {
	case Fetch, Chosen, Reclaim, Release:
		return false
	}
	return true
}

// Message passes between members. Fields that a kind does not use are zero.
type Message struct {
	Kind   MessageKind
	Ballot Ballot // The ballot voted on, or the higher promised one in Rejected.
	Run    uint64 // In Join and Fetch the sender's Config.Seed, in Confirm a number; the reply repeats it.

	Store  Store                   // The sender's; in Joined the store of the replica that joins.
	Votes  uint64                  // Votes cast from Store; in Joined those that the sender knows of.
	Fences map[model.NodeID]Store  // As in Durable.
	Seen   map[model.NodeID]uint64 // As in Durable.

	Accepted Ballot // Ballot of the sender's value. A Promise leaves the value out when Prepare names this ballot.
	Value    *State // The value accepted at ballot Accepted, the proposed one, or the chosen one.
	Base     Ballot // In Accept without a value: ballot of the value that Delta applies to.
	Delta    *Delta // In Accept and Chosen: the value as a difference; nil in an Accept when nothing changes.

	Takes    Store          `json:",omitzero"` // In Joined: as in Durable.
	Former   Store          `json:",omitzero"` // In Joined: store of another member that the joining one replaced at the sender, if known.
	Copied   bool           // In Joined: the sender's file was found to be a copy.
	Voting   bool           // In Joined, Chosen and Release: the sender is a replica that votes.
	Empty    bool           // In Chosen: the sender is a replica whose disk holds no trace of a vote.
	Promised Ballot         // In Joined: highest ballot that the sender promised.
	Chosen   *State         // In Joined: newest state that the sender knows to be chosen.
	Revision model.Revision // In Fetch and Chosen: revision of the newest chosen state that the sender knows; in Confirmed the confirmed one.
	Pending  model.Revision // In Chosen: revision of the state that the sender accepted last.
	Brief    bool           `json:",omitempty"` // In Fetch and Join: the reply is to hold no states.
	Serving  bool           // In Fetch and Chosen: whether the sender serves a state.
}

// Event is an input of Machine.Step.
type Event interface{ event() }

// Submitted asks for an edit. Its result comes as an Answer with the same ticket.
type Submitted struct {
	Ticket   uint64
	Edit     model.ProfileEdit
	Deadline time.Time
}

// Received is a message from another member, or from this one to itself.
type Received struct {
	From    model.NodeID
	Message Message
}

// Told is a revision that a member published by gossip.
type Told struct {
	From     model.NodeID
	Revision model.Revision
}

// Woken starts the machine, and is due again at the time that Machine.NextTimer returns.
type Woken struct{}

// WriteFailed reports that the write of a Persist failed.
type WriteFailed struct{}

func (WriteFailed) event() {}

func (Submitted) event() {}
func (Received) event()  {}
func (Told) event()      {}
func (Woken) event()     {}

// Effect is an action that the caller of Machine.Step executes; effects are executed in order.
type Effect interface{ effect() }

// Persist asks for a synced write; Then is executed only after the write succeeded. A later Persist
// holds all that an earlier one held.
type Persist struct {
	Durable Durable
	Then    []Effect
}

// Send sends a message to a member; it may be lost.
type Send struct {
	To      model.NodeID
	Message Message
}

// SendMember sends a message to a member, whichever place it has; it may be lost.
type SendMember struct {
	To      model.NodeID
	Message Message
}

// Broadcast sends a message to all other members, with and without disks.
type Broadcast struct{ Message Message }

// Ask sends a message to one other member, picked by Number modulo the number of other members.
type Ask struct {
	Number  uint64
	Message Message
}

// Answer reports the result of a submitted edit.
type Answer struct {
	Ticket uint64
	Result model.EditResult
}

// Replaced reports that another member has taken this replica's place. The member goes on without a
// vote, with a new machine.
type Replaced struct{}

// Serve puts a state in force in this process.
type Serve struct{ State State }

func (Persist) effect()    {}
func (Send) effect()       {}
func (SendMember) effect() {}
func (Broadcast) effect()  {}
func (Ask) effect()        {}
func (Answer) effect()     {}
func (Serve) effect()      {}
func (Replaced) effect()   {}
