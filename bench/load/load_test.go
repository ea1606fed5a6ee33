package load

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"redwingpulley/bench/caller"
	"redwingpulley/bench/standin"
	"redwingpulley/bench/trace"
)

// newEntryVM returns a client of a fake entry VM, which has writeAnswer answer each job by its id and
// number of tasks.
func newEntryVM(t *testing.T, writeAnswer func(w http.ResponseWriter, id string, tasks int)) *caller.Client {
	t.Helper()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/tickets", func(w http.ResponseWriter, r *http.Request) {
		var body struct{ Count int }
		json.NewDecoder(r.Body).Decode(&body)
		ids := []string{}
		for i := range body.Count {
			ids = append(ids, "j"+strconv.Itoa(i))
		}
		json.NewEncoder(w).Encode(map[string]any{"job_ids": ids})
	})
	mux.HandleFunc("POST /v1/jobs", func(w http.ResponseWriter, r *http.Request) {
		var job caller.Job
		json.NewDecoder(r.Body).Decode(&job)
		writeAnswer(w, job.ID, len(job.Tasks))
	})
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return caller.New([]string{server.Listener.Addr().String()}, 0, 2)
}

// writeComplete answers a job as complete, with the answers of its own tasks.
func writeComplete(w http.ResponseWriter, id string, tasks int) {
	answers := []standin.Answer{}
	for i := range tasks {
		answers = append(answers, standin.Answer{Task: id + "." + strconv.Itoa(i)})
	}
	json.NewEncoder(w).Encode(map[string]any{"job_id": id, "outcome": "complete", "answers": answers})
}

// jobsAt returns a job with two tasks for each given time of sending in milliseconds.
func jobsAt(at ...int64) (all []trace.Job) {
	for _, ms := range at {
		all = append(all, trace.Job{AtMS: ms, Service: "s", Team: "t", DeadlineMS: 1000, RunMS: []int64{1, 2}})
	}
	return all
}

func TestRunMeasuresResponseFromIntendedTime(t *testing.T) {
	is := is.New(t)
	const replyDelay = 50 * time.Millisecond
	client := newEntryVM(t, func(w http.ResponseWriter, id string, tasks int) {
		<-time.After(replyDelay)
		writeComplete(w, id, tasks)
	})
	results, err := Runner{Client: client, Tickets: true}.Run(context.Background(), jobsAt(0, 1, 2))
	is.NoErr(err)
	for _, r := range results {
		is.Equal(r.Outcome, caller.Complete)
		is.True(r.Response >= replyDelay)
	}
	is.Equal(Summarize(results).Responses.TotalCount(), int64(3))
}

func TestRunReportsWrongWhenAnswersAreOfAnotherJob(t *testing.T) {
	is := is.New(t)
	client := newEntryVM(t, func(w http.ResponseWriter, _ string, tasks int) { writeComplete(w, "other", tasks) })
	results, err := Runner{Client: client, Tickets: true}.Run(context.Background(), jobsAt(0))
	is.NoErr(err)
	is.Equal(results[0].Outcome, Wrong)
}

func TestRunResendsJobWhenAnswerIsLost(t *testing.T) {
	is := is.New(t)
	tries := 0
	client := newEntryVM(t, func(w http.ResponseWriter, id string, tasks int) {
		if tries++; tries == 1 {
			panic(http.ErrAbortHandler) // Closes the connection without an answer.
		}
		writeComplete(w, id, tasks)
	})
	results, err := Runner{Client: client, Tickets: true}.Run(context.Background(), jobsAt(0))
	is.NoErr(err)
	is.Equal(results[0].Outcome, caller.Complete)
	is.Equal(results[0].Resends, 1)
}

func TestRunReportsRefusals(t *testing.T) {
	is := is.New(t)
	client := newEntryVM(t, func(w http.ResponseWriter, _ string, _ int) {
		w.WriteHeader(http.StatusServiceUnavailable)
		w.Write([]byte(`{"run":"not_run","reason":"overload"}`))
	})
	results, err := Runner{Client: client, Tickets: true}.Run(context.Background(), jobsAt(0))
	is.NoErr(err)
	is.Equal(Summarize(results).Reasons, map[string]int{"not_run overload": 1})
}

func TestRunWithoutTicketsSkipsDrainingEntryVM(t *testing.T) {
	is := is.New(t)
	draining := newEntryVM(t, func(w http.ResponseWriter, _ string, _ int) {
		w.WriteHeader(http.StatusServiceUnavailable)
		w.Write([]byte(`{"run":"not_run","reason":"draining"}`))
	})
	serving := newEntryVM(t, func(w http.ResponseWriter, _ string, tasks int) {
		w.Header().Set("Job-Id", "minted")
		writeComplete(w, "minted", tasks)
	})
	client := caller.New(append(draining.Entries, serving.Entries...), 0, 0)
	results, err := Runner{Client: client}.Run(context.Background(), jobsAt(0, 0))
	is.NoErr(err)
	for _, r := range results {
		is.Equal(r.Outcome, caller.Complete)
		is.Equal(r.ID, "minted")
	}
}
