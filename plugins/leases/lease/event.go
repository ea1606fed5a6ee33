// Package lease manages one endpoint that runs tasks under a lease: it decides when the lease is
// extended, which runs are started and stopped there, and how each run ended.
//
// The member whose fencing token the endpoint has accepted holds the lease. With a hold, a request
// that the endpoint may answer late (long poll), the holder extends the lease, acknowledges the ends
// of runs that it has received, and learns which runs are running and which have ended since.
//
// A Machine is a deterministic state machine: the same events give the same effects. It does no I/O
// and reads no clock; its caller carries out the effects after Step has returned.
package lease

import (
	"time"

	"redwingpulley/kernel/model"
	"redwingpulley/kernel/port"
)

// Event is an input of a Machine.
type Event interface{ event() }

// StartRequested asks the machine to start a run and to report its outcome.
type StartRequested struct {
	Run     port.TaskRun
	Payload []byte
}

// StopRequested asks the machine to stop a run, or to keep it from starting.
type StopRequested struct{ Run port.TaskRun }

// RetireRequested asks the machine to retire an endpoint that leaves: to see to it that no member can start a run there
// any more. Machine.Retired reports when that is certain. Runs in progress continue.
type RetireRequested struct{}

// FenceRequested asks the machine to take the lease, so that the endpoint carries out no late order of a former holder any more. Runs
// in progress continue while a live member claims them.
type FenceRequested struct{}

// StartReplied reports the endpoint's reply to a start order, or that none came.
type StartReplied struct {
	Run   port.TaskRun
	Reply port.OrderReply
}

// StopReplied reports the endpoint's reply to a stop order, or that none came.
type StopReplied struct {
	Run   port.TaskRun
	Reply port.OrderReply
}

// HoldReplied reports the endpoint's reply to the hold in flight, or that none came.
type HoldReplied struct{ Reply port.HoldReply }

// Claimed reports which runs of a ClaimQuery live members wait for.
type Claimed struct {
	Queried []port.TaskRun // Runs of the query.
	Claims  []Claim        // Claims to those of them that a live member waits for.
}

// Claim says that a member waits for a run that it started as an earlier holder of the lease.
type Claim struct {
	Run    port.TaskRun
	Member model.NodeID
	Stop   bool // The run is to be stopped; the member waits for its end.
}

// TakenOver says that another member holds the lease, under a token of its own, and lets the given runs of this member
// continue that are not to be stopped.
type TakenOver struct {
	Token             uint64
	Running           []port.TaskRun
	LateExtensionsFor time.Duration // As in the ClaimQuery.
}

// EndForwarded is the end of a run as forwarded by the member that now holds the lease.
type EndForwarded struct{ End port.RunEnd }

// Replaced says that another incarnation of the endpoint has announced itself.
type Replaced struct{ Successor model.EndpointID }

// SettleRequested asks what became of a run that an earlier incarnation of the endpoint was asked to start. This one may
// have started it instead.
type SettleRequested struct {
	Run   port.TaskRun
	Token uint64 // Fencing token of the start order.
	// StopRequestedAt is when the run was first requested to be stopped; zero while it is not.
	StopRequestedAt time.Time
}

// Settled reports what became of a run at the incarnation that has replaced this one.
type Settled struct{ Outcome Finished }

// Elapsed says that the time returned by NextTimer has come.
type Elapsed struct{}

func (StartRequested) event()  {}
func (StopRequested) event()   {}
func (RetireRequested) event() {}
func (FenceRequested) event()  {}
func (StartReplied) event()    {}
func (StopReplied) event()     {}
func (HoldReplied) event()     {}
func (Claimed) event()         {}
func (TakenOver) event()       {}
func (EndForwarded) event()    {}
func (Replaced) event()        {}
func (SettleRequested) event() {}
func (Settled) event()         {}
func (Elapsed) event()         {}

// Effects are what the caller has to carry out. Each order is a request of its own: the caller reports
// the reply to a start as StartReplied, to a stop as StopReplied, to a hold as HoldReplied, and the
// replies to a ClaimQuery as Claimed.
type Effects struct {
	Starts     []port.StartOrder
	Stops      []port.StopOrder
	Hold       *port.HoldOrder
	Finished   []Finished // Runs that have finished, each reported once.
	ClaimQuery ClaimQuery // To be sent when it has runs.
	// ForwardEnds lists ends of runs that this holder does not wait for: send them to those that do,
	// before the next hold, which acknowledges them.
	ForwardEnds []ForwardedEnd
	Down        bool // The endpoint has refused a connection, or another incarnation has replaced it.
	// ForeignLosses are runs of other holders that were lost at the endpoint while this one held the lease.
	ForeignLosses []ForeignLoss
	Acquired      bool       // The endpoint has accepted a new fencing token.
	Lost          LossReason // Why the lease was lost; "" when this step has not lost it.

	// Successor is the incarnation that has replaced the endpoint, with LossOtherIncarnation, Settle, SettleStops or FenceSuccessor;
	// "" when it is not known.
	Successor   model.EndpointID
	Settle      []SettleRequested // Requests to the machine of Successor; their outcomes are reported as Settled.
	SettleStops []port.TaskRun    // Runs of such requests that are to be stopped, by the machine of Successor.
	// FenceSuccessor says that the machine of Successor is to have former holders fenced there, instead of this one.
	FenceSuccessor bool
}

// ClaimQuery asks members which of the given runs they wait for. The holder that sends it has started none of them.
type ClaimQuery struct {
	Runs    []port.TaskRun
	Token   uint64         // Fencing token under which the endpoint has listed the runs.
	Members []model.NodeID // The members to ask; all other live ones that may have ordered the runs when there are none.
	// LateExtensionsFor is how long orders of the holder to which no answer came may still extend the lease; zero when none can arrive
	// before the lease that a claim extends has expired.
	LateExtensionsFor time.Duration
}

// ForwardedEnd is the end of a run that another member waits for.
type ForwardedEnd struct {
	End port.RunEnd
	To  model.NodeID // The member that has claimed the run; "" when it is not known which one waits.
}

// ForeignLoss is a run of another holder that was lost.
type ForeignLoss struct {
	Run   port.TaskRun
	Cause port.LossCause
}

// LossReason is why a lease ended before its runs did; "" when it did not.
type LossReason string

// Reasons for the loss of a lease.
const (
	LossFenced           LossReason = "fenced"     // Another member has taken over the lease.
	LossExpired          LossReason = "lapsed"     // The endpoint was unreachable for the whole duration of the lease.
	LossOtherIncarnation LossReason = "other_life" // Another incarnation of the endpoint has replaced this one.
)

// Finished is the outcome of a run that a StartRequested asked for.
type Finished struct {
	Run    port.TaskRun
	State  port.TaskState
	Detail string
	Cause  port.LossCause // Set with port.TaskLost.
	// TimeUnknown says that the time since the StartRequested is not the run's time: the endpoint was not in contact throughout.
	TimeUnknown bool
}

// Config holds the parameters of a Machine.
type Config struct {
	HolderID      uint64        // Distinguishes the tokens of two holders; only its lowest holderBits bits are used.
	MaxLease      time.Duration // Longest lease that the endpoint grants.
	StopTimeout   time.Duration // Longest time in which the endpoint ends a run after a stop order.
	FencedBackoff time.Duration // How long to send nothing to an endpoint after another holder has fenced this one.
}

// Created describes the creation of a Machine.
type Created struct {
	Endpoint model.EndpointID
	Config   Config
}
