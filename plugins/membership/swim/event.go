// Package swim decides which members are alive, in the manner of SWIM: each period a member probes
// one other, asks a few others to probe one that does not answer, and suspects it before it is
// taken for dead, so that a live one can refute. News travel on the probes. A member's cost does
// not grow with the number of members.
//
// A Machine is a state machine: the same events give the same effects. It does no I/O and reads no
// clock; its caller carries out the effects after Step has returned.
package swim

import (
	"time"

	"redwingpulley/kernel/model"
	"redwingpulley/kernel/port"
)

// Event is something that happened to this member.
type Event interface{ event() }

// Elapsed says that the time returned by Wake has come.
type Elapsed struct{}

// Received is a message of another member that asks for an answer.
type Received struct{ Message Message }

// Answered is the answer to a ping.
type Answered struct {
	Probe   uint64
	Message Message
}

// Unanswered says that a ping got no answer in time.
type Unanswered struct{ Probe uint64 }

// RelayEnded is what came of a relay; Reached means that the target answered the other member.
type RelayEnded struct {
	Probe   uint64
	Reached bool
}

// Merged is an answer that came to a ping on behalf of another member.
type Merged struct{ Message Message }

// Composed asks for a message to a member on behalf of another one.
type Composed struct{ To model.NodeID }

// Introduced is what a seed answered whose node was not known before.
type Introduced struct{ Message Message }

// Published sets a value of this member under a topic.
type Published struct {
	Topic string
	Data  []byte
}

// Doubted says that a member did not answer a request and should be probed at once.
type Doubted struct{ Node model.NodeID }

// Serving says that this member takes work.
type Serving struct{}

// Leaving says that this member drains.
type Leaving struct{}

// Stopping says that this member stops now.
type Stopping struct{}

func (Elapsed) event()    {}
func (Received) event()   {}
func (Answered) event()   {}
func (Unanswered) event() {}
func (RelayEnded) event() {}
func (Merged) event()     {}
func (Composed) event()   {}
func (Introduced) event() {}
func (Published) event()  {}
func (Doubted) event()    {}
func (Serving) event()    {}
func (Leaving) event()    {}
func (Stopping) event()   {}

// Effects are what the caller has to carry out, the learned addresses first.
type Effects struct {
	Learned []port.Node // Members with a new address.
	Pings   []Ping
	Relays  []Relay
	Reply   Message // Answer to Received, or the message that Composed asked for.
	Values  []Value // Newly learned values of other members.
	Changes []Change
	View    bool // The live members or the freshness of the view have changed.
}

// Ping sends a message to a member and waits for its answer.
type Ping struct {
	Probe   uint64
	To      model.NodeID
	Message Message
}

// Relay asks a member to ping another one.
type Relay struct {
	Probe   uint64
	Through model.NodeID
	Target  port.Node
}

// Change is a member's change of state, for the log.
type Change struct {
	Node model.NodeID
	From State // 0 when the member was not known.
	To   State
	Why  string
}

// Config describes a machine.
type Config struct {
	Self   port.Node
	Epoch  uint64 // Start of this run, Unix time in milliseconds.
	Seeds  []port.Node
	Period time.Duration // Between probes.
	Seed   uint64        // Of the machine's random choices.
	// Searching says that there are other members, whose nodes are not known yet.
	Searching bool
}
