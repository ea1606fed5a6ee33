package jobs

import (
	"context"
	"testing"

	"github.com/matryer/is"

	"redwingpulley/kernel/model"
)

// Guards against jobs that are planned to an evacuated data centre by a load that is older than the order, and against ones that wait
// or are refused for good when no data centre is left.
func TestEvacuatedDataCentresAreInNoPlan(t *testing.T) {
	withVirtualClock(t, func(t *testing.T, is *is.I) {
		j, f := newEvacuated(t, "sj1")
		var pools []model.PoolID
		f.run = func(ctx context.Context, b model.Batch) model.BatchResult {
			pools = append(pools, b.Pool)
			return answerAfterOneSecond(ctx, b)
		}
		is.Equal(j.Submit(t.Context(), newJob(j.Mint(1)[0], 1)).State, model.StateComplete)
		is.Equal(pools, []model.PoolID{{DataCentre: "sj2"}})
		f.evacuations["sj2"] = model.Evacuation{Active: true}
		refused := j.Submit(t.Context(), newJob(j.Mint(1)[0], 1))
		is.Equal(refused.Run, model.NotRun)
		is.Equal(refused.Reason, model.ReasonEvacuated)
		is.True(refused.RetryAfter > 0)
		is.Equal(len(pools), 1)
	})
}

// Guards against parts that are sent to another evacuated data centre, or charged to the retry budget, after an evacuation.
func TestPartRefusedForAnEvacuationIsReplannedWithoutCharge(t *testing.T) {
	withVirtualClock(t, func(t *testing.T, is *is.I) {
		j, f := newEvacuated(t, "")
		f.profile.RetryBudget = 0
		f.run = func(ctx context.Context, b model.Batch) model.BatchResult {
			if b.Pool.DataCentre == "sj1" {
				return model.RefusedBatch(b.ID, model.ReasonEvacuated)
			}
			return answerAfterOneSecond(ctx, b)
		}
		for range 40 { // More than the budget that a service starts with.
			is.Equal(j.Submit(t.Context(), newJob(j.Mint(1)[0], 1)).State, model.StateComplete)
		}
	})
}

// newEvacuated returns the Jobs of a member that knows pools in two data centres, one of which is evacuated.
func newEvacuated(t *testing.T, evacuated model.DataCentre) (*Jobs, *fake) {
	owner, _, atOwner, _ := newMemberPair(t)
	atOwner.loads = []model.PoolLoad{
		{Owner: "p", Pool: model.PoolID{DataCentre: "sj1"}, Slots: 8, Free: 8},
		{Owner: "q", Pool: model.PoolID{DataCentre: "sj2"}, Slots: 8, Free: 8},
	}
	atOwner.evacuations = map[model.DataCentre]model.Evacuation{evacuated: {Active: true}}
	return owner, atOwner
}
