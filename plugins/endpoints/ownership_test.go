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

// world is a few members over in-memory ports, and one endpoint.
type world struct {
	mu      sync.Mutex
	all     map[model.NodeID]*vm
	alive   []port.Node
	changed chan struct{}

	slots   int
	running map[model.TaskID]chan struct{} // Closed to end the task.
	started []model.TaskID
	refused int
	highest int // Tasks at the endpoint at once.
}

// The tests run in synctest bubbles: time.Sleep advances a virtual clock and takes no real time.

// vm is one member with the ports that its Pools use.
type vm struct {
	world    *world
	node     port.Node
	pools    *Pools
	handlers map[string]port.Handler
	stale    bool
	view     []port.Node // Of a member that disagrees with the others.
}

func (v *vm) Self() port.Node { return v.node }

func (v *vm) Alive() []port.Node {
	v.world.mu.Lock()
	defer v.world.mu.Unlock()
	if v.view != nil {
		return v.view
	}
	return v.world.alive
}

func (v *vm) Changed() <-chan struct{} {
	v.world.mu.Lock()
	defer v.world.mu.Unlock()
	return v.world.changed
}

func (v *vm) Leave(context.Context) { v.world.setDraining(v.node.ID) }

func (v *vm) Fresh() bool {
	v.world.mu.Lock()
	defer v.world.mu.Unlock()
	return !v.stale
}

func (v *vm) setStale() {
	v.world.mu.Lock()
	defer v.world.mu.Unlock()
	v.stale = true
}

// setView has the member see just the given ones.
func (v *vm) setView(members ...*vm) {
	v.world.mu.Lock()
	defer v.world.mu.Unlock()
	for _, m := range members {
		v.view = append(v.view, m.node)
	}
}

func (v *vm) Gone(model.NodeID, model.Incarnation) bool { return false }
func (v *vm) Doubt(model.NodeID)                        {}

func (v *vm) Current() (model.ProfileSet, bool) { return model.BuiltInProfiles(), true }

func (v *vm) Record(port.Decision)    {}
func (v *vm) Recent() []port.Decision { return nil }

func (v *vm) Handle(method string, h port.Handler) { v.handlers[method] = h }
func (v *vm) Learn(model.NodeID, string)           {}

func (v *vm) Call(ctx context.Context, to model.NodeID, method string, request, reply any) port.Delivery {
	body, err := json.Marshal(request)
	if err != nil {
		return port.NotSent
	}
	target := v.world.all[to]
	out, err := target.handlers[method](ctx, v.node.ID, func(into any) error { return json.Unmarshal(body, into) })
	if err != nil {
		return port.Unknown
	}
	answer, err := json.Marshal(out)
	if err != nil || json.Unmarshal(answer, reply) != nil {
		return port.Unknown
	}
	return port.Delivered
}

// Start runs a task at the endpoint until its channel is closed, within the endpoint's slots.
func (v *vm) Start(ctx context.Context, _ string, s port.TaskStart) port.TaskReply {
	w := v.world
	w.mu.Lock()
	if len(w.running) >= w.slots {
		w.refused++
		w.mu.Unlock()
		return port.TaskReply{State: port.TaskNotRun, Detail: "no free slot"}
	}
	end := make(chan struct{})
	w.running[s.ID] = end
	w.started = append(w.started, s.ID)
	w.highest = max(w.highest, len(w.running))
	w.mu.Unlock()
	select {
	case <-end:
		return port.TaskReply{State: port.TaskDone, Answer: []byte(`1`)}
	case <-ctx.Done():
		return port.TaskReply{State: port.TaskUnknown}
	}
}

func (v *vm) Revoke(context.Context, string, port.TaskRevoke) port.RevokeReply {
	return port.RevokeReply{State: port.TaskRunning}
}

// end ends one running task.
func (w *world) end() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for id, end := range w.running {
		close(end)
		delete(w.running, id)
		return
	}
}

func (w *world) endAll() {
	for range w.slots {
		w.end()
	}
}

func (w *world) endpoint() model.Endpoint {
	w.mu.Lock()
	defer w.mu.Unlock()
	e := model.Endpoint{
		ID: "e1", Service: "finder", DataCentre: "sj1", Address: "127.0.0.1:1", Slots: w.slots, State: model.EndpointServing,
	}
	for id := range w.running {
		e.Running = append(e.Running, id)
	}
	slices.Sort(e.Running)
	return e
}

func (w *world) setView(change func(n *port.Node)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.alive = slices.Clone(w.alive)
	for i := range w.alive {
		change(&w.alive[i])
	}
	close(w.changed)
	w.changed = make(chan struct{})
}

func (w *world) setDraining(id model.NodeID) {
	w.setView(func(n *port.Node) { n.Draining = n.Draining || n.ID == id })
}

