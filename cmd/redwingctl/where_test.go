package main

import (
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

// Guards against a question that sends or changes a job, one that asks for another job than the flags or the file say, and an answer
// without its reasons.
func TestWherePrintsThePlanOfTheJob(t *testing.T) {
	is := is.New(t)
	var requests []string
	answer := `{"node":"n1","revision":3,"why":"near","parts":[{"pool":"finder/sj1/0","owner":"n1","tasks":2,"verdict":"refused","reason":"overload"}],` +
		`"pools":[{"pool":"finder/sj1/0","owner":"n1","slots":8,"free":2,"queued":1,"age_ms":5,"evacuated":true}]}` + "\n"
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		requests = append(requests, r.Method+" "+r.URL.Path+" "+string(body))
		io.WriteString(w, answer)
	}))
	defer server.Close()
	flags := operatorFlags{Operators: []string{"127.0.0.1:1", strings.TrimPrefix(server.URL, "http://")}, Output: "text"}
	command := whereCommand{operatorFlags: flags, Service: "finder", Tasks: 2, RunMS: 50}
	is.Equal(standardOutput(t, func() { is.NoErr(command.Run()) }), `seen by  n1, profiles at revision 3
planned  near

GOES TO       OWNER  TASKS  VERDICT  REASON
finder/sj1/0  n1     2      refused  overload

POOL          OWNER  SLOTS  FREE  QUEUED  AGE MS  EVACUATED
finder/sj1/0  n1     8      2     1       5       true
`)
	job := filepath.Join(t.TempDir(), "job.json")
	is.NoErr(os.WriteFile(job, []byte(`{"service":"s"}`), 0o600))
	command.Job, command.Output = job, "json"
	is.Equal(standardOutput(t, func() { is.NoErr(command.Run()) }), answer)
	is.Equal(requests, []string{
		`POST /v1/explain {"service":"finder","tasks":[{"run_ms":50},{"run_ms":50}],"team":"finder"}`, `POST /v1/explain {"service":"s"}`,
	})
	answer = `{"node":"n1","revision":3,"refused":"evacuated","why":"no data centre is left","parts":[],"pools":[]}`
	command.Output = "text"
	is.True(strings.Contains(standardOutput(t, func() { is.NoErr(command.Run()) }), "refused  evacuated: no data centre is left\n"))
	var usage exitError
	is.True(errors.As((&whereCommand{operatorFlags: flags, Tasks: 1}).Run(), &usage))
	is.Equal(usage.code, exitUsage)
}
