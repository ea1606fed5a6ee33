package poolstate

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"redwingpulley/kernel/model"
	"redwingpulley/kernel/port"
	"redwingpulley/plugins/endpoints/urgency"
)

const usualRun = 100 * time.Millisecond

// submitDue submits a batch that has to end within a time.
func (h *harness) submitDue(tasks int, within time.Duration) Effects {
	h.jobs++
	return h.step(Submitted{model.Batch{
		ID: model.BatchID{Job: model.JobID(fmt.Sprintf("n.i.1.%d.t", h.jobs))}, Pool: finderPool, Team: "t",
		Deadline: h.now.Add(within), Tasks: tasksNumbered(tasks),
	}, model.BuiltInProfile()})
}

// revoked reports the outcome of a revoke.
func (h *harness) revoked(s Start, reply port.RevokeReply) {
	h.step(RevokeReplied{s.Task, s.Attempt, reply})
}

// Guards against refusals after a disconnection of endpoints: the late outcomes of its runs were taken for run times, and jobs
// were refused for seconds while slots were free.
func TestLateOutcomesAfterADisconnectionChangeNoEstimate(t *testing.T) {
	const away = 900 * time.Millisecond
	for name, outcome := range map[string]func(h *harness, s Start){
		"reported by its lease": func(h *harness, s Start) {
			h.step(Replied{Task: s.Task, Attempt: s.Attempt, Reply: port.TaskReply{State: port.TaskDone, TimeUnknown: true}})
		},
		"found by a revoke": func(h *harness, s Start) {
			h.reply(s, port.TaskUnknown)
			h.revoked(s, port.RevokeReply{State: port.TaskDone})
		},
		"after the end of the announcements": func(h *harness, s Start) {
			h.advance(DefaultEndpointLease)
			if t, inFlight := h.inFlight[s.Task]; inFlight {
				t.unlistedSince = time.Time{} // As at a leased endpoint, which lists no tasks.
			}
			h.reply(s, port.TaskDone)
		},
		"after it was no longer listed": func(h *harness, s Start) {
			h.advance(2 * port.MaxTimingError)
			h.reply(s, port.TaskDone)
		},
		"after a pause of this process": func(h *harness, s Start) {
			h.step(Resumed{})
			h.reply(s, port.TaskDone)
		},
		"lost after a cancellation": func(h *harness, s Start) {
			h.step(Cancelled{model.BatchID{Job: s.Task.Job()}})
			h.reply(s, port.TaskLost)
		},
		"stopped late": func(h *harness, s Start) {
			h.step(Cancelled{model.BatchID{Job: s.Task.Job()}})
			h.revoked(s, port.RevokeReply{State: port.TaskStopped, TimeUnknown: true})
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := newHarness(4, 4, 4, 4)
			h.learnRunTime()
			before := h.runTimes.Batch("t", 4)
			before.Add(0, time.Hour)
			disconnected := h.submitDue(4, 10*time.Second).Starts // As many as a quarter of the slots.
			h.advance(away)
			for _, s := range disconnected {
				outcome(h, s)
			}
			after := h.runTimes.Batch("t", 4)
			after.Add(0, time.Hour)
			is.Equal([]time.Duration{after.MedianLongest, after.P95Longest, after.Work}, []time.Duration{before.MedianLongest, before.P95Longest, before.Work})
			h.advance(0)
			is.Equal(len(h.submitDue(4, 2*usualRun).Starts), 4)
		})
	}
}

// Guards against stopped runs of which nothing is learned, so that a class whose runs never end in time keeps its estimate, and against
// a team that has slots for nothing until the end of its stopped runs is known.
func TestRunsThatWereStoppedInContactAreKnownToBeLonger(t *testing.T) {
	is := is.New(t)
	h := newHarness(4)
	h.learnRunTime()
	before := h.Load().MeanRun
	starts := h.submitDue(4, 10*time.Second).Starts
	h.advance(8 * usualRun)
	h.step(Cancelled{model.BatchID{Job: starts[0].Task.Job()}})
	h.advance(time.Second) // Not a part of the runs.
	charged := h.queue.teams["t"].charged
	for _, s := range starts {
		h.revoked(s, port.RevokeReply{State: port.TaskStopped})
	}
	is.True(h.Load().MeanRun > before)
	is.True(h.Load().MeanRun < before+usualRun)
	is.True(h.queue.teams["t"].charged-charged > urgency.Charge(4*(time.Second+6*usualRun), urgency.Weight(0)))
}

// Guards against refusals because of a class's long tail: 3% of the runs take 7 times as long as the others, longer than the jobs may.
func TestLongTailCausesNoRefusalWhileSlotsAreFree(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(1, 1))
	h := newHarness(8, 8)
	for range 500 {
		starts := h.submitDue(8, 4*usualRun).Starts
		is.Equal(len(starts), 8) // Accepted.
		h.advance(usualRun)
		starts = slices.DeleteFunc(starts, func(s Start) bool {
			short := random.Float64() >= 0.03
			if short {
				h.reply(s, port.TaskDone)
			}
			return short
		})
		h.advance(3 * usualRun) // To the deadline, when the long runs are stopped.
		for _, s := range starts {
			h.revoked(s, port.RevokeReply{State: port.TaskStopped})
		}
	}
}
