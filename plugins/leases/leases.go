// Package leases runs tasks on endpoints that require a lease. Each incarnation of an endpoint has a
// lease.Machine in a shard; this package carries out the effects of the machines.
package leases

import (
	"context"
	"log/slog"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"

	"redwingpulley/kernel/model"
	"redwingpulley/kernel/plugin"
	"redwingpulley/kernel/port"
	"redwingpulley/kernel/settings"
	"redwingpulley/kernel/shard"
	"redwingpulley/plugins/leases/lease"
)

const (
	idleRetention = time.Minute // The state of an idle endpoint is evicted after this long without an event.
	revokeTimeout = time.Second // Longest wait for the outcome of a run that a revoke stops.
	// slowStart is the time within which endpoints answer a start that reaches them, also where this VM is busy.
	slowStart = 30 * time.Millisecond
)

// Settings are the settings of the plug-in, in milliseconds.
type Settings struct {
	LeaseMS int64 `json:"lease_ms"` // Longest lease that endpoints grant.
	StopMS  int64 `json:"stop_ms"`  // Longest time in which an endpoint ends a run that is stopped.
	AwayMS  int64 `json:"away_ms"`  // How long to send nothing to an endpoint after another member has taken over its lease.
	// OrderMS is the timeout of a start, a stop, or a hold. That of a hold is extended by the time for which
	// the endpoint may delay its reply.
	OrderMS int64 `json:"order_ms"`
}

var defaultSettings = Settings{LeaseMS: 1000, StopMS: 50, AwayMS: 3000, OrderMS: 200}

// Check reports invalid settings.
func (s *Settings) Check(faults *settings.Faults) {
	faults.Require(s.LeaseMS > 0, "lease_ms", "must be above 0")
	faults.Require(s.StopMS > 0, "stop_ms", "must be above 0")
	faults.Require(s.AwayMS > 0, "away_ms", "must be above 0")
	faults.Require(s.OrderMS > 0, "order_ms", "must be above 0")
}

// Leases is the plug-in. Create it through the registry.
type Leases struct {
	settings          Settings
	config            lease.Config
	client            port.LeasedEndpoints
	peers             port.Peers
	membership        port.Membership
	log               *slog.Logger
	registry          metrics.Registry
	runsWithoutResult metrics.Counter // Outcomes other than port.TaskDone.
	leasesTaken       metrics.Counter

	sessions  *shard.Map[model.EndpointID, *session]
	observers []port.EndpointObserver // Fixed once the plug-ins have started.
	baseCtx   context.Context
	stop      context.CancelFunc
}

// Provision reads the settings and binds the ports.
func (l *Leases) Provision(c *plugin.Context) error {
	l.settings = defaultSettings
	err := errors.Join(
		c.Settings(&l.settings),
		plugin.Need(c, &l.client),
		plugin.Need(c, &l.peers),
		plugin.Need(c, &l.membership),
	)
	if err != nil {
		return err
	}
	l.init(c.Log, c.Metrics)
	plugin.Bind[port.Tasks](c, tasks{l})
	return nil
}

// init creates the state of the plug-in and registers its handlers and metrics.
func (l *Leases) init(log *slog.Logger, registry metrics.Registry) {
	l.log = log
	l.registry = registry
	l.runsWithoutResult = metrics.GetOrRegisterCounter("leases.runs_without_result", registry)
	l.leasesTaken = metrics.GetOrRegisterCounter("leases.taken", registry)
	l.sessions = shard.New[model.EndpointID, *session](shard.DefaultCount)
	l.baseCtx, l.stop = context.WithCancel(context.Background())
	self := l.membership.Self()
	l.config = lease.Config{
		HolderID:      xxhash.Sum64String(string(self.ID) + string(self.Incarnation)),
		MaxLease:      time.Duration(l.settings.LeaseMS) * time.Millisecond,
		StopTimeout:   time.Duration(l.settings.StopMS) * time.Millisecond,
		FencedBackoff: time.Duration(l.settings.AwayMS) * time.Millisecond,
	}
	l.registerHandlers()
}

// Start begins to evict the state of idle endpoints.
func (l *Leases) Start() error {
	go l.evictIdle()
	return nil
}

// Stop cancels the requests in flight and ends the eviction of idle state.
func (l *Leases) Stop() error {
	l.stop()
	return nil
}
