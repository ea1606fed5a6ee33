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

// fake is all ports that the Jobs of one member needs; calls between members arrive at once unless
// lose says that their replies are lost.
type fake struct {
	node     port.Node
	members  map[model.NodeID]*fake
	handlers map[string]port.Handler
	lose     atomic.Int32 // Calls whose replies are still to be lost.
	profile  model.Profile
	loads    []model.PoolLoad
	run      func(context.Context, model.Batch) model.BatchResult
	runs     atomic.Int32
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

func (f *fake) Learn(model.NodeID, string) {}

func (f *fake) Call(ctx context.Context, to model.NodeID, method string, request, reply any) port.Delivery {
	peer, known := f.members[to]
	if !known || ctx.Err() != nil {
		return port.NotSent
	}
	raw, _ := json.Marshal(request) // The wire types always encode.
	result, err := peer.handlers[method](ctx, f.node.ID, func(target any) error { return json.Unmarshal(raw, target) })
	if err != nil || ctx.Err() != nil || f.lose.Add(-1) >= 0 {
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

// answered ends a batch with an answer for each task after a second, unless it is cancelled.
func answered(ctx context.Context, b model.Batch) model.BatchResult {
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

func refused(_ context.Context, b model.Batch) model.BatchResult {
	return model.RefusedBatch(b.ID, model.ReasonOverload)
}

func newMember(t testing.TB, members map[model.NodeID]*fake, id model.NodeID) (*Jobs, *fake) {
	f := &fake{
		node: port.Node{ID: id, Incarnation: "i-" + model.Incarnation(id)}, members: members,
		handlers: make(map[string]port.Handler), profile: model.BuiltInProfile(), run: answered,
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

func pair(t *testing.T) (owner, other *Jobs, atOwner, atOther *fake) {
	members := make(map[model.NodeID]*fake)
	owner, atOwner = newMember(t, members, "a")
	other, atOther = newMember(t, members, "b")
	return owner, other, atOwner, atOther
}

func job(id model.JobID, tasks int) model.Job {
	j := model.Job{ID: id, Service: "finder", Team: "t", Deadline: time.Now().Add(10 * time.Second)}
	for i := range tasks {
		j.Tasks = append(j.Tasks, model.Task{Index: i})
	}
	return j
}

func inBubble(t *testing.T, test func(*testing.T, *is.I)) {
	synctest.Test(t, func(t *testing.T) { test(t, is.New(t)) })
}

// pass lets time pass on the bubble's clock.
func pass(d time.Duration) {
	<-time.After(d)
	synctest.Wait()
}

func within(t *testing.T, d time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(t.Context(), d)
	t.Cleanup(cancel)
	return ctx
}

func TestResendsRacingAtTwoMembersStartTheJobOnce(t *testing.T) {
	inBubble(t, func(t *testing.T, is *is.I) {
		owner, other, atOwner, _ := pair(t)
		id := owner.Mint(1)[0]
		outcomes := make(chan model.Outcome)
		for range 10 {
			go func() { outcomes <- owner.Submit(t.Context(), job(id, 2)) }()
			go func() { outcomes <- other.Submit(t.Context(), job(id, 2)) }()
		}
		for range 20 {
			is.Equal(len((<-outcomes).Answers), 2)
		}
		is.Equal(atOwner.runs.Load(), int32(1))
	})
}

func TestLostRepliesBetweenMembersAreAskedForAgain(t *testing.T) {
	inBubble(t, func(t *testing.T, is *is.I) {
		owner, other, atOwner, atOther := pair(t)
		atOther.lose.Store(3)
		is.Equal(other.Submit(t.Context(), job(owner.Mint(1)[0], 1)).State, model.StateComplete)
		is.Equal(atOwner.runs.Load(), int32(1))
	})
}

func TestLookupWithoutWaitIsAnsweredAtAnyMember(t *testing.T) {
	inBubble(t, func(t *testing.T, is *is.I) {
		owner, other, _, _ := pair(t)
		id := owner.Mint(1)[0]
		go owner.Submit(t.Context(), job(id, 1))
		synctest.Wait()
		is.Equal(other.Lookup(within(t, 0), id).State, model.StateRunning)
		is.Equal(other.Lookup(within(t, 100*time.Millisecond), id).State, model.StateRunning)
		is.Equal(other.Lookup(within(t, time.Minute), id).State, model.StateComplete)
	})
}

func TestOwnerThatIsGoneOrRestartedMayHaveRunTheJob(t *testing.T) {
	inBubble(t, func(t *testing.T, is *is.I) {
		owner, other, _, _ := pair(t)
		id := owner.Mint(1)[0]
		owner.Submit(t.Context(), job(id, 1))
		restarted, atOwner := newMember(t, other.peers.(*fake).members, "a")
		restarted.self.Incarnation, atOwner.node.Incarnation = "later", "later"
		is.Equal(other.Submit(t.Context(), job(id, 1)), model.Failed(id, model.MayHaveRun, model.ReasonOwnerRestarted))
		is.Equal(atOwner.runs.Load(), int32(0))
		delete(other.peers.(*fake).members, "a")
		is.Equal(other.Submit(t.Context(), job(id, 1)), model.Failed(id, model.MayHaveRun, model.ReasonOwnerLost))
	})
}

func TestJobGoesOnWhenItsCallerGoesAway(t *testing.T) {
	inBubble(t, func(t *testing.T, is *is.I) {
		owner, other, atOwner, _ := pair(t)
		id := owner.Mint(1)[0]
		ctx, leave := context.WithCancel(t.Context())
		go other.Submit(ctx, job(id, 1))
		synctest.Wait()
		leave()
		is.Equal(other.Submit(t.Context(), job(id, 1)).State, model.StateComplete)
		is.Equal(atOwner.runs.Load(), int32(1))
	})
}

func TestOutcomeIsNeverForgottenWhileItsIDCouldStartAJob(t *testing.T) {
	inBubble(t, func(t *testing.T, is *is.I) {
		owner, _, atOwner, _ := pair(t)
		id := owner.Mint(1)[0]
		again := func() model.Outcome { return owner.Submit(t.Context(), job(id, 1)) }
		is.Equal(again().State, model.StateComplete)
		pass(defaultAnswersMS * time.Millisecond)
		is.Equal(again(), model.Failed(id, model.MayHaveRun, model.ReasonAnswerExpired))
		pass(defaultTicketMS * time.Millisecond)
		is.Equal(owner.jobs.Len(), 0)
		is.Equal(again(), model.Failed(id, model.MayHaveRun, model.ReasonExpired))
		is.Equal(atOwner.runs.Load(), int32(1))
	})
}

func TestRefusedPartIsSentElsewhereWithinTheRetryBudget(t *testing.T) {
	inBubble(t, func(t *testing.T, is *is.I) {
		owner, _, atOwner, _ := pair(t)
		atOwner.run = refused
		const jobs = 100
		for range jobs {
			is.Equal(owner.Submit(t.Context(), job("", 1)).Run, model.NotRun)
		}
		retries := int(atOwner.runs.Load()) - jobs
		is.True(retries > 0)
		is.True(float64(retries) <= retrybudget.Reserve+jobs*atOwner.profile.RetryBudget)
	})
}

func TestSilentPoolCannotHoldAJobPastItsDeadline(t *testing.T) {
	inBubble(t, func(t *testing.T, is *is.I) {
		owner, _, atOwner, _ := pair(t)
		atOwner.run = func(_ context.Context, b model.Batch) model.BatchResult {
			<-owner.life.Done()
			return model.BatchResult{ID: b.ID}
		}
		begun := time.Now()
		outcome := owner.Submit(t.Context(), job("", 1))
		is.Equal(outcome.Reason, model.ReasonDeadline)
		is.Equal(outcome.Run, model.MayHaveRun)
		is.Equal(time.Since(begun), 10*time.Second)
	})
}

func TestDrainRefusesNewJobsTrulyAndEndsTheOthers(t *testing.T) {
	inBubble(t, func(t *testing.T, is *is.I) {
		owner, other, atOwner, _ := pair(t)
		done := make(chan model.Outcome)
		go func() { done <- owner.Submit(t.Context(), job("", 1)) }()
		synctest.Wait()
		drained := make(chan struct{})
		go func() {
			owner.Drain(t.Context())
			close(drained)
		}()
		synctest.Wait()
		id := owner.Mint(1)[0]
		is.Equal(other.Submit(t.Context(), job(id, 1)), model.Failed(id, model.NotRun, model.ReasonDraining))
		is.Equal((<-done).State, model.StateComplete)
		<-drained
		is.Equal(atOwner.runs.Load(), int32(1))
	})
}

func TestUnknownServicesAndTeamsAreRefused(t *testing.T) {
	inBubble(t, func(t *testing.T, is *is.I) {
		owner, _, atOwner, _ := pair(t)
		atOwner.profile.Quotas = map[model.TeamID]float64{"other": 1}
		is.Equal(owner.Submit(t.Context(), job("", 1)).Reason, model.ReasonUnknownTeam)
		atOwner.profile.Quotas, atOwner.loads = nil, nil
		is.Equal(owner.Submit(t.Context(), job("", 1)).Reason, model.ReasonNoEndpoint) // Too young to know.
		pass(loadsWarmUp)
		outcome := owner.Submit(t.Context(), job("", 1))
		is.Equal(outcome.Reason, model.ReasonUnknownService)
		is.Equal(outcome.Run, model.NotRun)
		is.Equal(atOwner.runs.Load(), int32(0))
	})
}

func TestCancellationThatOvertakesItsJobKeepsItFromRunning(t *testing.T) {
	inBubble(t, func(t *testing.T, is *is.I) {
		owner, other, atOwner, _ := pair(t)
		id := owner.Mint(1)[0]
		cancelled := model.Failed(id, model.NotRun, model.ReasonCancelled)
		is.Equal(other.Cancel(t.Context(), id), cancelled)
		is.Equal(owner.Submit(t.Context(), job(id, 2)), cancelled)
		is.Equal(atOwner.runs.Load(), int32(0))
	})
}

func TestDeadlinesFollowTheProfile(t *testing.T) {
	inBubble(t, func(t *testing.T, is *is.I) {
		owner, other, atOwner, atOther := pair(t)
		for _, f := range []*fake{atOwner, atOther} {
			f.profile.DefaultDeadline, f.profile.MaxDeadline = 500*time.Millisecond, 2*time.Second
		}
		late := job(owner.Mint(1)[0], 1)
		late.Deadline = time.Now().Add(3 * time.Second)
		is.Equal(other.Submit(t.Context(), late), model.Failed(late.ID, model.NotRun, model.ReasonDeadlineLimit))
		begun := time.Now()
		none := job(owner.Mint(1)[0], 1)
		none.Deadline = time.Time{}
		is.Equal(other.Submit(t.Context(), none).Reason, model.ReasonDeadline)
		is.Equal(time.Since(begun), 500*time.Millisecond)
	})
}

func TestIDsOfAnotherMakerAreRefused(t *testing.T) {
	is := is.New(t)
	owner, _, atOwner, _ := pair(t)
	parts, _ := owner.Mint(1)[0].Parse()
	parts.Sequence++
	forged := model.NewJobID(parts)
	is.Equal(owner.Submit(t.Context(), job(forged, 1)), model.Failed(forged, model.NotRun, model.ReasonUnknownJob))
	is.Equal(owner.Submit(t.Context(), job("x", 1)), model.Failed("x", model.NotRun, model.ReasonUnknownJob))
	is.Equal(atOwner.runs.Load(), int32(0))
}

func TestWallClockThatIsSetBackMakesNoIDYounger(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	m := newMint("a", "i", now)
	parts, _ := m.next(now).Parse()
	stepped := now.Add(time.Minute) // Monotonic reading; Round strips it, as a wall clock's would be.
	is.Equal(m.age(parts, stepped), time.Minute)
	is.Equal(m.clock(stepped)-m.clock(now), time.Minute.Milliseconds())
}
