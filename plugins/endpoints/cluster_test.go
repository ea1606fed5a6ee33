package endpoints

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"redwingpulley/kernel/model"
	"redwingpulley/kernel/plugin"
	"redwingpulley/kernel/port"
	"redwingpulley/kernel/settings"

	_ "redwingpulley/plugins/admission/deadline"
	_ "redwingpulley/plugins/placement/leastwait"
)

// cluster is a group of members on in-memory ports, with one endpoint.
type cluster struct {
	mu      sync.Mutex
	members map[model.NodeID]*testMember
	alive   []port.Node
	changed chan struct{}

	evacuated         bool          // Whether the data centre sj1 is evacuated.
	evacuationChanged chan struct{} // Closed when evacuated changes.

	slots      int
	running    map[model.TaskID]chan struct{} // Running tasks of the endpoint; a closed channel finishes its task.
	started    []model.TaskID
	refused    int // Starts that the endpoint refused because all slots were busy.
	maxRunning int // Highest number of tasks that ran at the endpoint at the same time.
}

// testMember is one member, and implements the ports that its Pools use.
type testMember struct {
	cluster  *cluster
	node     port.Node
	pools    *Pools
	handlers map[string]port.Handler
	stale    bool
	view     []port.Node // Own membership view, if it differs from that of the others.
}

func (m *testMember) Self() port.Node { return m.node }

func (m *testMember) Alive() []port.Node {
	m.cluster.mu.Lock()
	defer m.cluster.mu.Unlock()
	if m.view != nil {
		return m.view
	}
	return m.cluster.alive
}

func (m *testMember) Changed() <-chan struct{} {
	m.cluster.mu.Lock()
	defer m.cluster.mu.Unlock()
	return m.cluster.changed
}

func (m *testMember) Leave(context.Context) { m.cluster.setDraining(m.node.ID) }

func (m *testMember) Fresh() bool {
	m.cluster.mu.Lock()
	defer m.cluster.mu.Unlock()
	return !m.stale
}

func (m *testMember) setStale() {
	m.cluster.mu.Lock()
	defer m.cluster.mu.Unlock()
	m.stale = true
}

// setView limits the member's view to the given members.
func (m *testMember) setView(members ...*testMember) {
	m.cluster.mu.Lock()
	defer m.cluster.mu.Unlock()
	for _, other := range members {
		m.view = append(m.view, other.node)
	}
}

func (m *testMember) Pauses() uint64 { return 0 }

func (m *testMember) Gone(model.NodeID, model.Incarnation) bool { return false }
func (m *testMember) RequestProbe(model.NodeID)                 {}

func (m *testMember) Record(port.Decision)    {}
func (m *testMember) Recent() []port.Decision { return nil }

func (m *testMember) Handle(method string, h port.Handler) { m.handlers[method] = h }
func (m *testMember) SetAddress(model.NodeID, string)      {}

func (*testMember) Encode(request any) (port.EncodedRequest, error) {
	plain, err := json.Marshal(request)
	return port.EncodedRequest{Plain: plain}, err
}

func (m *testMember) Call(ctx context.Context, to model.NodeID, method string, request, reply any) port.Delivery {
	body, err := json.Marshal(request)
	if err != nil {
		return port.NotSent
	}
	target := m.cluster.members[to]
	out, err := target.handlers[method](ctx, m.node.ID, func(into any) error { return json.Unmarshal(body, into) })
	if err != nil {
		return port.Unknown
	}
	answer, err := json.Marshal(out)
	if err != nil || json.Unmarshal(answer, reply) != nil {
		return port.Unknown
	}
	return port.Delivered
}

// Start runs a task at the endpoint until its channel is closed, or refuses it when no slot is free.
func (m *testMember) Start(ctx context.Context, _ string, s port.TaskStart) port.TaskReply {
	c := m.cluster
	c.mu.Lock()
	if len(c.running) >= c.slots {
		c.refused++
		c.mu.Unlock()
		return port.TaskReply{State: port.TaskNotRun, Detail: "no free slot"}
	}
	end := make(chan struct{})
	c.running[s.ID] = end
	c.started = append(c.started, s.ID)
	c.maxRunning = max(c.maxRunning, len(c.running))
	c.mu.Unlock()
	select {
	case <-end:
		return port.TaskReply{State: port.TaskDone, Answer: []byte(`1`)}
	case <-ctx.Done():
		return port.TaskReply{State: port.TaskUnknown}
	}
}

func (m *testMember) Revoke(context.Context, string, port.TaskRevoke) port.RevokeReply {
	return port.RevokeReply{State: port.TaskRunning}
}

func (m *testMember) Fence(port.EndpointIncarnation) {}

func (m *testMember) Retire(context.Context, port.EndpointIncarnation) bool { return true }

func (m *testMember) Observe(port.EndpointObserver) {}

// finish finishes one running task, no matter which.
func (c *cluster) finish() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, finish := range c.running {
		close(finish)
		delete(c.running, id)
		return
	}
}

func (c *cluster) finishAll() {
	for range c.slots {
		c.finish()
	}
}

func (c *cluster) endpoint() model.Endpoint {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := model.Endpoint{
		ID: "e1", Service: "finder", DataCentre: "sj1", Address: "127.0.0.1:1", Slots: c.slots, State: model.EndpointServing,
	}
	for id := range c.running {
		e.Running = append(e.Running, id)
	}
	slices.Sort(e.Running)
	return e
}

