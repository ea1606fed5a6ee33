package endpoints

import (
	"context"
	"encoding/json"
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	"redwingpulley/kernel/model"
	"redwingpulley/kernel/port"
	"redwingpulley/kernel/wait"
	"redwingpulley/plugins/admission/deadline"
	"redwingpulley/plugins/endpoints/poolstate"
	"redwingpulley/plugins/placement/leastwait"
)

// fault is what the fake network does with a call.
type fault int

const (
	noFault fault = iota
	dropRequest
	dropReply
	hang // The request arrives, but the call blocks without a reply until its context ends.
	late // The request is read only after lateBy, and answered whether or not its sender still waits.
)

// lateBy is how long a late request lies unread.
const lateBy = 700 * time.Millisecond

// network is a fake network that connects the Pools of a few members.
type network struct {
	mu       sync.Mutex
	handlers map[model.NodeID]map[string]port.Handler
	alive    []port.Node
	changed  chan struct{}
	faults   map[string][]fault // Faults of the next calls, by method.
	calls    map[string]int     // Number of calls, by method.
}

func newNetwork() *network {
	return &network{
		handlers: make(map[model.NodeID]map[string]port.Handler), changed: make(chan struct{}),
		faults: make(map[string][]fault), calls: make(map[string]int),
	}
}

func (n *network) setAlive(nodes ...port.Node) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.alive = nodes
	close(n.changed)
	n.changed = make(chan struct{})
}

// nextFault counts a call, and returns its handler and the fault to apply.
func (n *network) nextFault(to model.NodeID, method string) (port.Handler, fault) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.calls[method]++
	f := noFault
	if queued := n.faults[method]; len(queued) > 0 {
		f, n.faults[method] = queued[0], queued[1:]
	}
	return n.handlers[to][method], f
}

// fakeMember implements all ports that one Pools needs.
type fakeMember struct {
	*network
	node        port.Node
	tasks       func(context.Context, port.TaskStart) port.TaskReply // Runs a task that is started.
	revokeReply func(model.TaskID) port.RevokeReply                  // Replies to a revoke.
	fences      []model.EndpointID                                   // Endpoints that were to be fenced, in order.
	pauses      atomic.Uint64                                        // Pauses of the member's process.
}

func (m *fakeMember) Handle(method string, h port.Handler) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.handlers[m.node.ID] == nil {
		m.handlers[m.node.ID] = make(map[string]port.Handler)
	}
	m.handlers[m.node.ID][method] = h
}

func (m *fakeMember) SetAddress(model.NodeID, string) {}

func (*fakeMember) Encode(request any) (port.EncodedRequest, error) {
	plain, err := json.Marshal(request)
	return port.EncodedRequest{Plain: plain}, err
}

func (m *fakeMember) Call(ctx context.Context, to model.NodeID, method string, request, reply any) port.Delivery {
	handler, f := m.nextFault(to, method)
	if handler == nil || ctx.Err() != nil {
		return port.NotSent
	}
	if f == dropRequest {
		return port.Unknown
	}
	raw, _ := json.Marshal(request) // The wire types always encode.
	if f == late {
		time.Sleep(lateBy) // On the virtual clock.
		f, ctx = noFault, context.WithoutCancel(ctx)
	}
	result, err := handler(ctx, m.node.ID, func(target any) error { return json.Unmarshal(raw, target) })
	if f == hang {
		<-ctx.Done()
	}
	if f != noFault || err != nil || ctx.Err() != nil {
		return port.Unknown
	}
	raw, _ = json.Marshal(result)
	if json.Unmarshal(raw, reply) != nil {
		return port.Unknown
	}
	return port.Delivered
}

func (m *fakeMember) Self() port.Node { return m.node }

func (m *fakeMember) Alive() []port.Node {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.alive
}

func (m *fakeMember) Changed() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.changed
}

func (m *fakeMember) Leave(context.Context) {}

func (m *fakeMember) Fresh() bool { return true }

func (m *fakeMember) Pauses() uint64 { return m.pauses.Load() }

func (m *fakeMember) Gone(id model.NodeID, incarnation model.Incarnation) bool {
	return !slices.ContainsFunc(m.Alive(), func(n port.Node) bool { return n.ID == id && n.Incarnation == incarnation })
}

func (m *fakeMember) RequestProbe(model.NodeID) {}

