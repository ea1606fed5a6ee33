package callers

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"redwingpulley/kernel/model"
	"redwingpulley/kernel/plugin"
	"redwingpulley/kernel/port"
	"redwingpulley/kernel/settings"
	"redwingpulley/plugins/frontend/web"
)

// minted is the id of each job that fakeJobs mints.
const minted = "sj1-a.abc.loyw3v28.25.00ff"

// fakeJobs ends each job with the same outcome. It records submitted jobs and the number of minted
// ids.
type fakeJobs struct {
	outcome   model.Outcome
	submitted []model.Job
	minted    int
}

func (f *fakeJobs) Mint(count int) []model.JobID {
	f.minted += count
	ids := make([]model.JobID, count)
	for i := range ids {
		ids[i] = minted
	}
	return ids
}

func (f *fakeJobs) FindKey(context.Context, string) port.KeyPresence { return port.KeyUnknown }

func (f *fakeJobs) CancelKey(context.Context, string) port.KeyPresence { return port.KeyUnknown }

func (f *fakeJobs) Submit(_ context.Context, job model.Job) model.Outcome {
	f.submitted = append(f.submitted, job)
	return f.outcome
}

func (f *fakeJobs) Lookup(context.Context, model.JobID) model.Outcome { return f.outcome }

func (f *fakeJobs) Cancel(context.Context, model.JobID) model.Outcome { return f.outcome }

func newFrontend(outcome model.Outcome) (*Frontend, *fakeJobs) {
	jobs := &fakeJobs{outcome: outcome}
	f := &Frontend{jobs: jobs, health: plugin.NewHealth()}
	f.server = web.NewServer("127.0.0.1:0", f.routes())
	return f, jobs
}

func (f *Frontend) request(method, path, body string) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	f.routes().ServeHTTP(w, httptest.NewRequest(method, path, strings.NewReader(body)))
	return w
}

// bodyWith returns a valid job body in which from is replaced by to.
func bodyWith(from, to string) string {
	const valid = `{"job_id":"` + minted + `","service":"finder","team":"t1","deadline_ms":1500,` +
		`"tasks":[{"payload":{"a":1,"A":2},"run_ms":120,"needs":{"cores":1,"memory_mb":64,"accelerators":0}}]}`
	return strings.Replace(valid, from, to, 1)
}

// bodyWithTasks returns a valid job body with count tasks.
func bodyWithTasks(count int) string {
	return bodyWith(`"tasks":[{`, `"tasks":[`+strings.Repeat(`{"payload":1},`, count-1)+`{`)
}

