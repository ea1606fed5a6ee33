package swim

import (
	"cmp"

	"redwingpulley/kernel/model"
	"redwingpulley/kernel/port"
)

// State is a member's state as another member sees it.
type State uint8

// States of a member. Between two records with the same version, the state later in this list wins.
const (
	Alive   State = iota + 1
	Suspect       // The member answered no probe and may still refute the suspicion.
	Dead          // The member did not refute the suspicion in time.
	Left          // The member announced that it stops.
)

// String returns the state's name for logs.
func (s State) String() string {
	switch s {
	case Alive:
		return "alive"
	case Suspect:
		return "suspect"
	case Dead:
		return "dead"
	case Left:
		return "left"
	}
	return "unknown"
}

// Live reports whether a member of this state counts as alive.
func (s State) Live() bool { return s == Alive || s == Suspect }

// Record is what one member reports about another, or about itself.
type Record struct {
	Node port.Node
	// Epoch orders the incarnations of one node, each of which is one execution of its process. It is
	// the start time in Unix milliseconds, which the incarnation raises above any later epoch that
	// other members still hold for the node. 0 marks a member known only from settings.
	Epoch   uint64
	Version uint64 // Raised only by the member itself, to refute a suspicion or publish a change.
	State   State
	// ProcessEnded says of a suspect that two members were refused connections at its address, so that its process has ended.
	ProcessEnded bool
}

// compareVersions orders records of one member by epoch, incarnation and version; it ignores the
// state.
func compareVersions(a, b Record) int {
	return cmp.Or(
		cmp.Compare(a.Epoch, b.Epoch),
		cmp.Compare(a.Node.Incarnation, b.Node.Incarnation),
		cmp.Compare(a.Version, b.Version),
	)
}

// sameIncarnation reports whether two records of one member belong to the same incarnation at the same
// epoch.
func sameIncarnation(a, b Record) bool {
	return a.Epoch == b.Epoch && a.Node.Incarnation == b.Node.Incarnation
}

// Value is what a member publishes under a topic. The newest value is the one with the highest
// epoch and, within that epoch, the highest version.
type Value struct {
	Origin  model.NodeID
	Topic   string
	Epoch   uint64
	Version uint64
	Data    []byte
}

func (v Value) newer(old Value) bool {
	return cmp.Or(cmp.Compare(v.Epoch, old.Epoch), cmp.Compare(v.Version, old.Version)) > 0
}

// Message is the content of each ping and of each answer to one.
type Message struct {
	Records   []Record // The first is the sender's own.
	Values    []Value
	FullState bool // In a ping: asks for all records and values. In an answer: these are all.
}

// Sender returns the sender's own record; ok is false when the message has none.
func (m Message) Sender() (record Record, ok bool) {
	if len(m.Records) == 0 {
		return Record{}, false
	}
	return m.Records[0], true
}

const (
	recordBytes = 90 // Encoded size of a record, without its strings.
	valueBytes  = 60 // Encoded size of a value, without its strings and data.
)

func (r Record) size() int {
	n := r.Node
	return recordBytes + len(n.ID) + len(n.Incarnation) + len(n.DataCentre) + len(n.Peers) + len(n.Endpoints)
}

func (v Value) size() int {
	return valueBytes + len(v.Origin) + len(v.Topic) + len(v.Data)*4/3 // Data is sent as Base64.
}
