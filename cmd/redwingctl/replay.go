package main

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"os"

	"github.com/cockroachdb/errors"

	"redwingpulley/cmd/internal/node"
	"redwingpulley/cmd/internal/replay"
)

type replayCommand struct {
	File   string `arg:"" help:"Record that plug-in record.file wrote." type:"existingfile"`
	Output string `enum:"text,json" default:"text" help:"text or json."`
}

// Run replays the recorded events through the decision code and compares the effects with the recorded ones.
func (c *replayCommand) Run() error {
	file, err := os.Open(c.File)
	if err != nil {
		return exitError{exitUsage, errors.Wrap(err, "replay")}
	}
	defer file.Close()
	lines, err := replay.Read(file)
	if err != nil {
		return exitError{exitUsage, err}
	}
	policies, err := node.Policies(slog.New(slog.DiscardHandler))
	if err != nil {
		return err
	}
	outcome, err := replay.Run(lines, policies)
	if err != nil {
		return exitError{exitUsage, err}
	}
	if err := writeReplay(c.Output, outcome); err != nil {
		return err
	}
	return outcome.Err()
}

func writeReplay(output string, o replay.Outcome) error {
	if output == "json" {
		return json.NewEncoder(os.Stdout).Encode(o)
	}
	fmt.Printf("%d machines, %d steps, %d gaps\n", o.Machines, o.Steps, len(o.Gaps))
	fmt.Printf("batches: %d complete, %d refused, %d failed; jobs ended: %d; tasks sent: %d\n", o.Complete, o.Refused, o.Failed, o.Jobs, o.Starts)
	fmt.Printf("tasks started again: %d; steps that decide otherwise: %d\n", len(o.Repeated), len(o.Different))
	for _, different := range o.Different {
		fmt.Println("  ", different)
	}
	return nil
}
