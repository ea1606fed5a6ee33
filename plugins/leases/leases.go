// Package leases runs tasks on endpoints that want a lease. Each lifetime of an endpoint has a
// lease.Machine in a shard; this package carries out what the machines decide.
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
	forgetAfter = time.Minute // Without a run, before an endpoint's state is dropped.
	revokeWait  = time.Second // Longest wait for the end of a run that was told to stop.
)

// Settings are the plug-in's own, in milliseconds.
type Settings struct {
	LeaseMS int64 `json:"lease_ms"` // Longest lease that endpoints grant.
	StopMS  int64 `json:"stop_ms"`  // Longest time in which an endpoint ends a run that is stopped.
	AwayMS  int64 `json:"away_ms"`  // For which an endpoint is left alone that another member has taken.
	OrderMS int64 `json:"order_ms"` // Wait for the answer to a start, to a stop, or to a hold beyond its own wait.
}

// Check tells the faults of the settings.
func (s *Settings) Check(faults *settings.Faults) {
	faults.Require(s.LeaseMS > 0, "lease_ms", "must be above 0")
	faults.Require(s.StopMS > 0, "stop_ms", "must be above 0")
	faults.Require(s.AwayMS > 0, "away_ms", "must be above 0")
	faults.Require(s.OrderMS > 0, "order_ms", "must be above 0")
}

// Leases is the plug-in. Create it through the registry.
type Leases struct {
	settings   Settings
	config     lease.Config
	client     port.LeasedEndpoints
	peers      port.Peers
	membership port.Membership
	log        *slog.Logger
	registry   metrics.Registry
	wasted     metrics.Counter // Runs that ended without a result.
	taken      metrics.Counter

	sessions *shard.Map[model.EndpointID, *session]
	life     context.Context
	stop     context.CancelFunc
}

// session is one lifetime of an endpoint: its machine, and who waits for its runs.
type session struct {
	at      port.Lessor
	machine *lease.Machine
	waiters map[port.TaskRun][]chan lease.Settled // Each holds one.
	timer   *time.Timer
	used    time.Time
}

// Provision binds the ports.
func (l *Leases) Provision(c *plugin.Context) error {
	l.settings = Settings{LeaseMS: 1000, StopMS: 50, AwayMS: 3000, OrderMS: 200}
	err := errors.Join(
		c.Settings(&l.settings),
		plugin.Need(c, &l.client),
		plugin.Need(c, &l.peers),
		plugin.Need(c, &l.membership),
	)
	if err != nil {
		return err
	}
	l.log = c.Log
	l.registry = c.Metrics
	l.wasted = metrics.GetOrRegisterCounter("leases.runs_without_result", c.Metrics)
	l.taken = metrics.GetOrRegisterCounter("leases.taken", c.Metrics)
	l.sessions = shard.New[model.EndpointID, *session](shard.DefaultCount)
	l.life, l.stop = context.WithCancel(context.Background())
	self := l.membership.Self()
	l.config = lease.Config{
		Holder:   xxhash.Sum64String(string(self.ID) + string(self.Incarnation)),
		Lease:    time.Duration(l.settings.LeaseMS) * time.Millisecond,
		StopTime: time.Duration(l.settings.StopMS) * time.Millisecond,
		Away:     time.Duration(l.settings.AwayMS) * time.Millisecond,
	}
	l.handlePeers()
	plugin.Bind[port.Tasks](c, tasks{l})
	return nil
}

// Start begins to drop what is no longer used.
func (l *Leases) Start() error {
	go l.forget()
	return nil
}

// Stop ends the waits of this process.
func (l *Leases) Stop() error {
	l.stop()
	return nil
}

// waiter is who waits for a run.
type waiter struct {
	run port.TaskRun
	end chan lease.Settled // Holds one.
}

// step applies an event to an endpoint's machine and then carries out its effects, outside the lock.
func (l *Leases) step(at port.Lessor, event lease.Event) { l.stepFor(at, event, nil) }

