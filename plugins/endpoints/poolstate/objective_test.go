package poolstate

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"redwingpulley/kernel/model"
	"redwingpulley/kernel/port"
	"redwingpulley/plugins/endpoints/runtimes"
)

// learnRunTime makes the pool learn that tasks run for 100 ms.
func (h *harness) learnRunTime() {
	for range 4 * runtimes.PriorSamples {
		h.jobs++
		fx := h.submit(model.JobID(fmt.Sprintf("n.i.1.%d.t", h.jobs)), "t", 1)
		h.now = h.now.Add(100 * time.Millisecond)
		h.advance(0)
		h.reply(fx.Starts[0], port.TaskDone)
	}
}

// submitWithObjective submits a job of one task whose objective allows a wait of 260 ms.
func (h *harness) submitWithObjective(whole bool) Effects { return h.submitFor("t", whole, 3) }

// submitFor does so for a team, with an answer that is of use for a multiple of the objective.
func (h *harness) submitFor(team model.TeamID, whole bool, useful float64) Effects {
	h.jobs++
	return h.step(Submitted{model.Batch{
		ID: model.BatchID{Job: model.JobID(fmt.Sprintf("n.i.1.%d.t", h.jobs))}, Pool: finderPool, Team: team,
		Deadline: h.now.Add(10 * time.Second), Key: "k", MaxFailures: 1, Whole: whole,
		Objective: model.Objective{Stretch: 1.6, Slack: 200 * time.Millisecond, Useful: useful},
		Tasks:     []model.Task{{Index: 0}},
	}, model.BuiltInProfile()})
}

func TestJobThatWouldMissItsObjectiveIsRefused(t *testing.T) {
	is := is.New(t)
	h := newHarness(1)
	h.learnRunTime()
	is.Equal(len(h.submitWithObjective(true).Starts), 1)
	is.Equal(len(h.submitWithObjective(true).Ended), 0) // Waits 100 ms, and for what its team sends meanwhile.
	fx := h.submitWithObjective(true)
	is.True(fx.Ended[0].Refused)
	is.Equal(fx.Ended[0].Reason, model.ReasonOverload)
	is.True(fx.Ended[0].RetryAfter > 0)
	is.Equal(len(h.submitWithObjective(false).Ended), 0) // Other parts of its job may have started.
}

// Guards against parts of jobs that take slots, or wait until their deadlines, although nobody has any use for their answers.
func TestQueuedJobIsCancelledWhenItsAnswerIsOfNoUse(t *testing.T) {
	for _, whole := range []bool{true, false} {
		t.Run(fmt.Sprint("whole ", whole), func(t *testing.T) {
			is := is.New(t)
			h := newHarness(1)
			h.learnRunTime()
			running := h.submitWithObjective(whole).Starts[0] // Does not end before the check below.
			h.submitWithObjective(whole)
			var ended []model.BatchResult
			startedAt := h.now
			for h.now.Sub(startedAt) < 2*time.Second {
				h.now = h.now.Add(50 * time.Millisecond)
				ended = append(ended, h.step(Elapsed{}).Ended...)
			}
			is.Equal(len(ended), 1)
			is.Equal(ended[0].Results[0].Run, model.NotRun)
			fx := h.reply(running, port.TaskDone) // The running job goes on, since its answer is still of use.
			is.True(fx.Ended[0].Results[0].Done)
		})
	}
}
