package share

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"redwingpulley/kernel/invariant"
	"redwingpulley/kernel/model"
)

var (
	start  = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	config = Config{Members: 4, Floor: 0.5, Burst: 10 * time.Second}
	holder = Run{"h", "1"}
)

// settled is after the loans that an earlier run may have made.
var settled = start.Add(time.Minute)

func run(node model.NodeID) Run { return Run{Node: node, Incarnation: "1"} }

func TestMemberAloneUsesItsEntitlement(t *testing.T) {
	is := is.New(t)
	m := NewMember(start, config)
	is.True(near(m.Fraction(start), 0.125)) // Its floor, while an earlier run's loans may last.
	is.True(near(m.Fraction(settled), 0.25))
	taken := 0
	for i := range 600 {
		if m.Step(settled.Add(time.Duration(i)*100*time.Millisecond), Take{Quota: 100, Tasks: 5}).Taken {
			taken += 5
		}
	}
	is.True(taken >= 25*60 && taken <= 25*70) // A minute, and the burst.
}

func near(a, b float64) bool { return a-b < 1e-6 && b-a < 1e-6 }

func TestRefusalTellsWhenToComeAgain(t *testing.T) {
	is := is.New(t)
	m := NewMember(start, config)
	is.True(m.Step(settled, Take{Quota: 4, Tasks: 10}).Taken) // The burst: 10 s of 1 a second.
	fx := m.Step(settled, Take{Quota: 4, Tasks: 2})
	is.True(!fx.Taken)
	is.Equal(fx.RetryAfter.Round(time.Millisecond), 2*time.Second)
	is.True(m.Step(settled.Add(fx.RetryAfter), Take{Quota: 4, Tasks: 2}).Taken)
}

func TestLoanReachesABorrowerAndReturns(t *testing.T) {
	is := is.New(t)
	lender, borrower, h := NewMember(start, config), NewMember(start, config), &Holder{}
	now := settled
	for range 20 {
		borrower.Step(now, Take{Quota: 100, Tasks: 100})
	}
	_, wants := borrower.Wake()
	is.True(wants)
	want := borrower.Step(now, Ask{}).Want
	fx := h.Step(now, Wanted{run("b"), want})
	is.Equal(fx.Fraction, 0.0) // Nothing is lent yet.
	is.True(h.Step(now, Poll{}).Poll)
	lent := lender.Step(now, LoanAsked{holder}).Lent
	is.True(near(lent, 0.125)) // All but the floor.
	h.Step(now, Lent{run("l"), lent, now})
	fx = h.Step(now, Wanted{run("b"), want})
	is.True(near(fx.Fraction, 0.125))
	borrower.Step(now, Granted{holder, fx.Fraction, now.Add(Usable(GrantTime)), fx.Again})
	is.True(near(borrower.Fraction(now), 0.375))
	is.True(near(lender.Fraction(now), 0.125))
	is.True(near(borrower.Fraction(now.Add(GrantTime)), 0.25))
	is.True(near(lender.Fraction(now.Add(LoanTime)), 0.125)) // Not before the loan has surely ended.
	is.True(near(lender.Fraction(now.Add(lenderTime)), 0.25))
}

func TestLoansAreSharedFairly(t *testing.T) {
	is := is.New(t)
	h := &Holder{}
	h.Step(settled, Lent{run("l"), 0.2, settled})
	is.True(near(h.Step(settled, Wanted{run("a"), 0.2}).Fraction, 0.2))
	later := settled.Add(renewTime)
	h.Step(later, Lent{run("l"), 0.2, later})
	is.Equal(h.Step(later, Wanted{run("b"), 0.2}).Fraction, 0.0) // All is granted.
	h.Step(later, Wanted{run("a"), 0.2})
	later = settled.Add(GrantTime + time.Second)
	h.Step(later, Lent{run("l"), 0.2, later})
	is.True(near(h.Step(later, Wanted{run("b"), 0.2}).Fraction, 0.1))
	is.True(near(h.Step(later, Wanted{run("a"), 0.2}).Fraction, 0.1))
}

func TestLenderThatTurnsToAnotherHolderLendsNothingTwice(t *testing.T) {
	is := is.New(t)
	m := NewMember(start, config)
	is.True(near(m.Step(settled, LoanAsked{holder}).Lent, 0.125))
	is.Equal(m.Step(settled, LoanAsked{Run{"other", "1"}}).Lent, 0.0)
}

func TestRestartedMemberKeepsToTheLoansOfItsFormerRun(t *testing.T) {
	is := is.New(t)
	m := NewMember(settled, config)
	is.Equal(m.Step(settled, LoanAsked{holder}).Lent, 0.0)
	is.True(near(m.Fraction(settled.Add(LoanTime)), 0.125))
	is.True(near(m.Fraction(settled.Add(lenderTime)), 0.25))
}

func TestLoweredQuotaCountsAtOnce(t *testing.T) {
	is := is.New(t)
	m := NewMember(start, config)
	m.Step(settled, Take{Quota: 400, Tasks: 1})
	is.True(!m.Step(settled, Take{Quota: 4, Tasks: 11}).Taken) // More than a burst at the new rate.
	is.True(m.Step(settled, Take{Quota: 4, Tasks: 10}).Taken)
}

func TestSaturatedTeamIsPolledLess(t *testing.T) {
	is := is.New(t)
	h, polls := &Holder{}, 0
	next := settled
	for now := settled; now.Before(settled.Add(5 * time.Minute)); now = now.Add(100 * time.Millisecond) {
		if !now.Before(next) {
			next = now.Add(h.Step(now, Wanted{run("b"), 0.5}).Again)
		}
		if at, ok := h.Wake(); ok && !at.After(now) && h.Step(now, Poll{}).Poll {
			polls++
		}
	}
	is.True(polls <= 15)
}

func TestBrokenSharesAreSeen(t *testing.T) {
	is := is.New(t)
	broken := func(do func()) (seen any) {
		defer func() { seen = recover() }()
		do()
		return nil
	}
	h := &Holder{grants: []part{{run("a"), 0.2, settled.Add(time.Hour)}}}
	seen := broken(func() { h.Step(settled, Wanted{run("b"), 0.1}) })
	is.Equal(seen.(invariant.Violation).Name, invariantID)
	m := NewMember(start, config)
	m.loans = []part{{run("a"), 0.2, settled.Add(time.Hour)}}
	seen = broken(func() { m.Step(settled, Take{Quota: 1, Tasks: 1}) })
	is.Equal(seen.(invariant.Violation).Name, invariantID)
}
