package main

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"

	"github.com/cockroachdb/errors"

	"redwingpulley/kernel/model"
)

type whereCommand struct {
	operatorFlags
	Job     string `arg:"" optional:"" help:"File with the job as JSON, as for submit; - reads the standard input. Left out: the job is made from the flags."`
	Service string `help:"Service of the job."`
	Team    string `help:"Team of the job; the service's name when it is left out."`
	Tasks   int    `default:"1" help:"Number of tasks."`
	RunMS   int64  `name:"run-ms" help:"Declared run time of each task, in milliseconds; 0 for none."`
}

type whereTask struct {
	RunMS int64 `json:"run_ms,omitempty"`
}

type whereReply struct {
	Node     model.NodeID   `json:"node"`
	Revision model.Revision `json:"revision"`
	Refused  model.Reason   `json:"refused"`
	Why      string         `json:"why"`
	Parts    []struct {
		Pool    string       `json:"pool"`
		Owner   model.NodeID `json:"owner"`
		Tasks   int          `json:"tasks"`
		Verdict string       `json:"verdict"`
		Reason  model.Reason `json:"reason"`
	} `json:"parts"`
	Pools []struct {
		Pool   string       `json:"pool"`
		Owner  model.NodeID `json:"owner"`
		Slots  int          `json:"slots"`
		Free   int          `json:"free"`
		Queued int          `json:"queued"`
		AgeMS  int64        `json:"age_ms"`

		Evacuated bool `json:"evacuated"`
	} `json:"pools"`
}

// Run prints where the job would go. The exit code is 1 if no entry VM answers.
func (c *whereCommand) Run() error {
	ctx, stop := signalContext()
	defer stop()
	job, err := c.body()
	if err != nil {
		return exitError{exitUsage, err}
	}
	reply, err := c.client().Ask(ctx, "/v1/explain", job)
	if err != nil {
		return exitError{exitRefused, err}
	}
	if err := refusalError(reply); err != nil {
		return err
	}
	var where whereReply
	if err := json.Unmarshal(reply.Body, &where); err != nil {
		return errors.Wrap(err, "answer")
	}
	return c.show(reply, where.write)
}

// body returns the job as JSON.
func (c *whereCommand) body() ([]byte, error) {
	if c.Job != "" {
		raw, err := readInput(c.Job)
		return raw, errors.Wrap(err, "job")
	}
	if c.Service == "" || c.Tasks < 1 || c.Tasks > model.MaxTasksPerJob {
		return nil, errors.Newf("give a file with the job, or --service and --tasks of 1 to %d", model.MaxTasksPerJob)
	}
	tasks := make([]whereTask, c.Tasks)
	for i := range tasks {
		tasks[i].RunMS = c.RunMS
	}
	return json.Marshal(map[string]any{"service": c.Service, "team": cmp.Or(c.Team, c.Service), "tasks": tasks})
}

func (r whereReply) write(w io.Writer) {
	fmt.Fprintf(w, "seen by\t%s, profiles at revision %d\n", r.Node, r.Revision)
	if r.Refused != "" {
		fmt.Fprintf(w, "refused\t%s: %s\n\n", r.Refused, r.Why)
	} else {
		fmt.Fprintf(w, "planned\t%s\n\n", r.Why)
		fmt.Fprintln(w, "GOES TO\tOWNER\tTASKS\tVERDICT\tREASON")
		for _, p := range r.Parts {
			fmt.Fprintf(w, "%s\t%s\t%d\t%s\t%s\n", p.Pool, p.Owner, p.Tasks, p.Verdict, p.Reason)
		}
		fmt.Fprintln(w)
	}
	fmt.Fprintln(w, "POOL\tOWNER\tSLOTS\tFREE\tQUEUED\tAGE MS\tEVACUATED")
	for _, p := range r.Pools {
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%d\t%t\n", p.Pool, p.Owner, p.Slots, p.Free, p.Queued, p.AgeMS, p.Evacuated)
	}
}
