package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"os/signal"
	"slices"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"redwingpulley/bench/caller"
	"redwingpulley/bench/load"
	"redwingpulley/bench/trace"
)

type loadCommand struct {
	Entry   []string      `required:"" help:"Callers' listeners of entry VMs, ip:port; jobs go to them in turn."`
	Trace   string        `arg:"" default:"-" help:"Trace to replay, JSON lines; - reads the standard input."`
	Tickets bool          `help:"Take all ids before the run, so that jobs can be cancelled and sent again after a lost answer; when an entry VM stops, its tickets are lost."`
	Resends int           `default:"3" help:"Times that a job with a ticket is sent again after a lost answer."`
	Delay   time.Duration `default:"0" help:"One-way delay between the caller and the entry VMs, added to each request."`
	Output  string        `enum:"text,json" default:"text" help:"text or json."`
}

// Run replays a trace against running entry VMs. It is an open loop: jobs are sent at the trace's times, whether or not
// earlier ones are answered.
func (c *loadCommand) Run() error {
	jobs, err := readTrace(c.Trace)
	if err != nil {
		return exitError{exitUsage, err}
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	client := caller.New(c.Entry, c.Delay, c.Resends)
	defer client.Close()
	results, err := load.Runner{Client: client, Tickets: c.Tickets}.Run(ctx, jobs)
	if err != nil {
		return err
	}
	summary := load.Summarize(results)
	if err := writeSummary(os.Stdout, c.Output, summary); err != nil {
		return err
	}
	if summary.Outcomes[load.Wrong] > 0 {
		return errors.Newf("%d jobs got the answers of other tasks", summary.Outcomes[load.Wrong])
	}
	return nil
}

func readTrace(path string) ([]trace.Job, error) {
	if path == "-" {
		return trace.Read(os.Stdin)
	}
	file, err := os.Open(path)
	if err != nil {
		return nil, errors.Wrap(err, "trace")
	}
	defer file.Close()
	return trace.Read(file)
}

type summaryBody struct {
	Jobs     int                    `json:"jobs"`
	Outcomes map[caller.Outcome]int `json:"outcomes"`
	Reasons  map[string]int         `json:"reasons"`
	Resends  int                    `json:"resends"`
	Response map[string]float64     `json:"response_ms"`
}

var percentiles = []float64{50, 90, 99, 99.9, 100}

func writeSummary(w io.Writer, output string, s load.Summary) error {
	if output == "json" {
		body := summaryBody{s.Jobs, s.Outcomes, s.Reasons, s.Resends, make(map[string]float64)}
		for _, p := range percentiles {
			body.Response[fmt.Sprintf("p%g", p)] = milliseconds(s.Quantile(p))
		}
		return json.NewEncoder(w).Encode(body)
	}
	fmt.Fprintf(w, "%d jobs, %d resends\n", s.Jobs, s.Resends)
	for _, outcome := range slices.Sorted(maps.Keys(s.Outcomes)) {
		fmt.Fprintf(w, "  %-14s %d\n", outcome, s.Outcomes[outcome])
	}
	for _, reason := range slices.Sorted(maps.Keys(s.Reasons)) {
		fmt.Fprintf(w, "    %s: %d\n", reason, s.Reasons[reason])
	}
	fmt.Fprint(w, "response of complete jobs:")
	for _, p := range percentiles {
		fmt.Fprintf(w, " p%g %.1f ms", p, milliseconds(s.Quantile(p)))
	}
	fmt.Fprintln(w)
	return nil
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
