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

	"redwingpulley/kernel/event"
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

	sessions *shard.Map[model.EndpointID, *session]
	baseCtx  context.Context
	stop     context.CancelFunc
}

// session is the state of one incarnation of an endpoint: its machine and the waiters for its runs.
type session struct {
	at       port.EndpointIncarnation
	machine  *lease.Machine
	waiters  map[port.TaskRun][]chan lease.Finished // Each channel has a buffer of one, so that a send never blocks.
	retired  chan struct{}                          // Closed once the machine reports that the endpoint is retired.
	isClosed bool                                   // Whether that channel is closed.
	timer    *time.Timer
	lastUsed time.Time // When the newest event was applied.
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

// waiter waits for the outcome of a run.
type waiter struct {
	run    port.TaskRun
	result chan lease.Finished // Has a buffer of one, so that a send never blocks.
}

// step applies an event to an endpoint's machine and then executes its effects without holding the lock.
func (l *Leases) step(at port.EndpointIncarnation, event lease.Event) {
	l.stepWithWaiter(at, event, nil)
}

// stepWithWaiter is step for an event whose sender waits for the outcome of a run; w may be nil.
func (l *Leases) stepWithWaiter(at port.EndpointIncarnation, event lease.Event, w *waiter) {
	var fx lease.Effects
	var notifications []func()
	target := at
	l.sessions.Do(at.ID, func(sessions map[model.EndpointID]*session) {
		s, known := sessions[at.ID]
		if !known {
			s = newSession(at, l.config)
			sessions[at.ID] = s
		}
		now := time.Now()
		s.lastUsed = now
		target = s.at // A forwarded end comes without the endpoint's address.
		if w != nil {
			s.waiters[w.run] = append(s.waiters[w.run], w.result)
		}
		fx = s.machine.Step(now, event)
		s.signalRetired()
		notifications = s.notifyFuncs(fx.Finished)
		if w != nil && !s.machine.Pending(w.run) {
			notifications = append(notifications, s.notifyFuncs([]lease.Finished{{Run: w.run, State: port.TaskLost, Detail: "the run had finished before"}})...)
		}
		l.armTimer(s, now)
	})
	for _, notify := range notifications {
		notify()
	}
	l.execute(target, fx)
}

func newSession(at port.EndpointIncarnation, config lease.Config) *session {
	return &session{
		at: at, machine: lease.New(config), waiters: make(map[port.TaskRun][]chan lease.Finished), retired: make(chan struct{}),
	}
}

// signalRetired releases those that wait for the endpoint to be retired, once it is.
func (s *session) signalRetired() {
	if s.machine.Retired() && !s.isClosed {
		s.isClosed = true
		close(s.retired)
	}
}

// notifyFuncs removes the waiters for the runs and returns functions that send them the outcomes. They
// are to be called without holding the lock.
func (s *session) notifyFuncs(outcomes []lease.Finished) (notifications []func()) {
	for _, outcome := range outcomes {
		for _, waiter := range s.waiters[outcome.Run] {
			notifications = append(notifications, func() { waiter <- outcome })
		}
		delete(s.waiters, outcome.Run)
	}
	return notifications
}

// armTimer sets the session's timer to the machine's next timer.
func (l *Leases) armTimer(s *session, now time.Time) {
	at, ok := s.machine.NextTimer(now)
	if !ok {
		return
	}
	if s.timer == nil {
		target := s.at
		s.timer = time.AfterFunc(at.Sub(now), func() { l.step(target, lease.Elapsed{}) })
		return
	}
	s.timer.Reset(at.Sub(now))
}

// execute carries out the effects of a step.
func (l *Leases) execute(at port.EndpointIncarnation, fx lease.Effects) {
	if fx.Acquired {
		l.leasesTaken.Inc(1)
		event.LeaseTaken.Log(l.log, event.Text(event.Endpoint, at.ID))
	}
	if fx.Lost != "" {
		metrics.GetOrRegisterCounter("leases.lost."+string(fx.Lost), l.registry).Inc(1)
		event.LeaseLost.Log(l.log, event.Text(event.Endpoint, at.ID), event.Text(event.Reason, fx.Lost),
			event.Text(event.Successor, fx.Successor), event.Int(event.Runs, len(fx.Finished)))
	}
	for _, s := range fx.Finished {
		if s.State != port.TaskDone {
			l.runsWithoutResult.Inc(1)
		}
	}
	if len(fx.ForwardEnds) > 0 {
		l.forwardEnds(at.ID, fx.ForwardEnds)
	}
	for _, request := range fx.Settle {
		go l.settle(at, fx.Successor, request)
	}
	for _, run := range fx.SettleStops {
		go l.step(port.EndpointIncarnation{ID: fx.Successor, Address: at.Address}, lease.StopRequested{Run: run})
	}
	for _, order := range fx.Starts {
		go l.sendStart(at, order)
	}
	for _, order := range fx.Stops {
		go l.sendStop(at, order)
	}
	if fx.Hold != nil {
		go l.sendHold(at, *fx.Hold)
	}
	if len(fx.ClaimQuery) > 0 {
		go l.queryClaims(at, fx)
	}
}

func (l *Leases) sendStart(at port.EndpointIncarnation, order port.StartOrder) {
	ctx, cancel := context.WithTimeout(l.baseCtx, l.orderTimeout())
	defer cancel()
	sentAt := time.Now()
	reply := l.client.Start(ctx, at, order)
	if reply.State == port.OrderUnknown {
		event.StartUnanswered.Log(l.log, event.Text(event.Endpoint, at.ID), event.Text(event.JobKey, order.Run.Key),
			event.Int(event.Task, order.Run.Index), event.Int(event.Attempt, order.Run.Attempt),
			event.MS(event.TookMS, time.Since(sentAt)), event.Text(event.Why, reply.Detail))
	}
	l.step(at, lease.StartReplied{Run: order.Run, Reply: reply})
}

func (l *Leases) sendStop(at port.EndpointIncarnation, order port.StopOrder) {
	ctx, cancel := context.WithTimeout(l.baseCtx, l.orderTimeout())
	defer cancel()
	reply := l.client.StopRun(ctx, at, order)
	l.step(at, lease.StopReplied{Run: order.Run, Reply: reply})
}

func (l *Leases) sendHold(at port.EndpointIncarnation, order port.HoldOrder) {
	ctx, cancel := context.WithTimeout(l.baseCtx, l.orderTimeout()+order.Wait)
	defer cancel()
	reply := l.client.Hold(ctx, at, order)
	l.step(at, lease.HoldReplied{Reply: reply})
}

// settle waits for the outcome of a run at the incarnation that has replaced its endpoint, and applies it.
func (l *Leases) settle(at port.EndpointIncarnation, successor model.EndpointID, request lease.SettleRequested) {
	next := port.EndpointIncarnation{ID: successor, Address: at.Address}
	if outcome, ok := l.stepAndWait(l.baseCtx, next, request, request.Run); ok {
		l.step(at, lease.Settled{Outcome: outcome})
	}
}

func (l *Leases) orderTimeout() time.Duration {
	return time.Duration(l.settings.OrderMS) * time.Millisecond
}
