package urgency

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"redwingpulley/kernel/model"
)

var now = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Guards against priorities that change the shares of teams of equal priority, or that let one starve.
func TestWeightsHalveWithEachPriority(t *testing.T) {
	is := is.New(t)
	for priority := range model.MaxPriority {
		is.Equal(Weight(priority), 2*Weight(priority+1))
	}
	is.Equal(Weight(1000), 1)
	is.Equal(Weight(-1), Weight(0))
	is.Equal(Charge(time.Second, Weight(0)), time.Second)
	is.Equal(Charge(time.Second, Weight(2)), 4*time.Second)
	is.Equal(WorkFor(Charge(time.Second, Weight(2)), Weight(2)), time.Second)
}

// Guards against a late batch that goes first because it has waited for longest.
func TestOrderOfBatches(t *testing.T) {
	is := is.New(t)
	places := []Place{
		{Order: 9},
		{Key: now, Order: 1}, {Key: now, Order: 2}, {Key: now.Add(1), Order: 0},
		{Late: true, Key: now.Add(-time.Second), Order: 3}, {Late: true, Key: now, Order: 4},
	}
	for i := range places {
		for k := range places {
			is.Equal(places[i].Before(&places[k]), i < k)
		}
	}
}

// Guards against an objective that extends a deadline, and against jobs without one that are dropped.
func TestTermsEndAtTheDeadline(t *testing.T) {
	is := is.New(t)
	terms := Terms{Submitted: now, Longest: 100 * time.Millisecond, Deadline: now.Add(500 * time.Millisecond)}
	is.Equal(terms.InTimeUntil(), terms.Deadline)
	is.Equal(terms.UsefulUntil(), terms.Deadline)
	terms.Objective = model.Objective{Stretch: 1.6, Slack: 60 * time.Millisecond, Useful: 3}
	is.Equal(terms.InTimeUntil(), now.Add(220*time.Millisecond))
	is.Equal(terms.UsefulUntil(), terms.Deadline)
}

// Load: a burst of refusals. Guards against callers that return together, against less urgent ones that return first, and against
// advice to return when the deadline is over.
func TestRetryAfterGrowsWithRefusalsAndPriority(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(1, 1))
	var r Refusals
	at := now
	mean := func(priority, refused int) (sum time.Duration) {
		for range refused {
			b := Refused{Until: 200 * time.Millisecond, Each: 10 * time.Millisecond, Left: 4 * time.Second, Priority: priority}
			after := r.RetryAfter(at, b, random.Float64())
			is.True(after >= minRetryAfter && after <= 4*time.Second)
			sum += after
		}
		return sum / time.Duration(refused)
	}
	first := mean(0, 20)
	is.True(first < 500*time.Millisecond)
	is.True(mean(0, 20) > first)
	at = at.Add(time.Minute)
	is.True(mean(2, 20) > 2*first)
	at = at.Add(time.Minute)
	again := mean(0, 20)
	is.True(again < first*5/4 && again > first*3/4) // The earlier refusals are forgotten.
	late := r.RetryAfter(at, Refused{Until: time.Minute, Left: time.Second}, 0.9)
	is.True(late < time.Second)
}
