package endpoints

import (
	"context"
	"encoding/json"
	"log/slog"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"redwingpulley/kernel/model"
	"redwingpulley/kernel/plugin"
	"redwingpulley/kernel/port"
	"redwingpulley/kernel/settings"
	"redwingpulley/kernel/wait"

	_ "redwingpulley/plugins/leases"
)

const (
	leasedRunTime = 300 * time.Millisecond // Time that a run takes at a leasedEndpoint.
	orderTime     = time.Millisecond       // Time that an order takes to a leasedEndpoint.
)

// leasedEndpoint is an endpoint in memory that runs tasks under a lease, and refuses orders with an older fencing
// token than the newest that it has seen. All members reach it.
type leasedEndpoint struct {
	mu         sync.Mutex
	born       model.EndpointID // Incarnation that runs at the address; "" stands for the one that is asked for.
	token      uint64
	leaseUntil time.Time
	running    map[port.TaskRun]bool
	started    []port.TaskRun
	ends       []port.RunEnd
	unreached  bool // Orders get no answer.
}

// other reports whether another incarnation than the one that is asked for runs at the address.
func (e *leasedEndpoint) other(at port.EndpointIncarnation) bool {
	return e.born != "" && e.born != at.ID
}

// take stores the token and the lease of an order, and reports why the order is not carried out; "" if it is.
func (e *leasedEndpoint) take(token uint64, until int64) port.OrderState {
	switch {
	case e.unreached:
		return port.OrderUnknown
	case token < e.token:
		return port.OrderFenced
	}
	e.token = token
	if until > 0 {
		e.leaseUntil = time.UnixMilli(until)
	}
	return ""
}

func (e *leasedEndpoint) Start(_ context.Context, _ port.EndpointIncarnation, order port.StartOrder) port.OrderReply {
	time.Sleep(orderTime)
	e.mu.Lock()
	defer e.mu.Unlock()
	if refused := e.take(order.Token, order.Until); refused != "" {
		return port.OrderReply{State: refused}
	}
	e.started = append(e.started, order.Run)
	e.running[order.Run] = true
	time.AfterFunc(leasedRunTime, func() { e.finish(order.Run) })
	return port.OrderReply{State: port.OrderDone, Clock: time.Now().UnixMilli()}
}

// finish ends a run: as done, if the lease is in force.
func (e *leasedEndpoint) finish(run port.TaskRun) {
	e.mu.Lock()
	defer e.mu.Unlock()
	how := port.TaskDone
	if time.Now().After(e.leaseUntil) {
		how = port.TaskLost
	}
	e.end(run, how)
}

func (e *leasedEndpoint) end(run port.TaskRun, how port.TaskState) {
	if e.running[run] {
		delete(e.running, run)
		e.ends = append(e.ends, port.RunEnd{Number: uint64(len(e.ends) + 1), Run: run, How: how})
	}
}

func (e *leasedEndpoint) StopRun(_ context.Context, _ port.EndpointIncarnation, order port.StopOrder) port.OrderReply {
	time.Sleep(orderTime)
	e.mu.Lock()
	defer e.mu.Unlock()
	if refused := e.take(order.Token, 0); refused != "" {
		return port.OrderReply{State: refused}
	}
	e.end(order.Run, port.TaskStopped)
	return port.OrderReply{State: port.OrderDone, Clock: time.Now().UnixMilli()}
}

// Hold answers, like the platform's endpoints, which incarnation it is. Its client then reports another than the one
// that was asked for, although the endpoint has carried the order out.
func (e *leasedEndpoint) Hold(ctx context.Context, at port.EndpointIncarnation, order port.HoldOrder) port.HoldReply {
	if !wait.For(ctx, orderTime) {
		return port.HoldReply{State: port.OrderUnknown}
	}
	e.mu.Lock()
	refused := e.take(order.Token, order.Until)
	other := e.other(at)
	e.mu.Unlock()
	switch {
	case refused != "":
		return port.HoldReply{State: refused}
	case other:
		return port.HoldReply{State: port.OrderOtherIncarnation}
	}
	select {
	case <-time.After(order.Wait):
	case <-ctx.Done():
		return port.HoldReply{State: port.OrderUnknown}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	reply := port.HoldReply{State: port.OrderDone, Clock: time.Now().UnixMilli()}
	for run := range e.running {
		reply.Running = append(reply.Running, run)
	}
	for _, end := range e.ends {
		if end.Number > order.Seen {
			reply.Ended = append(reply.Ended, end)
		}
	}
	return reply
}

func (e *leasedEndpoint) startCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.started)
}

