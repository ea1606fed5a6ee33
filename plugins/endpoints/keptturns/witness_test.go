package keptturns

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func update(number uint64, kept bool) Update {
	return Update{Keeper{"m", "i1"}, number, kept, 20 * time.Second}
}

// Guards against a resent job that runs beside a late start of a member that has died before it could tell anyone but its witnesses.
func TestWitnessTellsAllOnceTheKeeperIsSilent(t *testing.T) {
	is := is.New(t)
	var w Witness
	w.Apply(now, update(1, true))
	renewed := now.Add(RenewalInterval)
	w.Apply(renewed, update(2, true))
	tell, forget := w.Elapsed(now.Add(patience))
	is.True(!tell && !forget) // The keeper has renewed its word.
	due := w.NextTimer()
	is.Equal(due, renewed.Add(patience))
	is.True(due.Sub(now) < 1300*time.Millisecond) // Before the caller sends its job again.
	tell, forget = w.Elapsed(due)
	is.True(tell && !forget)
	tell, _ = w.Elapsed(due)
	is.True(!tell) // Once is enough.
	_, forget = w.Elapsed(w.NextTimer())
	is.True(forget)
}

// Guards against messages to all members for each start that is answered late, and against tasks that wait for nothing.
func TestWitnessTellsNobodyOfATurnThatIsGivenBack(t *testing.T) {
	is := is.New(t)
	var w Witness
	is.True(!w.Apply(now, update(2, false)))
	is.True(!w.Apply(now, update(1, true))) // It was overtaken.
	tell, forget := w.Elapsed(now.Add(patience))
	is.True(!tell && !forget)
	tell, forget = w.Elapsed(w.NextTimer())
	is.True(!tell && forget)
}

// Guards against a turn that stays kept for all others after its keeper, which was only slow, has given it back.
func TestWitnessPassesOnThatATurnOfWhichItHasToldIsGivenBack(t *testing.T) {
	is := is.New(t)
	var w Witness
	w.Apply(now, update(1, true))
	tell, _ := w.Elapsed(now.Add(patience))
	is.True(tell)
	is.True(!w.Apply(now.Add(time.Second), update(2, true)))
	_, forget := w.Elapsed(now.Add(10 * time.Second))
	is.True(!forget)
	is.True(w.Apply(now.Add(11*time.Second), update(3, false)))
}

// Guards against a member that spends its time on telling its witnesses, while most endpoints are slow.
func TestBudgetBoundsTheStartsOfWhichWitnessesAreTold(t *testing.T) {
	is := is.New(t)
	var b Budget
	took := 0
	for at := now; at.Before(now.Add(10 * time.Second)); at = at.Add(time.Millisecond) {
		if b.Take(at) {
			took++
		}
	}
	is.Equal(took, int(budgetBurst+10*budgetRate)-1)
	is.True(b.Take(now.Add(20 * time.Second)))
}
