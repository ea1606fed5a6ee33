package swim

import (
	"cmp"

	"redwingpulley/kernel/model"
	"redwingpulley/kernel/port"
)

// State is what is thought of a member.
type State uint8

// States of a member. Of two records of one version the later state in this list wins.
const (
	Alive   State = iota + 1
	Suspect       // It did not answer, and may still refute that.
	Dead          // It did not refute the suspicion in time.
	Left          // It said that it stops.
)

// String names the state for logs.
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

// Record is what one member tells of another, or of itself.
type Record struct {
	Node port.Node
	// Epoch orders the runs of one node: the time of the start in milliseconds, raised by the run
	// itself above any epoch that others remember of it. 0 is a member known from settings alone.
	Epoch   uint64
	Version uint64 // Raised by the member alone, to refute a suspicion or to tell a change.
	State   State
}

// compare orders records of one member by run and version, not by state.
func compare(a, b Record) int {
	return cmp.Or(
		cmp.Compare(a.Epoch, b.Epoch),
		cmp.Compare(a.Node.Incarnation, b.Node.Incarnation),
		cmp.Compare(a.Version, b.Version),
	)
}

func sameRun(a, b Record) bool {
	return a.Epoch == b.Epoch && a.Node.Incarnation == b.Node.Incarnation
}

// Value is what a member tells under a topic; the newest is the one of the highest epoch, and
// within it of the highest version.
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

// Message travels on each probe and on each answer to one.
type Message struct {
	Records []Record // The first is the sender's own.
	Values  []Value
	All     bool // A request with All is answered with all that is known.
}

// Sender returns the sender's own record; ok is false when the message has none.
func (m Message) Sender() (record Record, ok bool) {
	if len(m.Records) == 0 {
		return Record{}, false
	}
	return m.Records[0], true
}

const (
	recordBytes = 90 // Encoded size of a record without its strings.
	valueBytes  = 60 // Encoded size of a value without its strings.
)

func (r Record) size() int {
	n := r.Node
	return recordBytes + len(n.ID) + len(n.Incarnation) + len(n.DataCentre) + len(n.Peers) + len(n.Endpoints)
}

func (v Value) size() int {
	return valueBytes + len(v.Origin) + len(v.Topic) + len(v.Data)*4/3 // Base64.
}
