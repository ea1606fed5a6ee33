package poolstate

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"redwingpulley/kernel/model"
	"redwingpulley/kernel/port"
)

// speedSim is a pool on a virtual clock whose endpoints differ in speed: those with an address that begins with "slow" take 1.7 times
// the nominal run time and have 3 slots, the others 0.7 times and 2 slots.
type speedSim struct {
	*harness
	running   []speedRun
	longFast  int // Long tasks that were started at fast endpoints.
	longSlow  int
	unstarted int
}

type speedRun struct {
	start Start
	ends  time.Time
}

// warmUp is the time in which the pool learns the classes of run times and the speeds.
const warmUp = 15 * time.Second

const nominalLong, nominalShort = 800 * time.Millisecond, 50 * time.Millisecond

func newSpeedSim(fast, slow int) *speedSim {
	created := Created{Pool: finderPool, Owner: "sj1-a", Seed: 1, LearnSpeeds: true}
	s := &speedSim{harness: &harness{now: start, Machine: created.Machine(shipped)}}
	for i := range fast + slow {
		s.announceKind(i, i >= fast)
	}
	return s
}

func (s *speedSim) announceKind(i int, slow bool) {
	e := model.Endpoint{ID: model.EndpointID(fmt.Sprint("e", i)), Address: fmt.Sprint("fast", i), Kind: "a", Slots: 2, State: model.EndpointServing, Lease: time.Hour}
	if slow {
		e.Address, e.Kind, e.Slots = fmt.Sprint("slow", i), "b", 3
	}
	s.step(Announced{Endpoint: e})
}

// submitRun submits a job of one task with an objective of 1.6 times its run time and 60 ms.
func (s *speedSim) submitRun(run time.Duration) {
	s.jobs++
	s.unstarted++
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
		slow := t.endpoint.Kind == "b"
		run := t.spec().Declared * 7 / 10
		if slow {
			run = t.spec().Declared * 17 / 10
		}
		switch {
		case t.spec().Declared != nominalLong:
		case slow:
			s.longSlow++
		default:
			s.longFast++
		}
		s.unstarted--
		s.running = append(s.running, speedRun{started, s.now.Add(run)})
	}
}

// pass lets a time pass in which tasks end.
func (s *speedSim) pass(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); {
		s.now = s.now.Add(time.Millisecond)
		s.take(s.step(Elapsed{}))
		due := slices.IndexFunc(s.running, func(r speedRun) bool { return !r.ends.After(s.now) })
		for ; due >= 0; due = slices.IndexFunc(s.running, func(r speedRun) bool { return !r.ends.After(s.now) }) {
			ended := s.running[due].start
			s.running = slices.Delete(s.running, due, due+1)
			s.take(s.reply(ended, port.TaskDone))
		}
	}
}

// run lets a time pass in which a short task arrives every 8 ms and a long one every 200 ms.
func (s *speedSim) run(d time.Duration) {
	for i := range int(d / (8 * time.Millisecond)) {
		s.pass(8 * time.Millisecond)
		s.submitRun(nominalShort)
		if i%25 == 0 {
			s.submitRun(nominalLong)
		}
	}
}

// Guards against long tasks that are late at slow endpoints while short ones take the fast ones, and against tasks that never start.
func TestLongTasksRunAtFastEndpointsBesideShortOnes(t *testing.T) {
	is := is.New(t)
	s := newSpeedSim(4, 2)
	s.run(warmUp)
	s.longFast, s.longSlow = 0, 0
	s.run(20 * time.Second)
	t.Logf("long tasks: %d at fast endpoints, %d at slow ones; %d tasks wait", s.longFast, s.longSlow, s.unstarted)
	is.True(s.longFast >= 19*s.longSlow)
	is.True(s.unstarted < 10)
	is.True(s.Load().FreeFast <= s.Load().Free)
	fast, slow := s.factor(s.endpoints["e0"]), s.factor(s.endpoints["e4"])
	t.Logf("factors: %.2f and %.2f", fast, slow)
	is.True(slow/fast > 2 && slow/fast < 2.8)
}

// Guards against a task that waits for a fast endpoint for ever when nothing else happens in the pool.
func TestTaskThatWaitedInVainStartsAtASlowEndpoint(t *testing.T) {
	is := is.New(t)
	s := newSpeedSim(4, 2)
	s.run(warmUp)
	s.pass(2 * time.Second)
	s.longSlow = 0
	for range 9 { // One more than there are slots at fast endpoints.
		s.submitRun(nominalLong)
	}
	is.Equal(s.unstarted, 1)
	for submitted := s.now; s.unstarted > 0; { // None of the others answers.
		at, ok := s.NextTimer()
		is.True(ok && at.Sub(submitted) < time.Second)
		s.now = at
		s.take(s.step(Elapsed{}))
	}
	is.Equal(s.longSlow, 1)
}

// Guards against a planned move after which the pool takes all endpoints for equally fast.
func TestNextOwnerKnowsTheSpeeds(t *testing.T) {
	is := is.New(t)
	s := newSpeedSim(4, 2)
	s.run(warmUp)
	next := newSpeedSim(0, 0)
	for _, e := range s.Handover() {
		next.step(Announced{Endpoint: e, HandedOver: true})
	}
	is.True(next.factor(next.endpoints["e4"])/next.factor(next.endpoints["e0"]) > 1.6)
}
