package register

import (
	"time"

	"redwingpulley/kernel/model"
)

// Ballot orders the attempts at agreement. The zero ballot is below all others.
type Ballot struct {
	Round uint64
	Node  model.NodeID // Breaks ties.
	Run   uint64       // Of the proposer's process: a restart never uses a ballot again.
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

// Store names one life of a replica's disk. A replica whose disk is lost comes back under a new
// one with a higher number; votes of the former do not count any more.
type Store struct {
	Number uint64
	Nonce  uint64 // Tells two attempts at one number apart.
	// Node is the member that has the store. Another member may take a replica's place under a new
	// store, as if the replica had lost its disk.
	Node model.NodeID `json:",omitempty"`
}

// Durable is what a replica keeps on its disk.
type Durable struct {
	Store    Store
	Voting   bool   // Whether the store may vote. A store that is not yet caught up may not.
	Copied   bool   // Whether the file was found as a copy and the replica has not joined since.
	Votes    uint64 // Votes that the store has cast; shows an older copy of the file.
	Promised Ballot
	Accepted Ballot
	Value    State // Accepted at Accepted.
	Chosen   State // The newest state known to be agreed.

	Fences map[model.NodeID]Store  // The newest known store of each replica.
	Seen   map[model.NodeID]uint64 // Votes seen of the newest known stores.
}

// MessageKind tells what a message asks or answers.
type MessageKind string

// Kinds of messages. Prepare is answered by Promise, Accept by Accepted, and both by Rejected when
// a higher ballot was promised. Join is answered by Joined, Fetch by Chosen.
const (
	Prepare  MessageKind = "prepare"
	Promise  MessageKind = "promise"
	Accept   MessageKind = "accept"
	Accepted MessageKind = "accepted"
	Rejected MessageKind = "rejected"
	Join     MessageKind = "join"
	Joined   MessageKind = "joined"
	Need     MessageKind = "need" // Answers an Accept whose base the voter lacks.
	Fetch    MessageKind = "fetch"
	Chosen   MessageKind = "chosen"
)

// Message passes between members. Fields that a kind does not use are zero.
type Message struct {
	Kind   MessageKind
	Ballot Ballot // The attempt, or the higher ballot in Rejected.
	Run    uint64 // In Join and Fetch: the asking process's run, which the answer repeats.

	Store  Store  // The sender's, or the one that joins in Join and Joined.
	Votes  uint64 // Cast by the sender's store.
	Fences map[model.NodeID]Store
	Seen   map[model.NodeID]uint64

	Accepted Ballot // Of the sender's value. A Promise leaves the value out when Prepare names its ballot.
	Value    *State // Accepted at Accepted, proposed, or chosen.
	Base     Ballot // In Accept without a value: of the value that the proposed one differs from.
	Delta    *Delta // In Accept and Chosen: the difference; nil in an Accept when there is none.

	Copied   bool           // In Joined: the sender has a copy of a file that voted.
	Voting   bool           // In Joined and Chosen: the sender is a replica that votes.
	Empty    bool           // In Chosen: the sender is a replica whose disk never held a vote.
	Promised Ballot         // In Joined.
	Chosen   *State         // In Joined.
	Revision model.Revision // Served by the sender, in Fetch and Chosen.
	Pending  model.Revision // In Chosen: of the newest state that the sender accepted.
	Serving  bool           // In Fetch and Chosen: the sender has learned a revision.
}

// Event is what a Machine steps on.
type Event interface{ event() }

// Submitted asks for a change. Its answer comes as an Answer of the same ticket.
type Submitted struct {
	Ticket   uint64
	Edit     model.ProfileEdit
	Deadline time.Time
}

// Received is a message from another member, or from this one.
type Received struct {
	From    model.NodeID
	Message Message
}

// Told is a revision that a member told by gossip.
type Told struct {
	From     model.NodeID
	Revision model.Revision
}

// Woken is sent at the time that Machine.Wake returns.
type Woken struct{}

// WriteFailed tells that a Persist was not carried out.
type WriteFailed struct{}

func (WriteFailed) event() {}

func (Submitted) event() {}
func (Received) event()  {}
func (Told) event()      {}
func (Woken) event()     {}

// Effect is what the caller of a Machine carries out, in order.
type Effect interface{ effect() }

// Persist asks for a synced write; Then is carried out only after it succeeded. A later Persist
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

// Broadcast sends a message to all other members, those with disks and those without.
type Broadcast struct{ Message Message }

// Ask sends a message to one other member, picked by the number modulo the members.
type Ask struct {
	Number  uint64
	Message Message
}

// Answer tells how a change ended.
type Answer struct {
	Ticket uint64
	Result model.EditResult
}

// Replaced says that another member has taken this replica's place. The member goes on without a
// vote, under a new machine.
type Replaced struct{}

// Serve puts a state in force in this process.
type Serve struct{ State State }

func (Persist) effect()   {}
func (Send) effect()      {}
func (Broadcast) effect() {}
func (Ask) effect()       {}
func (Answer) effect()    {}
func (Serve) effect()     {}
func (Replaced) effect()  {}
