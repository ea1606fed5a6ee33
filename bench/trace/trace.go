// Package trace generates, reads and writes traces of load: jobs with their times of sending, teams
// and true run times, one JSON object per line. The same trace can be replayed against any system and
// against the ideal schedule.
package trace

import (
	"bufio"
	"encoding/json"
	"io"
	"time"

	"github.com/cockroachdb/errors"
)

// MaxTasks is the maximum number of tasks of one job.
const MaxTasks = 160

// Job is one line of a trace.
type Job struct {
	AtMS       int64   `json:"at_ms"` // Intended time of sending, relative to the trace's start.
	Service    string  `json:"service"`
	Team       string  `json:"team"`
	DeadlineMS int64   `json:"deadline_ms"`           // Deadline relative to the time of sending; 0 for the default deadline.
	RunMS      []int64 `json:"run_ms"`                // True run time of each task.
	DeclaredMS []int64 `json:"declared_ms,omitempty"` // Run time of each task as the caller declares it.
	CancelMS   int64   `json:"cancel_ms,omitempty"`   // Time from sending to the caller's cancellation; 0 for none.
}

// At returns the intended time of sending, relative to the trace's start.
func (j Job) At() time.Duration { return time.Duration(j.AtMS) * time.Millisecond }

// Deadline returns the job's deadline, relative to the time of sending.
func (j Job) Deadline() time.Duration { return time.Duration(j.DeadlineMS) * time.Millisecond }

// Runs returns the true run times of the job's tasks.
func (j Job) Runs() []time.Duration {
	runs := make([]time.Duration, 0, len(j.RunMS))
	for _, ms := range j.RunMS {
		runs = append(runs, time.Duration(ms)*time.Millisecond)
	}
	return runs
}

// Work returns the total slot time of the job's tasks.
func (j Job) Work() (work time.Duration) {
	for _, run := range j.Runs() {
		work += run
	}
	return work
}

// validate returns an error when a field of the job has an invalid value.
func (j Job) validate() error {
	switch {
	case j.AtMS < 0 || j.DeadlineMS < 0 || j.CancelMS < 0:
		return errors.New("at_ms, deadline_ms, cancel_ms: must not be negative")
	case j.Service == "" || j.Team == "":
		return errors.New("service, team: must be set")
	case len(j.RunMS) < 1 || len(j.RunMS) > MaxTasks:
		return errors.Newf("run_ms: must have 1 to %d tasks", MaxTasks)
	case len(j.DeclaredMS) != 0 && len(j.DeclaredMS) != len(j.RunMS):
		return errors.New("declared_ms: must be empty or as long as run_ms")
	}
	return nil
}

// Read reads the jobs of a trace. The error names the invalid line.
func Read(r io.Reader) ([]Job, error) {
	var jobs []Job
	lines := bufio.NewScanner(r)
	for number := 1; lines.Scan(); number++ {
		var job Job
		if err := json.Unmarshal(lines.Bytes(), &job); err != nil {
			return nil, errors.Wrapf(err, "line %d", number)
		}
		if err := job.validate(); err != nil {
			return nil, errors.Wrapf(err, "line %d", number)
		}
		jobs = append(jobs, job)
	}
	return jobs, errors.Wrap(lines.Err(), "read trace")
}

// Write writes jobs as a trace, one per line.
func Write(w io.Writer, jobs []Job) error {
	encoder := json.NewEncoder(w)
	for _, job := range jobs {
		if err := encoder.Encode(job); err != nil {
			return errors.Wrap(err, "write trace")
		}
	}
	return nil
}
