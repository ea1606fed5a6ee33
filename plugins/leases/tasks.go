package leases

import (
	"context"

	"redwingpulley/kernel/model"
	"redwingpulley/kernel/port"
	"redwingpulley/plugins/leases/lease"
)

// tasks implements port.Tasks.
type tasks struct{ leases *Leases }

// Observe registers an observer of endpoints.
func (t tasks) Observe(observer port.EndpointObserver) {
	t.leases.observers = append(t.leases.observers, observer)
}

// Start requests a run of the task at the endpoint and waits for its outcome.
func (t tasks) Start(ctx context.Context, address string, start port.TaskStart) port.TaskReply {
	at := port.EndpointIncarnation{ID: start.Endpoint, Address: address, DataCentre: start.DataCentre}
	run := port.TaskRun{Key: start.Key, Index: start.Index, Attempt: start.Attempt}
	outcome, ok := t.leases.stepAndWait(ctx, at, lease.StartRequested{Run: run, Payload: start.Payload}, run)
	if !ok {
		return port.TaskReply{State: port.TaskUnknown, Detail: "the run did not end before the deadline"}
	}
	return port.TaskReply{State: outcome.State, Detail: outcome.Detail, Cause: outcome.Cause, TimeUnknown: outcome.TimeUnknown}
}

// Revoke returns the state of a run. With revoke.Stop it first stops the run and waits up to
// revokeTimeout for its outcome. A run at an endpoint that has been replaced is settled at its successor.
func (t tasks) Revoke(ctx context.Context, address string, revoke port.TaskRevoke) port.RevokeReply {
	at := port.EndpointIncarnation{ID: revoke.Endpoint, Address: address}
	run := port.TaskRun{Key: revoke.Key, Index: revoke.Index, Attempt: revoke.Attempt}
	if !t.leases.pending(at.ID, run) {
		return port.RevokeReply{State: port.TaskLost} // The run finished before, or was never requested here.
	}
	if revoke.ReplacedBy != "" {
		t.leases.step(at, lease.Replaced{Successor: revoke.ReplacedBy})
	}
	if !revoke.Stop {
		return port.RevokeReply{State: port.TaskRunning}
	}
	ctx, cancel := context.WithTimeout(ctx, revokeTimeout)
	defer cancel()
	outcome, ok := t.leases.stepAndWait(ctx, at, lease.StopRequested{Run: run}, run)
	if !ok {
		return port.RevokeReply{State: port.TaskUnknown}
	}
	return port.RevokeReply{State: outcome.State, TimeUnknown: outcome.TimeUnknown}
}

// Retire retires the endpoint, and reports whether it has been retired by the end of the context.
func (t tasks) Retire(ctx context.Context, at port.EndpointIncarnation) bool {
	t.leases.step(at, lease.RetireRequested{})
	select {
	case <-t.leases.retired(at.ID):
		return true
	case <-ctx.Done():
		return false
	}
}

// Fence makes the endpoint refuse late orders of former holders of its lease.
func (t tasks) Fence(at port.EndpointIncarnation) { t.leases.step(at, lease.FenceRequested{}) }

// retired returns a channel that is closed once the endpoint is retired; nil when this member does not know it.
func (l *Leases) retired(endpoint model.EndpointID) (retired <-chan struct{}) {
	l.withKnownSession(endpoint, func(s *session) { retired = s.retired })
	return retired
}

// pending reports whether the run was requested by this member and has not finished.
func (l *Leases) pending(endpoint model.EndpointID, run port.TaskRun) (pending bool) {
	l.withKnownSession(endpoint, func(s *session) { pending = s.machine.Pending(run) })
	return pending
}

// stepAndWait applies an event and waits for the outcome of the run; ok is false when the context ends
// first.
func (l *Leases) stepAndWait(ctx context.Context, at port.EndpointIncarnation, event lease.Event, run port.TaskRun) (outcome lease.Finished, ok bool) {
	w := &waiter{run: run, result: make(chan lease.Finished, 1)}
	l.stepWithWaiter(at, event, w)
	select {
	case outcome = <-w.result:
		return outcome, true
	case <-ctx.Done():
		return lease.Finished{}, false
	}
}