func (m *fakeMember) Current() (model.ProfileSet, bool) { return model.BuiltInProfiles(), true }

func (m *fakeMember) Record(port.Decision) {}

func (m *fakeMember) Recent() []port.Decision { return nil }

func (m *fakeMember) Start(ctx context.Context, _ string, s port.TaskStart) port.TaskReply {
	return m.tasks(ctx, s)
}

func (m *fakeMember) Fence(at port.EndpointIncarnation) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.fences = append(m.fences, at.ID)
}

func (m *fakeMember) Retire(context.Context, port.EndpointIncarnation) bool { return true }

func (m *fakeMember) Observe(port.EndpointObserver) {}

func (m *fakeMember) Revoke(_ context.Context, _ string, revoke port.TaskRevoke) port.RevokeReply {
	id := revoke.ID
	return m.revokeReply(id)
}

type noRecorder struct{}

func (noRecorder) Active() bool { return false }

func (noRecorder) Record(port.RecordedStep) {}

var (
	origin1        = port.Node{ID: "origin", Incarnation: "o1", DataCentre: "sj2"}
	owner1         = port.Node{ID: "owner", Incarnation: "w1", DataCentre: "sj1"}
	restartedOwner = port.Node{ID: "owner", Incarnation: "w2", DataCentre: "sj1"}
	pool1          = model.PoolID{Service: "finder", DataCentre: "sj1"}
)

// newPools returns the plug-in of one member, which watches its sessions. Tasks take a second.
func newPools(t *testing.T, n *network, node port.Node) (*Pools, *fakeMember) {
	m := &fakeMember{network: n, node: node}
	m.tasks = func(ctx context.Context, s port.TaskStart) port.TaskReply {
		if !wait.For(ctx, time.Second) {
			return port.TaskReply{State: port.TaskUnknown}
		}
		return port.TaskReply{State: port.TaskDone, Answer: []byte(`"` + string(s.ID) + `"`)}
	}
	p := newPoolsOn(m)
	go p.watchSessions()
	go p.publishUpdates()
	go p.watchJoins()
	t.Cleanup(func() { p.Stop() })
	return p, m
}

// newPoolsOn returns the plug-in of a member whose goroutines do not run.
func newPoolsOn(m *fakeMember) *Pools {
	p := &Pools{
		membership: m, liveness: m, profiles: m, peers: m, tasks: m, decisions: m, recorder: noRecorder{}, gossip: noGossip{},
		policies: poolstate.Policies{
			Placements: map[string]port.Placement{"least_wait": leastwait.Policy{}},
			Admissions: map[string]port.Admission{"deadline": deadline.Policy{}},
		},
	}
	p.init(slog.New(slog.DiscardHandler), metrics.NewRegistry())
	return p
}

// newPair returns two members: origin, which owns a job, and owner, which owns a pool with one endpoint of
// two slots.
func newPair(t *testing.T) (n *network, origin, owner *Pools, atOwner *fakeMember) {
	n = newNetwork()
	n.setAlive(origin1, owner1)
	origin, _ = newPools(t, n, origin1)
	owner, atOwner = newPools(t, n, owner1)
	owner.step(pool1, announcedEvent())
	clock := owner.clock()
	origin.recordClock(owner1.ID, &clock) // As by the report of the loads by which a job is planned.
	return n, origin, owner, atOwner
}

// announcedEvent returns the announcement of the endpoint.
func announcedEvent() poolstate.Announced {
	return poolstate.Announced{Endpoint: model.Endpoint{
		ID: "e1", Service: "finder", DataCentre: "sj1", Address: "e1", Slots: 2, State: model.EndpointServing,
	}}
}

// testBatch returns a batch of two tasks.
func testBatch(timeout time.Duration) model.Batch {
	return model.Batch{
		ID: model.BatchID{Job: "origin.o1.1.1.t"}, Pool: pool1, Origin: "origin", Team: "t",
		Deadline: time.Now().Add(timeout), Tasks: []model.Task{{Index: 0}, {Index: 1}},
	}
}

// withVirtualClock runs a test in a synctest bubble, with a virtual clock.
func withVirtualClock(t *testing.T, test func(*testing.T, *is.I)) {
	synctest.Test(t, func(t *testing.T) { test(t, is.New(t)) })
}
