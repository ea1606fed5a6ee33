package jobstate

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"redwingpulley/kernel/invariant"
	"redwingpulley/kernel/model"
	"redwingpulley/kernel/port"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

var retention = Retention{Answers: time.Minute, Until: start.Add(10 * time.Minute)}

// newPlannedJob returns a job after its first plan, and the effects of that plan: part 0 holds the
// first half of the tasks, at pool sj1, and part 1 the second half, at pool sj2.
func newPlannedJob(tasks int) (*Job, Effects) {
	job := model.Job{ID: "j", Service: "finder", Team: "t", Deadline: start.Add(time.Second)}
	var all []int
	for i := range tasks {
		job.Tasks = append(job.Tasks, model.Task{Index: i})
		all = append(all, i)
	}
	j := New(job, "sj1-a", retention)
	half := tasks / 2
	fx := j.Step(start, Planned{port.Plan{Parts: []port.PlanPart{
		{Pool: pool("sj1"), Owner: "sj1-a", Tasks: all[:half]}, {Pool: pool("sj2"), Owner: "sj2-a", Tasks: all[half:]},
	}}})
	return j, fx
}

func pool(at model.DataCentre) model.PoolID { return model.PoolID{Service: "finder", DataCentre: at} }

// completedBatch returns the end of a part whose tasks of the given indices have an answer.
func completedBatch(part int, indices ...int) BatchEnded {
	result := model.BatchResult{ID: model.BatchID{Job: "j", Part: part}}
	for _, i := range indices {
		result.Results = append(result.Results, model.TaskResult{Index: i, Done: true, Answer: []byte{byte(i)}})
	}
	return BatchEnded{result}
}

// unfinishedBatch returns the end of a part whose tasks of the given indices have no answer, all with
// the same run state.
func unfinishedBatch(part int, run model.RunState, indices ...int) BatchEnded {
	e := completedBatch(part, indices...)
	for i := range e.Result.Results {
		e.Result.Results[i].Done = false
		e.Result.Results[i].Run = run
		e.Result.Results[i].Reason = model.ReasonCancelled
	}
	return e
}

// refusedBatch returns the end of a part that its pool refused as overloaded.
func refusedBatch(part int) BatchEnded {
	return BatchEnded{model.RefusedBatch(model.BatchID{Job: "j", Part: part}, model.ReasonOverload)}
}

func TestJobCompletesOnlyWithAllAnswers(t *testing.T) {
	is := is.New(t)
	j, fx := newPlannedJob(4)
	is.Equal(len(fx.Sends), 2)
	is.True(!j.Step(start, completedBatch(1, 3, 2)).Ended)
	is.Equal(j.Outcome().State, model.StateRunning)
	is.True(j.Step(start, completedBatch(0, 0, 1)).Ended)
	is.Equal(j.Outcome().State, model.StateComplete)
	is.Equal(j.Outcome().Answers, [][]byte{{0}, {1}, {2}, {3}})
}

func TestReplannedPartKeepsItsTasks(t *testing.T) {
	is := is.New(t)
	j, _ := newPlannedJob(4)
	fx := j.Step(start, refusedBatch(1))
	is.Equal(fx.Replan.Avoid, []model.PoolID{pool("sj2")})
	is.Equal(len(fx.Replan.Job.Tasks), 2)
	fx = j.Step(start, Replanned{1, port.Plan{Parts: []port.PlanPart{{Pool: pool("sj3"), Owner: "sj3-a", Tasks: []int{0, 1}}}}})
	is.Equal(fx.Sends[0].Batch.ID.Part, 2)
	is.Equal(fx.Sends[0].Batch.Tasks, []model.Task{{Index: 2}, {Index: 3}})
	j.Step(start, completedBatch(0, 0, 1))
	j.Step(start, completedBatch(2, 2, 3))
	is.Equal(j.Outcome().State, model.StateComplete)
}

// Replans after a pool has moved to another owner do not use the retry budget, but a part that is sent
// back and forth between members has to use it in the end.
func TestMovedPoolReplansAreFreeUpToLimit(t *testing.T) {
	is := is.New(t)
	j, _ := newPlannedJob(4)
	refuseAsMoved := func(part int) *Replan {
		return j.Step(start, BatchEnded{model.RefusedBatch(model.BatchID{Job: "j", Part: part}, model.ReasonMoved)}).Replan
	}
	newPlan := port.Plan{Parts: []port.PlanPart{{Pool: pool("sj2"), Owner: "sj2-b", Tasks: []int{0, 1}}}}
	replan := refuseAsMoved(1)
	is.True(replan.Free)
	is.Equal(len(replan.Avoid), 0)
	for part := 1; part < maxFreeParts; part++ {
		j.Step(start, Replanned{replan.Part, newPlan})
		replan = refuseAsMoved(part + 1)
	}
	is.True(!replan.Free)
}

// Pattern: members disagree for seconds on who owns a pool, as after a mass restart, and the pool looks free to the job's
// owner. Guards against a job that is sent there until its retry budget is used up, beside free pools elsewhere.
func TestPoolThatMovedTwiceIsAvoided(t *testing.T) {
	is := is.New(t)
	j, _ := newPlannedJob(4)
	refuseAsMoved := func(part int) *Replan {
		return j.Step(start, BatchEnded{model.RefusedBatch(model.BatchID{Job: "j", Part: part}, model.ReasonMoved)}).Replan
	}
	replan := refuseAsMoved(1)
	is.Equal(len(replan.Moved), 0) // The job's owner may have learned of the next owner by now.
	j.Step(start, Replanned{replan.Part, port.Plan{Parts: []port.PlanPart{{Pool: pool("sj2"), Owner: "sj2-b", Tasks: []int{0, 1}}}}})
	replan = refuseAsMoved(2)
	is.Equal(replan.Moved, []model.PoolID{pool("sj2")})
	is.Equal(len(replan.Avoid), 0)
}

