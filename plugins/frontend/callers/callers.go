// Package callers takes jobs from callers as JSON over HTTP.
package callers

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"redwingpulley/kernel/model"
	"redwingpulley/kernel/plugin"
	"redwingpulley/kernel/port"
	"redwingpulley/plugins/frontend/web"
)

const (
	maxTickets = 1000
	maxWait    = time.Minute
)

// Frontend is the plug-in. Create it through the registry.
type Frontend struct {
	jobs   port.Jobs
	health *plugin.Health
	server *web.Server
}

// Provision binds the port and sets up the routes.
func (f *Frontend) Provision(c *plugin.Context) (err error) {
	if f.jobs, err = plugin.Use[port.Jobs](c); err != nil {
		return err
	}
	f.health = c.Health
	f.server = web.NewServer(c.Node.Listen.Callers, f.routes())
	return c.Settings(&struct{}{})
}

// Start opens the listener.
func (f *Frontend) Start() error { return f.server.Start() }

// Drain finishes the requests in flight.
func (f *Frontend) Drain(ctx context.Context) { f.server.Drain(ctx) }

// Stop closes the listener.
func (f *Frontend) Stop() error { return f.server.Stop() }

func (f *Frontend) routes() http.Handler {
	mux := http.NewServeMux()
	web.HandleHealth(mux, f.health)
	mux.HandleFunc("POST /v1/tickets", f.tickets)
	mux.HandleFunc("POST /v1/jobs", f.submit)
	mux.HandleFunc("GET /v1/jobs/{id}", f.lookup)
	mux.HandleFunc("DELETE /v1/jobs/{id}", f.cancel)
	return mux
}

func (f *Frontend) tickets(w http.ResponseWriter, r *http.Request) {
	request := ticketsBody{Count: 1}
	if err := web.Decode(w, r, &request); err != nil {
		web.Refuse(w, http.StatusBadRequest, "bad_request", err.Error())
		return
	}
	if request.Count < 1 || request.Count > maxTickets {
		web.Refuse(w, http.StatusBadRequest, "bad_request", "count: must be 1 to "+strconv.Itoa(maxTickets))
		return
	}
	web.Reply(w, http.StatusOK, ticketsReply{f.jobs.Mint(request.Count)})
}

func (f *Frontend) submit(w http.ResponseWriter, r *http.Request) {
	var body jobBody
	if err := web.Decode(w, r, &body); err != nil {
		web.Refuse(w, http.StatusBadRequest, "bad_request", err.Error())
		return
	}
	job, err := body.job(time.Now())
	if err != nil {
		web.Refuse(w, http.StatusBadRequest, "bad_request", err.Error())
		return
	}
	if job.ID == "" {
		job.ID = f.jobs.Mint(1)[0]
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

// writeOutcome maps an outcome to a status and a body.
func writeOutcome(w http.ResponseWriter, o model.Outcome) {
	switch o.State {
	case model.StateComplete:
		web.Reply(w, http.StatusOK, completeBody{o.Job, o.State, rawAnswers(o.Answers)})
	case model.StateRunning:
		web.Reply(w, http.StatusAccepted, runningBody{o.Job, o.State})
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
		Job: o.Job, Outcome: o.State, Run: o.Run, Reason: o.Reason,
	})
}

func statusOf(reason model.Reason) int {
	switch reason {
	case model.ReasonNeverFits:
		return http.StatusUnprocessableEntity
	case model.ReasonQuota:
		return http.StatusTooManyRequests
	case model.ReasonDeadline:
		return http.StatusGatewayTimeout
	case model.ReasonConflict, model.ReasonCancelled:
		return http.StatusConflict
	case model.ReasonUnknownJob:
		return http.StatusNotFound
	case model.ReasonExpired:
		return http.StatusGone
	case model.ReasonTaskFailed:
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
