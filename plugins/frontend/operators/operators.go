// Package operators answers operators as JSON over HTTP.
package operators

import (
	"context"
	"maps"
	"net/http"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"

	"redwingpulley/kernel/model"
	"redwingpulley/kernel/plugin"
	"redwingpulley/kernel/port"
	"redwingpulley/plugins/frontend/web"
)

// Frontend is the plug-in. Create it through the registry.
type Frontend struct {
	pools      port.Pools
	membership port.Membership
	profiles   port.Profiles
	register   port.ProfileRegister
	policies   policies
	decisions  port.Decisions
	planner    port.Planner
	health     *plugin.Health
	metrics    metrics.Registry
	server     *web.Server

	requestDrain func()
}

// Provision resolves the ports that the plug-in needs and sets up the HTTP routes.
func (f *Frontend) Provision(c *plugin.Context) error {
	err := errors.Join(
		c.Settings(&struct{}{}),
		plugin.Need(c, &f.pools),
		plugin.Need(c, &f.membership),
		plugin.Need(c, &f.profiles),
		plugin.Need(c, &f.register),
		plugin.Need(c, &f.decisions),
		plugin.Need(c, &f.planner),
	)
	if err != nil {
		return err
	}
	f.policies = policies{
		placements: slices.Sorted(maps.Keys(plugin.UseAll[port.Placement](c))),
		admissions: slices.Sorted(maps.Keys(plugin.UseAll[port.Admission](c))),
	}
	f.requestDrain = c.RequestDrain
	f.health, f.metrics = c.Health, c.Metrics
	f.server = web.NewServer(c.Node.Listen.Operators, f.routes())
	return nil
}

// Start opens the listener.
func (f *Frontend) Start() error { return f.server.Start() }

// Stop closes the listener and waits, without a time limit, for requests in flight. The listener stays
// open during a drain.
func (f *Frontend) Stop() error {
	f.server.Drain(context.Background())
	return f.server.Stop()
}

func (f *Frontend) routes() http.Handler {
	mux := http.NewServeMux()
	web.HandleHealth(mux, f.health)
	mux.HandleFunc("GET /v1/status", f.getStatus)
	mux.HandleFunc("GET /v1/members", f.listMembers)
	mux.HandleFunc("GET /v1/places", f.listPlaces)
	mux.HandleFunc("GET /v1/endpoints", f.listEndpoints)
	mux.HandleFunc("GET /v1/decisions", f.listDecisions)
	mux.HandleFunc("POST /v1/explain", f.explainJob)
	mux.HandleFunc("GET /metrics", f.serveMetrics)
	mux.HandleFunc("GET /metrics.txt", f.serveMetricsText)
	mux.HandleFunc("POST /v1/drain", f.startDrain)
	f.handleProfiles(mux)
	f.handleEvacuations(mux)
	return mux
}

type statusBody struct {
	Node        model.NodeID       `json:"node"`
	Incarnation model.Incarnation  `json:"incarnation"`
	Revision    model.Revision     `json:"revision"`
	Replica     port.ReplicaState  `json:"replica"`
	Ready       bool               `json:"ready"`
	Why         []string           `json:"why,omitempty"` // What keeps the process from being ready.
	Members     int                `json:"members"`       // Number of members considered alive, this one included.
	Endpoints   int                `json:"endpoints"`     // Number of endpoints that this member owns.
	Evacuated   []model.DataCentre `json:"evacuated,omitempty"`
}

func (f *Frontend) getStatus(w http.ResponseWriter, _ *http.Request) {
	self := f.membership.Self()
	profiles, _ := f.profiles.Current()
	ready, reasons := f.health.Ready()
	web.WriteJSON(w, http.StatusOK, statusBody{
		Node: self.ID, Incarnation: self.Incarnation, Revision: profiles.Revision, Replica: f.register.Replica(), Ready: ready, Why: reasons,
		Members: len(f.membership.Alive()), Endpoints: len(f.pools.Endpoints()), Evacuated: evacuated(profiles),
	})
}

type memberBody struct {
	Node        model.NodeID      `json:"node"`
	Incarnation model.Incarnation `json:"incarnation,omitempty"`
	DataCentre  model.DataCentre  `json:"data_centre"`
	Peers       string            `json:"peers"` // ip:port of the member's listener for peers.
	Disk        bool              `json:"disk"`  // The member has a disk, so it can be a replica of the register.
	Draining    bool              `json:"draining"`
}

func (f *Frontend) listMembers(w http.ResponseWriter, _ *http.Request) {
	all := []memberBody{}
	for _, n := range f.membership.Alive() {
		all = append(all, memberBody{n.ID, n.Incarnation, n.DataCentre, n.Peers, n.Disk, n.Draining})
	}
	web.WriteJSON(w, http.StatusOK, map[string]any{"members": all})
}

