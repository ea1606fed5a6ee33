package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/cockroachdb/errors"

	"redwingpulley/bench/caller"
)

type submitCommand struct {
	Entry   []string `required:"" help:"Callers' listeners of entry VMs, ip:port; they are tried in this order."`
	Job     string   `arg:"" optional:"" default:"-" help:"File with the job as JSON; - reads the standard input."`
	Resends int      `default:"3" help:"Times that the job is sent again after a lost answer."`
	Output  string   `enum:"text,json" default:"text" help:"text or json."`
}

// Run submits one job under a ticket, so that it can be sent again without running twice.
func (c *submitCommand) Run() error {
	job, err := readJob(c.Job)
	if err != nil {
		return exitError{exitUsage, err}
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	client := caller.New(c.Entry, 0, c.Resends)
	defer client.Close()
	first, err := takeTicket(ctx, client, &job)
	if err != nil {
		return exitError{exitRefused, err}
	}
	result := client.Submit(ctx, first, job)
	if err := writeResult(os.Stdout, c.Output, result); err != nil {
		return err
	}
	return resultError(result)
}

func readJob(path string) (job caller.Job, err error) {
	raw, err := readInput(path)
	if err != nil {
		return job, errors.Wrap(err, "job")
	}
	return job, errors.Wrap(json.Unmarshal(raw, &job), "job")
}

func readInput(path string) ([]byte, error) {
	if path == "-" {
		return io.ReadAll(os.Stdin)
	}
	return os.ReadFile(path)
}

// takeTicket gives the job an id issued by the first entry VM that answers, and returns that entry VM's index. A job
// that has an id keeps it.
func takeTicket(ctx context.Context, client *caller.Client, job *caller.Job) (entry int, err error) {
	if job.ID != "" {
		return 0, nil
	}
	for i, address := range client.Entries {
		ids, failed := client.Tickets(ctx, address, 1)
		if failed == nil {
			job.ID = ids[0]
			return i, nil
		}
		err = errors.Join(err, failed)
	}
	return 0, err
}

func writeResult(w io.Writer, output string, result caller.Result) error {
	if output == "json" {
		return json.NewEncoder(w).Encode(result)
	}
	fmt.Fprintf(w, "job %s: %s", result.JobID, result.Outcome)
	if result.Reason != "" {
		fmt.Fprintf(w, " (%s)", result.Reason)
	}
	fmt.Fprintln(w)
	for i, answer := range result.Answers {
		fmt.Fprintf(w, "%d: %s\n", i, answer)
	}
	return nil
}

// resultError returns an error with the exit code for the job's outcome, or nil if the job is complete.
func resultError(result caller.Result) error {
	switch result.Outcome {
	case caller.Complete:
		return nil
	case caller.NotRun:
		return exitError{exitRefused, errors.Newf("not run: %s", result.Reason)}
	}
	return exitError{exitUnknown, errors.Newf("the job may have run: %s", result.Reason)}
}
