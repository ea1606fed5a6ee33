package jobs

import (
	"context"
	"encoding/json"
	"log/slog"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	"redwingpulley/kernel/model"
	"redwingpulley/kernel/port"
	"redwingpulley/kernel/wait"
	"redwingpulley/plugins/jobs/retrybudget"
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
	runs        atomic.Int32
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

func (f *fake) Leave(context.Context) {}

func (f *fake) Current() (model.ProfileSet, bool) {
	set := model.BuiltInProfiles()
	set.Profiles[model.DefaultProfile] = f.profile
	return set, true
}

func (f *fake) Take(model.Profile, model.TeamID, int) (bool, time.Duration) { return true, 0 }

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

func (f *fake) Plan(r port.PlanRequest) port.Plan {
	if len(r.Pools) == 0 {
		return port.Plan{Refused: model.ReasonNoEndpoint}
	}
	part := port.PlanPart{Pool: r.Pools[0].Pool, Owner: r.Pools[0].Owner}
	for i := range r.Job.Tasks {
		part.Tasks = append(part.Tasks, i)
	}
	return port.Plan{Parts: []port.PlanPart{part}}
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
		membership: f, profiles: f, quotas: f, pools: f, peers: f, decisions: f,
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

func TestConcurrentResendsStartJobOnce(t *testing.T) {
	withVirtualClock(t, func(t *testing.T, is *is.I) {
		owner, other, atOwner, _ := newMemberPair(t)
		id := owner.Mint(1)[0]
		outcomes := make(chan model.Outcome)
		for range 10 {
			go func() { outcomes <- owner.Submit(t.Context(), newJob(id, 2)) }()
			go func() { outcomes <- other.Submit(t.Context(), newJob(id, 2)) }()
		}
		for range 20 {
			is.Equal(len((<-outcomes).Answers), 2)
		}
		is.Equal(atOwner.runs.Load(), int32(1))
	})
}

func TestForwardRetriesWhenRepliesAreLost(t *testing.T) {
	withVirtualClock(t, func(t *testing.T, is *is.I) {
		owner, other, atOwner, atOther := newMemberPair(t)
		atOther.dropReplies.Store(3)
		is.Equal(other.Submit(t.Context(), newJob(owner.Mint(1)[0], 1)).State, model.StateComplete)
		is.Equal(atOwner.runs.Load(), int32(1))
	})
}

func TestLookupReturnsCurrentStateAtAnyMember(t *testing.T) {
	withVirtualClock(t, func(t *testing.T, is *is.I) {
		owner, other, _, _ := newMemberPair(t)
		id := owner.Mint(1)[0]
		go owner.Submit(t.Context(), newJob(id, 1))
		synctest.Wait()
		is.Equal(other.Lookup(contextWithTimeout(t, 0), id).State, model.StateRunning)
		is.Equal(other.Lookup(contextWithTimeout(t, 100*time.Millisecond), id).State, model.StateRunning)
		is.Equal(other.Lookup(contextWithTimeout(t, time.Minute), id).State, model.StateComplete)
	})
}

func TestSubmitReportsMayHaveRunWhenOwnerGoneOrRestarted(t *testing.T) {
	withVirtualClock(t, func(t *testing.T, is *is.I) {
		owner, other, _, _ := newMemberPair(t)
		id := owner.Mint(1)[0]
		owner.Submit(t.Context(), newJob(id, 1))
		restarted, atOwner := newMember(t, other.peers.(*fake).members, "a")
		restarted.self.Incarnation, atOwner.node.Incarnation = "later", "later"
		is.Equal(other.Submit(t.Context(), newJob(id, 1)), model.Failed(id, model.MayHaveRun, model.ReasonOwnerRestarted))
		is.Equal(atOwner.runs.Load(), int32(0))
		delete(other.peers.(*fake).members, "a")
		is.Equal(other.Submit(t.Context(), newJob(id, 1)), model.Failed(id, model.MayHaveRun, model.ReasonOwnerLost))
	})
}

func TestJobContinuesWhenCallerDisconnects(t *testing.T) {
	withVirtualClock(t, func(t *testing.T, is *is.I) {
		owner, other, atOwner, _ := newMemberPair(t)
		id := owner.Mint(1)[0]
		ctx, cancel := context.WithCancel(t.Context())
		go other.Submit(ctx, newJob(id, 1))
		synctest.Wait()
		cancel()
		is.Equal(other.Submit(t.Context(), newJob(id, 1)).State, model.StateComplete)
		is.Equal(atOwner.runs.Load(), int32(1))
	})
}

func TestOutcomeIsKeptWhileIDCanStartJob(t *testing.T) {
	withVirtualClock(t, func(t *testing.T, is *is.I) {
		owner, _, atOwner, _ := newMemberPair(t)
		id := owner.Mint(1)[0]
		submit := func() model.Outcome { return owner.Submit(t.Context(), newJob(id, 1)) }
		is.Equal(submit().State, model.StateComplete)
		advanceClock(defaultAnswersMS * time.Millisecond)
		is.Equal(submit(), model.Failed(id, model.MayHaveRun, model.ReasonAnswerExpired))
		advanceClock(defaultTicketMS * time.Millisecond)
		is.Equal(owner.jobs.Len(), 0)
		is.Equal(submit(), model.Failed(id, model.MayHaveRun, model.ReasonExpired))
		is.Equal(atOwner.runs.Load(), int32(1))
	})
}

func TestReplansStayWithinRetryBudget(t *testing.T) {
	withVirtualClock(t, func(t *testing.T, is *is.I) {
		owner, _, atOwner, _ := newMemberPair(t)
		atOwner.run = refuseBatch
		const jobs = 100
		for range jobs {
			is.Equal(owner.Submit(t.Context(), newJob("", 1)).Run, model.NotRun)
		}
		retries := int(atOwner.runs.Load()) - jobs
		is.True(retries > 0)
		is.True(float64(retries) <= retrybudget.Capacity+jobs*atOwner.profile.RetryBudget)
	})
}

func TestUnresponsivePoolDoesNotDelayDeadline(t *testing.T) {
	withVirtualClock(t, func(t *testing.T, is *is.I) {
		owner, _, atOwner, _ := newMemberPair(t)
		atOwner.run = func(_ context.Context, b model.Batch) model.BatchResult {
			<-owner.baseCtx.Done()
			return model.BatchResult{ID: b.ID}
		}
		start := time.Now()
		outcome := owner.Submit(t.Context(), newJob("", 1))
		is.Equal(outcome.Reason, model.ReasonDeadline)
		is.Equal(outcome.Run, model.MayHaveRun)
		is.Equal(time.Since(start), 10*time.Second)
	})
}

func TestDrainRefusesNewJobsAndFinishesRunning(t *testing.T) {
	withVirtualClock(t, func(t *testing.T, is *is.I) {
		owner, other, atOwner, _ := newMemberPair(t)
		done := make(chan model.Outcome)
		go func() { done <- owner.Submit(t.Context(), newJob("", 1)) }()
		synctest.Wait()
		drained := make(chan struct{})
		go func() {
			owner.Drain(t.Context())
			close(drained)
		}()
		synctest.Wait()
		id := owner.Mint(1)[0]
		is.Equal(other.Submit(t.Context(), newJob(id, 1)), model.Failed(id, model.NotRun, model.ReasonDraining))
		is.Equal((<-done).State, model.StateComplete)
		<-drained
		is.Equal(atOwner.runs.Load(), int32(1))
	})
}

func TestUnknownServicesAndTeamsAreRefused(t *testing.T) {
	withVirtualClock(t, func(t *testing.T, is *is.I) {
		owner, _, atOwner, _ := newMemberPair(t)
		atOwner.profile.Quotas = map[model.TeamID]float64{"other": 1}
		is.Equal(owner.Submit(t.Context(), newJob("", 1)).Reason, model.ReasonUnknownTeam)
		atOwner.profile.Quotas, atOwner.loads = nil, nil
		is.Equal(owner.Submit(t.Context(), newJob("", 1)).Reason, model.ReasonNoEndpoint) // Within loadsWarmUp of the start.
		advanceClock(loadsWarmUp)
		outcome := owner.Submit(t.Context(), newJob("", 1))
		is.Equal(outcome.Reason, model.ReasonUnknownService)
		is.Equal(outcome.Run, model.NotRun)
		is.Equal(atOwner.runs.Load(), int32(0))
	})
}

func TestCancelBeforeSubmitPreventsRun(t *testing.T) {
	withVirtualClock(t, func(t *testing.T, is *is.I) {
		owner, other, atOwner, _ := newMemberPair(t)
		id := owner.Mint(1)[0]
		cancelled := model.Failed(id, model.NotRun, model.ReasonCancelled)
		is.Equal(other.Cancel(t.Context(), id), cancelled)
		is.Equal(owner.Submit(t.Context(), newJob(id, 2)), cancelled)
		is.Equal(atOwner.runs.Load(), int32(0))
	})
}

func TestProfileSetsDefaultAndMaxDeadline(t *testing.T) {
	withVirtualClock(t, func(t *testing.T, is *is.I) {
		owner, other, atOwner, atOther := newMemberPair(t)
		for _, f := range []*fake{atOwner, atOther} {
			f.profile.DefaultDeadline, f.profile.MaxDeadline = 500*time.Millisecond, 2*time.Second
		}
		tooLate := newJob(owner.Mint(1)[0], 1)
		tooLate.Deadline = time.Now().Add(3 * time.Second)
		is.Equal(other.Submit(t.Context(), tooLate), model.Failed(tooLate.ID, model.NotRun, model.ReasonDeadlineLimit))
		start := time.Now()
		withoutDeadline := newJob(owner.Mint(1)[0], 1)
		withoutDeadline.Deadline = time.Time{}
		is.Equal(other.Submit(t.Context(), withoutDeadline).Reason, model.ReasonDeadline)
		is.Equal(time.Since(start), 500*time.Millisecond)
	})
}

func TestForgedIDsAreRefused(t *testing.T) {
	is := is.New(t)
	owner, _, atOwner, _ := newMemberPair(t)
	parts, _ := owner.Mint(1)[0].Parse()
	parts.Sequence++
	forged := model.NewJobID(parts)
	is.Equal(owner.Submit(t.Context(), newJob(forged, 1)), model.Failed(forged, model.NotRun, model.ReasonUnknownJob))
	is.Equal(owner.Submit(t.Context(), newJob("x", 1)), model.Failed("x", model.NotRun, model.ReasonUnknownJob))
	is.Equal(atOwner.runs.Load(), int32(0))
}

// If the age of an id followed the wall clock, an id whose outcome has been removed could start its job
// again after the clock was set back.
func TestIDAgeFollowsMonotonicClock(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	g := newIDGenerator("a", "i", now)
	parts, _ := g.next(now).Parse()
	later := now.Add(time.Minute) // Keeps the monotonic reading, which Round would strip.
	is.Equal(g.age(parts, later), time.Minute)
	is.Equal(g.monotonicUnixMS(later)-g.monotonicUnixMS(now), time.Minute.Milliseconds())
}
