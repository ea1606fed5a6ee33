// Package compare runs the same recorded load against each placement and admission policy, side by
// side with the ideal, on stand-ins of the users' deployments.
package compare

import (
	"time"

	"redwingpulley/bench/standin"
	"redwingpulley/bench/trace"
	"redwingpulley/cmd/internal/group"
)

// Deployment is one user's system at today's size.
type Deployment struct {
	Name        string
	Service     string
	DataCentres []group.DataCentre
	Between     time.Duration // One way between data centres.
	ToClients   time.Duration // One way.
	Teams       int
}

const (
	slots       = 8  // Of an endpoint.
	failing     = 1  // Endpoints that fail everything.
	endpoints   = 50 // Of a deployment.
	failFactor  = 0.1
	stragglers  = 0.01
	declaredOff = 10
	deadline    = 5 * time.Second
)

// Deployments returns both users' systems.
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

// Scenario is a load that all policies are given.
type Scenario struct {
	Name string
	Load float64 // Offered work as a share of all slots, apart from bursts.
	plan func(w *trace.Workload)
	// disturbed has one endpoint fail everything; such scenarios differ by their load alone.
	disturbed bool
	// lose stops an entry VM without a drain in the middle of the run.
	lose bool
}

// Names of scenarios, by which figures are compared with their targets.
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
		{Name: scenarioHalf, Load: 0.5, plan: disturb, disturbed: true},
		{Name: scenarioHigh, Load: 0.85, plan: disturb, disturbed: true},
		{Name: scenarioOver, Load: 1.5, plan: disturb, disturbed: true},
		{Name: scenarioCalm, Load: 0.5, plan: nothing},
		{Name: scenarioEven, Load: 0.5, plan: nothing},
		{Name: scenarioGreedy, Load: 0.5, plan: greedy},
		{Name: scenarioBurst, Load: 0.5, plan: burst},
		{Name: scenarioLoss, Load: 0.5, plan: nothing, lose: true},
	}
}

func nothing(*trace.Workload) {}

// disturb adds stragglers, a burst and a wave of cancellations.
func disturb(w *trace.Workload) {
	w.Stragglers = stragglers
	w.Bursts = []trace.Burst{{At: w.Length / 3, Length: time.Second, Load: 0.5}}
	w.Waves = []trace.Wave{{At: w.Length * 2 / 3, Length: time.Second, Share: 0.3}}
}

// greedy has one team send ten times the share of another.
func greedy(w *trace.Workload) {
	w.Greedy = 10
	w.Load *= (float64(w.Teams) + w.Greedy) / float64(w.Teams)
}

// burst sends five times the capacity for two seconds.
func burst(w *trace.Workload) {
	w.Bursts = []trace.Burst{{At: w.Length / 3, Length: 2 * time.Second, Load: 5}}
}

// Trace returns the scenario's jobs on a deployment. Equal seeds give equal traces.
func (s Scenario) Trace(d Deployment, length time.Duration, seed uint64) []trace.Job {
	w := trace.Workload{
		Service: d.Service, Seed: seed, Length: length, Slots: slots * endpoints, Load: s.Load,
		Teams: d.Teams, Deadline: deadline, DeclaredError: declaredOff,
	}
	s.plan(&w)
	return trace.Generate(w)
}

// misbehave has one endpoint fail everything, quickly.
func misbehave(e *standin.Endpoint) {
	e.Behave(standin.Behaviour{FailShare: 1, RunFactor: failFactor})
}
