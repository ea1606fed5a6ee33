package jobs

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
)

// fake implements all ports that the Jobs of one member needs. Calls between members are handled at
// once; the replies to the next dropReplies calls are lost.
type fake struct {
	node        port.Node
	members     map[model.NodeID]*fake
	handlers    map[string]port.Handler
	dropReplies atomic.Int32 // Number of further calls whose replies are lost.
	profile     model.Profile
	loads       []model.PoolLoad
	run         func(context.Context, model.Batch) model.BatchResult
	waits       port.Plan // Wait and LeastWait of each plan.
	runs        atomic.Int32
	pauses      atomic.Uint64 // Pauses of the member's process.
	withdrawn   sync.Map      // Keys of cancelled jobs.
	evacuations map[model.DataCentre]model.Evacuation
}

func (f *fake) Self() port.Node { return f.node }

func (f *fake) Alive() []port.Node {
	var alive []port.Node
	for _, m := range f.members {
		alive = append(alive, m.node)
	}
	return alive
}

func (f *fake) Changed() <-chan struct{} { return nil }

func (f *fake) Fresh() bool { return true }

func (f *fake) Pauses() uint64 { return f.pauses.Load() }

func (f *fake) Gone(model.NodeID, model.Incarnation) bool { return false }

func (f *fake) RequestProbe(model.NodeID) {}

func (f *fake) Leave(context.Context) {}

func (f *fake) Current() (model.ProfileSet, bool) {
	set := model.BuiltInProfiles()
	set.Profiles[model.DefaultProfile] = f.profile
	set.Evacuations = f.evacuations
	return set, true
}

func (f *fake) Take(model.Profile, model.TeamID, int) (bool, time.Duration) { return true, 0 }

func (f *fake) Look(model.Profile, model.TeamID, int) (bool, time.Duration) { return true, 0 }

func (f *fake) Record(port.Decision) {}

func (f *fake) Recent() []port.Decision { return nil }

func (f *fake) Handle(method string, h port.Handler) { f.handlers[method] = h }

func (f *fake) SetAddress(model.NodeID, string) {}

func (*fake) Encode(request any) (port.EncodedRequest, error) {
	plain, err := json.Marshal(request)
	return port.EncodedRequest{Plain: plain}, err
}

func (f *fake) Call(ctx context.Context, to model.NodeID, method string, request, reply any) port.Delivery {
	peer, known := f.members[to]
	if !known || ctx.Err() != nil {
		return port.NotSent
	}
	raw, _ := json.Marshal(request) // The wire types can always be encoded.
	result, err := peer.handlers[method](ctx, f.node.ID, func(target any) error { return json.Unmarshal(raw, target) })
	if err != nil || ctx.Err() != nil || f.dropReplies.Add(-1) >= 0 {
		return port.Unknown
	}
	raw, _ = json.Marshal(result)
	if json.Unmarshal(raw, reply) != nil {
		return port.Unknown
	}
	return port.Delivered
}

func (f *fake) Loads(model.ServiceID) []model.PoolLoad { return slices.Clone(f.loads) }

func (f *fake) Run(ctx context.Context, _ model.NodeID, batch model.Batch) model.BatchResult {
	f.runs.Add(1)
	return f.run(ctx, batch)
}

func (f *fake) Announce(context.Context, model.Endpoint) port.Ownership { return port.Ownership{} }

func (f *fake) Endpoints() []port.EndpointStatus { return nil }

func (f *fake) Withdraw(key string) { f.withdrawn.Store(key, true) }

func (f *fake) Withdrawn(key string) bool {
	_, known := f.withdrawn.Load(key)
	return known
}

func (f *fake) Plan(r port.PlanRequest) port.Plan {
	if len(r.Pools) == 0 {
		return port.Plan{Refused: model.ReasonNoEndpoint}
	}
	part := port.PlanPart{Pool: r.Pools[0].Pool, Owner: r.Pools[0].Owner}
	for i := range r.Job.Tasks {
		part.Tasks = append(part.Tasks, i)
	}
	return port.Plan{Parts: []port.PlanPart{part}, Wait: f.waits.Wait, LeastWait: f.waits.LeastWait}
}

func (f *fake) NewPlacer(uint64) port.Placer { return nil }

// answerAfterOneSecond runs a batch for a second and then answers each task. A batch that is cancelled
// before ends without answers.
func answerAfterOneSecond(ctx context.Context, b model.Batch) model.BatchResult {
	ran := wait.For(ctx, time.Second)
	result := model.BatchResult{ID: b.ID}
	for _, task := range b.Tasks {
		result.Results = append(result.Results, model.TaskResult{
			Index: task.Index, Done: ran, Answer: []byte(`"` + string(b.ID.Job.TaskID(task.Index)) + `"`),
			Run: model.MayHaveRun, Reason: model.ReasonCancelled,
		})
	}
	return result
}

func refuseBatch(_ context.Context, b model.Batch) model.BatchResult {
	return model.RefusedBatch(b.ID, model.ReasonOverload)
}

// newMember returns the Jobs of a new member and the fake behind its ports, which it adds to members.
func newMember(t testing.TB, members map[model.NodeID]*fake, id model.NodeID) (*Jobs, *fake) {
	f := &fake{
		node: port.Node{ID: id, Incarnation: "i-" + model.Incarnation(id)}, members: members,
		handlers: make(map[string]port.Handler), profile: model.BuiltInProfile(), run: answerAfterOneSecond,
		loads: []model.PoolLoad{{Owner: "p", Slots: 8, Free: 8}, {Owner: "q", Pool: model.PoolID{Part: 1}, Slots: 8, Free: 8}},
	}
	members[id] = f
	j := &Jobs{
		settings:   Settings{TicketMS: defaultTicketMS, AnswersMS: defaultAnswersMS},
		membership: f, liveness: f, profiles: f, quotas: f, pools: f, peers: f, decisions: f,
		placements: map[string]port.Placement{"least_wait": f},
	}
	j.init(slog.New(slog.DiscardHandler), metrics.NewRegistry())
	t.Cleanup(func() { j.Stop() })
	return j, f
}

// newMemberPair returns the Jobs of two members that know each other, and the fakes behind them.
func newMemberPair(t *testing.T) (owner, other *Jobs, atOwner, atOther *fake) {
	members := make(map[model.NodeID]*fake)
	owner, atOwner = newMember(t, members, "a")
	other, atOther = newMember(t, members, "b")
	return owner, other, atOwner, atOther
}

func newJob(id model.JobID, tasks int) model.Job {
	j := model.Job{ID: id, Service: "finder", Team: "t", Deadline: time.Now().Add(10 * time.Second)}
	for i := range tasks {
		j.Tasks = append(j.Tasks, model.Task{Index: i})
	}
	return j
}

// withVirtualClock runs a test in a synctest bubble, where time passes only while all goroutines wait.
func withVirtualClock(t *testing.T, test func(*testing.T, *is.I)) {
	synctest.Test(t, func(t *testing.T) { test(t, is.New(t)) })
}

// advanceClock lets time pass on the bubble's clock.
func advanceClock(d time.Duration) {
	<-time.After(d)
	synctest.Wait()
}

// contextWithTimeout returns a context that ends after d or with the test.
func contextWithTimeout(t *testing.T, d time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(t.Context(), d)
	t.Cleanup(cancel)
	return ctx
}
