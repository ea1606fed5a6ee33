package measure

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"redwingpulley/bench/caller"
	"redwingpulley/bench/load"
	"redwingpulley/bench/standin"
	"redwingpulley/bench/trace"
)

// validRun returns a run of two jobs that keeps all guarantees.
func validRun() Run {
	return Run{
		Jobs: []trace.Job{
			{Service: "s", Team: "a", RunMS: []int64{100}},
			{Service: "s", Team: "b", RunMS: []int64{100}},
		},
		Results: []load.Result{
			{Index: 0, ID: "j", Outcome: caller.Complete, Response: 150 * time.Millisecond},
			{Index: 1, ID: "k", Outcome: caller.Complete, Response: 200 * time.Millisecond},
		},
		Logs: []standin.Log{{Records: []standin.Record{
			{Task: "j.0", Attempt: 1, Ran: 100 * time.Millisecond},
			{Task: "k.0", Attempt: 1, Ran: 100 * time.Millisecond},
		}}},
		Slots: map[string]int{"s": 1},
	}
}

func TestNewComparesResponsesWithIdeal(t *testing.T) {
	is := is.New(t)
	r := New(validRun())
	is.NoErr(r.CheckGuarantees())
	is.NoErr(r.CheckAllComplete())
	is.Equal(r.Services[0].Ratio.Mean, (1.5+1.0)/2) // In the ideal schedule the jobs end after 100 and 200 ms.
	is.Equal(r.Services[0].Floor.Mean, (1.5+2.0)/2)
	is.Equal(r.Messages.PerTask(), 2.0)
	is.Equal(r.Messages.WastedShare(), 0.0)
	is.Equal(r.Fairness, 1.0)
}

func TestNewReportsViolatedGuarantees(t *testing.T) {
	is := is.New(t)
	run := validRun()
	run.Results[1].Outcome, run.Results[1].Reason = caller.NotRun, "overload" // Although its task k.0 started.
	run.Logs = append(run.Logs, standin.Log{Records: []standin.Record{{Task: "j.0", Attempt: 2}}})
	r := New(run)
	is.Equal(len(r.Violations), 2)
	is.True(strings.Contains(r.Violations[0], "j.0") && strings.Contains(r.Violations[1], "not run"))
	is.True(r.CheckAllComplete() != nil)
	is.Equal(r.SlotTime.WastedShare(), 0.5)
}

func TestNewDoesNotCountRevokesOfCancelledJobsAsWasted(t *testing.T) {
	is := is.New(t)
	run := validRun()
	run.Jobs[1].CancelMS = 10
	run.Logs[0].Records = append(run.Logs[0].Records,
		standin.Record{Task: "k.0", Revoke: true}, standin.Record{Task: "j.0", Revoke: true})
	is.Equal(New(run).Messages.Wasted, 2)
}

func TestMaxMinSharesAndJainIndex(t *testing.T) {
	is := is.New(t)
	is.Equal(maxMinShares(map[string]float64{"a": 1, "b": 5, "c": 10}, 9), map[string]float64{"a": 1, "b": 4, "c": 4})
	is.Equal(jain([]float64{1, 0}), 0.5)
}
