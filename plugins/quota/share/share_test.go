package share

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"redwingpulley/kernel/invariant"
	"redwingpulley/kernel/model"
)

var (
	startTime       = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	testConfig      = Config{Members: 4, Floor: 0.5, Burst: 10 * time.Second}
	testCoordinator = MemberID{"h", "1"}
)

// afterOldLoans is a time at which all loans that an earlier incarnation may have made have expired.
var afterOldLoans = startTime.Add(time.Minute)

func memberID(node model.NodeID) MemberID { return MemberID{Node: node, Incarnation: "1"} }

func TestMemberAloneUsesItsEntitlement(t *testing.T) {
	is := is.New(t)
	m := NewMember(startTime, testConfig)
	is.True(near(m.Fraction(startTime), 0.125)) // Its floor, while an earlier incarnation's loans may last.
	is.True(near(m.Fraction(afterOldLoans), 0.25))
	taken := 0
	for i := range 600 {
		if m.Step(afterOldLoans.Add(time.Duration(i)*100*time.Millisecond), Take{Quota: 100, Tasks: 5}).Taken {
			taken += 5
		}
	}
	is.True(taken >= 25*60 && taken <= 25*70) // The quota of a minute plus the burst of 10 s.
}

func near(a, b float64) bool { return a-b < 1e-6 && b-a < 1e-6 }

func TestRefusedTakeSucceedsAfterRetryAfter(t *testing.T) {
	is := is.New(t)
	m := NewMember(startTime, testConfig)
	is.True(m.Step(afterOldLoans, Take{Quota: 4, Tasks: 10}).Taken) // The burst: 10 s at 1 task per second.
	fx := m.Step(afterOldLoans, Take{Quota: 4, Tasks: 2})
	is.True(!fx.Taken)
	is.Equal(fx.RetryAfter.Round(time.Millisecond), 2*time.Second)
	is.True(m.Step(afterOldLoans.Add(fx.RetryAfter), Take{Quota: 4, Tasks: 2}).Taken)
}

// Guards against an explanation of a job that uses up quota.
func TestLookTakesNothing(t *testing.T) {
	is := is.New(t)
	m := NewMember(startTime, testConfig)
	for range 3 {
		is.True(m.Look(afterOldLoans, Take{Quota: 4, Tasks: 10}).Taken)
	}
	is.True(m.Step(afterOldLoans, Take{Quota: 4, Tasks: 10}).Taken)
	is.True(!m.Look(afterOldLoans, Take{Quota: 4, Tasks: 2}).Taken)
}

func TestLoanIsGrantedToBorrowerAndExpires(t *testing.T) {
	is := is.New(t)
	lender, borrower, c := NewMember(startTime, testConfig), NewMember(startTime, testConfig), &Coordinator{}
	now := afterOldLoans
	for range 20 {
		borrower.Step(now, Take{Quota: 100, Tasks: 100})
	}
	_, borrowing := borrower.NextTimer()
	is.True(borrowing)
	shortfall := borrower.Step(now, BorrowDue{}).BorrowFraction
	fx := c.Step(now, BorrowRequested{memberID("b"), shortfall})
	is.Equal(fx.Fraction, 0.0) // Nothing is lent yet.
	is.True(c.Step(now, Poll{}).Poll)
	lent := lender.Step(now, LoanRequested{testCoordinator}).Loan
	is.True(near(lent, 0.125)) // Its entitlement less the floor.
	c.Step(now, Loan{memberID("l"), lent, now})
	fx = c.Step(now, BorrowRequested{memberID("b"), shortfall})
	is.True(near(fx.Fraction, 0.125))
	borrower.Step(now, Granted{testCoordinator, fx.Fraction, now.Add(UsableDuration(GrantDuration)), fx.RequestAgainAfter})
	is.True(near(borrower.Fraction(now), 0.375))
	is.True(near(lender.Fraction(now), 0.125))
	is.True(near(borrower.Fraction(now.Add(GrantDuration)), 0.25))
	is.True(near(lender.Fraction(now.Add(LoanDuration)), 0.125)) // The loan has not certainly ended yet.
	is.True(near(lender.Fraction(now.Add(lenderLoanDuration)), 0.25))
}

