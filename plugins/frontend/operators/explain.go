package operators

import (
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"redwingpulley/kernel/model"
	"redwingpulley/kernel/port"
	"redwingpulley/plugins/frontend/web"
)

// maxJobName is the limit on the name of a job's service or team, in bytes, as at the callers' listener.
const maxJobName = 128

// explainedJob is a job as callers submit it. Its id and payloads are ignored. Objective and Priority are those of a route of the users'
// platform.
type explainedJob struct {
	JobID      model.JobID        `json:"job_id,omitempty"`
	Service    model.ServiceID    `json:"service"`
	Team       model.TeamID       `json:"team"`
	DeadlineMS int64              `json:"deadline_ms"` // Time from now; 0 for the default of the service's profile.
	Objective  explainedObjective `json:"objective"`
	Priority   int                `json:"priority"`
	Tasks      []explainedTask    `json:"tasks"`
}

type explainedObjective struct {
	Stretch float64 `json:"stretch"`  // Multiple of the longest task's run time.
	SlackMS int64   `json:"slack_ms"` // Added to it.
	Useful  float64 `json:"useful"`   // Multiple of both together up to which the answer is of use; 0 if it always is.
}

type explainedTask struct {
	Payload json.RawMessage `json:"payload,omitempty"`
	RunMS   int64           `json:"run_ms,omitempty"` // Declared run time.
	Needs   struct {
		Cores        int `json:"cores"`
		MemoryMB     int `json:"memory_mb"`
		Accelerators int `json:"accelerators"`
	} `json:"needs"`
}

// check returns an error that names the first invalid field.
func (b *explainedJob) check() error {
	switch {
	case b.Service == "" || len(b.Service) > maxJobName:
		return errors.Newf("service: must be 1 to %d bytes", maxJobName)
	case b.Team == "" || len(b.Team) > maxJobName:
		return errors.Newf("team: must be 1 to %d bytes", maxJobName)
	case b.DeadlineMS < 0 || b.DeadlineMS > maxDeadline.Milliseconds():
		return errors.Newf("deadline_ms: must be 0 to %d", maxDeadline.Milliseconds())
	case b.Objective.Stretch < 0 || b.Objective.Useful < 0 || b.Objective.SlackMS < 0 || b.Objective.SlackMS > maxDeadline.Milliseconds():
		return errors.Newf("objective: must not be negative, and slack_ms at most %d", maxDeadline.Milliseconds())
	case b.Priority != model.ClampPriority(b.Priority):
		return errors.Newf("priority: must be 0 to %d", model.MaxPriority)
	case len(b.Tasks) < 1 || len(b.Tasks) > model.MaxTasksPerJob:
		return errors.Newf("tasks: must be 1 to %d", model.MaxTasksPerJob)
	}
	for i, t := range b.Tasks {
		if t.RunMS < 0 || t.RunMS > maxDeadline.Milliseconds() {
			return errors.Newf("tasks[%d].run_ms: must be 0 to %d", i, maxDeadline.Milliseconds())
		}
		if min(t.Needs.Cores, t.Needs.MemoryMB, t.Needs.Accelerators) < 0 {
			return errors.Newf("tasks[%d].needs: must not be negative", i)
		}
	}
	return nil
}

// job converts a body that has passed check.
func (b *explainedJob) job(now time.Time) model.Job {
	job := model.Job{Service: b.Service, Team: b.Team, Priority: b.Priority, Objective: model.Objective{
		Stretch: b.Objective.Stretch, Slack: time.Duration(b.Objective.SlackMS) * time.Millisecond, Useful: b.Objective.Useful,
	}}
	if b.DeadlineMS > 0 {
		job.Deadline = now.Add(time.Duration(b.DeadlineMS) * time.Millisecond)
	}
	for i, t := range b.Tasks {
		job.Tasks = append(job.Tasks, model.Task{
			Index: i, Declared: time.Duration(t.RunMS) * time.Millisecond,
			Needs: model.Needs{MilliCores: t.Needs.Cores * model.MilliCoresPerCore, MemoryMB: t.Needs.MemoryMB, Accelerators: t.Needs.Accelerators},
		})
	}
	return job
}

// explanationBody is a port.Explanation; the comments there say what the fields hold.
type explanationBody struct {
	Node         model.NodeID     `json:"node"` // Member that answers.
	Revision     model.Revision   `json:"revision"`
	Refused      model.Reason     `json:"refused,omitempty"`
	RetryAfterMS int64            `json:"retry_after_ms,omitempty"`
	Why          string           `json:"why"`
	Parts        []explainedPart  `json:"parts"`
	Pools        []consideredPool `json:"pools"`
}

type explainedPart struct {
	Pool         string       `json:"pool"`
	Owner        model.NodeID `json:"owner"`
	Tasks        int          `json:"tasks"`
	MaxWaitMS    int64        `json:"max_wait_ms,omitempty"`
	Verdict      string       `json:"verdict"` // admitted or refused; unknown for a pool of another member.
	Reason       model.Reason `json:"reason,omitempty"`
	RetryAfterMS int64        `json:"retry_after_ms,omitempty"`
}

type consideredPool struct {
	Pool        string       `json:"pool"`
	Owner       model.NodeID `json:"owner"`
	Slots       int          `json:"slots"`
	Free        int          `json:"free"`
	Queued      int          `json:"queued"`
	QueuedRunMS int64        `json:"queued_run_ms"`
	MeanRunMS   int64        `json:"mean_run_ms"`
	AgeMS       int64        `json:"age_ms"`
	Evacuated   bool         `json:"evacuated,omitempty"` // The pool is in an evacuated data centre.
}

func encodeExplanation(node model.NodeID, e port.Explanation) explanationBody {
	body := explanationBody{
		Node: node, Revision: e.Revision, Refused: e.Refused, RetryAfterMS: e.RetryAfter.Milliseconds(), Why: e.Why,
		Parts: []explainedPart{}, Pools: []consideredPool{},
	}
	for _, p := range e.Parts {
		body.Parts = append(body.Parts, explainedPart{
			Pool: p.Pool.String(), Owner: p.Owner, Tasks: len(p.Tasks), MaxWaitMS: p.MaxWait.Milliseconds(),
			Verdict: verdictText(p), Reason: p.Verdict.Reason, RetryAfterMS: p.Verdict.RetryAfter.Milliseconds(),
		})
	}
	for _, l := range e.Pools {
		body.Pools = append(body.Pools, consideredPool{
			Pool: l.Pool.String(), Owner: l.Owner, Slots: l.Slots, Free: l.Free, Queued: l.Queued,
			QueuedRunMS: l.QueuedRun.Milliseconds(), MeanRunMS: l.MeanRun.Milliseconds(), AgeMS: l.Age.Milliseconds(),
			Evacuated: slices.Contains(e.Evacuated, l.Pool.DataCentre),
		})
	}
	return body
}

func verdictText(p port.ExplainedPart) string {
	switch {
	case !p.Owned:
		return "unknown"
	case p.Verdict.Admit:
		return "admitted"
	}
	return "refused"
}

// explainJob answers where a job would go now, and why, without running it.
func (f *Frontend) explainJob(w http.ResponseWriter, r *http.Request) {
	var body explainedJob
	if web.DecodeOrRefuse(w, r, &body, func() error { return body.check() }) {
		web.WriteJSON(w, http.StatusOK, encodeExplanation(f.membership.Self().ID, f.planner.Explain(body.job(time.Now()))))
	}
}
