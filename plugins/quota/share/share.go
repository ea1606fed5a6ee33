// Package share decides how a team's quota is divided among the entry VMs, so that the sum of what
// they start is never above it, in a cut, after a freeze or a restart either.
//
// Each of n VMs is entitled to 1/n of the quota. A VM with less demand lends a part of its
// entitlement to the team's holder for a bounded time, and the holder grants what was lent to VMs
// with more demand, for a time that ends before the loans do. A VM that lends does not use what it
// lent until it is certain that the loan has ended. So the parts add up to the whole whatever is
// lost, late or doubled, and with any number of VMs that take themselves for the holder. A VM that
// is cut off keeps its entitlement, or at least its floor while a loan lasts.
//
// All amounts are fractions of the quota, so that a change of the quota needs no agreement.
//
// Member and Holder are state machines: the same events give the same effects.
package share

import (
	"time"

	"redwingpulley/kernel/model"
)

// Run is one run of an entry VM.
type Run struct {
	Node        model.NodeID
	Incarnation model.Incarnation
}

// Config is the same on all members.
type Config struct {
	Members int           // VMs that the quota is divided among.
	Floor   float64       // Part of its entitlement that a VM never lends.
	Burst   time.Duration // Tasks of so long a time may start at once.
}

const (
	// LoanTime is how long a loan lasts, counted by the holder from when it asked for it.
	LoanTime = 16 * time.Second
	// GrantTime is how long a grant lasts, counted by the borrower from when it asked for it.
	GrantTime = 8 * time.Second

	renewTime  = GrantTime / 2          // Between requests of a borrower.
	firstRetry = 400 * time.Millisecond // Between the first request and the next, while the holder collects loans.
	pollTime   = 5 * time.Second        // Between polls of a holder for loans.
	maxPoll    = 30 * time.Second       // The same while nobody lends.

	clockMargin = 100 * time.Millisecond
	clockDrift  = 100 // Clocks run at rates that differ by at most one in so many.

	headroom    = 1.2             // Of what is asked for over what was offered.
	demandTime  = 5 * time.Second // Over which demand is averaged.
	negligible  = 1e-9            // Fractions below it are 0.
	invariantID = "quota-shares-within-quota"
)

// lenderTime is how long a lender keeps to a loan: longer than the holder counts on it even when
// the holder's clock is slower, and counted from later.
const lenderTime = LoanTime + LoanTime/clockDrift*2 + clockMargin

// Usable returns how long a borrower may use a grant that lasts for the given time, counted from
// when it asked.
func Usable(grant time.Duration) time.Duration {
	return grant - grant/clockDrift*2 - clockMargin
}

// nobody stands for no run, where all count.
var nobody = Run{Node: "-"}

// part is a fraction that is bound to another run for a time.
type part struct {
	run      Run
	fraction float64
	until    time.Time
}

// add adds a part and drops those of the same run that it outlasts and covers.
func add(parts []part, p part) []part {
	kept := parts[:0]
	for _, old := range parts {
		if old.run != p.run || old.fraction > p.fraction || old.until.After(p.until) {
			kept = append(kept, old)
		}
	}
	return append(kept, p)
}

// expire drops the parts that have ended.
func expire(now time.Time, parts []part) []part {
	kept := parts[:0]
	for _, p := range parts {
		if p.until.After(now) {
			kept = append(kept, p)
		}
	}
	return kept
}

// sum adds up the largest part of each run among those that last until the given time, apart from
// the parts of one run.
func sum(parts []part, until time.Time, without Run) (total float64) {
	for i, p := range parts {
		if p.run != without && !p.until.Before(until) && isLargest(parts, i, until) {
			total += p.fraction
		}
	}
	return total
}

// isLargest reports whether no other part of the run is larger, the first of equal ones counting.
func isLargest(parts []part, i int, until time.Time) bool {
	for j, other := range parts {
		if j == i || other.run != parts[i].run || other.until.Before(until) {
			continue
		}
		if other.fraction > parts[i].fraction || (other.fraction == parts[i].fraction && j < i) {
			return false
		}
	}
	return true
}
