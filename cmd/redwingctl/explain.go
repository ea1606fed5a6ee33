package main

import (
	"encoding/json"
	"os"

	"github.com/cockroachdb/errors"

	"redwingpulley/cmd/internal/explain"
)

type explainCommand struct {
	ID     string   `arg:"" help:"The job's id, or the caller's own id for it."`
	Files  []string `arg:"" help:"Logs of any number of processes." type:"existingfile"`
	Output string   `enum:"text,json" default:"text" help:"text or json."`
}

// Run prints the timeline of the request. The exit code is 1 if no log line names the request.
func (c *explainCommand) Run() error {
	var lines []explain.Line
	for _, name := range c.Files {
		more, err := readLog(name)
		if err != nil {
			return exitError{exitUsage, errors.Wrap(err, name)}
		}
		lines = append(lines, more...)
	}
	timeline, ok := explain.BuildTimeline(lines, c.ID)
	if !ok {
		return exitError{exitRefused, errors.Newf("none of %d log lines names %s", len(lines), c.ID)}
	}
	if c.Output == "json" {
		return json.NewEncoder(os.Stdout).Encode(timeline)
	}
	timeline.Write(os.Stdout)
	return nil
}

func readLog(name string) ([]explain.Line, error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	return explain.Read(file)
}
