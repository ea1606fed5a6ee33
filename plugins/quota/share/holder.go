package share

import (
	"time"

	"redwingpulley/kernel/invariant"
)

// Holder grants what members have lent of one team's quota. The zero value has been lent nothing.
type Holder struct {
	loans    []part // By lender.
	grants   []part // By borrower.
	wants    []part // By borrower, until they are taken for withdrawn.
	nextPoll time.Time
	wait     time.Duration // Before the poll after the next.
	lent     bool          // Anything since the last poll.
}

// HolderEvent is something that happened to a holder.
type HolderEvent interface{ holderEvent() }

// Wanted is a borrower's request for a part of the quota.
type Wanted struct {
	Borrower Run
	Fraction float64
}

// Lent is a loan that was asked for at the given time.
type Lent struct {
	Lender   Run
	Fraction float64
	Asked    time.Time
}

// Poll asks whether loans should be asked for now.
type Poll struct{}

func (Wanted) holderEvent() {}
func (Lent) holderEvent()   {}
func (Poll) holderEvent()   {}

// HolderEffects are what the caller has to carry out.
type HolderEffects struct {
	Fraction float64       // Granted for GrantTime from now.
	Again    time.Duration // After which the borrower should ask again.
	Poll     bool          // Ask members for loans.
}

// Step applies an event and returns what has to be done.
func (h *Holder) Step(now time.Time, event HolderEvent) HolderEffects {
	var fx HolderEffects
	h.loans, h.grants, h.wants = expire(now, h.loans), expire(now, h.grants), expire(now, h.wants)
	switch e := event.(type) {
	case Wanted:
		h.wanted(now, e, &fx)
	case Lent:
		if e.Fraction > negligible {
			h.lent = true
			h.loans = add(h.loans, part{e.Lender, e.Fraction, e.Asked.Add(LoanTime)})
		}
	case Poll:
		h.poll(now, &fx)
	}
	return fx
}

// Wake returns when Poll is due next; ok is false while nobody wants anything.
func (h *Holder) Wake() (at time.Time, ok bool) { return h.nextPoll, len(h.wants) > 0 }

// Lenders returns the runs whose loans last.
func (h *Holder) Lenders() []Run {
	var all []Run
	for _, p := range h.loans {
		all = append(all, p.run)
	}
	return all
}

// wanted grants a borrower its fair part of the loans that outlast the grant, less what others
// hold. Grants of one borrower do not add up; the largest counts.
func (h *Holder) wanted(now time.Time, w Wanted, fx *HolderEffects) {
	if len(h.wants) == 0 {
		h.wait, h.nextPoll = 0, now
	}
	h.wants = append(dropRun(h.wants, w.Borrower), part{w.Borrower, w.Fraction, now.Add(GrantTime)})

	end := now.Add(GrantTime)
	pool := sum(h.loans, end, nobody)
	left := pool - sum(h.grants, now, w.Borrower)
	held := sum(h.grants, now, nobody) - sum(h.grants, now, w.Borrower)
	wants := sum(h.wants, now, nobody)
	fair := w.Fraction * min(1, pool/wants)
	if grant := min(fair, left); grant > negligible && held <= left {
		h.grants = add(h.grants, part{w.Borrower, grant, end})
		fx.Fraction = grant
	}
	h.check(now)
	fx.Again = h.again(now, fx.Fraction, w.Fraction)
	h.wants[len(h.wants)-1].until = now.Add(fx.Again + renewTime)
}

// check holds at all times: no more is granted than is lent.
func (h *Holder) check(now time.Time) {
	granted, lent := sum(h.grants, now, nobody), sum(h.loans, now, nobody)
	invariant.Check(granted <= lent+negligible, invariantID, "granted %g of %g lent", granted, lent)
}

// again returns when a borrower should ask next: before its grant ends, or after the next poll.
func (h *Holder) again(now time.Time, granted, wanted float64) time.Duration {
	if wanted-granted <= negligible {
		return renewTime
	}
	polled := max(h.nextPoll.Sub(now), 0) + firstRetry
	if granted > 0 {
		return min(polled, renewTime)
	}
	return polled
}

func (h *Holder) poll(now time.Time, fx *HolderEffects) {
	if len(h.wants) == 0 {
		h.wait, h.nextPoll = 0, time.Time{}
		return
	}
	if now.Before(h.nextPoll) {
		return
	}
	h.wait = max(h.wait*2, pollTime)
	if h.lent {
		h.wait = pollTime
	}
	h.wait = min(h.wait, maxPoll)
	h.lent = false
	h.nextPoll = now.Add(h.wait)
	fx.Poll = true
}

func dropRun(parts []part, run Run) []part {
	kept := parts[:0]
	for _, p := range parts {
		if p.run != run {
			kept = append(kept, p)
		}
	}
	return kept
}