func TestLoansAreDividedFairlyAmongBorrowers(t *testing.T) {
	is := is.New(t)
	c := &Coordinator{}
	c.Step(afterOldLoans, Loan{memberID("l"), 0.2, afterOldLoans})
	is.True(near(c.Step(afterOldLoans, BorrowRequested{memberID("a"), 0.2}).Fraction, 0.2))
	later := afterOldLoans.Add(renewInterval)
	c.Step(later, Loan{memberID("l"), 0.2, later})
	is.Equal(c.Step(later, BorrowRequested{memberID("b"), 0.2}).Fraction, 0.0) // The whole loan is already granted.
	c.Step(later, BorrowRequested{memberID("a"), 0.2})
	later = afterOldLoans.Add(GrantDuration + time.Second)
	c.Step(later, Loan{memberID("l"), 0.2, later})
	is.True(near(c.Step(later, BorrowRequested{memberID("b"), 0.2}).Fraction, 0.1))
	is.True(near(c.Step(later, BorrowRequested{memberID("a"), 0.2}).Fraction, 0.1))
}

func TestSameFractionIsNotLentToTwoCoordinators(t *testing.T) {
	is := is.New(t)
	m := NewMember(startTime, testConfig)
	is.True(near(m.Step(afterOldLoans, LoanRequested{testCoordinator}).Loan, 0.125))
	is.Equal(m.Step(afterOldLoans, LoanRequested{MemberID{"other", "1"}}).Loan, 0.0)
}

func TestRestartedMemberHonorsLoansOfEarlierIncarnation(t *testing.T) {
	is := is.New(t)
	m := NewMember(afterOldLoans, testConfig)
	is.Equal(m.Step(afterOldLoans, LoanRequested{testCoordinator}).Loan, 0.0)
	is.True(near(m.Fraction(afterOldLoans.Add(LoanDuration)), 0.125))
	is.True(near(m.Fraction(afterOldLoans.Add(lenderLoanDuration)), 0.25))
}

func TestLoweredQuotaAppliesImmediately(t *testing.T) {
	is := is.New(t)
	m := NewMember(startTime, testConfig)
	m.Step(afterOldLoans, Take{Quota: 400, Tasks: 1})
	is.True(!m.Step(afterOldLoans, Take{Quota: 4, Tasks: 11}).Taken) // More than a burst at the new rate.
	is.True(m.Step(afterOldLoans, Take{Quota: 4, Tasks: 10}).Taken)
}

func TestPollsBecomeRarerWhenNobodyLends(t *testing.T) {
	is := is.New(t)
	c, polls := &Coordinator{}, 0
	next := afterOldLoans
	for now := afterOldLoans; now.Before(afterOldLoans.Add(5 * time.Minute)); now = now.Add(100 * time.Millisecond) {
		if !now.Before(next) {
			next = now.Add(c.Step(now, BorrowRequested{memberID("b"), 0.5}).RequestAgainAfter)
		}
		if at, ok := c.NextTimer(); ok && !at.After(now) && c.Step(now, Poll{}).Poll {
			polls++
		}
	}
	is.True(polls <= 15)
}

func TestExcessAllocationsViolateInvariant(t *testing.T) {
	is := is.New(t)
	violation := func(do func()) (seen any) {
		defer func() { seen = recover() }()
		do()
		return nil
	}
	c := &Coordinator{grants: []allocation{{memberID("a"), 0.2, afterOldLoans.Add(time.Hour)}}}
	seen := violation(func() { c.Step(afterOldLoans, BorrowRequested{memberID("b"), 0.1}) })
	is.Equal(seen.(invariant.Violation).Name, invariantID)
	m := NewMember(startTime, testConfig)
	m.loans = []allocation{{memberID("a"), 0.2, afterOldLoans.Add(time.Hour)}}
	seen = violation(func() { m.Step(afterOldLoans, Take{Quota: 1, Tasks: 1}) })
	is.Equal(seen.(invariant.Violation).Name, invariantID)
}
