package leases

import (
	"context"

	"redwingpulley/kernel/model"
	"redwingpulley/kernel/port"
	"redwingpulley/plugins/leases/lease"
)

// tasks is the port.Tasks of the plug-in.
type tasks struct{ leases *Leases }

// Start has the endpoint run the task and waits for its end.
func (t tasks) Start(ctx context.Context, address string, start port.TaskStart) port.TaskReply {
	at := port.Lessor{ID: start.Endpoint, Address: address}
	run := port.TaskRun{Key: start.Key, Index: start.Index, Attempt: start.Attempt}
	settled, ok := t.leases.await(ctx, at, lease.Wanted{Run: run, Payload: start.Payload}, run)
	if !ok {
		return port.TaskReply{State: port.TaskUnknown, Detail: "no end before the deadline"}
	}
	return port.TaskReply{State: settled.State, Detail: settled.Detail}
}

// Revoke has the endpoint end the run when it is to be stopped, and tells what is known of it.
func (t tasks) Revoke(ctx context.Context, address string, revoke port.TaskRevoke) port.RevokeReply {
	at := port.Lessor{ID: revoke.Endpoint, Address: address}
	run := port.TaskRun{Key: revoke.Key, Index: revoke.Index, Attempt: revoke.Attempt}
	if !t.leases.waits(at.ID, run) {
		return port.RevokeReply{State: port.TaskLost} // It was settled before.
	}
	if !revoke.Stop {
		return port.RevokeReply{State: port.TaskRunning}
	}
	ctx, cancel := context.WithTimeout(ctx, revokeWait)
	defer cancel()
	settled, ok := t.leases.await(ctx, at, lease.Unwanted{Run: run}, run)
	if !ok {
		return port.RevokeReply{State: port.TaskUnknown}
	}
	return port.RevokeReply{State: settled.State}
}

// waits reports whether the run is wanted and not settled.
func (l *Leases) waits(endpoint model.EndpointID, run port.TaskRun) (waits bool) {
	l.sessions.Do(endpoint, func(sessions map[model.EndpointID]*session) {
		s, known := sessions[endpoint]
		waits = known && s.machine.Waits(run)
	})
	return waits
}

// await applies an event and waits until the run is settled; ok is false when the context ends first.
func (l *Leases) await(ctx context.Context, at port.Lessor, event lease.Event, run port.TaskRun) (settled lease.Settled, ok bool) {
	w := &waiter{run: run, end: make(chan lease.Settled, 1)}
	l.stepFor(at, event, w)
	select {
	case settled = <-w.end:
		return settled, true
	case <-ctx.Done():
		return lease.Settled{}, false
	}
}
