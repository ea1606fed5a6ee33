package share

import (
	"time"

	"redwingpulley/kernel/invariant"
)

// Coordinator collects the loans of members that do not need their whole share of one team's quota, and
// grants them to members with more demand. The zero value has no loans.
type Coordinator struct {
	loans         []allocation // Loans by lender.
	grants        []allocation // Grants by borrower.
	demand        []allocation // Requested fractions by borrower; a request that is not repeated in time expires.
	nextPoll      time.Time
	pollInterval  time.Duration // Delay between the newest poll and the next; 0 before the first.
	lentSincePoll bool          // A member has lent something since the last poll.
}

// CoordinatorEvent is an input of a Coordinator.
type CoordinatorEvent interface{ coordinatorEvent() }

// BorrowRequested is a borrower's request for a fraction of the quota.
type BorrowRequested struct {
	Borrower MemberID
	Fraction float64
}

// Loan is a lender's reply to a request for a loan.
type Loan struct {
	Lender      MemberID
	Fraction    float64
	RequestedAt time.Time // When the coordinator sent the request; the loan lasts for LoanDuration from then.
}

// Poll is the timer event of a Coordinator: it decides whether to ask members for loans now.
type Poll struct{}

func (BorrowRequested) coordinatorEvent() {}
func (Loan) coordinatorEvent()            {}
func (Poll) coordinatorEvent()            {}

// CoordinatorEffects are what the caller has to carry out.
type CoordinatorEffects struct {
	Fraction          float64       // Granted to the borrower for GrantDuration from now.
	RequestAgainAfter time.Duration // Delay after which the borrower should request again.
	Poll              bool          // Ask members for loans now.
}

// Step applies an event and returns its effects.
func (c *Coordinator) Step(now time.Time, event CoordinatorEvent) CoordinatorEffects {
	var fx CoordinatorEffects
	c.loans, c.grants, c.demand = dropExpired(now, c.loans), dropExpired(now, c.grants), dropExpired(now, c.demand)
	switch e := event.(type) {
	case BorrowRequested:
		c.handleBorrowRequest(now, e, &fx)
	case Loan:
		if e.Fraction > epsilon {
			c.lentSincePoll = true
			c.loans = addAllocation(c.loans, allocation{e.Lender, e.Fraction, e.RequestedAt.Add(LoanDuration)})
		}
	case Poll:
		c.handlePoll(now, &fx)
	}
	return fx
}

// NextTimer returns when Poll is due next; ok is false while no borrower has a request.
func (c *Coordinator) NextTimer() (at time.Time, ok bool) { return c.nextPoll, len(c.demand) > 0 }

// Lenders returns the members whose loans had not expired at the last step, once for each loan.
func (c *Coordinator) Lenders() []MemberID {
	var lenders []MemberID
	for _, a := range c.loans {
		lenders = append(lenders, a.member)
	}
	return lenders
}

// handleBorrowRequest grants a borrower its fair share of the loans that outlast the grant: when the
// loans do not cover the total demand, all requests are scaled down by the same factor. A grant is limited
// to what is not granted to others, and none is made while the borrower's earlier grant exceeds that.
// Several grants to one borrower do not add up; the largest counts.
func (c *Coordinator) handleBorrowRequest(now time.Time, e BorrowRequested, fx *CoordinatorEffects) {
	if len(c.demand) == 0 {
		c.pollInterval, c.nextPoll = 0, now
	}
	c.demand = append(dropMember(c.demand, e.Borrower), allocation{e.Borrower, e.Fraction, now.Add(GrantDuration)})

	end := now.Add(GrantDuration)
	lent := sumLargest(c.loans, end, noMember)
	available := lent - sumLargest(c.grants, now, e.Borrower)
	ownGrant := sumLargest(c.grants, now, noMember) - sumLargest(c.grants, now, e.Borrower)
	demand := sumLargest(c.demand, now, noMember)
	fairShare := e.Fraction * min(1, lent/demand)
	if grant := min(fairShare, available); grant > epsilon && ownGrant <= available {
		c.grants = addAllocation(c.grants, allocation{e.Borrower, grant, end})
		fx.Fraction = grant
	}
	c.checkInvariant(now)
	fx.RequestAgainAfter = c.requestAgainAfter(now, fx.Fraction, e.Fraction)
	c.demand[len(c.demand)-1].until = now.Add(fx.RequestAgainAfter + renewInterval)
}

// checkInvariant checks that no more is granted than is lent, which must hold at all times.
func (c *Coordinator) checkInvariant(now time.Time) {
	granted, lent := sumLargest(c.grants, now, noMember), sumLargest(c.loans, now, noMember)
	invariant.Check(granted <= lent+epsilon, invariantID, "granted %g of %g lent", granted, lent)
}

// requestAgainAfter returns the delay after which a borrower should request again: renewInterval when its
// request was granted in full, so that it renews the grant before it ends; the delay until the loans of the
// next poll are collected when nothing was granted; the shorter of the two when a part was granted.
func (c *Coordinator) requestAgainAfter(now time.Time, granted, requested float64) time.Duration {
	if requested-granted <= epsilon {
		return renewInterval
	}
	afterPoll := max(c.nextPoll.Sub(now), 0) + afterPollDelay
	if granted > 0 {
		return min(afterPoll, renewInterval)
	}
	return afterPoll
}

// handlePoll decides whether to poll now. While nobody lends, the interval between polls doubles up to
// maxPollInterval.
func (c *Coordinator) handlePoll(now time.Time, fx *CoordinatorEffects) {
	if len(c.demand) == 0 {
		c.pollInterval, c.nextPoll = 0, time.Time{}
		return
	}
	if now.Before(c.nextPoll) {
		return
	}
	c.pollInterval = max(c.pollInterval*2, minPollInterval)
	if c.lentSincePoll {
		c.pollInterval = minPollInterval
	}
	c.pollInterval = min(c.pollInterval, maxPollInterval)
	c.lentSincePoll = false
	c.nextPoll = now.Add(c.pollInterval)
	fx.Poll = true
}

// dropMember removes the allocations of a member, in place.
func dropMember(allocations []allocation, member MemberID) []allocation {
	kept := allocations[:0]
	for _, a := range allocations {
		if a.member != member {
			kept = append(kept, a)
		}
	}
	return kept
}
