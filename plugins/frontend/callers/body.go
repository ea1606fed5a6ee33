package callers

import (
	"encoding/json"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"redwingpulley/kernel/model"
)

const (
	maxDeadline = time.Hour
	maxName     = 128 // Limit on the name of a service or team, in bytes.
)

type ticketsBody struct {
	Count int `json:"count"` // Number of job ids to mint.
}

type ticketsReply struct {
	JobIDs []model.JobID `json:"job_ids"`
}

type jobBody struct {
	JobID      model.JobID     `json:"job_id,omitempty"` // "" to have an id minted.
	Service    model.ServiceID `json:"service"`
	Team       model.TeamID    `json:"team"`
	DeadlineMS int64           `json:"deadline_ms"` // Time from now in milliseconds; 0 for the default of the service's profile.
	Tasks      []taskBody      `json:"tasks"`
}

type taskBody struct {
	Payload json.RawMessage `json:"payload,omitempty"`
	RunMS   int64           `json:"run_ms,omitempty"` // Declared run time.
	Needs   needsBody       `json:"needs"`
}

type needsBody struct {
	Cores        int `json:"cores"`
	MemoryMB     int `json:"memory_mb"`
	Accelerators int `json:"accelerators"`
}

func (n needsBody) needs() model.Needs {
	return model.Needs{
		MilliCores: n.Cores * model.MilliCoresPerCore, MemoryMB: n.MemoryMB, Accelerators: n.Accelerators,
	}
}

type completeBody struct {
	JobID   model.JobID       `json:"job_id"`
	Outcome model.State       `json:"outcome"`
	Answers []json.RawMessage `json:"answers"`
}

type runningBody struct {
	JobID   model.JobID `json:"job_id"`
	Outcome model.State `json:"outcome"`
}

// failedBody is the problem response, as defined by RFC 9457, to a job that has ended without all answers.
type failedBody struct {
	Title   string         `json:"title"`
	Status  int            `json:"status"`
	Job     model.JobID    `json:"job_id"`
	Outcome model.State    `json:"outcome"`
	Run     model.RunState `json:"run"`
	Reason  model.Reason   `json:"reason"`
	Detail  string         `json:"detail,omitempty"`
}

func (b ticketsBody) check() error {
	if b.Count < 1 || b.Count > maxTickets {
		return errors.Newf("count: must be 1 to %d", maxTickets)
	}
	return nil
}

// job converts a body that has passed check. The job's deadline is zero if the body sets none.
func (b jobBody) job(now time.Time) model.Job {
	job := model.Job{ID: b.JobID, Service: b.Service, Team: b.Team, Digest: b.digest()}
	if b.DeadlineMS > 0 {
		job.Deadline = now.Add(time.Duration(b.DeadlineMS) * time.Millisecond)
	}
	for i, t := range b.Tasks {
		job.Tasks = append(job.Tasks, model.Task{
			Index: i, Payload: t.Payload, Declared: time.Duration(t.RunMS) * time.Millisecond,
			Needs: t.Needs.needs(),
		})
	}
	return job
}

// check returns an error that names the first invalid field.
func (b jobBody) check() error {
	switch {
	case b.JobID != "" && !isJobID(b.JobID):
		return errors.New("job_id: is not a valid job id; take one from /v1/tickets or leave it out")
	case b.Service == "" || len(b.Service) > maxName:
		return errors.Newf("service: must be 1 to %d bytes", maxName)
	case b.Team == "" || len(b.Team) > maxName:
		return errors.Newf("team: must be 1 to %d bytes", maxName)
	case b.DeadlineMS < 0 || b.DeadlineMS > maxDeadline.Milliseconds():
		return errors.Newf("deadline_ms: must be 0 to %d", maxDeadline.Milliseconds())
	case len(b.Tasks) < 1 || len(b.Tasks) > model.MaxTasksPerJob:
		return errors.Newf("tasks: must be 1 to %d", model.MaxTasksPerJob)
	}
	for i, t := range b.Tasks {
		if err := t.check(); err != nil {
			return errors.Wrapf(err, "tasks[%d]", i)
		}
	}
	return nil
}

func isJobID(id model.JobID) bool {
	_, ok := id.Parse()
	return ok
}

func (t taskBody) check() error {
	switch {
	case t.RunMS < 0 || t.RunMS > maxDeadline.Milliseconds():
		return errors.Newf("run_ms: must be 0 to %d", maxDeadline.Milliseconds())
	case t.Needs.Cores < 0:
		return errors.New("needs.cores: must not be negative")
	case t.Needs.MemoryMB < 0:
		return errors.New("needs.memory_mb: must not be negative")
	case t.Needs.Accelerators < 0:
		return errors.New("needs.accelerators: must not be negative")
	}
	return nil
}

// digest returns a hash of the submission without its id. A resend of a job has the same digest.
func (b jobBody) digest() uint64 {
	b.JobID = ""
	canonical, err := json.Marshal(b)
	if err != nil {
		return 0
	}
	return xxhash.Sum64(canonical)
}
