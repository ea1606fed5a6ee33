// Package ledger deduplicates the batch requests that a pool's owner receives: it distinguishes first
// requests from repeated and late ones. A batch therefore starts at most once, and one that is
// reported as not run never starts later.
//
// Each origin numbers the batches that it sends to one incarnation of an owner. Each of its messages
// carries a cumulative acknowledgement: the number up to which the origin needs no more results. The
// owner keeps no state for the numbers up to there, since a late request with one of them starts
// nothing. When an origin queries a batch whose request has not arrived, the batch is fenced: if its
// request arrives later, it starts nothing.
package ledger

import (
	"slices"
	"time"
)

// ResultLifetime is how long the result of an ended batch is kept for an origin that has not
// acknowledged it.
const ResultLifetime = 30 * time.Second

// Event is something that happened between one origin and this owner.
type Event interface{ event() }

// Arrived is a request to run a batch. Settled is the origin's cumulative acknowledgement.
type Arrived struct{ Sequence, Settled uint64 }

// Queried is a query for a batch whose reply did not reach the origin, or a cancellation of the batch.
// Settled is the origin's cumulative acknowledgement.
type Queried struct{ Sequence, Settled uint64 }

// Ended reports that a batch has ended and its result is known.
type Ended struct{ Sequence uint64 }

// Elapsed reports that the time has come at which the next result expires.
type Elapsed struct{}

func (Arrived) event() {}
func (Queried) event() {}
func (Ended) event()   {}
func (Elapsed) event() {}

// Verdict is what the owner has to do with a request.
type Verdict int

// Verdicts.
const (
	None   Verdict = iota // The event is not a request.
	Start                 // Start the batch.
	Join                  // Wait for the batch's result, or return the stored one.
	Refuse                // The batch has not started here and never will.
	Lost                  // The outcome of the batch is no longer known.
)

// Effects are the actions that the caller has to carry out after a step.
type Effects struct {
	Verdict Verdict
	Evict   []uint64 // Numbers of the batches whose results are no longer needed, in ascending order.
}

// state is the state of a batch that its origin has not acknowledged.
type state int

const (
	running  state = iota // The batch has been started and has no result yet.
	complete              // The result is stored.
	fenced                // The batch was queried before its request arrived, and must not start.
	expired               // The result was evicted after ResultLifetime.
)

// Ledger is an owner's record of the batches from one incarnation of an origin. The zero value is an
// empty ledger. A Ledger is not safe for concurrent use.
type Ledger struct {
	settled uint64           // Batches up to this number are acknowledged by the origin.
	known   map[uint64]state // Batches with numbers above settled, by number.
	results []result         // Batches whose results are stored, in the order of their ends.
}

// result is the stored result of a batch; its content is with the caller.
type result struct {
	sequence uint64
	expires  time.Time
}

// Step applies an event and returns the actions that follow from it.
func (l *Ledger) Step(now time.Time, event Event) Effects {
	var fx Effects
	switch e := event.(type) {
	case Arrived:
		l.acknowledge(e.Settled, &fx)
		fx.Verdict = l.handleRequest(e.Sequence, running)
	case Queried:
		l.acknowledge(e.Settled, &fx)
		fx.Verdict = l.handleRequest(e.Sequence, fenced)
	case Ended:
		l.complete(now, e.Sequence, &fx)
	case Elapsed:
		l.expireResults(now, &fx)
	}
	return fx
}

// NextTimer returns when the next Elapsed event is due; ok is false when no result is stored.
func (l *Ledger) NextTimer() (at time.Time, ok bool) {
	if len(l.results) == 0 {
		return time.Time{}, false
	}
	return l.results[0].expires, true
}

// handleRequest returns the verdict on a request for a batch. A batch without an entry gets one in the
// initial state.
func (l *Ledger) handleRequest(sequence uint64, initial state) Verdict {
	if sequence <= l.settled {
		return Lost
	}
	s, known := l.known[sequence]
	if !known {
		if l.known == nil {
			l.known = make(map[uint64]state)
		}
		l.known[sequence] = initial
		if initial == running {
			return Start
		}
		return Refuse
	}
	switch s {
	case fenced:
		return Refuse
	case expired:
		return Lost
	}
	return Join
}

// acknowledge evicts the entries of the batches up to settled, whose results the origin no longer needs.
func (l *Ledger) acknowledge(settled uint64, fx *Effects) {
	if settled <= l.settled {
		return
	}
	l.settled = settled
	for sequence := range l.known {
		if sequence <= settled {
			delete(l.known, sequence)
			fx.Evict = append(fx.Evict, sequence)
		}
	}
	slices.Sort(fx.Evict)
	l.results = slices.DeleteFunc(l.results, func(r result) bool { return r.sequence <= settled })
}

// complete stores the result of a running batch. The result of any other batch need not be kept.
func (l *Ledger) complete(now time.Time, sequence uint64, fx *Effects) {
	if s, known := l.known[sequence]; !known || s != running {
		fx.Evict = append(fx.Evict, sequence)
		return
	}
	l.known[sequence] = complete
	l.results = append(l.results, result{sequence, now.Add(ResultLifetime)})
}

// expireResults evicts the results whose lifetime has passed.
func (l *Ledger) expireResults(now time.Time, fx *Effects) {
	for len(l.results) > 0 && !l.results[0].expires.After(now) {
		sequence := l.results[0].sequence
		l.results = l.results[1:]
		l.known[sequence] = expired
		fx.Evict = append(fx.Evict, sequence)
	}
}