func TestRefusedJobRunStateFollowsOtherParts(t *testing.T) {
	for name, c := range map[string]struct {
		other BatchEnded
		run   model.RunState
	}{
		"other part refused as well":             {refusedBatch(0), model.NotRun},
		"other part queued but never started":    {unfinishedBatch(0, model.NotRun, 0, 1), model.NotRun},
		"other part may have run":                {unfinishedBatch(0, model.MayHaveRun, 0, 1), model.MayHaveRun},
		"other part completed":                   {completedBatch(0, 0, 1), model.MayHaveRun},
		"result of one of its two tasks missing": {unfinishedBatch(0, model.NotRun, 0), model.MayHaveRun},
		"result of a task of another part":       {unfinishedBatch(0, model.NotRun, 0, 3), model.MayHaveRun},
		"two results of the same task":           {unfinishedBatch(0, model.NotRun, 0, 0), model.MayHaveRun},
		"result of an index out of range":        {unfinishedBatch(0, model.NotRun, 0, 99), model.MayHaveRun},
		"no results at all":                      {unfinishedBatch(0, model.NotRun), model.MayHaveRun},
		"one of its two tasks completed":         {BatchEnded{model.BatchResult{ID: model.BatchID{Job: "j"}, Results: append(unfinishedBatch(0, model.NotRun, 0).Result.Results, completedBatch(0, 1).Result.Results...)}}, model.MayHaveRun},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			j, _ := newPlannedJob(4)
			j.Step(start, refusedBatch(1))
			fx := j.Step(start, Replanned{Part: 1})
			is.Equal(fx.Cancels, []int{0})
			is.True(!fx.Ended) // It is not known yet whether the other part ran.
			is.True(j.Step(start, c.other).Ended)
			is.Equal(j.Outcome().Run, c.run)
			is.Equal(j.Outcome().Reason, model.ReasonOverload)
			is.Equal(j.Outcome().Answers, nil)
		})
	}
}

func TestDeadlineEndsJobWithPartsInFlight(t *testing.T) {
	is := is.New(t)
	j, _ := newPlannedJob(2)
	is.True(!j.Step(start, Elapsed{}).Ended) // A timer that fires early changes nothing.
	fx := j.Step(j.NextTimer(), Elapsed{})
	is.True(fx.Ended)
	is.Equal(fx.Cancels, []int{0, 1})
	is.Equal(j.Outcome().Run, model.MayHaveRun)
	is.Equal(j.Outcome().Reason, model.ReasonDeadline)
}

func TestBatchDeadlineLeavesMarginForRunState(t *testing.T) {
	is := is.New(t)
	j, fx := newPlannedJob(2)
	for _, s := range fx.Sends {
		is.True(s.Batch.Deadline.Before(j.NextTimer()))
		is.True(s.Batch.Deadline.Add(maxDeadlineMargin + 1).After(j.NextTimer()))
	}
	at := fx.Sends[0].Batch.Deadline
	j.Step(at, unfinishedBatch(0, model.NotRun, 0))
	j.Step(at, unfinishedBatch(1, model.NotRun, 1))
	is.Equal(j.Outcome().Run, model.NotRun)
}

func TestEndedJobIgnoresEvents(t *testing.T) {
	is := is.New(t)
	j, _ := newPlannedJob(2)
	j.Step(start, Cancelled{})
	j.Step(start, unfinishedBatch(0, model.NotRun, 0))
	j.Step(start, unfinishedBatch(1, model.NotRun, 1))
	before := j.Outcome()
	is.Equal(before, model.Failed("j", model.NotRun, model.ReasonCancelled))
	is.True(!j.Step(start, completedBatch(0, 0)).Ended)
	is.Equal(j.Outcome(), before)
}

func TestOutcomeOutlivesAnswers(t *testing.T) {
	is := is.New(t)
	j, _ := newPlannedJob(2)
	j.Step(start, completedBatch(0, 0))
	j.Step(start, completedBatch(1, 1))
	is.Equal(j.NextTimer(), start.Add(retention.Answers))
	is.True(!j.Step(j.NextTimer(), Elapsed{}).Gone)
	is.Equal(j.Outcome(), model.Failed("j", model.MayHaveRun, model.ReasonAnswerExpired))
	is.Equal(j.NextTimer(), retention.Until)
	is.True(j.Step(j.NextTimer(), Elapsed{}).Gone)
}

func TestCompleteInvariant_PanicsOnMissingAnswer(t *testing.T) {
	is := is.New(t)
	j, _ := newPlannedJob(2)
	j.unanswered = 1 // Too low on purpose: both tasks are unanswered.
	defer func() {
		v, ok := recover().(invariant.Violation)
		is.True(ok)
		is.Equal(v.Name, "complete")
	}()
	j.Step(start, completedBatch(0, 0))
	t.Fatal("the invariant did not fire")
}

// Guards against a job that is refused as a whole although another part of it runs, and its answer is still of use.
func TestJobIsUnacceptedOnlyWithoutOtherParts(t *testing.T) {
	is := is.New(t)
	j, _ := newPlannedJob(4)
	j.job.Objective = model.Objective{Stretch: 1.6}
	is.True(!j.Step(start, refusedBatch(0)).Replan.Unaccepted)
	is.True(j.Step(start, refusedBatch(1)).Replan.Unaccepted)
	j, _ = newPlannedJob(4)
	j.job.Objective = model.Objective{Stretch: 1.6}
	j.Step(start, completedBatch(0, 0, 1))
	is.True(!j.Step(start, refusedBatch(1)).Replan.Unaccepted)
}