// newWorld has three members of one data centre, sorted so that the pool's owners in turn come
// first.
func newWorld(is *is.I, slots int) (*world, []*vm) {
	is.Helper()
	w := &world{
		all: make(map[model.NodeID]*vm), changed: make(chan struct{}),
		slots: slots, running: make(map[model.TaskID]chan struct{}),
	}
	for i := range 3 {
		id := model.NodeID(fmt.Sprintf("sj1-%c", 'a'+i))
		w.alive = append(w.alive, port.Node{
			ID: id, Incarnation: model.Incarnation("run-" + string(id)), DataCentre: "sj1", Endpoints: "of-" + string(id),
		})
	}
	var all []*vm
	for _, node := range w.alive {
		v := &vm{world: w, node: node, handlers: make(map[string]port.Handler), pools: &Pools{}}
		w.all[node.ID] = v
		v.start(is)
		all = append(all, v)
	}
	slices.SortFunc(all, func(a, b *vm) int { return compareWeight(testPool.String(), b.node.ID, a.node.ID) })
	return w, all
}

// start runs the plug-in on the member's ports.
func (v *vm) start(is *is.I) {
	is.Helper()
	definitions := slices.DeleteFunc(plugin.Registered(), func(d plugin.Definition) bool { return d.ID.Kind() == "ports" })
	definitions = append(definitions, plugin.Definition{
		ID: "ports", New: func() plugin.Plugin { return v },
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
	v.pools = pools.(*Pools)
}

// Provision binds the member's ports.
func (v *vm) Provision(c *plugin.Context) error {
	plugin.Bind[port.Membership](c, v)
	plugin.Bind[port.Liveness](c, v)
	plugin.Bind[port.Peers](c, v)
	plugin.Bind[port.Profiles](c, v)
	plugin.Bind[port.Tasks](c, v)
	plugin.Bind[port.Decisions](c, v)
	plugin.Bind[port.Recorder](c, noRecorder{})
	plugin.Bind[port.Gossip](c, noGossip{})
	return nil
}

// noGossip tells nothing: loads travel by messages of their own.
type noGossip struct{}

func (noGossip) Publish(string, []byte) {}

func (noGossip) Subscribe(string, func(model.NodeID, []byte)) {}

func stop(is *is.I, all []*vm) {
	is.Helper()
	for _, v := range all {
		is.NoErr(v.pools.Stop())
	}
}

var testPool = model.PoolID{Service: "finder", DataCentre: "sj1"}

func (v *vm) announce(e model.Endpoint) port.Ownership {
	return v.pools.Announce(context.Background(), e)
}

// run has owner run a batch of the given number of tasks and sends its result.
func (v *vm) run(owner *vm, part, tasks int) <-chan model.BatchResult {
	job := model.NewJobID(model.JobIDParts{Owner: v.node.ID, Incarnation: v.node.Incarnation, Sequence: uint64(part), Tag: "t"})
	batch := model.Batch{
		ID: model.BatchID{Job: job, Part: part}, Pool: testPool, Origin: v.node.ID, Team: "t1", Deadline: time.Now().Add(30 * time.Second),
	}
	for i := range tasks {
		batch.Tasks = append(batch.Tasks, model.Task{Index: i})
	}
	result := make(chan model.BatchResult, 1)
	go func() { result <- v.pools.Run(context.Background(), owner.node.ID, batch) }()
	synctest.Wait()
	return result
}

func done(result model.BatchResult) int {
	return len(slices.DeleteFunc(slices.Clone(result.Results), func(r model.TaskResult) bool { return !r.Done }))
}

func TestAnnouncementIsPassedOnToTheOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w, all := newWorld(is, 2)
		ownership := all[2].announce(w.endpoint())
		is.Equal(ownership.Owner, all[0].node.Endpoints)
		is.Equal(len(all[0].pools.Endpoints()), 1)
		is.Equal(len(all[2].pools.Endpoints()), 0)
		stop(is, all)
	})
}

func TestPassedOnAnnouncementIsNotPassedOnAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w, all := newWorld(is, 2)
		all[0].setView(all[1]) // The owner thinks that another one is.
		ownership := all[2].announce(w.endpoint())
		is.Equal(ownership.Owner, all[1].node.Endpoints)
		is.Equal(len(all[1].pools.Endpoints()), 0)
		stop(is, all)
	})
}

func TestDrainingOwnerHandsItsEndpointsOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w, all := newWorld(is, 2)
		all[0].announce(w.endpoint())
		first := all[2].run(all[0], 1, 1)
		go all[0].pools.Drain(context.Background())
		synctest.Wait()
		is.Equal(len(all[1].pools.Endpoints()), 1) // Before any announcement.
		is.Equal(all[1].pools.Endpoints()[0].Busy, 1)
		time.Sleep(time.Second)
		is.Equal((<-all[2].run(all[0], 2, 1)).Refused, true)
		second := all[2].run(all[1], 3, 1)
		w.endAll()
		is.Equal(done(<-first), 1)
		is.Equal(done(<-second), 1)
		is.Equal(w.refused, 0)
		stop(is, all)
	})
}