func TestInvalidRequestNamesFieldAndSubmitsNothing(t *testing.T) {
	cases := map[string]struct {
		path, body string
		status     int
		detail     string
	}{
		"empty body":           {"jobs", "", 400, "(root)"},
		"broken JSON":          {"jobs", bodyWith(`]}`, `]`), 400, "(root)"},
		"no object":            {"jobs", "[]", 400, "array"},
		"data after":           {"jobs", bodyWith("", "") + "{}", 400, "data after"},
		"unknown field":        {"jobs", bodyWith(`"team"`, `"taem"`), 400, "taem"},
		"unknown nested field": {"jobs", bodyWith(`"cores"`, `"kores"`), 400, "tasks[0].needs.kores"},
		"field in other case":  {"jobs", bodyWith(`"team":`, `"Team":"t2","team":`), 400, "Team"},
		"duplicate field":      {"jobs", bodyWith(`"team":`, `"team":"t2","team":`), 400, "team: is a duplicate"},
		"duplicate in payload": {"jobs", bodyWith(`"A":2`, `"a":2`), 400, "tasks[0].payload.a: is a duplicate"},
		"oversize body":        {"jobs", bodyWith(`"a":1`, `"a":"`+strings.Repeat("x", web.MaxBody)+`"`), 413, "body"},
		"wrong type":           {"jobs", bodyWith(`1500`, `"1500"`), 400, "deadline_ms"},
		"fraction of a ms":     {"jobs", bodyWith(`1500`, `1.5`), 400, "deadline_ms"},
		"huge number":          {"jobs", bodyWith(`1500`, `1e99`), 400, "deadline_ms"},
		"no service":           {"jobs", bodyWith(`"finder"`, `""`), 400, "service"},
		"long service":         {"jobs", bodyWith(`finder`, strings.Repeat("x", 129)), 400, "service"},
		"no team":              {"jobs", bodyWith(`"t1"`, `""`), 400, "team"},
		"no tasks":             {"jobs", `{"service":"finder","team":"t1","tasks":[]}`, 400, "tasks"},
		"161 tasks":            {"jobs", bodyWithTasks(161), 400, "tasks"},
		"negative deadline":    {"jobs", bodyWith(`1500`, `-1`), 400, "deadline_ms"},
		"deadline too far":     {"jobs", bodyWith(`1500`, `3600001`), 400, "deadline_ms"},
		"negative run time":    {"jobs", bodyWith(`120`, `-120`), 400, "tasks[0]: run_ms"},
		"negative cores":       {"jobs", bodyWith(`"cores":1`, `"cores":-1`), 400, "needs.cores"},
		"negative memory":      {"jobs", bodyWith(`64`, `-64`), 400, "needs.memory_mb"},
		"negative accelerator": {"jobs", bodyWith(`"accelerators":0`, `"accelerators":-1`), 400, "needs.accelerators"},
		"invalid job id":       {"jobs", bodyWith(minted, "my-own-key"), 400, "job_id"},
		"no tickets":           {"tickets", `{"count":0}`, 400, "count"},
		"negative tickets":     {"tickets", `{"count":-1}`, 400, "count"},
		"1001 tickets":         {"tickets", `{"count":1001}`, 400, "count"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f, jobs := newFrontend(model.Completed(minted, nil))
			w := f.request("POST", "/v1/"+c.path, c.body)
			is.Equal(w.Code, c.status)
			is.Equal(w.Header().Get("Content-Type"), "application/problem+json")
			var problem web.Problem
			is.NoErr(json.Unmarshal(w.Body.Bytes(), &problem))
			is.Equal(problem.Status, c.status)
			if !strings.Contains(problem.Detail, c.detail) {
				t.Errorf("%q does not name %q", problem.Detail, c.detail)
			}
			is.Equal(len(jobs.submitted)+jobs.minted, 0)
		})
	}
}

func TestValidJobsAreSubmitted(t *testing.T) {
	is := is.New(t)
	f, jobs := newFrontend(model.Completed(minted, [][]byte{[]byte(`null`)}))
	w := f.request("POST", "/v1/jobs", bodyWith("", ""))
	is.Equal(w.Code, 200)
	is.Equal(strings.TrimSpace(w.Body.String()), `{"job_id":"`+minted+`","outcome":"complete","answers":[null]}`)
	is.Equal(f.request("POST", "/v1/jobs", bodyWithTasks(160)).Code, 200)
	is.Equal(len(jobs.submitted[1].Tasks), 160)
	is.Equal(string(jobs.submitted[0].Tasks[0].Payload), `{"a":1,"A":2}`)
	is.True(jobs.submitted[0].Digest != jobs.submitted[1].Digest)
	other := bodyWith(minted, "sj1-a.abc.loyw3v28.26.00ff")
	f.request("POST", "/v1/jobs", other)
	is.Equal(jobs.submitted[2].Digest, jobs.submitted[0].Digest) // The id is not part of the digest.
}

func TestFailureReportsStatusAndRunState(t *testing.T) {
	for reason, status := range map[model.Reason]int{
		model.ReasonNeverFits: 422, model.ReasonQuota: 429, model.ReasonOverload: 503, model.ReasonDraining: 503,
		model.ReasonDeadline: 504, model.ReasonConflict: 409, model.ReasonUnknownJob: 404, model.ReasonExpired: 410,
		model.ReasonAnswerExpired: 410, model.ReasonUnknownService: 400, model.ReasonUnknownTeam: 400,
		model.ReasonDeadlineLimit: 400,
		model.ReasonTaskFailed:    502, model.ReasonOwnerLost: 503, model.ReasonEndpointsCrashed: 502,
	} {
		t.Run(string(reason), func(t *testing.T) {
			is := is.New(t)
			f, _ := newFrontend(model.Failed(minted, model.NotRun, reason))
			w := f.request("POST", "/v1/jobs", bodyWith("", ""))
			is.Equal(w.Code, status)
			is.Equal(w.Header().Get("Retry-After") != "", status == 429 || status == 503)
			is.Equal(w.Header().Get("Job-Id"), minted)
			var body failedBody
			is.NoErr(json.Unmarshal(w.Body.Bytes(), &body))
			is.Equal(body.Run, model.NotRun)
			is.Equal(body.Reason, reason)
		})
	}
}

