package poolstate

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"redwingpulley/kernel/model"
	"redwingpulley/kernel/port"
)

// kinds are the kinds of the endpoints of a speedSim: their slots, and their run times in tenths of the nominal one.
var kinds = map[string]struct{ slots, tenths int }{"fast": {2, 7}, "slow": {3, 17}}

const nominalLong, nominalShort = 800 * time.Millisecond, 50 * time.Millisecond

// warmUp is the time in which the pool learns the classes of run times and the speeds.
const warmUp = 15 * time.Second

// speedSim is a pool of endpoints of two kinds on a virtual clock.
type speedSim struct {
	*harness
	ends    map[time.Time][]Start // Runs by the time at which they end.
	long    map[string]int        // Starts of long tasks, by the kind of the endpoint.
	waiting int                   // Tasks that have not been started.
}

func newSpeedSim(endpoints ...string) *speedSim {
	machine := Created{Pool: finderPool, Owner: "sj1-a", Seed: 1, LearnSpeeds: true}.Machine(shipped)
	s := &speedSim{harness: &harness{now: start, Machine: machine}, ends: map[time.Time][]Start{}, long: map[string]int{}}
	for i, kind := range endpoints {
		s.step(Announced{Endpoint: model.Endpoint{
			ID: model.EndpointID(fmt.Sprint("e", i)), Address: fmt.Sprint(i), Kind: kind, Slots: kinds[kind].slots,
			State: model.EndpointServing, Lease: time.Hour, Leased: true,
		}})
	}
	return s
}

// newWarmSpeedSim returns a pool of 4 fast and 2 slow endpoints that has learned their speeds.
func newWarmSpeedSim() *speedSim {
	s := newSpeedSim("fast", "fast", "fast", "fast", "slow", "slow")
	s.run(warmUp)
	clear(s.long)
	return s
}

// submitRun submits a job of one task with an objective of 1.6 times its run time and 60 ms.
func (s *speedSim) submitRun(run time.Duration) {
	s.jobs++
	s.waiting++
	s.take(s.step(Submitted{model.Batch{
		ID: model.BatchID{Job: model.JobID(fmt.Sprintf("n.i.1.%d.t", s.jobs))}, Pool: finderPool, Team: model.TeamID(run.String()),
		Deadline: s.now.Add(10 * time.Second), Objective: model.Objective{Stretch: 1.6, Slack: 60 * time.Millisecond, Useful: 3},
		Tasks: []model.Task{{Index: 0, Declared: run}},
	}, model.BuiltInProfile()}))
}

// take records the starts of a step, with the ends of their runs.
func (s *speedSim) take(fx Effects) {
	for _, started := range fx.Starts {
		t := s.inFlight[started.Task]
		if t.spec().Declared == nominalLong {
			s.long[t.endpoint.Kind]++
		}
		s.waiting--
		end := s.now.Add(t.spec().Declared * time.Duration(kinds[t.endpoint.Kind].tenths) / 10)
		s.ends[end] = append(s.ends[end], started)
	}
}

// pass lets a time pass in which tasks end.
func (s *speedSim) pass(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); {
		s.now = s.now.Add(time.Millisecond)
		s.take(s.step(Elapsed{}))
		for _, ended := range s.ends[s.now] {
			s.take(s.reply(ended, port.TaskDone))
		}
	}
}

// run lets a time pass in which a short task arrives every 5 ms and a long one every 200 ms.
func (s *speedSim) run(d time.Duration) {
	for i := range int(d / (5 * time.Millisecond)) {
		s.pass(5 * time.Millisecond)
		s.submitRun(nominalShort)
		if i%40 == 0 {
			s.submitRun(nominalLong)
		}
	}
}

// Guards against long tasks that are late at slow endpoints while short ones take the fast ones, and against tasks that never start.
func TestLongTasksRunAtFastEndpointsBesideShortOnes(t *testing.T) {
	is := is.New(t)
	s := newWarmSpeedSim()
	s.run(20 * time.Second)
	t.Logf("long tasks by the kind of their endpoints: %v; %d tasks wait", s.long, s.waiting)
	is.True(s.long["fast"] >= 19*s.long["slow"])
	is.True(s.waiting < 10)
	ratio := s.factor(s.endpoints["e4"]) / s.factor(s.endpoints["e0"])
	is.True(ratio > 2 && ratio < 2.8)
}

// Guards against a task that waits for a fast endpoint for ever when nothing else happens in the pool.
func TestTaskThatWaitedInVainStartsAtASlowEndpoint(t *testing.T) {
	is := is.New(t)
	s := newWarmSpeedSim()
	s.pass(2 * time.Second)
	clear(s.long)
	for range 9 { // One more than there are slots at fast endpoints.
		s.submitRun(nominalLong)
	}
	is.Equal(s.waiting, 1)
	for submitted := s.now; s.waiting > 0; { // None of the others answers.
		at, ok := s.NextTimer()
		is.True(ok && at.Sub(submitted) < time.Second)
		s.now = at
		s.take(s.step(Elapsed{}))
	}
	is.Equal(s.long["slow"], 1)
}

// Guards against a planned move after which the pool takes all endpoints for equally fast, and against run times at slow endpoints
// that count as those at typical ones once no endpoint of the former owner's pool gets work.
func TestSpeedsAreKnownAfterAMove(t *testing.T) {
	is := is.New(t)
	former, next := newWarmSpeedSim(), newSpeedSim()
	for _, e := range former.Handover() {
		next.step(Announced{Endpoint: e, HandedOver: true})
	}
	former.step(Disowned{})
	is.Equal(former.Load().Slots, 0)
	is.True(former.factor(former.endpoints["e4"])/former.factor(former.endpoints["e0"]) > 2)
	is.True(next.factor(next.endpoints["e4"])/next.factor(next.endpoints["e0"]) > 1.6)
}
