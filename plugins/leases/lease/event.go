// Package lease decides for one endpoint that runs tasks under a lease: when the lease is extended,
// which runs are started and stopped there, and what has come of them.
//
// A Machine is a state machine: the same events give the same effects. It does no I/O and reads no
// clock; its caller carries out the effects after Step has returned.
package lease

import (
	"time"

	"redwingpulley/kernel/model"
	"redwingpulley/kernel/port"
)

// Event is something that happened.
type Event interface{ event() }

// Wanted asks for a run.
type Wanted struct {
	Run     port.TaskRun
	Payload []byte
}

// Unwanted asks for the end of a run.
type Unwanted struct{ Run port.TaskRun }

// StartEnded is what came of a start.
type StartEnded struct {
	Run   port.TaskRun
	Reply port.OrderReply
}

// StopEnded is what came of a stop.
type StopEnded struct {
	Run   port.TaskRun
	Reply port.OrderReply
}

// HoldEnded is what came of the hold.
type HoldEnded struct{ Reply port.HoldReply }

// Claimed tells which runs of others, which Ask asked for, belong to live members.
type Claimed struct {
	Asked   []port.TaskRun
	Claimed []port.TaskRun
}

// Told is an end that the endpoint's present holder passed on.
type Told struct{ End port.RunEnd }

// Elapsed says that the time returned by Wake has come.
type Elapsed struct{}

func (Wanted) event()     {}
func (Unwanted) event()   {}
func (StartEnded) event() {}
func (StopEnded) event()  {}
func (HoldEnded) event()  {}
func (Claimed) event()    {}
func (Told) event()       {}
func (Elapsed) event()    {}

// Effects are what the caller has to carry out, each call on its own. Start and stop are answered by
// StartEnded and StopEnded, a hold by HoldEnded, Ask by Claimed.
type Effects struct {
	Starts  []port.StartOrder
	Stops   []port.StopOrder
	Hold    *port.HoldOrder
	Settled []Settled
	Ask     []port.TaskRun // Runs of others: does a live member wait for them?
	PassOn  []port.RunEnd  // Ends of runs of others; to be told before the next hold.
	Taken   bool           // The endpoint has answered under a new token.
	Lost    Loss
}

// Loss is why a lease has ended before its runs; "" when it has not.
type Loss string

// Losses of a lease.
const (
	LossFenced    Loss = "fenced"     // Another holder has taken the endpoint.
	LossLapsed    Loss = "lapsed"     // The endpoint could not be reached for as long as the lease lasts.
	LossOtherLife Loss = "other_life" // Another lifetime of the endpoint has taken its place.
)

// Settled is what has come of a run that was wanted.
type Settled struct {
	Run    port.TaskRun
	State  port.TaskState
	Detail string
}

// Config describes a machine.
type Config struct {
	Holder   uint64        // Tells the tokens of two holders apart; its lowest bits are used.
	Lease    time.Duration // Longest lease that the endpoint grants.
	StopTime time.Duration // A run that was told to stop has ended after it.
	Away     time.Duration // For which an endpoint is left alone whose next holder fenced this one.
}

// Created is the creation of a machine.
type Created struct {
	Endpoint model.EndpointID
	Config   Config
}
