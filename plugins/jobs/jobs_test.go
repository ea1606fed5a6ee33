package jobs

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"redwingpulley/kernel/model"
	"redwingpulley/kernel/port"
	"redwingpulley/plugins/jobs/retrybudget"
)

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

// Guards against jobs that are planned to an evacuated data centre by a load that is older than the order, against parts refused there
// that are charged to the retry budget, against jobs that are refused for good when no data centre is left, and against advice to
// return for jobs that would not fit without the evacuation either.
func TestJobsAreNotPlannedToEvacuatedDataCentres(t *testing.T) {
	withVirtualClock(t, func(t *testing.T, is *is.I) {
		j, _, f, _ := newMemberPair(t)
		f.loads[0].Pool.DataCentre, f.profile.RetryBudget = "sj1", 0
		f.run = func(ctx context.Context, b model.Batch) model.BatchResult {
			if b.Pool.DataCentre == "sj1" {
				return model.RefusedBatch(b.ID, model.ReasonEvacuated)
			}
			return answerAfterOneSecond(ctx, b)
		}
		for range 40 { // More than the budget that a service starts with.
			is.Equal(j.Submit(t.Context(), newJob(j.Mint(1)[0], 1)).State, model.StateComplete)
		}
		f.evacuations = map[model.DataCentre]model.Evacuation{"sj1": {Active: true}}
		f.runs.Store(0)
		is.Equal(j.Submit(t.Context(), newJob(j.Mint(1)[0], 1)).State, model.StateComplete)
		is.Equal(f.runs.Load(), int32(1))
		tooLong, large := newJob(j.Mint(1)[0], 1), newJob(j.Mint(1)[0], 1)
		tooLong.Tasks[0].Declared, large.Tasks[0].Needs.MilliCores = time.Hour, 1000
		f.loads[0].Endpoints = 1
		is.Equal(j.Submit(t.Context(), tooLong).Reason, model.ReasonNeverFits)
		is.Equal(j.Submit(t.Context(), large).Reason, model.ReasonNeverFits)
		f.loads[0].Largest.MilliCores, large.ID = 1000, j.Mint(1)[0]
		is.Equal(j.Submit(t.Context(), large).Reason, model.ReasonEvacuated)
		f.evacuations[""] = model.Evacuation{Active: true} // The data centre of the other pool.
		refused := j.Submit(t.Context(), newJob(j.Mint(1)[0], 1))
		is.Equal(refused.Run, model.NotRun)
		is.Equal(refused.Reason, model.ReasonEvacuated)
		is.True(refused.RetryAfter > 0)
	})
}

// Load: more demand than slots. Guards against a job that is sent to pools although it can't end while its answer is of use, and
// against one that is sent from one full pool to the next until the retry budget is used up, and against advice to return at once, or
// after the caller has given up.
func TestJobIsRefusedAtOnceWhenNoPoolHasRoomInTime(t *testing.T) {
	withVirtualClock(t, func(t *testing.T, is *is.I) {
		owner, _, atOwner, _ := newMemberPair(t)
		atOwner.run = refuseBatch
		submit := func(waits port.Plan) (runs int32) {
			atOwner.waits = waits
			before := atOwner.runs.Load()
			job := newJob("", 1)
			job.Objective = model.Objective{Stretch: 1.6, Slack: 60 * time.Millisecond, Useful: 3} // Of use for 180 ms.
			outcome := owner.Submit(t.Context(), job)
			is.Equal(outcome.Run, model.NotRun)
			is.Equal(outcome.Reason, model.ReasonOverload)
			if waits.LeastWait > 0 {
				is.True(outcome.RetryAfter >= model.MinRetryAfter && outcome.RetryAfter <= model.MaxRetryAfter)
			}
			return atOwner.runs.Load() - before
		}
		is.Equal(submit(port.Plan{Wait: 200 * time.Millisecond, LeastWait: 200 * time.Millisecond}), int32(0))
		is.Equal(submit(port.Plan{Wait: time.Minute, LeastWait: time.Minute}), int32(0))
		is.Equal(submit(port.Plan{Wait: 181 * time.Millisecond, LeastWait: 181 * time.Millisecond}), int32(0))
		is.Equal(submit(port.Plan{Wait: 100 * time.Millisecond}), int32(1))
		is.Equal(submit(port.Plan{Wait: 50 * time.Millisecond}), int32(2)) // The other pool has room in time.
	})
}
