package poolstate

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"redwingpulley/kernel/model"
)

// Guards against an explanation that tells something else than the pool then decides, and against one that leaves traces.
func TestJudgedBatchGetsTheSameVerdictAndLeavesNoTrace(t *testing.T) {
	is := is.New(t)
	h := newHarness(2)
	h.learnRunTime()
	s := Submitted{Profile: model.BuiltInProfile(), Batch: model.Batch{
		ID: model.BatchID{Job: "n.i.1.x.t"}, Pool: finderPool, Team: "new", Tasks: make([]model.Task, 1), Deadline: h.now.Add(time.Second),
	}}
	is.True(h.Judge(h.now, s).Admit)
	is.Equal(len(h.queue.teams), 1)
	is.Equal(h.OpenBatches(), 0)
	is.Equal(len(h.step(s).Starts), 1)

	s.Batch.ID.Part, s.Batch.Tasks = 1, make([]model.Task, 100) // 50 rounds of 100 ms.
	verdict := h.Judge(h.now, s)
	ended := h.step(s).Ended
	is.Equal(verdict.Reason, model.ReasonOverload)
	is.True(ended[0].Refused && ended[0].Reason == verdict.Reason)
	is.True(ended[0].RetryAfter >= min(verdict.RetryAfter, s.Batch.Deadline.Sub(h.now)/2)) // The caller's delay is spread beyond that.
}