type endpointBody struct {
	Endpoint    model.EndpointID    `json:"endpoint"`
	Service     model.ServiceID     `json:"service"`
	Address     string              `json:"address"`
	State       model.EndpointState `json:"state"`
	Slots       int                 `json:"slots"`
	Busy        int                 `json:"busy"` // Occupied slots.
	Quarantined bool                `json:"quarantined"`
}

func (f *Frontend) listEndpoints(w http.ResponseWriter, _ *http.Request) {
	all := []endpointBody{}
	for _, s := range f.pools.Endpoints() {
		e := s.Endpoint
		all = append(all, endpointBody{e.ID, e.Service, e.Address, e.State, e.Slots, s.Busy, s.Quarantined})
	}
	web.WriteJSON(w, http.StatusOK, map[string]any{"endpoints": all})
}

// decisionBody is a port.Decision; that type's comments say what the fields hold.
type decisionBody struct {
	At           time.Time         `json:"at"`
	Kind         port.DecisionKind `json:"kind"`
	Job          model.JobID       `json:"job"`
	Key          string            `json:"key,omitempty"` // Key of the job.
	Part         int               `json:"part"`
	Task         int               `json:"task"` // Index of the task; -1 if the decision is about several.
	Attempt      int               `json:"attempt,omitempty"`
	Tasks        int               `json:"tasks"` // Number of tasks that the decision is about.
	Pool         string            `json:"pool,omitempty"`
	Pools        string            `json:"pools,omitempty"` // Pools of a plan, separated by commas.
	Endpoint     model.EndpointID  `json:"endpoint,omitempty"`
	Revision     model.Revision    `json:"revision,omitempty"`
	Slots        int               `json:"slots"`
	Free         int               `json:"free"`                   // Free slots.
	Queued       int               `json:"queued"`                 // Number of tasks queued in the pool or pools.
	AgeMS        int64             `json:"age_ms"`                 // Age of the oldest load that a plan is based on.
	AheadMS      int64             `json:"ahead_ms"`               // Run time of the pool's queue, divided by its slots.
	LeftMS       int64             `json:"left_ms"`                // Time until the deadline.
	ObjectiveMS  int64             `json:"objective_ms,omitempty"` // Latency objective of the whole job.
	Priority     int               `json:"priority,omitempty"`
	InTime       bool              `json:"in_time,omitempty"` // Whether a batch can still meet the objective.
	QueuedMS     int64             `json:"queued_ms"`         // Time for which the task was queued.
	Reason       model.Reason      `json:"reason,omitempty"`
	RetryAfterMS int64             `json:"retry_after_ms,omitempty"`
	Why          string            `json:"why"`
	PassedOver   int               `json:"passed_over"` // Number of candidates that were not chosen.
}

func encodeDecision(d port.Decision) decisionBody {
	return decisionBody{
		At: d.At, Kind: d.Kind, Job: d.Job, Key: d.Key, Part: d.Part, Task: d.Task, Attempt: d.Attempt, Tasks: d.Tasks,
		Pool: d.Pool, Pools: d.Pools, Endpoint: d.Endpoint, Revision: d.Revision,
		Slots: d.Slots, Free: d.Free, Queued: d.Waiting, AgeMS: d.Age.Milliseconds(), AheadMS: d.Ahead.Milliseconds(),
		LeftMS: d.Left.Milliseconds(), ObjectiveMS: d.Objective.Milliseconds(), Priority: d.Priority, InTime: d.InTime, QueuedMS: d.Queued.Milliseconds(),
		Reason: d.Reason, RetryAfterMS: d.RetryAfter.Milliseconds(), Why: d.Why, PassedOver: d.PassedOver,
	}
}

func (f *Frontend) listDecisions(w http.ResponseWriter, _ *http.Request) {
	all := []decisionBody{}
	for _, d := range f.decisions.Recent() {
		all = append(all, encodeDecision(d))
	}
	web.WriteJSON(w, http.StatusOK, map[string]any{"decisions": all})
}

func (f *Frontend) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	metrics.WriteJSONOnce(f.metrics, w)
}

func (f *Frontend) serveMetricsText(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	writeMetrics(w, f.metrics)
}

// startDrain requests the same drain as SIGTERM, and answers at once rather than at the drain's end.
func (f *Frontend) startDrain(w http.ResponseWriter, _ *http.Request) {
	f.requestDrain()
	web.WriteJSON(w, http.StatusAccepted, map[string]string{"status": "draining"})
}
