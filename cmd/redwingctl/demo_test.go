package main

import (
	"bytes"
	"context"
	"log/slog"
	"strings"
	"testing"

	"github.com/matryer/is"

	"redwingpulley/bench/caller"
	"redwingpulley/bench/trace"
	"redwingpulley/bench/traces"
	"redwingpulley/kernel/event"
)

func TestDemoCompletesEveryJob(t *testing.T) {
	is := is.New(t)
	all, err := traces.Demo()
	is.NoErr(err)
	var out, lines bytes.Buffer
	log := slog.New(slog.NewJSONHandler(&lines, &slog.HandlerOptions{Level: event.Change})) // The handler serialises writes to lines.
	err = runDemo(context.Background(), &out, log, t.TempDir(), all[:40])
	if err != nil {
		t.Logf("%s\n%s", out.String(), lines.String()) // Nothing else shows the cause.
	}
	is.NoErr(err)
	is.True(strings.Contains(out.String(), "promises broken: 0"))
}

func TestDemoFailsWhenAJobIsNotRun(t *testing.T) {
	is := is.New(t)
	jobs := []trace.Job{{Service: "unknown", Team: "t", DeadlineMS: 1000, RunMS: []int64{1}}}
	var out bytes.Buffer
	err := runDemo(context.Background(), &out, slog.New(slog.DiscardHandler), t.TempDir(), jobs)
	is.True(err != nil)
	is.True(strings.Contains(out.String(), "unknown: 1 jobs not_run"))
}

func TestExitCodesOfSubmit(t *testing.T) {
	is := is.New(t)
	is.NoErr(resultError(caller.Result{Outcome: caller.Complete}))
	is.Equal(exitCode(resultError(caller.Result{Outcome: caller.NotRun})), exitRefused)
	is.Equal(exitCode(resultError(caller.Result{Outcome: caller.MayHaveRun})), exitUnknown)
	is.Equal(exitCode(resultError(caller.Result{Outcome: caller.Unknown})), exitUnknown)
}
