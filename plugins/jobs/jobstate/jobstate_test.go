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

func planned(tasks int) (*Job, Effects) {
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

func ended(part int, indices ...int) BatchEnded {
	result := model.BatchResult{ID: model.BatchID{Job: "j", Part: part}}
	for _, i := range indices {
		result.Results = append(result.Results, model.TaskResult{Index: i, Done: true, Answer: []byte{byte(i)}})
	}
	return BatchEnded{result}
}

func ranNot(part int, run model.RunState, indices ...int) BatchEnded {
	e := ended(part, indices...)
	for i := range e.Result.Results {
		e.Result.Results[i].Done = false
		e.Result.Results[i].Run = run
		e.Result.Results[i].Reason = model.ReasonCancelled
	}
	return e
}

func refusedPart(part int) BatchEnded {
	return BatchEnded{model.RefusedBatch(model.BatchID{Job: "j", Part: part}, model.ReasonOverload)}
}

func TestJobIsCompleteOnlyWithAllAnswers(t *testing.T) {
	is := is.New(t)
	j, fx := planned(4)
	is.Equal(len(fx.Sends), 2)
	is.True(!j.Step(start, ended(1, 3, 2)).Ended)
	is.Equal(j.Outcome().State, model.StateRunning)
	is.True(j.Step(start, ended(0, 0, 1)).Ended)
	is.Equal(j.Outcome().State, model.StateComplete)
	is.Equal(j.Outcome().Answers, [][]byte{{0}, {1}, {2}, {3}})
}

func TestRefusedPartIsPlannedAnewAndKeepsItsTasks(t *testing.T) {
	is := is.New(t)
	j, _ := planned(4)
	fx := j.Step(start, refusedPart(1))
	is.Equal(fx.Replan.Avoid, []model.PoolID{pool("sj2")})
	is.Equal(len(fx.Replan.Job.Tasks), 2)
	fx = j.Step(start, Replanned{1, port.Plan{Parts: []port.PlanPart{{Pool: pool("sj3"), Owner: "sj3-a", Tasks: []int{0, 1}}}}})
	is.Equal(fx.Sends[0].Batch.ID.Part, 2)
	is.Equal(fx.Sends[0].Batch.Tasks, []model.Task{{Index: 2}, {Index: 3}})
	j.Step(start, ended(0, 0, 1))
	j.Step(start, ended(2, 2, 3))
	is.Equal(j.Outcome().State, model.StateComplete)
}

// TestAMovedPoolCostsNoRetryBudget, but a part that is sent from one member to the next for ever does.
func TestAMovedPoolCostsNoRetryBudget(t *testing.T) {
	is := is.New(t)
	j, _ := planned(4)
	moved := func(part int) *Replan {
		return j.Step(start, BatchEnded{model.RefusedBatch(model.BatchID{Job: "j", Part: part}, model.ReasonMoved)}).Replan
	}
	again := port.Plan{Parts: []port.PlanPart{{Pool: pool("sj2"), Owner: "sj2-b", Tasks: []int{0, 1}}}}
	replan := moved(1)
	is.True(replan.Free)
	is.Equal(len(replan.Avoid), 0)
	for part := 1; part < freeParts; part++ {
		j.Step(start, Replanned{replan.Part, again})
		replan = moved(part + 1)
	}
	is.True(!replan.Free)
}

func TestJobThatNoPoolTakesHasNotRunOnceItsOtherPartsSaySo(t *testing.T) {
	for name, c := range map[string]struct {
		other BatchEnded
		run   model.RunState
	}{
		"the other part is refused too":   {refusedPart(0), model.NotRun},
		"the other part was queued only":  {ranNot(0, model.NotRun, 0, 1), model.NotRun},
		"the other part may have run":     {ranNot(0, model.MayHaveRun, 0, 1), model.MayHaveRun},
		"the other part was complete":     {ended(0, 0, 1), model.MayHaveRun},
		"the other part tells one task":   {ranNot(0, model.NotRun, 0), model.MayHaveRun},
		"the other part tells another's":  {ranNot(0, model.NotRun, 0, 3), model.MayHaveRun},
		"the other part tells one twice":  {ranNot(0, model.NotRun, 0, 0), model.MayHaveRun},
		"the other part tells no such":    {ranNot(0, model.NotRun, 0, 99), model.MayHaveRun},
		"the other part tells nothing":    {ranNot(0, model.NotRun), model.MayHaveRun},
		"the other part ran in one of it": {BatchEnded{model.BatchResult{ID: model.BatchID{Job: "j"}, Results: append(ranNot(0, model.NotRun, 0).Result.Results, ended(0, 1).Result.Results...)}}, model.MayHaveRun},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			j, _ := planned(4)
			j.Step(start, refusedPart(1))
			fx := j.Step(start, Replanned{Part: 1})
			is.Equal(fx.Cancels, []int{0})
			is.True(!fx.Ended) // Whether the other part ran is not known yet.
			is.True(j.Step(start, c.other).Ended)
			is.Equal(j.Outcome().Run, c.run)
			is.Equal(j.Outcome().Reason, model.ReasonOverload)
			is.Equal(j.Outcome().Answers, nil)
		})
	}
}

