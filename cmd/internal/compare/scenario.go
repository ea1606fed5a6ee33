// Package compare runs the same generated load under each placement and admission policy, on stand-ins of the users'
// deployments, and compares the results with the ideal.
package compare

import (
	"time"

	"redwingpulley/bench/standin"
	"redwingpulley/bench/trace"
	"redwingpulley/cmd/internal/group"
)

// Deployment describes one user's system at its present size.
type Deployment struct {
	Name        string
	Service     string
	DataCentres []group.DataCentre
	Between     time.Duration // One-way delay between data centres.
	ToClients   time.Duration // One-way delay between entry VMs and clients.
	Teams       int
}

const (
	slotsPerEndpoint       = 8
	failingEndpoints       = 1 // Endpoints that fail all tasks in disturbed scenarios.
	endpointsPerDeployment = 50
	failureRunFactor       = 0.1  // Fraction of its run time after which a task of a failing endpoint fails.
	stragglers             = 0.01 // Share of tasks that run several times longer.
	declaredError          = 10   // Largest factor by which declared run times are off.
	deadline               = 5 * time.Second
)

// Deployments returns the systems of both users.
func Deployments() []Deployment {
	return []Deployment{
		{
			Name: "consortium", Service: "finder", Teams: 6,
			Between: 1500 * time.Microsecond, ToClients: time.Millisecond,
			DataCentres: []group.DataCentre{{Name: "sj1", VMs: 3, Endpoints: 13}, {Name: "sj2", VMs: 2, Endpoints: 13}, {Name: "al1", VMs: 2, Endpoints: 12}, {Name: "ca1", VMs: 2, Endpoints: 12}},
		},
		{
			Name: "fanete", Service: "auction", Teams: 2,
			Between: 500 * time.Microsecond, ToClients: time.Millisecond,
			DataCentres: []group.DataCentre{{Name: "ms1", VMs: 2, Endpoints: 13}, {Name: "cj1", VMs: 2, Endpoints: 13}, {Name: "sb1", VMs: 2, Endpoints: 12}, {Name: "bv1", VMs: 2, Endpoints: 12}},
		},
	}
}

// Scenario is a load, and possibly a fault, under which each policy is run.
type Scenario struct {
	Name   string
	Load   float64 // Offered load as a share of all slots, not counting bursts.
	modify func(w *trace.Workload)
	// disturbed makes one endpoint fail all tasks. Scenarios with it differ only in their load.
	disturbed bool
	// loseEntryVM stops an entry VM without a drain in the middle of the run.
	loseEntryVM bool
}

// Names of scenarios. Targets refer to scenarios by these names.
const (
	scenarioHalf   = "load50"
	scenarioHigh   = "load85"
	scenarioOver   = "load150"
	scenarioEven   = "even"
	scenarioGreedy = "greedy"
	scenarioBurst  = "burst"
	scenarioLoss   = "loss"
	scenarioCalm   = "calm"
)

// Scenarios returns all scenarios.
func Scenarios() []Scenario {
	return []Scenario{
		{Name: scenarioHalf, Load: 0.5, modify: disturb, disturbed: true},
		{Name: scenarioHigh, Load: 0.85, modify: disturb, disturbed: true},
		{Name: scenarioOver, Load: 1.5, modify: disturb, disturbed: true},
		{Name: scenarioCalm, Load: 0.5, modify: noDisturbance},
		{Name: scenarioEven, Load: 0.5, modify: noDisturbance},
		{Name: scenarioGreedy, Load: 0.5, modify: greedy},
		{Name: scenarioBurst, Load: 0.5, modify: burst},
		{Name: scenarioLoss, Load: 0.5, modify: noDisturbance, loseEntryVM: true},
	}
}

func noDisturbance(*trace.Workload) {}

// disturb adds stragglers, a burst and a wave of cancellations.
func disturb(w *trace.Workload) {
	w.Stragglers = stragglers
	w.Bursts = []trace.Burst{{At: w.Length / 3, Length: time.Second, Load: 0.5}}
	w.CancelWaves = []trace.CancelWave{{At: w.Length * 2 / 3, Length: time.Second, Share: 0.3}}
}

// greedy makes one team send ten times as much as each other team.
func greedy(w *trace.Workload) {
	w.Greedy = 10
	w.Load *= (float64(w.Teams) + w.Greedy) / float64(w.Teams)
}

// burst adds a burst of five times the capacity for two seconds.
func burst(w *trace.Workload) {
	w.Bursts = []trace.Burst{{At: w.Length / 3, Length: 2 * time.Second, Load: 5}}
}

// Trace generates the scenario's jobs for a deployment. Equal seeds give equal traces.
func (s Scenario) Trace(d Deployment, length time.Duration, seed uint64) []trace.Job {
	w := trace.Workload{
		Service: d.Service, Seed: seed, Length: length, Slots: slotsPerEndpoint * endpointsPerDeployment, Load: s.Load,
		Teams: d.Teams, Deadline: deadline, DeclaredError: declaredError,
	}
	s.modify(&w)
	return trace.Generate(w)
}

// failAllTasks makes an endpoint fail all tasks, after a fraction (failureRunFactor) of their run times.
func failAllTasks(e *standin.Endpoint) {
	e.SetBehaviour(standin.Behaviour{FailShare: 1, RunFactor: failureRunFactor})
}
