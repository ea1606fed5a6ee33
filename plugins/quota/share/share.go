// Package share divides a team's quota among the entry VMs so that the tasks they start in total never
// exceed it, not even during a network partition or after a pause or a restart of a process.
//
// Each of n VMs is entitled to 1/n of the quota. A VM with less demand lends a part of its
// entitlement to the team's coordinator for a limited time. The coordinator grants what was lent to
// VMs with more demand, for a time that ends before the loans do. A lender does not use what it lent
// until the loan has certainly expired. So the usable fractions never add up to more than the whole
// quota, whichever messages are lost, delayed or duplicated, and with any number of VMs that consider
// themselves the coordinator. A VM that is partitioned from the others keeps its entitlement, or at
// least its floor while a loan lasts.
//
// All amounts are fractions of the quota, so that a change of the quota needs no agreement.
//
// Member and Coordinator are deterministic state machines: the same events give the same effects.
package share

import (
	"time"

	"redwingpulley/kernel/model"
)

// MemberID identifies one incarnation of an entry VM.
type MemberID struct {
	Node        model.NodeID
	Incarnation model.Incarnation
}

// Config holds the parameters by which a quota is divided. It must be the same on all members.
type Config struct {
	Members int           // Number of VMs that the quota is divided among.
	Floor   float64       // Fraction of its entitlement that a VM never lends.
	Burst   time.Duration // As many tasks as the quota allows in this time may start at once.
}

const (
	// LoanDuration is how long a loan lasts, measured by the coordinator from the time of its request.
	LoanDuration = 16 * time.Second
	// GrantDuration is how long a grant lasts, measured by the borrower from the time of its request.
	GrantDuration = 8 * time.Second

	renewInterval   = GrantDuration / 2      // Delay between requests of a borrower that renews its grant.
	afterPollDelay  = 400 * time.Millisecond // Delay from a poll to the borrowers' next requests, in which the coordinator collects loans.
	minPollInterval = 5 * time.Second        // Delay between polls of a coordinator for loans.
	maxPollInterval = 30 * time.Second       // Upper limit of that delay while nobody lends.

	clockMargin       = 100 * time.Millisecond // Added to each loan and subtracted from each grant.
	clockDriftDivisor = 100                    // The rates of two clocks differ by at most 1/clockDriftDivisor.

	demandHeadroom = 1.2             // Ratio of the demand that a member plans for to the average that was offered.
	demandWindow   = 5 * time.Second // Time constant of the average of offered tasks.
	epsilon        = 1e-9            // Smaller fractions count as 0.
	invariantID    = "quota-shares-within-quota"
)

// lenderLoanDuration is how long a lender does not use what it lent. It exceeds LoanDuration, so that the
// loan ends for the coordinator first even when the coordinator's clock is slower. The lender also
// measures it from a later time, the arrival of the request.
const lenderLoanDuration = LoanDuration + LoanDuration/clockDriftDivisor*2 + clockMargin

// UsableDuration returns how long a borrower may use a grant of the given duration, measured from the
// time of its request.
func UsableDuration(grant time.Duration) time.Duration {
	return grant - grant/clockDriftDivisor*2 - clockMargin
}

// noMember is passed to sumLargest to exclude no member.
var noMember = MemberID{Node: "-"}

// allocation is a fraction of the quota that is lent, granted or requested until a given time. member is
// the other party: the coordinator in a Member's allocations, the lender or borrower in a Coordinator's.
type allocation struct {
	member   MemberID
	fraction float64
	until    time.Time
}

// addAllocation adds an allocation. It drops those of the same member that are no larger and do not last
// longer.
func addAllocation(allocations []allocation, a allocation) []allocation {
	kept := allocations[:0]
	for _, old := range allocations {
		if old.member != a.member || old.fraction > a.fraction || old.until.After(a.until) {
			kept = append(kept, old)
		}
	}
	return append(kept, a)
}

// dropExpired removes the allocations that have ended, in place.
func dropExpired(now time.Time, allocations []allocation) []allocation {
	kept := allocations[:0]
	for _, a := range allocations {
		if a.until.After(now) {
			kept = append(kept, a)
		}
	}
	return kept
}

// sumLargest adds up the largest allocation of each member, leaving out one member. Only allocations that
// last at least until the given time count.
func sumLargest(allocations []allocation, until time.Time, excluded MemberID) (total float64) {
	for i, a := range allocations {
		if a.member != excluded && !a.until.Before(until) && isLargest(allocations, i, until) {
			total += a.fraction
		}
	}
	return total
}

// isLargest reports whether allocation i is the largest of its member among those that last at least until
// the given time. Of equal ones, the first is the largest.
func isLargest(allocations []allocation, i int, until time.Time) bool {
	for j, other := range allocations {
		if j == i || other.member != allocations[i].member || other.until.Before(until) {
			continue
		}
		if other.fraction > allocations[i].fraction || (other.fraction == allocations[i].fraction && j < i) {
			return false
		}
	}
	return true
}
