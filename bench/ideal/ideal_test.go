package ideal

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"redwingpulley/bench/trace"
)

func job(at int64, deadline int64, runs ...int64) trace.Job {
	return trace.Job{AtMS: at, Service: "s", Team: "t", DeadlineMS: deadline, RunMS: runs}
}

func TestScheduleServesJobsFromOneQueue(t *testing.T) {
	is := is.New(t)
	got := Schedule(2, []trace.Job{job(0, 0, 100, 300), job(10, 0, 50, 50, 50)})
	is.Equal(got[0].Response, 300*time.Millisecond)
	// The second job has the first slot to itself from 100 ms on, so its three tasks end at 250 ms.
	is.Equal(got[1].Response, 240*time.Millisecond)
	is.Equal(got[1].Floor, 50*time.Millisecond)
}

func TestScheduleRefusesLateJobsWithoutTakingSlots(t *testing.T) {
	is := is.New(t)
	got := Schedule(1, []trace.Job{job(0, 0, 100), job(0, 150, 100), job(0, 150, 50)})
	is.True(got[1].Refused)
	is.True(!got[2].Refused)
	is.Equal(got[2].Response, 150*time.Millisecond)
}

func TestScheduleFreesSlotWhenJobIsCancelled(t *testing.T) {
	is := is.New(t)
	cancelled := job(0, 0, 100)
	cancelled.CancelMS = 30
	got := Schedule(1, []trace.Job{cancelled, job(0, 0, 50)})
	is.Equal(got[1].Response, 80*time.Millisecond)
}

func TestScheduleRefusesAllJobsWithoutSlots(t *testing.T) {
	is := is.New(t)
	is.True(Schedule(0, []trace.Job{job(0, 0, 100)})[0].Refused)
}
