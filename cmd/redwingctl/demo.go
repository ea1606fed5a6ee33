package main

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"redwingpulley/bench/caller"
	"redwingpulley/bench/load"
	"redwingpulley/bench/measure"
	"redwingpulley/bench/trace"
	"redwingpulley/bench/traces"
	"redwingpulley/cmd/internal/group"
	"redwingpulley/kernel/event"
)

const (
	demoSlots   = 8
	demoResends = 3
	demoTimeout = 18 * time.Second
)

type demoCommand struct {
	Log string `help:"File for the entry VMs' log; none is written otherwise." type:"path"`
}

// Run replays the shipped trace against entry VMs and endpoints inside this process.
func (c *demoCommand) Run() error {
	ctx, cancel := context.WithTimeout(context.Background(), demoTimeout)
	defer cancel()
	log, closeLog, err := openLog(c.Log)
	if err != nil {
		return err
	}
	defer closeLog()
	dir, err := os.MkdirTemp("", "redwing-demo-")
	if err != nil {
		return errors.Wrap(err, "demo")
	}
	defer os.RemoveAll(dir)
	jobs, err := traces.Demo()
	if err != nil {
		return err
	}
	return runDemo(ctx, os.Stdout, log, dir, jobs)
}

func openLog(path string) (log *slog.Logger, closeFile func() error, err error) {
	if path == "" {
		return slog.New(slog.DiscardHandler), func() error { return nil }, nil
	}
	file, err := os.Create(path)
	if err != nil {
		return nil, nil, errors.Wrap(err, "log")
	}
	return slog.New(slog.NewJSONHandler(file, &slog.HandlerOptions{Level: event.Routine})), file.Close, nil
}

func runDemo(ctx context.Context, out io.Writer, log *slog.Logger, dir string, jobs []trace.Job) error {
	g, err := group.Start(ctx, group.Config{
		Region:      "demo",
		DataCentres: []group.DataCentre{{Name: "sj1", VMs: 2, Endpoints: 8}, {Name: "sj2", VMs: 1, Endpoints: 4}},
		Services:    []string{"finder", "auction"},
		Slots:       demoSlots, DataDir: dir, Log: log,
	})
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "%d entry VMs in 2 data centres, %d endpoints of %d slots, %d jobs\n", len(g.Hosts), len(g.Endpoints), demoSlots, len(jobs))
	if err := g.AwaitLoads(ctx); err != nil {
		return errors.Join(err, g.Stop())
	}
	results, err := sendDemoJobs(ctx, out, g, jobs)
	if err = errors.Join(err, g.Stop()); err != nil {
		return err
	}
	report := measure.New(measure.Run{
		Jobs: jobs, Results: results, Logs: g.Logs(), Counters: g.Counters(), Slots: g.Slots(),
	})
	report.WriteTable(out)
	return errors.Join(report.CheckGuarantees(), report.CheckAllComplete())
}

func sendDemoJobs(ctx context.Context, out io.Writer, g *group.Group, jobs []trace.Job) ([]load.Result, error) {
	client := caller.New(g.Entries(), 0, demoResends)
	defer client.Close()
	return load.Runner{Client: client, Tickets: true, Progress: newProgress(out).show}.Run(ctx, jobs)
}