// stepFor is step for an event whose sender waits for a run; w may be nil.
func (l *Leases) stepFor(at port.Lessor, event lease.Event, w *waiter) {
	var fx lease.Effects
	var waiting []func()
	lessor := at
	l.sessions.Do(at.ID, func(sessions map[model.EndpointID]*session) {
		s, known := sessions[at.ID]
		if !known {
			s = &session{at: at, machine: lease.New(l.config), waiters: make(map[port.TaskRun][]chan lease.Settled)}
			sessions[at.ID] = s
		}
		now := time.Now()
		s.used = now
		lessor = s.at
		if w != nil {
			s.waiters[w.run] = append(s.waiters[w.run], w.end)
		}
		fx = s.machine.Step(now, event)
		waiting = s.settle(fx.Settled)
		if w != nil && !s.machine.Waits(w.run) {
			waiting = append(waiting, s.settle([]lease.Settled{{Run: w.run, State: port.TaskLost, Detail: "settled before"}})...)
		}
		l.arm(s, now)
	})
	for _, tell := range waiting {
		tell()
	}
	l.carryOut(lessor, fx)
}

// settle returns the functions that tell who waits for the runs, to be called without the lock.
func (s *session) settle(all []lease.Settled) (tell []func()) {
	for _, settled := range all {
		for _, waiter := range s.waiters[settled.Run] {
			tell = append(tell, func() { waiter <- settled })
		}
		delete(s.waiters, settled.Run)
	}
	return tell
}

func (l *Leases) arm(s *session, now time.Time) {
	at, ok := s.machine.Wake(now)
	if !ok {
		return
	}
	if s.timer == nil {
		lessor := s.at
		s.timer = time.AfterFunc(at.Sub(now), func() { l.step(lessor, lease.Elapsed{}) })
		return
	}
	s.timer.Reset(at.Sub(now))
}

func (l *Leases) carryOut(at port.Lessor, fx lease.Effects) {
	if fx.Taken {
		l.taken.Inc(1)
		event.LeaseTaken.Log(l.log, event.Text(event.Endpoint, at.ID))
	}
	if fx.Lost != "" {
		metrics.GetOrRegisterCounter("leases.lost."+string(fx.Lost), l.registry).Inc(1)
		event.LeaseLost.Log(l.log, event.Text(event.Endpoint, at.ID), event.Text(event.Reason, fx.Lost), event.Count(event.Runs, len(fx.Settled)))
	}
	for _, s := range fx.Settled {
		if s.State != port.TaskDone {
			l.wasted.Inc(1)
		}
	}
	if len(fx.PassOn) > 0 {
		l.passOn(at.ID, fx.PassOn)
	}
	for _, order := range fx.Starts {
		go l.start(at, order)
	}
	for _, order := range fx.Stops {
		go l.stopRun(at, order)
	}
	if fx.Hold != nil {
		go l.hold(at, *fx.Hold)
	}
	if len(fx.Ask) > 0 {
		go l.ask(at, fx.Ask)
	}
}

func (l *Leases) start(at port.Lessor, order port.StartOrder) {
	ctx, cancel := context.WithTimeout(l.life, l.orderTime())
	defer cancel()
	begun := time.Now()
	reply := l.client.Start(ctx, at, order)
	if reply.State == port.OrderUnknown {
		event.StartUnanswered.Log(l.log, event.Text(event.Endpoint, at.ID), event.Text(event.JobKey, order.Run.Key),
			event.Count(event.Task, order.Run.Index), event.Count(event.Attempt, order.Run.Attempt),
			event.MS(event.TookMS, time.Since(begun)), event.Text(event.Why, reply.Detail))
	}
	l.step(at, lease.StartEnded{Run: order.Run, Reply: reply})
}

func (l *Leases) stopRun(at port.Lessor, order port.StopOrder) {
	ctx, cancel := context.WithTimeout(l.life, l.orderTime())
	defer cancel()
	reply := l.client.StopRun(ctx, at, order)
	l.step(at, lease.StopEnded{Run: order.Run, Reply: reply})
}

func (l *Leases) hold(at port.Lessor, order port.HoldOrder) {
	ctx, cancel := context.WithTimeout(l.life, l.orderTime()+order.Wait)
	defer cancel()
	reply := l.client.Hold(ctx, at, order)
	l.step(at, lease.HoldEnded{Reply: reply})
}

func (l *Leases) orderTime() time.Duration {
	return time.Duration(l.settings.OrderMS) * time.Millisecond
}