func TestFormerOwnerFinishesWhatItHasTakenOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w, all := newWorld(is, 1)
		all[0].announce(w.endpoint())
		batch := all[2].run(all[0], 1, 2)
		w.setDraining(all[0].node.ID)
		for range 10 { // Longer than an endpoint's lease.
			time.Sleep(time.Second)
			all[1].announce(w.endpoint())
		}
		w.end()
		synctest.Wait()
		w.end()
		is.Equal(done(<-batch), 2)
		stop(is, all)
	})
}

func TestFormerOwnerRefusesNewBatches(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w, all := newWorld(is, 1)
		all[0].announce(w.endpoint())
		w.setDraining(all[0].node.ID)
		time.Sleep(time.Second)
		result := <-all[2].run(all[0], 1, 1)
		is.True(result.Refused)
		is.Equal(result.Reason, model.ReasonMoved)
		is.Equal(len(w.started), 0)
		stop(is, all)
	})
}

func TestStaleOwnerTakesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w, all := newWorld(is, 1)
		all[0].announce(w.endpoint())
		all[0].setStale()
		result := <-all[2].run(all[0], 1, 1)
		is.True(result.Refused)
		is.Equal(len(w.started), 0)
		time.Sleep(4 * time.Second)
		all[0].announce(w.endpoint())
		is.Equal(len(all[0].pools.Endpoints()), 0) // Its lease ended, and no announcement renews it.
		stop(is, all)
	})
}

// checkTrue checks that no task of the batch that is said not to have run has started.
func (w *world) checkTrue(is *is.I, result model.BatchResult) {
	is.Helper()
	for _, r := range result.Results {
		if !r.Done && r.Run == model.NotRun {
			is.True(!slices.Contains(w.started, result.ID.Job.TaskID(r.Index)))
		}
	}
}

func TestTwoOwnersNeverExceedTheSlots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w, all := newWorld(is, 3)
		all[1].setView(all[1], all[2]) // A cut: it thinks that it is the owner.
		all[0].announce(w.endpoint())
		all[1].announce(w.endpoint())
		one := all[0].run(all[0], 1, 8)
		two := all[1].run(all[1], 2, 8)
		for range 100 {
			time.Sleep(50 * time.Millisecond)
			w.end()
			synctest.Wait()
			all[0].announce(w.endpoint())
			all[1].announce(w.endpoint())
		}
		w.checkTrue(is, <-one)
		w.checkTrue(is, <-two)
		is.True(w.highest <= w.slots)
		is.Equal(len(slices.Compact(slices.Sorted(slices.Values(w.started)))), len(w.started)) // Each task at most once.
		stop(is, all)
	})
}

func TestLeavingEndpointGetsNoNewWorkInACut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w, all := newWorld(is, 2)
		all[0].announce(w.endpoint())
		time.Sleep(4 * time.Second) // No word of it reaches the owner any more.
		result := <-all[0].run(all[0], 1, 1)
		is.True(result.Refused)
		is.Equal(len(w.started), 0)
		stop(is, all)
	})
}

func TestOwnerIsTheSameOnAllMembersAndMovesLittle(t *testing.T) {
	is := is.New(t)
	var nodes []port.Node
	for i := range 9 {
		nodes = append(nodes, port.Node{ID: model.NodeID(fmt.Sprintf("n%d", i)), DataCentre: "sj1"})
	}
	moved, owned := 0, make(map[model.NodeID]int)
	for part := range 900 {
		id := model.PoolID{Service: "finder", DataCentre: "sj1", Part: part}
		owner := ownerAmong(nodes, id)
		owned[owner.ID]++
		if ownerAmong(nodes[1:], id).ID != owner.ID {
			moved++
		}
	}
	is.Equal(moved, owned["n0"]) // Only the pools of the lost member move.
	for _, count := range owned {
		is.True(count > 60 && count < 140)
	}
}

func TestOwnerIsOfTheDataCentreWhileItHasAServingMember(t *testing.T) {
	is := is.New(t)
	near := port.Node{ID: "near", DataCentre: "sj1"}
	far := port.Node{ID: "far", DataCentre: "sj2"}
	is.Equal(ownerAmong([]port.Node{near, far}, testPool), near)
	near.Draining = true
	is.Equal(ownerAmong([]port.Node{near, far}, testPool), far)
	is.Equal(ownerAmong([]port.Node{near}, testPool), near) // Better than none.
}
