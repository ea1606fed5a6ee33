package leases

import (
	"time"

	"redwingpulley/kernel/model"
	"redwingpulley/kernel/port"
	"redwingpulley/plugins/leases/lease"
)

// session is the state of one incarnation of an endpoint: its machine and the waiters for its runs.
type session struct {
	at        port.EndpointIncarnation
	machine   *lease.Machine
	waiters   map[port.TaskRun][]chan lease.Finished // Each channel has a buffer of one, so that a send never blocks.
	retired   chan struct{}                          // Closed once the endpoint is retired.
	signalled bool                                   // The channel retired is closed.
	timer     *time.Timer
	lastUsed  time.Time // When the newest event was applied.
}

// waiter waits for the outcome of a run.
type waiter struct {
	run    port.TaskRun
	result chan lease.Finished // Has a buffer of one, so that a send never blocks.
}

// step applies an event to an endpoint's machine and then executes its effects without holding the lock. It creates the
// session if there is none.
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
			finishedBefore := lease.Finished{Run: w.run, State: port.TaskLost, Detail: "the run had finished before"}
			notifications = append(notifications, s.notifyFuncs([]lease.Finished{finishedBefore})...)
		}
		l.armTimer(s, now)
	})
	l.notifyObservers(target.ID, fx)
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

// withKnownSession calls f with the session of an endpoint under its shard's lock, unless there is none.
func (l *Leases) withKnownSession(endpoint model.EndpointID, f func(*session)) {
	l.sessions.Do(endpoint, func(sessions map[model.EndpointID]*session) {
		if s, known := sessions[endpoint]; known {
			f(s)
		}
	})
}

// signalRetired releases those that wait for the endpoint to be retired, once it is.
func (s *session) signalRetired() {
	if s.machine.Retired() && !s.signalled {
		s.signalled = true
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

// evictIdle periodically removes the state of endpoints that are idle and have had no event for
// idleRetention.
func (l *Leases) evictIdle() {
	ticker := time.NewTicker(idleRetention)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-l.baseCtx.Done():
			return
		}
		l.sessions.Each(func(sessions map[model.EndpointID]*session) {
			for id, s := range sessions {
				if s.machine.Idle() && time.Since(s.lastUsed) > idleRetention {
					delete(sessions, id)
				}
			}
		})
	}
}
