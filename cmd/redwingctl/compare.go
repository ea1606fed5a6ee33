package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"redwingpulley/cmd/internal/compare"
)

type compareCommand struct {
	Deployment []string      `help:"Deployments to run; all otherwise."`
	Scenario   []string      `default:"load50,load85,load150" help:"Scenarios to run; all runs all of them."`
	Policy     []string      `help:"Policies to run, placement+admission; all otherwise."`
	Profile    []string      `help:"Files with profiles to run besides the policies." type:"existingfile"`
	Length     time.Duration `default:"30s" help:"Time over which the jobs of one run are sent."`
	Seed       uint64        `default:"1" help:"Equal seeds give equal traces."`
	Output     string        `enum:"text,json" default:"text" help:"text or json."`
	Plot       string        `help:"File for a picture (PNG)." type:"path"`
	Log        string        `help:"File for the entry VMs' logs; none is written otherwise." type:"path"`
}

// Run runs the comparison and prints its table and the verdicts on the targets.
func (c *compareCommand) Run() error {
	experiment, err := c.experiment()
	if err != nil {
		return exitError{exitUsage, err}
	}
	log, closeLog, err := openLog(c.Log)
	if err != nil {
		return err
	}
	defer closeLog()
	experiment.Log = log
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	rows, err := experiment.Run(ctx, func(r compare.Row) {
		fmt.Fprintf(os.Stderr, "%s, %s, %s: mean response over ideal %.3f\n", r.Deployment, r.Scenario, r.Policy, r.Service().Ratio.Mean)
	})
	// After a failed run, the runs before it are still shown.
	err = errors.Join(err, c.write(rows, experiment.Policies))
	for _, r := range rows {
		err = errors.Join(err, errors.Wrapf(r.Report.CheckGuarantees(), "%s, %s, %s", r.Deployment, r.Scenario, r.Policy))
	}
	return err
}

func (c *compareCommand) write(rows []compare.Row, policies []compare.Policy) error {
	if c.Output == "json" {
		if err := json.NewEncoder(os.Stdout).Encode(rows); err != nil {
			return errors.Wrap(err, "output")
		}
	} else {
		compare.WriteTable(os.Stdout, rows)
		fmt.Println()
		for _, p := range policies {
			compare.WriteVerdict(os.Stdout, rows, p.Name)
		}
	}
	if c.Plot == "" {
		return nil
	}
	return compare.Plot(c.Plot, rows)
}

func (c *compareCommand) experiment() (x compare.Experiment, err error) {
	x.Length, x.Seed = c.Length, c.Seed
	x.Deployments, err = selectByName(compare.Deployments(), c.Deployment, func(d compare.Deployment) string { return d.Name })
	if err != nil {
		return x, err
	}
	if slices.Contains(c.Scenario, "all") {
		c.Scenario = nil
	}
	x.Scenarios, err = selectByName(compare.Scenarios(), c.Scenario, func(s compare.Scenario) string { return s.Name })
	if err != nil {
		return x, err
	}
	x.Policies, err = selectByName(compare.Policies(), c.Policy, func(p compare.Policy) string { return p.Name })
	for _, path := range c.Profile {
		policy, fault := compare.ReadPolicy(path)
		x.Policies, err = append(x.Policies, policy), errors.Join(err, fault)
	}
	return x, err
}

// selectByName returns the elements of all that are named, or all of them if there are no names.
func selectByName[T any](all []T, names []string, nameOf func(T) string) ([]T, error) {
	if len(names) == 0 {
		return all, nil
	}
	var known []string
	for _, t := range all {
		known = append(known, nameOf(t))
	}
	for _, name := range names {
		if !slices.Contains(known, name) {
			return nil, errors.Newf("unknown name %q; known names: %s", name, strings.Join(known, ", "))
		}
	}
	return slices.DeleteFunc(all, func(t T) bool { return !slices.Contains(names, nameOf(t)) }), nil
}
