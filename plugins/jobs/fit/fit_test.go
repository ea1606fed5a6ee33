package fit

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"redwingpulley/kernel/model"
)

var now = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func job(tasks int, declared time.Duration, needs model.Needs) model.Job {
	j := model.Job{Deadline: now.Add(time.Second)}
	for i := range tasks {
		j.Tasks = append(j.Tasks, model.Task{Index: i, Declared: declared, Needs: needs})
	}
	return j
}

func TestCheckRefusesOnlyJobsThatNeverFit(t *testing.T) {
	pools := []model.PoolLoad{
		{Slots: 4, Queued: 1000, Largest: model.Needs{MilliCores: 16, MemoryMB: 1024}},
		{Slots: 4, Largest: model.Needs{MilliCores: 4, MemoryMB: 1024, Accelerators: 1}},
	}
	cases := map[string]struct {
		job   model.Job
		pools []model.PoolLoad
		fits  bool
	}{
		"queue is full":                        {job(160, 0, model.Needs{}), pools, true},
		"enough cores in one pool only":        {job(1, 0, model.Needs{MilliCores: 16}), pools, true},
		"more cores than any worker":           {job(1, 0, model.Needs{MilliCores: 17}), pools, false},
		"more memory than any worker":          {job(1, 0, model.Needs{MemoryMB: 1025}), pools, false},
		"more accelerators than any worker":    {job(1, 0, model.Needs{Accelerators: 2}), pools, false},
		"declared ten times the deadline":      {job(1, 10*time.Second, model.Needs{}), pools, true},
		"declared more than ten times":         {job(1, 11*time.Second, model.Needs{}), pools, false},
		"work fills all slots to the deadline": {job(80, time.Second, model.Needs{}), pools, true},
		"more work than slots before deadline": {job(81, time.Second, model.Needs{}), pools, false},
		"no endpoint":                          {job(1, 0, model.Needs{MilliCores: 99}), nil, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			why, fits := Check(c.job, c.pools, now)
			is.Equal(fits, c.fits)
			is.Equal(why == "", c.fits)
		})
	}
}

// Guards against a job that is refused although it could be in time, and one that is kept although it can't.
func TestTimeThatAJobHasLeft(t *testing.T) {
	is := is.New(t)
	j := job(2, 100*time.Millisecond, model.Needs{})
	is.Equal(LateBy(&j, time.Minute, nil, now), time.Duration(0))
	is.Equal(UselessBy(&j, time.Minute, nil, now), time.Duration(0))
	j.Objective = model.Objective{Stretch: 1.6, Slack: 60 * time.Millisecond, Useful: 3} // 220 ms; of use for 660 ms.
	is.Equal(LateBy(&j, 120*time.Millisecond, nil, now), time.Duration(0))
	is.Equal(UselessBy(&j, 560*time.Millisecond, nil, now), time.Duration(0))
	j.Submitted = now.Add(-50 * time.Millisecond)
	is.Equal(UselessBy(&j, 560*time.Millisecond, nil, now), 50*time.Millisecond)
	// Where the pools have learned that tasks run for longer, the objective gives more time.
	is.True(LateBy(&j, 120*time.Millisecond, []model.PoolLoad{{MeanRun: 300 * time.Millisecond}}, now) < 0)
	j.Deadline = now.Add(500 * time.Millisecond)
	is.Equal(UselessBy(&j, 560*time.Millisecond, nil, now), 60*time.Millisecond)
}
