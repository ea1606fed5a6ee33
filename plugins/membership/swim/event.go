// Package swim is a failure detector and gossip protocol in the manner of SWIM. In each period a
// member probes one other member. When the probe fails, it asks a few others to probe the same
// member (indirect probes, here called relays). A member that nobody reaches becomes suspect, and
// is considered dead only when the suspicion timeout passes without a refutation. Updates about
// members, and small values that members publish, are piggybacked on the probes. The load on each
// member does not grow with the number of members.
//
// A Machine is a deterministic state machine: the same events give the same effects. It does no I/O
// and reads no clock; its caller executes the effects after Step has returned.
package swim

import (
	"time"

	"redwingpulley/kernel/model"
	"redwingpulley/kernel/port"
)

// Event is an input of the Machine.
type Event interface{ event() }

// Elapsed reports that the time returned by NextTimer has come.
type Elapsed struct{}

// PingReceived reports a ping of another member; Effects.Reply is the answer to it.
type PingReceived struct{ Message Message }

// PingAnswered reports the answer to a ping of this member.
type PingAnswered struct {
	Probe   uint64
	Message Message
}

// PingFailed reports that a ping of this member could not be delivered or was not answered in time. Refused means that no process
// listens at the target's address.
type PingFailed struct {
	Probe   uint64
	Refused bool
}

// RelayEnded reports the result of a relay; Reached means that the target answered the ping of the
// member that was asked, and Refused that it found no process at the target's address.
type RelayEnded struct {
	Probe   uint64
	Reached bool
	Refused bool
}

// RelayedPingAnswered reports the answer to a ping that this member sent on behalf of another one.
type RelayedPingAnswered struct{ Message Message }

// MessageRequested asks for a message to a member that is pinged outside the Machine's own probes:
// on behalf of another member, or because it is a seed. Effects.Reply is the message.
type MessageRequested struct{ To model.NodeID }

// SeedAnswered reports the answer of a seed address whose node was not known.
type SeedAnswered struct{ Message Message }

// Published sets the value that this member publishes under a topic.
type Published struct {
	Topic string
	Data  []byte
}

// ProbeRequested asks for an immediate probe of a member that did not answer a request.
type ProbeRequested struct{ Node model.NodeID }

// Serving reports that this member has begun to take work.
type Serving struct{}

// Leaving reports that this member drains and takes no new work until it stops.
type Leaving struct{}

// Stopping reports that this member is about to stop.
type Stopping struct{}

func (Elapsed) event()             {}
func (PingReceived) event()        {}
func (PingAnswered) event()        {}
func (PingFailed) event()          {}
func (RelayEnded) event()          {}
func (RelayedPingAnswered) event() {}
func (MessageRequested) event()    {}
func (SeedAnswered) event()        {}
func (Published) event()           {}
func (ProbeRequested) event()      {}
func (Serving) event()             {}
func (Leaving) event()             {}
func (Stopping) event()            {}

// Effects are what the caller has to execute, the new addresses first.
type Effects struct {
	NewAddresses []port.Node // Members whose address is new or has changed.
	Pings        []Ping
	Relays       []Relay
	Reply        Message // Answer to PingReceived, or the message for MessageRequested.
	NewValues    []Value // Values of other members that are newer than those held before.
	StateChanges []StateChange
	ViewChanged  bool // The live members, a member's node or the freshness of the view have changed.
}

// Ping sends a message to a member and waits for its answer.
type Ping struct {
	Probe   uint64 // Id of the probe, to be returned with its result.
	To      model.NodeID
	Message Message
}

// Relay asks a member to ping another one (an indirect probe, ping-req in SWIM).
type Relay struct {
	Probe   uint64       // Id of the probe, to be returned with its result.
	Through model.NodeID // Member that is asked to ping.
	Target  port.Node    // Member to be pinged.
}

// StateChange describes a state transition of a member, for the log.
type StateChange struct {
	Node model.NodeID
	From State // 0 for a member that was not known.
	To   State
	Why  string
}

// Config is the configuration of a Machine.
type Config struct {
	Self       port.Node
	Epoch      uint64        // Start time of this incarnation, Unix time in milliseconds.
	Seeds      []port.Node   // Members named in the settings; this member among them is ignored.
	Period     time.Duration // Time between probes.
	RandomSeed uint64        // Seed of the machine's random choices.
	// Discovering means that other members exist although Seeds names none, so that the view is
	// not fresh before the first contact.
	Discovering bool
}
