package main

import (
	"os"
	"time"

	"redwingpulley/bench/trace"
)

type traceCommand struct {
	Service       []string      `default:"finder" help:"Services; each gets the load."`
	Seed          uint64        `default:"1" help:"Equal seeds give equal traces."`
	Length        time.Duration `default:"30s" help:"Time over which jobs are sent."`
	Slots         int           `default:"400" help:"Slots of one service."`
	Load          float64       `default:"0.5" help:"Offered work as a share of the slots."`
	Teams         int           `default:"4" help:"Teams with equal shares."`
	Largest       int           `default:"160" help:"Tasks of the largest jobs."`
	Deadline      time.Duration `default:"5s" help:"Deadline of the jobs."`
	Stragglers    float64       `default:"0" help:"Share of tasks that run several times longer."`
	DeclaredError float64       `default:"10" help:"Declared run times are off by up to this factor."`
}

// Run writes a trace to the standard output.
func (c *traceCommand) Run() error {
	var parts [][]trace.Job
	for i, service := range c.Service {
		parts = append(parts, trace.Generate(trace.Workload{
			Service: service, Seed: c.Seed + uint64(i), Length: c.Length, Slots: c.Slots, Load: c.Load,
			Teams: c.Teams, Largest: c.Largest, Deadline: c.Deadline,
			Stragglers: c.Stragglers, DeclaredError: c.DeclaredError,
		}))
	}
	return trace.Write(os.Stdout, trace.Merge(parts...))
}
