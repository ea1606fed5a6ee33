package endpoints

import (
	"context"
	"encoding/json"
	"log/slog"
	"slices"
	"strings"
	"sync"
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
)

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

func (m *fakeMember) Retire(context.Context, string, model.EndpointID) bool { return true }

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
	p := &Pools{
		membership: m, liveness: m, profiles: m, peers: m, tasks: m, decisions: m, recorder: noRecorder{}, gossip: noGossip{},
		policies: poolstate.Policies{
			Placements: map[string]port.Placement{"least_wait": leastwait.Policy{}},
			Admissions: map[string]port.Admission{"deadline": deadline.Policy{}},
		},
	}
	p.init(slog.New(slog.DiscardHandler), metrics.NewRegistry())
	go p.watchSessions()
	t.Cleanup(func() { p.Stop() })
	return p, m
}

// newPair returns two members: origin, which owns a job, and owner, which owns a pool with one endpoint of
// two slots.
func newPair(t *testing.T) (n *network, origin, owner *Pools, atOwner *fakeMember) {
	n = newNetwork()
	n.setAlive(origin1, owner1)
	origin, _ = newPools(t, n, origin1)
	owner, atOwner = newPools(t, n, owner1)
	owner.step(pool1, announcedEvent())
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

func TestBatchTakesOneMessageWithoutFaults(t *testing.T) {
	withVirtualClock(t, func(t *testing.T, is *is.I) {
		n, origin, _, _ := newPair(t)
		result := origin.Run(t.Context(), "owner", testBatch(10*time.Second))
		is.Equal(len(result.Results), 2)
		is.True(result.Results[0].Done)
		is.Equal(n.calls, map[string]int{methodRun: 1})
	})
}

func TestBatchIsResumedAndNotRestartedWhenItsReplyIsLost(t *testing.T) {
	withVirtualClock(t, func(t *testing.T, is *is.I) {
		n, origin, owner, _ := newPair(t)
		n.faults[methodRun] = []fault{dropReply}
		n.faults[methodResume] = []fault{dropRequest, dropReply}
		result := origin.Run(t.Context(), "owner", testBatch(10*time.Second))
		is.Equal(len(result.Results), 2)
		is.True(result.Results[0].Done && result.Results[1].Done)
		is.Equal(n.calls, map[string]int{methodRun: 1, methodResume: 3})
		is.Equal(owner.instruments.starts.Count(), int64(2))
	})
}

func TestBatchIsFencedWhenItsRequestIsLost(t *testing.T) {
	withVirtualClock(t, func(t *testing.T, is *is.I) {
		n, origin, owner, _ := newPair(t)
		n.faults[methodRun] = []fault{dropRequest}
		b := testBatch(10 * time.Second)
		is.True(origin.Run(t.Context(), "owner", b).Refused)
		late := encodeBatch(envelope{Origin: "o1", Target: "w1", Sequence: 1}, b)
		is.True(owner.handleRun(t.Context(), "origin", late).Refused) // The request arrives late.
		is.Equal(owner.instruments.starts.Count(), int64(0))
	})
}

func TestBatchMayHaveRunWhenItsOwnerRestarts(t *testing.T) {
	withVirtualClock(t, func(t *testing.T, is *is.I) {
		n, origin, _, _ := newPair(t)
		n.faults[methodRun] = []fault{dropReply}
		time.AfterFunc(500*time.Millisecond, func() { newPools(t, n, restartedOwner) }) // The new incarnation replaces the handlers.
		result := origin.Run(t.Context(), "owner", testBatch(10*time.Second))
		is.True(!result.Refused)
		is.Equal(result.Results[0].Run, model.MayHaveRun)
	})
}

func TestRequestForAnEarlierIncarnationIsAnsweredAsLost(t *testing.T) {
	withVirtualClock(t, func(t *testing.T, is *is.I) {
		_, _, owner, _ := newPair(t)
		e := envelope{Origin: "o1", Target: "w0", Sequence: 1}
		is.Equal(owner.handleRun(t.Context(), "origin", encodeBatch(e, testBatch(time.Minute))), runReply{Lost: true})
		is.Equal(owner.handleResume(t.Context(), "origin", batchRef{envelope: e}), runReply{Lost: true})
		e.Target = "" // The sender did not know which incarnation it reached.
		is.Equal(owner.handleResume(t.Context(), "origin", batchRef{envelope: e}), runReply{Lost: true})
		is.Equal(owner.instruments.starts.Count(), int64(0))
	})
}

func TestQueuedBatchHasNotRunAtItsDeadline(t *testing.T) {
	withVirtualClock(t, func(t *testing.T, is *is.I) {
		_, origin, owner, atOwner := newPair(t)
		atOwner.tasks = func(ctx context.Context, s port.TaskStart) port.TaskReply {
			wait.For(ctx, 5*time.Second) // Longer than the pool expects.
			return port.TaskReply{State: port.TaskDone, Answer: []byte("1")}
		}
		atOwner.revokeReply = func(model.TaskID) port.RevokeReply { return port.RevokeReply{State: port.TaskRunning} }
		first, second := testBatch(time.Minute), testBatch(1500*time.Millisecond)
		first.ID.Job = "origin.o1.1.2.t"
		done := make(chan model.BatchResult)
		go func() { done <- origin.Run(t.Context(), "owner", first) }()
		synctest.Wait()
		result := origin.Run(t.Context(), "owner", second)
		is.Equal(len(result.Results), 2)
		for _, r := range result.Results {
			is.Equal(r.Run, model.NotRun)
		}
		is.Equal(owner.instruments.starts.Count(), int64(2)) // Both are tasks of the first batch.
		<-done
	})
}

func TestUnreachableOwnerHasNoSlotsUntilItReplies(t *testing.T) {
	withVirtualClock(t, func(t *testing.T, is *is.I) {
		n, origin, _, _ := newPair(t)
		slots := func() int { return origin.Loads("finder")[0].Slots }
		result := origin.Run(t.Context(), "owner", testBatch(10*time.Second))
		is.Equal(slots(), 2)
		n.faults[methodRun] = []fault{dropRequest}
		n.faults[methodReach] = []fault{dropRequest, dropReply}
		n.faults[methodResume] = []fault{dropRequest, dropRequest}
		late := testBatch(10 * time.Second)
		late.ID.Part = 1
		result = origin.Run(t.Context(), "owner", late)
		is.True(result.Refused)
		is.Equal(slots(), 0)
		<-time.After(3 * probeInterval)
		synctest.Wait()
		is.Equal(slots(), 2)
		is.Equal(n.calls[methodReach], 3)
	})
}

func TestBatchEndsBeforeItsDeadlineWhenItsOwnerIsLost(t *testing.T) {
	withVirtualClock(t, func(t *testing.T, is *is.I) {
		n, origin, _, _ := newPair(t)
		n.faults[methodRun] = []fault{hang}
		startedAt := time.Now()
		time.AfterFunc(time.Second, func() { n.setAlive(origin1) })
		result := origin.Run(t.Context(), "owner", testBatch(time.Minute))
		is.Equal(result.Results[0].Run, model.MayHaveRun)
		is.Equal(result.Results[0].Reason, model.ReasonOwnerLost)
		is.Equal(time.Since(startedAt), time.Second+ownerLostGrace)
	})
}

func TestCancelledBatchReportsWhichTasksMayHaveRun(t *testing.T) {
	withVirtualClock(t, func(t *testing.T, is *is.I) {
		_, origin, owner, atOwner := newPair(t)
		atOwner.revokeReply = func(model.TaskID) port.RevokeReply { return port.RevokeReply{State: port.TaskStopped} }
		ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
		defer cancel()
		b := testBatch(time.Minute)
		b.Tasks = append(b.Tasks, model.Task{Index: 2}) // Queued, since both slots are busy.
		result := origin.Run(ctx, "owner", b)
		runs := map[int]model.RunState{}
		for _, r := range result.Results {
			runs[r.Index] = r.Run
		}
		is.Equal(runs, map[int]model.RunState{0: model.MayHaveRun, 1: model.MayHaveRun, 2: model.NotRun})
		is.Equal(owner.instruments.starts.Count(), int64(2))
	})
}

func TestBatchCancelledBeforeSendingSendsNothing(t *testing.T) {
	withVirtualClock(t, func(t *testing.T, is *is.I) {
		n, origin, _, _ := newPair(t)
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		is.True(origin.Run(ctx, "owner", testBatch(time.Minute)).Refused)
		is.Equal(len(n.calls), 0)
	})
}

func TestUnlistedTaskIsRevokedOverANewConnection(t *testing.T) {
	withVirtualClock(t, func(t *testing.T, is *is.I) {
		_, origin, owner, atOwner := newPair(t)
		atOwner.tasks = func(ctx context.Context, _ port.TaskStart) port.TaskReply {
			<-ctx.Done() // The connection is broken without an error.
			return port.TaskReply{State: port.TaskUnknown}
		}
		atOwner.revokeReply = func(id model.TaskID) port.RevokeReply {
			return port.RevokeReply{State: port.TaskDone, Answer: []byte(`"` + string(id) + `"`)}
		}
		results := make(chan model.BatchResult, 1)
		go func() { results <- origin.Run(t.Context(), "owner", testBatch(time.Minute)) }()
		listed := announcedEvent()
		listed.Endpoint.Running = []model.TaskID{testBatch(0).ID.Job.TaskID(0), testBatch(0).ID.Job.TaskID(1)}
		for range 5 { // A long task costs no revoke as long as it is listed.
			wait.For(t.Context(), announceInterval)
			owner.step(pool1, listed)
		}
		synctest.Wait()
		is.Equal(len(results), 0)
		owner.step(pool1, announcedEvent())
		synctest.Wait()
		is.Equal(len(results), 0) // The answers may still be on their way.
		wait.For(t.Context(), announceInterval)
		owner.step(pool1, announcedEvent())
		result := <-results
		is.True(result.Results[0].Done && result.Results[1].Done)
		synctest.Wait()
		owner.withPool(pool1, func(o *pool) { is.Equal(len(o.inFlight), 0) })
	})
}

func TestDrainRefusesNewBatchesAndFinishesAcceptedOnes(t *testing.T) {
	withVirtualClock(t, func(t *testing.T, is *is.I) {
		_, origin, owner, _ := newPair(t)
		done := make(chan model.BatchResult)
		go func() { done <- origin.Run(t.Context(), "owner", testBatch(time.Minute)) }()
		synctest.Wait()
		drained := make(chan struct{})
		go func() {
			owner.Drain(t.Context())
			close(drained)
		}()
		wait.For(t.Context(), moveGrace+time.Millisecond) // Batches sent before the move are accepted until then.
		late := testBatch(time.Minute)
		late.ID.Part = 1
		refused := origin.Run(t.Context(), "owner", late)
		is.True(refused.Refused)
		is.Equal(refused.Reason, model.ReasonDraining)
		is.True((<-done).Results[0].Done)
		<-drained
	})
}

func FuzzRunRequest(f *testing.F) {
	valid, _ := json.Marshal(encodeBatch(envelope{Origin: "o1", Sequence: 1}, testBatch(time.Minute))) // The wire types always encode.
	f.Add(string(valid))
	f.Add(strings.Replace(string(valid), `"index":1`, `"index":0`, 1))
	f.Add(strings.Replace(string(valid), `"index":1`, `"index":-1`, 1))
	f.Add(`{"tasks":[null]}`)
	f.Fuzz(func(t *testing.T, text string) {
		var r runRequest
		if json.Unmarshal([]byte(text), &r) != nil || !r.valid() {
			return
		}
		tasks := map[model.TaskID]bool{}
		for _, task := range decodeBatch("origin", r).Tasks {
			tasks[r.ID.Job.TaskID(task.Index)] = true
		}
		if len(tasks) != len(r.Tasks) {
			t.Fatalf("%q decodes to a batch with two tasks of the same ID", text)
		}
	})
}