func TestDeadlineEndsTheJobWhateverIsOpen(t *testing.T) {
	is := is.New(t)
	j, _ := planned(2)
	is.True(!j.Step(start, Elapsed{}).Ended) // An early timer changes nothing.
	fx := j.Step(j.Wake(), Elapsed{})
	is.True(fx.Ended)
	is.Equal(fx.Cancels, []int{0, 1})
	is.Equal(j.Outcome().Run, model.MayHaveRun)
	is.Equal(j.Outcome().Reason, model.ReasonDeadline)
}

func TestBatchEndsInTimeForItsJobToTellWhetherItRan(t *testing.T) {
	is := is.New(t)
	j, fx := planned(2)
	for _, s := range fx.Sends {
		is.True(s.Batch.Deadline.Before(j.Wake()))
		is.True(s.Batch.Deadline.Add(maxSettle + 1).After(j.Wake()))
	}
	at := fx.Sends[0].Batch.Deadline
	j.Step(at, ranNot(0, model.NotRun, 0))
	j.Step(at, ranNot(1, model.NotRun, 1))
	is.Equal(j.Outcome().Run, model.NotRun)
}

func TestNothingChangesAnEndedJob(t *testing.T) {
	is := is.New(t)
	j, _ := planned(2)
	j.Step(start, Cancelled{})
	j.Step(start, ranNot(0, model.NotRun, 0))
	j.Step(start, ranNot(1, model.NotRun, 1))
	before := j.Outcome()
	is.Equal(before, model.Failed("j", model.NotRun, model.ReasonCancelled))
	is.True(!j.Step(start, ended(0, 0)).Ended)
	is.Equal(j.Outcome(), before)
}

func TestAnswersAreKeptForATimeAndTheOutcomeForLonger(t *testing.T) {
	is := is.New(t)
	j, _ := planned(2)
	j.Step(start, ended(0, 0))
	j.Step(start, ended(1, 1))
	is.Equal(j.Wake(), start.Add(retention.Answers))
	is.True(!j.Step(j.Wake(), Elapsed{}).Gone)
	is.Equal(j.Outcome(), model.Failed("j", model.MayHaveRun, model.ReasonAnswerExpired))
	is.Equal(j.Wake(), retention.Until)
	is.True(j.Step(j.Wake(), Elapsed{}).Gone)
}

func TestCompleteInvariantFires(t *testing.T) {
	is := is.New(t)
	j, _ := planned(2)
	j.missing = 1 // Breaks the count on purpose.
	defer func() {
		v, ok := recover().(invariant.Violation)
		is.True(ok)
		is.Equal(v.Name, "complete")
	}()
	j.Step(start, ended(0, 0))
	t.Fatal("the invariant did not fire")
}
