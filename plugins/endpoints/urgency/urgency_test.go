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
	is.Equal(Charge(time.Second, Weight(0)), time.Second)
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

// Load: a burst of refusals. Guards against callers that return together, against less urgent ones that return first, and against
// advice to return when the deadline is over.
func TestRetryAfterGrowsWithRefusalsAndPriority(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(1, 1))
	var r Refusals
	mean := func(at time.Duration, priority int) (sum time.Duration) {
		for range 20 {
			b := Refused{RoomIn: 200 * time.Millisecond, PoolTime: 10 * time.Millisecond, Left: 4 * time.Second, Priority: priority}
			sum += r.RetryAfter(now.Add(at), b, random.Float64()) / 20
		}
		return sum
	}
	first := mean(0, 0)
	is.True(first > 200*time.Millisecond && first < 500*time.Millisecond)
	is.True(mean(0, 0) > first)
	is.True(mean(time.Minute, 2) > 2*first) // The earlier refusals are forgotten.
	is.True(r.RetryAfter(now, Refused{RoomIn: time.Minute, Left: time.Second}, 0.9) < time.Second)
}
