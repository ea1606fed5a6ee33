// Package trace holds recorded load: jobs with their times, teams and true run times, one a line
// as JSON. The same trace can be run against any system and against the ideal.
package trace

import (
	"bufio"
	"encoding/json"
	"io"
	"time"

	"github.com/cockroachdb/errors"
)

// MaxTasks bounds the tasks of one job.
const MaxTasks = 160

// Job is one line of a trace.
type Job struct {
	AtMS       int64   `json:"at_ms"` // Intended time of sending, from the trace's start.
	Service    string  `json:"service"`
	Team       string  `json:"team"`
	DeadlineMS int64   `json:"deadline_ms"`           // From the time of sending.
	RunMS      []int64 `json:"run_ms"`                // True run time of each task.
	DeclaredMS []int64 `json:"declared_ms,omitempty"` // What the caller says of each task.
	CancelMS   int64   `json:"cancel_ms,omitempty"`   // The caller cancels this long after sending; 0 never.
}

// At returns the intended time of sending, from the trace's start.
func (j Job) At() time.Duration { return time.Duration(j.AtMS) * time.Millisecond }

// Deadline returns the time that the job has from its sending.
func (j Job) Deadline() time.Duration { return time.Duration(j.DeadlineMS) * time.Millisecond }

// Runs returns the true run times of the job's tasks.
func (j Job) Runs() []time.Duration {
	runs := make([]time.Duration, 0, len(j.RunMS))
	for _, ms := range j.RunMS {
		runs = append(runs, time.Duration(ms)*time.Millisecond)
	}
	return runs
}

// Work returns the slot time that the job's tasks need together.
func (j Job) Work() (work time.Duration) {
	for _, run := range j.Runs() {
		work += run
	}
	return work
}

func (j Job) check() error {
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

// Read reads the jobs of a trace. The error names the faulty line.
func Read(r io.Reader) ([]Job, error) {
	var jobs []Job
	lines := bufio.NewScanner(r)
	for number := 1; lines.Scan(); number++ {
		var job Job
		if err := json.Unmarshal(lines.Bytes(), &job); err != nil {
			return nil, errors.Wrapf(err, "line %d", number)
		}
		if err := job.check(); err != nil {
			return nil, errors.Wrapf(err, "line %d", number)
		}
		jobs = append(jobs, job)
	}
	return jobs, errors.Wrap(lines.Err(), "trace")
}

// Write writes jobs, a line each.
func Write(w io.Writer, jobs []Job) error {
	encoder := json.NewEncoder(w)
	for _, job := range jobs {
		if err := encoder.Encode(job); err != nil {
			return errors.Wrap(err, "trace")
		}
	}
	return nil
}
