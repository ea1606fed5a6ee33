// Package callers accepts jobs from callers as JSON over HTTP.
package callers

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"redwingpulley/kernel/drain"
	"redwingpulley/kernel/model"
	"redwingpulley/kernel/plugin"
	"redwingpulley/kernel/port"
	"redwingpulley/kernel/settings"
	"redwingpulley/plugins/frontend/web"
)

const (
	maxTickets = 1000        // Job ids in one request for tickets.
	maxWait    = time.Minute // Longest wait of a lookup for the end of a job.
)

// Frontend is the plug-in. Create it through the registry.
type Frontend struct {
	jobs   port.Jobs
	health *plugin.Health
	server *web.Server

	settings    Settings
	submissions drain.Gate // Entered by each submission; closed once no new job is accepted.
}

// Settings are the plug-in's settings.
type Settings struct {
	// DrainGraceMS is how long, in milliseconds, a draining process still accepts jobs after /readyz
	// has changed to 503, so that the load balancer has time to notice.
	DrainGraceMS int64 `json:"drain_grace_ms"`
}

// Check reports invalid settings.
func (s *Settings) Check(faults *settings.Faults) {
	faults.Require(s.DrainGraceMS >= 0, "drain_grace_ms", "must not be negative")
}

const defaultDrainGraceMS = 2000

// Provision reads the settings, resolves the port that the plug-in needs and sets up the HTTP routes.
func (f *Frontend) Provision(c *plugin.Context) error {
	f.settings.DrainGraceMS = defaultDrainGraceMS
	f.health = c.Health
	f.server = web.NewServer(c.Node.Listen.Callers, f.routes())
	return errors.Join(c.Settings(&f.settings), plugin.Need(c, &f.jobs))
}

// Start opens the listener.
func (f *Frontend) Start() error { return f.server.Start() }

// Drain accepts jobs for the grace period, in which the load balancer notices the drain. After that it
// refuses new jobs, and closes the listener once those in flight have been answered.
func (f *Frontend) Drain(ctx context.Context) {
	grace := time.Duration(f.settings.DrainGraceMS) * time.Millisecond
	f.server.DrainAfter(ctx, grace, &f.submissions)
}

// Stop closes the listener.
func (f *Frontend) Stop() error { return f.server.Stop() }

func (f *Frontend) routes() http.Handler {
	mux := http.NewServeMux()
	web.HandleHealth(mux, f.health)
	mux.HandleFunc("POST /v1/tickets", f.mintTickets)
	mux.HandleFunc("POST /v1/jobs", f.submit)
	mux.HandleFunc("GET /v1/jobs/{id}", f.lookup)
	mux.HandleFunc("DELETE /v1/jobs/{id}", f.cancel)
	return mux
}

func (f *Frontend) mintTickets(w http.ResponseWriter, r *http.Request) {
	request := ticketsBody{Count: 1}
	if web.DecodeOrRefuse(w, r, &request, func() error { return request.check() }) {
		web.WriteJSON(w, http.StatusOK, ticketsReply{f.jobs.Mint(request.Count)})
	}
}

// submit runs the job in the request's body and answers with its outcome. After the grace period
// of a drain it refuses only jobs without an id: one with an id may be a resend of a job that is running.
func (f *Frontend) submit(w http.ResponseWriter, r *http.Request) {
	open := f.submissions.Enter()
	defer f.submissions.Leave()
	var body jobBody
	if !web.DecodeOrRefuse(w, r, &body, func() error { return body.check() }) {
		return
	}
	job := body.job(time.Now())
	if job.ID == "" {
		job.ID = f.jobs.Mint(1)[0]
		if !open {
			writeOutcome(w, model.Failed(job.ID, model.NotRun, model.ReasonDraining))
			return
		}
	}
	w.Header().Set("Job-Id", string(job.ID))
	writeOutcome(w, f.jobs.Submit(r.Context(), job))
}

func (f *Frontend) lookup(w http.ResponseWriter, r *http.Request) {
	wait, err := parseWait(r.URL.Query().Get("wait_ms"))
	if err != nil {
		web.Refuse(w, http.StatusBadRequest, "bad_request", "wait_ms: must be milliseconds, 0 to 60000")
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), wait)
	defer cancel()
	writeOutcome(w, f.jobs.Lookup(ctx, model.JobID(r.PathValue("id"))))
}

// parseWait parses a number of milliseconds; more than maxWait counts as maxWait.
func parseWait(text string) (time.Duration, error) {
	if text == "" {
		return 0, nil
	}
	ms, err := strconv.ParseUint(text, 10, 32)
	if err != nil {
		return 0, err
	}
	return min(time.Duration(ms)*time.Millisecond, maxWait), nil
}

func (f *Frontend) cancel(w http.ResponseWriter, r *http.Request) {
	writeOutcome(w, f.jobs.Cancel(r.Context(), model.JobID(r.PathValue("id"))))
}

// writeOutcome answers with the status and body for an outcome.
func writeOutcome(w http.ResponseWriter, o model.Outcome) {
	switch o.State {
	case model.StateComplete:
		web.WriteJSON(w, http.StatusOK, completeBody{o.Job, o.State, rawAnswers(o.Answers)})
	case model.StateRunning:
		web.WriteJSON(w, http.StatusAccepted, runningBody{o.Job, o.State})
	default:
		writeFailure(w, o)
	}
}

func writeFailure(w http.ResponseWriter, o model.Outcome) {
	status := statusOf(o.Reason)
	if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
		seconds := max(1, int64((o.RetryAfter+time.Second-1)/time.Second))
		w.Header().Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	web.WriteProblem(w, status, failedBody{
		Title: http.StatusText(status), Status: status,
		Job: o.Job, Outcome: o.State, Run: o.Run, Reason: o.Reason, Detail: details[o.Reason],
	})
}

// details explain failures that are due to a field of the request, which each detail names.
var details = map[model.Reason]string{
	model.ReasonUnknownJob:     "job_id: was never minted here, or no job was submitted under it",
	model.ReasonConflict:       "job_id: belongs to a job with another body",
	model.ReasonExpired:        "job_id: is too old to start a job",
	model.ReasonUnknownService: "service: no endpoint announced it and no profile names it",
	model.ReasonUnknownTeam:    "team: is not listed in the quotas of the service's profile",
	model.ReasonDeadlineLimit:  "deadline_ms: is longer than the service's profile allows",
	model.ReasonNeverFits:      "tasks: need more than all workers could give before the deadline",
}

// statusOf maps the reason of a failure to an HTTP status.
func statusOf(reason model.Reason) int {
	switch reason {
	case model.ReasonNeverFits:
		return http.StatusUnprocessableEntity
	case model.ReasonUnknownService, model.ReasonUnknownTeam, model.ReasonDeadlineLimit:
		return http.StatusBadRequest
	case model.ReasonQuota:
		return http.StatusTooManyRequests
	case model.ReasonDeadline:
		return http.StatusGatewayTimeout
	case model.ReasonConflict, model.ReasonCancelled:
		return http.StatusConflict
	case model.ReasonUnknownJob:
		return http.StatusNotFound
	case model.ReasonExpired, model.ReasonAnswerExpired:
		return http.StatusGone
	case model.ReasonTaskFailed, model.ReasonEndpointsCrashed:
		return http.StatusBadGateway
	}
	return http.StatusServiceUnavailable
}

func rawAnswers(answers [][]byte) []json.RawMessage {
	raw := make([]json.RawMessage, 0, len(answers))
	for _, a := range answers {
		raw = append(raw, a)
	}
	return raw
}
