package poolstate

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"redwingpulley/kernel/model"
)

// simSeeds are the seeds of the traces in the tests below. The bounds in these tests are the project's
// targets.
var simSeeds = []uint64{1, 2, 3}

func newTrace(seed uint64, load float64) simTrace {
	return simTrace{seed: seed, endpoints: 13, load: load, length: 30 * time.Second, deadline: 10 * time.Second, teams: 12}
}

func simulateDefaults(trace simTrace) []*simJob {
	return simulate(trace, model.BuiltInProfile(), func(*Machine) {})
}

func TestResponseTimeIsNearThatOfClairvoyantQueue(t *testing.T) {
	is := is.New(t)
	for _, seed := range simSeeds {
		half, high := newTrace(seed, 0.5), newTrace(seed, 0.85)
		is.True(summarize(half, simulateDefaults(half), all).overIdeal <= 1.05)
		is.True(summarize(high, simulateDefaults(high), all).overIdeal <= 1.20)
	}
}

func TestOverloadWastesNoSlotTime(t *testing.T) {
	is := is.New(t)
	for _, seed := range simSeeds {
		trace := newTrace(seed, 1.5)
		r := summarize(trace, simulateDefaults(trace), all)
		t.Logf("%+v", r)
		is.True(r.wasted < 0.005)
		is.True(r.useful > 0.95) // Refusing all jobs would waste nothing either.
	}
}

func TestBurstCausesNoLateAnswers(t *testing.T) {
	is := is.New(t)
	for _, seed := range simSeeds {
		trace := newTrace(seed, 0.5)
		trace.length = 45 * time.Second
		trace.burstAt, trace.burst, trace.burstLoad = 30*time.Second, 2*time.Second, 5
		r := summarize(trace, simulateDefaults(trace), all)
		t.Logf("%+v", r)
		is.Equal(r.late, 0)
	}
}

func TestNoisyTeamDoesNotDelayOthers(t *testing.T) {
	is := is.New(t)
	quiet := func(j *simJob) bool { return j.team != 0 }
	var baseline, noisy time.Duration
	for _, seed := range simSeeds {
		trace := newTrace(seed, 0.6)
		baseline += summarize(trace, simulateDefaults(trace), quiet).p99
		trace.noisy = 9 * trace.load / float64(trace.teams) // Team 0 sends ten times its share in total.
		noisy += summarize(trace, simulateDefaults(trace), quiet).p99
	}
	t.Logf("p99 of the other teams: %v, with the noisy team %v", baseline/3, noisy/3)
	is.True(float64(noisy) < 1.10*float64(baseline))
}