func TestInvalidWaitIsRejected(t *testing.T) {
	is := is.New(t)
	f, _ := newFrontend(model.Running(minted))
	for _, wait := range []string{"-1", "x", "1.5", "99999999999999999999"} {
		is.Equal(f.request("GET", "/v1/jobs/"+minted+"?wait_ms="+wait, "").Code, 400)
	}
	is.Equal(f.request("GET", "/v1/jobs/"+minted+"?wait_ms=10", "").Code, 202)
}

func TestDrainRefusesNewJobsAfterGracePeriod(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f, jobs := newFrontend(model.Completed(minted, nil))
		f.settings.DrainGraceMS = 1000
		drained := make(chan struct{})
		f.submissions.Enter() // A job in flight.
		go func() {
			f.Drain(t.Context())
			close(drained)
		}()
		<-time.After(999 * time.Millisecond) // By synctest's virtual clock.
		fresh := bodyWith(`"job_id":"`+minted+`",`, "")
		is.Equal(f.request("POST", "/v1/jobs", fresh).Code, 200)
		<-time.After(time.Millisecond)
		synctest.Wait()
		w := f.request("POST", "/v1/jobs", fresh)
		is.Equal(w.Code, 503)
		is.True(strings.Contains(w.Body.String(), `"run":"not_run","reason":"draining"`))
		is.Equal(f.request("POST", "/v1/jobs", bodyWith("", "")).Code, 200) // A job with an id may be a resend of one that is running.
		is.Equal(len(jobs.submitted), 2)
		f.submissions.Leave()
		<-drained
	})
}

// FuzzJobBody checks that each accepted body is within the limits, and that it is still the same job
// after it was encoded and decoded again.
func FuzzJobBody(f *testing.F) {
	f.Add(bodyWith("", ""))
	f.Add(bodyWithTasks(160))
	f.Add(bodyWith(`{"a":1,"A":2}`, `null`))
	f.Add(bodyWith(`1500`, `-1`))
	f.Add(bodyWith(`"team":`, `"team":"t2","team":`))
	f.Add("[]")
	f.Fuzz(func(t *testing.T, text string) {
		body, err := decodeJob(text)
		if err != nil {
			return
		}
		job := body.job(time.UnixMilli(0))
		if len(job.Tasks) < 1 || len(job.Tasks) > model.MaxTasksPerJob || job.Deadline.After(time.UnixMilli(0).Add(maxDeadline)) {
			t.Fatalf("accepted %q", text)
		}
		raw, err := json.Marshal(body)
		if err != nil {
			t.Fatalf("%q does not encode: %v", text, err)
		}
		again, err := decodeJob(string(raw))
		if err != nil || again.digest() != body.digest() {
			t.Fatalf("%q is another job as %q: %v", text, raw, err)
		}
	})
}

func decodeJob(text string) (body jobBody, err error) {
	if err = settings.DecodeStrict([]byte(text), "", &body); err != nil {
		return body, err
	}
	return body, body.check()
}

func FuzzTickets(f *testing.F) {
	for _, count := range []string{"1", "1000", "0", "-1", "1e3", `"1"`, "null"} {
		f.Add(fmt.Sprintf(`{"count":%s}`, count))
	}
	f.Fuzz(func(t *testing.T, text string) {
		frontend, jobs := newFrontend(model.Completed(minted, nil))
		w := frontend.request("POST", "/v1/tickets", text)
		if (w.Code == http.StatusOK) != (jobs.minted > 0) || jobs.minted > maxTickets {
			t.Fatalf("%q: status %d, %d minted", text, w.Code, jobs.minted)
		}
	})
}