// changeNodes applies change to the entries of all members in the shared membership view.
func (c *cluster) changeNodes(change func(n *port.Node)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.alive = slices.Clone(c.alive)
	for i := range c.alive {
		change(&c.alive[i])
	}
	close(c.changed)
	c.changed = make(chan struct{})
}

func (c *cluster) setDraining(id model.NodeID) {
	c.changeNodes(func(n *port.Node) { n.Draining = n.Draining || n.ID == id })
}

// withCluster runs a test of a cluster on a virtual clock: time.Sleep takes no real time.
func withCluster(t *testing.T, slots int, test func(t *testing.T, is *is.I, c *cluster, members []*testMember)) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c, members := newCluster(is, slots)
		test(t, is, c, members)
		stopAll(is, members)
	})
}

// newCluster returns a cluster of three members in one data centre. The members are sorted by their scores
// for testPool: the first one owns it, the second one does without the first.
func newCluster(is *is.I, slots int) (*cluster, []*testMember) {
	is.Helper()
	c := &cluster{
		members: make(map[model.NodeID]*testMember), changed: make(chan struct{}), evacuationChanged: make(chan struct{}),
		slots: slots, running: make(map[model.TaskID]chan struct{}),
	}
	for i := range 3 {
		id := model.NodeID(fmt.Sprintf("sj1-%c", 'a'+i))
		c.alive = append(c.alive, port.Node{
			ID: id, Incarnation: model.Incarnation("run-" + string(id)), DataCentre: "sj1", Endpoints: "of-" + string(id),
		})
	}
	var members []*testMember
	for _, node := range c.alive {
		m := &testMember{cluster: c, node: node, handlers: make(map[string]port.Handler), pools: &Pools{}}
		c.members[node.ID] = m
		m.startPlugin(is)
		members = append(members, m)
	}
	slices.SortFunc(members, func(a, b *testMember) int { return compareScore(testPool, b.node.ID, a.node.ID) })
	return c, members
}

// startPlugin starts the plug-in on the member's ports.
func (m *testMember) startPlugin(is *is.I) {
	is.Helper()
	definitions := slices.DeleteFunc(plugin.Registered(), func(d plugin.Definition) bool { return d.ID.Kind() == "ports" })
	definitions = append(definitions, plugin.Definition{
		ID: "ports", New: func() plugin.Plugin { return m },
		Provides: []plugin.Port{
			plugin.PortOf[port.Membership](), plugin.PortOf[port.Liveness](), plugin.PortOf[port.Peers](),
			plugin.PortOf[port.Profiles](), plugin.PortOf[port.Tasks](), plugin.PortOf[port.Decisions](),
			plugin.PortOf[port.Recorder](), plugin.PortOf[port.Gossip](),
		},
	})
	host, err := plugin.NewHost(settings.Settings{}, slog.New(slog.DiscardHandler), definitions)
	is.NoErr(err)
	is.NoErr(host.Start())
	pools, err := plugin.Lookup[port.Pools](host)
	is.NoErr(err)
	m.pools = pools.(*Pools)
}

// Provision binds the member's ports.
func (m *testMember) Provision(c *plugin.Context) error {
	plugin.Bind[port.Membership](c, m)
	plugin.Bind[port.Liveness](c, m)
	plugin.Bind[port.Peers](c, m)
	plugin.Bind[port.Profiles](c, testProfiles{m})
	plugin.Bind[port.Tasks](c, m)
	plugin.Bind[port.Decisions](c, m)
	plugin.Bind[port.Recorder](c, noRecorder{})
	plugin.Bind[port.Gossip](c, noGossip{})
	return nil
}

// noGossip drops all values: loads are only sent in messages of their own.
type noGossip struct{}

func (noGossip) Publish(string, []byte) {}

func (noGossip) Subscribe(string, func(model.NodeID, []byte)) {}

func stopAll(is *is.I, members []*testMember) {
	is.Helper()
	for _, m := range members {
		is.NoErr(m.pools.Stop())
	}
}

var testPool = model.PoolID{Service: "finder", DataCentre: "sj1"}

func (m *testMember) announce(e model.Endpoint) port.Ownership {
	return m.pools.Announce(context.Background(), e)
}

// runBatch runs a batch of the given number of tasks at the owner. Its result is sent on the channel.
func (m *testMember) runBatch(owner *testMember, part, tasks int) <-chan model.BatchResult {
	job := model.NewJobID(model.JobIDParts{Owner: m.node.ID, Incarnation: m.node.Incarnation, Sequence: uint64(part), Tag: "t"})
	batch := model.Batch{
		ID: model.BatchID{Job: job, Part: part}, Pool: testPool, Origin: m.node.ID, Team: "t1", Deadline: time.Now().Add(30 * time.Second),
	}
	for i := range tasks {
		batch.Tasks = append(batch.Tasks, model.Task{Index: i})
	}
	result := make(chan model.BatchResult, 1)
	go func() { result <- m.pools.Run(context.Background(), owner.node.ID, batch) }()
	synctest.Wait()
	return result
}

func countDone(result model.BatchResult) int {
	return len(slices.DeleteFunc(slices.Clone(result.Results), func(r model.TaskResult) bool { return !r.Done }))
}

// checkNotRun checks that no task has started of which the result says that it has not run.
func (c *cluster) checkNotRun(is *is.I, result model.BatchResult) {
	is.Helper()
	for _, r := range result.Results {
		if !r.Done && r.Run == model.NotRun {
			is.True(!slices.Contains(c.started, result.ID.Job.TaskID(r.Index)))
		}
	}
}
