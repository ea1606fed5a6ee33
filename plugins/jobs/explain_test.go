package jobs

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"redwingpulley/kernel/model"
	"redwingpulley/kernel/port"
)

// explainFake counts what an explanation must not do, and owns the pool of member p.
type explainFake struct {
	*fake
	taken int
}

func (f *explainFake) Take(profile model.Profile, team model.TeamID, tasks int) (bool, time.Duration) {
	f.taken += tasks
	return f.fake.Take(profile, team, tasks)
}

func (f *explainFake) Judge(b model.Batch) (port.Verdict, bool) {
	return port.Verdict{Admit: len(b.Tasks) <= 8}, b.Pool == model.PoolID{}
}

// Guards against an explanation that runs or charges the job, and against one that differs from what start would do.
func TestExplainedJobIsPlannedAndNotRun(t *testing.T) {
	is := is.New(t)
	j, f := newMember(t, map[model.NodeID]*fake{}, "a")
	counting := &explainFake{fake: f}
	j.quotas, j.judge = counting, counting
	job := newJob("", 3)
	e := j.Explain(job)
	is.Equal(e.Refused, model.Reason(""))
	is.Equal(len(e.Parts), 1)
	is.Equal(len(e.Parts[0].Tasks), 3)
	is.True(e.Parts[0].Owned && e.Parts[0].Verdict.Admit)
	is.Equal(len(e.Pools), 2)
	is.Equal(f.runs.Load(), int32(0))
	is.Equal(counting.taken, 0)
	_, known := j.retryBudgets.Get("finder")
	is.True(!known)

	f.evacuations = map[model.DataCentre]model.Evacuation{"": {Active: true}} // The data centre of both pools.
	e = j.Explain(job)
	is.Equal(e.Refused, model.ReasonEvacuated)
	is.Equal(e.Evacuated, []model.DataCentre{""})
	f.loads, f.evacuations = nil, nil
	is.Equal(j.Explain(job).Refused, model.ReasonNoEndpoint)
	j.draining.Store(true)
	is.Equal(j.Explain(job).Refused, model.ReasonDraining)
}
