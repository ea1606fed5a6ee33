package jobstate

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"redwingpulley/kernel/model"
	"redwingpulley/kernel/port"
)

func planned(tasks int) (*Job, Effects) {
	job := model.Job{ID: "j", Service: "finder", Team: "t"}
	var all []int
	for i := range tasks {
		job.Tasks = append(job.Tasks, model.Task{Index: i})
		all = append(all, i)
	}
	j := New(job, "sj1-a")
	half := tasks / 2
	fx := j.Step(time.Time{}, Planned{port.Plan{Parts: []port.PlanPart{
		{Owner: "sj1-a", Tasks: all[:half]}, {Owner: "sj2-a", Tasks: all[half:]},
	}}})
	return j, fx
}

func ended(part int, indices ...int) BatchEnded {
	result := model.BatchResult{ID: model.BatchID{Job: "j", Part: part}}
	for _, i := range indices {
		result.Results = append(result.Results, model.TaskResult{Index: i, Done: true, Answer: []byte{byte(i)}})
	}
	return BatchEnded{result}
}

func TestJobIsCompleteOnlyWithAllAnswers(t *testing.T) {
	is := is.New(t)
	j, fx := planned(4)
	is.Equal(len(fx.Sends), 2)
	is.True(!j.Step(time.Time{}, ended(1, 3, 2)).Ended)
	is.Equal(j.Outcome().State, model.StateRunning)
	is.True(j.Step(time.Time{}, ended(0, 0, 1)).Ended)
	is.Equal(j.Outcome().State, model.StateComplete)
	is.Equal(j.Outcome().Answers, [][]byte{{0}, {1}, {2}, {3}})
}

func TestRefusedPartFailsTheJobAndCancelsTheOther(t *testing.T) {
	is := is.New(t)
	j, _ := planned(4)
	fx := j.Step(time.Time{}, BatchEnded{model.RefusedBatch(model.BatchID{Job: "j", Part: 1}, model.ReasonOverload)})
	is.True(fx.Ended)
	is.Equal(len(fx.Cancels), 1)
	is.Equal(j.Outcome().Run, model.MayHaveRun) // The other part may have started.
	is.Equal(j.Outcome().Answers, nil)
}

func TestNothingChangesAnEndedJob(t *testing.T) {
	is := is.New(t)
	j, _ := planned(2)
	j.Step(time.Time{}, Cancelled{})
	before := j.Outcome()
	is.True(!j.Step(time.Time{}, ended(0, 0)).Ended)
	is.Equal(j.Outcome(), before)
}
