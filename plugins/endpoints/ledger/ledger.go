// Package ledger tells, at a pool's owner, batches that arrive for the first time from those that
// arrive again or too late, so that a batch starts at most once and "not run" is true.
//
// Each origin numbers the batches that it sends to one incarnation of an owner, and each of its
// messages tells up to which number it has its results. Numbers up to there need no memory: a
// request that arrives late under one of them starts nothing. A batch that the origin asks for
// and that never came is fenced: its request, when it still arrives, starts nothing.
package ledger

import (
	"slices"
	"time"
)

// ResultLifetime is how long the result of an ended batch is kept for an origin that has not told
// that it has it.
const ResultLifetime = 30 * time.Second

// Event is something that happened between one origin and this owner.
type Event interface{ event() }

// Arrived is a request to run a batch.
type Arrived struct{ Sequence, Settled uint64 }

// Asked is a question for a batch whose reply did not come, or a cancellation of it.
type Asked struct{ Sequence, Settled uint64 }

// Ended says that a batch has its result.
type Ended struct{ Sequence uint64 }

// Elapsed says that the time returned by Wake has come.
type Elapsed struct{}

func (Arrived) event() {}
func (Asked) event()   {}
func (Ended) event()   {}
func (Elapsed) event() {}

// Verdict says what to do with a request.
type Verdict int

// Verdicts.
const (
	None   Verdict = iota // The event was no request.
	Start                 // Start the batch.
	Join                  // Wait for the batch's result, or give the one that is kept.
	Refuse                // The batch never started here and never will.
	Lost                  // What came of the batch is not known any more.
)

// Effects are what the caller has to carry out.
type Effects struct {
	Verdict Verdict
	Forget  []uint64 // Batches whose results need not be kept, in ascending order.
}

type state int

const (
	running state = iota
	ended
	fenced
	lost
)

// Ledger is what an owner knows of one incarnation of an origin. The zero value knows nothing.
type Ledger struct {
	settled uint64
	known   map[uint64]state // By sequence, above settled.
	kept    []result         // Ended batches in the order of their ends.
}

type result struct {
	sequence uint64
	until    time.Time
}

// Step applies an event and returns what has to be done.
func (l *Ledger) Step(now time.Time, event Event) Effects {
	var fx Effects
	switch e := event.(type) {
	case Arrived:
		l.settle(e.Settled, &fx)
		fx.Verdict = l.verdict(e.Sequence, running)
	case Asked:
		l.settle(e.Settled, &fx)
		fx.Verdict = l.verdict(e.Sequence, fenced)
	case Ended:
		l.ended(now, e.Sequence, &fx)
	case Elapsed:
		l.elapsed(now, &fx)
	}
	return fx
}

// Wake returns when Elapsed is due next; ok is false when no result is kept.
func (l *Ledger) Wake() (at time.Time, ok bool) {
	if len(l.kept) == 0 {
		return time.Time{}, false
	}
	return l.kept[0].until, true
}

// verdict enters a batch that is not known as first, and says what its request is answered.
func (l *Ledger) verdict(sequence uint64, first state) Verdict {
	if sequence <= l.settled {
		return Lost
	}
	s, known := l.known[sequence]
	if !known {
		if l.known == nil {
			l.known = make(map[uint64]state)
		}
		l.known[sequence] = first
		if first == running {
			return Start
		}
		return Refuse
	}
	switch s {
	case fenced:
		return Refuse
	case lost:
		return Lost
	}
	return Join
}

// settle forgets what the origin has the results of.
func (l *Ledger) settle(settled uint64, fx *Effects) {
	if settled <= l.settled {
		return
	}
	l.settled = settled
	for sequence := range l.known {
		if sequence <= settled {
			delete(l.known, sequence)
			fx.Forget = append(fx.Forget, sequence)
		}
	}
	slices.Sort(fx.Forget)
	l.kept = slices.DeleteFunc(l.kept, func(r result) bool { return r.sequence <= settled })
}

func (l *Ledger) ended(now time.Time, sequence uint64, fx *Effects) {
	if s, known := l.known[sequence]; !known || s != running {
		fx.Forget = append(fx.Forget, sequence)
		return
	}
	l.known[sequence] = ended
	l.kept = append(l.kept, result{sequence, now.Add(ResultLifetime)})
}

func (l *Ledger) elapsed(now time.Time, fx *Effects) {
	for len(l.kept) > 0 && !l.kept[0].until.After(now) {
		sequence := l.kept[0].sequence
		l.kept = l.kept[1:]
		l.known[sequence] = lost
		fx.Forget = append(fx.Forget, sequence)
	}
}