func (e *leasedEndpoint) newestToken() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.token
}

// leasedMember is a testMember whose tasks run under leases at a leasedEndpoint.
type leasedMember struct {
	*testMember
	endpoint *leasedEndpoint
}

// Provision binds the member's ports.
func (m leasedMember) Provision(c *plugin.Context) error {
	plugin.Bind[port.Membership](c, m)
	plugin.Bind[port.Liveness](c, m)
	plugin.Bind[port.Peers](c, m)
	plugin.Bind[port.Profiles](c, testProfiles{m.testMember})
	plugin.Bind[port.LeasedEndpoints](c, m.endpoint)
	plugin.Bind[port.Decisions](c, m)
	plugin.Bind[port.Recorder](c, noRecorder{})
	plugin.Bind[port.Gossip](c, noGossip{})
	return nil
}

// newLeasedPair returns two members of a data centre, and the endpoint that they reach. Each of them considers itself
// the owner of the data centre's pools, as a control VM does that has just started and knows no entry VM yet, and an
// entry VM to which no announcement is forwarded. They know each other, so that the runs of one are known to the other.
func newLeasedPair(t *testing.T, is *is.I) (a, b *testMember, e *leasedEndpoint) {
	is.Helper()
	e = &leasedEndpoint{running: make(map[port.TaskRun]bool)}
	c := &cluster{members: make(map[model.NodeID]*testMember), changed: make(chan struct{})}
	for _, id := range []model.NodeID{"a", "b"} {
		self := port.Node{ID: id, Incarnation: model.Incarnation("run-" + id), DataCentre: "sj1", Endpoints: "of-" + string(id)}
		c.members[id] = &testMember{cluster: c, node: self, handlers: make(map[string]port.Handler)}
	}
	a, b = c.members["a"], c.members["b"]
	for _, m := range c.members {
		for _, other := range []*testMember{a, b} {
			node := other.node
			node.Draining = other != m
			m.view = append(m.view, node)
		}
		m.startLeased(t, is, e)
	}
	return a, b, e
}

// startLeased starts the plug-ins of pools and leases on the member's ports.
func (m *testMember) startLeased(t *testing.T, is *is.I, e *leasedEndpoint) {
	is.Helper()
	definitions := slices.DeleteFunc(plugin.Registered(), func(d plugin.Definition) bool { return d.ID.Kind() == "ports" })
	definitions = append(definitions, plugin.Definition{
		ID: "ports", New: func() plugin.Plugin { return leasedMember{m, e} },
		Provides: []plugin.Port{
			plugin.PortOf[port.Membership](), plugin.PortOf[port.Liveness](), plugin.PortOf[port.Peers](),
			plugin.PortOf[port.Profiles](), plugin.PortOf[port.LeasedEndpoints](), plugin.PortOf[port.Decisions](),
			plugin.PortOf[port.Recorder](), plugin.PortOf[port.Gossip](),
		},
	})
	own := settings.Settings{Plugins: map[string]json.RawMessage{
		"endpoints": json.RawMessage(`{"lease_ms": 15000}`), "leases": json.RawMessage(`{}`),
	}}
	host, err := plugin.NewHost(own, slog.New(slog.DiscardHandler), definitions)
	is.NoErr(err)
	is.NoErr(host.Start())
	pools, err := plugin.Lookup[port.Pools](host)
	is.NoErr(err)
	m.pools = pools.(*Pools)
	t.Cleanup(func() { host.Stop() })
}

// leasedAnnouncement returns an announcement of the leasedEndpoint.
func leasedAnnouncement(sequence uint64, state model.EndpointState) model.Endpoint {
	return model.Endpoint{
		ID: "e1@1", Service: "finder", DataCentre: "sj1", Address: "127.0.0.1:1", Slots: 2, State: state, Leased: true, Born: 1, Sequence: sequence,
	}
}
