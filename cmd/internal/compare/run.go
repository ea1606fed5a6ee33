package compare

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"redwingpulley/bench/caller"
	"redwingpulley/bench/load"
	"redwingpulley/bench/measure"
	"redwingpulley/bench/trace"
	"redwingpulley/cmd/internal/group"
	"redwingpulley/kernel/model"
	"redwingpulley/kernel/plugin"
	"redwingpulley/kernel/wait"
)

const (
	warmUpTime = 2 * time.Second // Time before the first job, in which the entry VMs learn of each other's pools.
	resends    = 3
)

// Policy is the profile declaration that a run uses.
type Policy struct {
	Name        string
	Declaration []byte // JSON.
}

// Policies returns the shipped policy first, then the linked baselines: each other placement with the shipped
// admission, and the shipped placement with each other admission.
func Policies() []Policy {
	shipped := model.BuiltInProfile()
	policies := []Policy{builtIn(shipped.Placement, shipped.Admission)}
	for _, d := range plugin.Registered() {
		switch {
		case d.ID.Kind() == "placement" && d.ID.Name() != shipped.Placement:
			policies = append(policies, builtIn(d.ID.Name(), shipped.Admission))
		case d.ID.Kind() == "admission" && d.ID.Name() != shipped.Admission:
			policies = append(policies, builtIn(shipped.Placement, d.ID.Name()))
		}
	}
	return policies
}

// builtIn returns a policy that is the built-in profile with the given placement and admission.
func builtIn(placement, admission string) Policy {
	declaration := fmt.Appendf(nil, `{"placement":%q,"admission":%q}`, placement, admission)
	return Policy{placement + "+" + admission, declaration}
}

// ReadPolicy reads a profile's declaration from a file. The policy's name is the file's name up to its first dot.
func ReadPolicy(path string) (Policy, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return Policy{}, errors.Wrap(err, "profile")
	}
	name, _, _ := strings.Cut(filepath.Base(path), ".")
	return Policy{name, raw}, nil
}

// Row holds the measurements of one run.
type Row struct {
	Deployment string         `json:"deployment"`
	Scenario   string         `json:"scenario"`
	Load       float64        `json:"load"`
	Disturbed  bool           `json:"disturbed"` // Whether the scenario is disturbed; only such runs are plotted, since they differ only in load.
	Policy     string         `json:"policy"`
	Report     measure.Report `json:"report"`
	// Others holds the measurements without the greedy team's jobs, to compare them with a run at even load.
	Others measure.Service `json:"others"`
}

// Service returns the measurements of the run's only service.
func (r Row) Service() measure.Service { return r.Report.Services[0] }

// Experiment is a comparison: it runs each policy in each scenario on each deployment.
type Experiment struct {
	Deployments []Deployment
	Scenarios   []Scenario
	Policies    []Policy
	Length      time.Duration // Time over which jobs are sent.
	Seed        uint64
	Progress    io.Writer
	Log         *slog.Logger
}

// Run does all runs, one after another, and calls done after each. After an error, it returns the rows so far.
func (x Experiment) Run(ctx context.Context, done func(Row)) ([]Row, error) {
	var rows []Row
	for _, d := range x.Deployments {
		for _, s := range x.Scenarios {
			jobs := s.Trace(d, x.Length, x.Seed)
			for _, p := range x.Policies {
				row, err := x.runOne(ctx, d, s, p, jobs)
				if err != nil {
					return rows, errors.Wrapf(err, "%s, %s, %s", d.Name, s.Name, p.Name)
				}
				rows = append(rows, row)
				done(row)
			}
		}
	}
	return rows, nil
}

func (x Experiment) runOne(ctx context.Context, d Deployment, s Scenario, p Policy, jobs []trace.Job) (Row, error) {
	dir, err := os.MkdirTemp("", "redwing-compare-")
	if err != nil {
		return Row{}, errors.Wrap(err, "data folder")
	}
	defer os.RemoveAll(dir)
	g, err := group.Start(ctx, group.Config{
		Region: d.Name, DataCentres: d.DataCentres, Services: []string{d.Service}, Slots: slotsPerEndpoint,
		Seed: x.Seed, Delay: d.Between, DataDir: dir, Log: x.Log,
	})
	if err != nil {
		return Row{}, err
	}
	profile := model.DefaultProfile
	if name := declaredName(p.Declaration); name != "" {
		profile = name
	}
	if err := g.Publish(ctx, string(profile), p.Declaration, d.Service); err != nil {
		return Row{}, errors.Join(err, g.Stop())
	}
	available := g.Slots()
	if s.disturbed {
		failAllTasks(g.Endpoints[0])
		available[d.Service] -= failingEndpoints * slotsPerEndpoint
	}
	results, err := x.sendJobs(ctx, d, s, g, jobs)
	if err = errors.Join(err, g.Stop()); err != nil {
		return Row{}, err
	}
	run := measure.Run{Jobs: jobs, Results: results, Logs: g.Logs(), Counters: g.Counters(), Slots: available}
	return Row{
		Deployment: d.Name, Scenario: s.Name, Load: s.Load, Disturbed: s.disturbed, Policy: p.Name,
		Report: measure.New(run), Others: measure.New(withoutGreedy(run, d.Teams)).Services[0],
	}, nil
}

// declaredName returns the name in a declaration, or "" when it has none.
func declaredName(declaration []byte) model.ProfileName {
	var named struct {
		Name model.ProfileName `json:"name"`
	}
	if json.Unmarshal(declaration, &named) != nil {
		return "" // The entry VM refuses the declaration and names the fault.
	}
	return named.Name
}

func (x Experiment) sendJobs(ctx context.Context, d Deployment, s Scenario, g *group.Group, jobs []trace.Job) ([]load.Result, error) {
	if !wait.For(ctx, warmUpTime) {
		return nil, ctx.Err()
	}
	client := caller.New(g.Entries(), d.ToClients, resends)
	defer client.Close()
	if s.loseEntryVM {
		timer := time.AfterFunc(x.Length/2, func() { g.Kill(len(g.Hosts) - 1) })
		defer timer.Stop()
	}
	return load.Runner{Client: client, Tickets: true}.Run(ctx, jobs)
}

// withoutGreedy returns the run without the jobs of the greedy team, which is numbered after all other teams.
func withoutGreedy(run measure.Run, teams int) measure.Run {
	rest := run
	rest.Jobs, rest.Results = nil, nil
	for i, job := range run.Jobs {
		if job.Team != trace.TeamName(teams) {
			rest.Jobs = append(rest.Jobs, job)
			rest.Results = append(rest.Results, run.Results[i])
		}
	}
	return rest
}
