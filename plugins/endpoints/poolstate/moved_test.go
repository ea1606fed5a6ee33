package poolstate

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"redwingpulley/kernel/model"
	"redwingpulley/kernel/port"
)

// submitPart submits a part of one task of a core that may be repeated.
func (h *harness) submitPart(part int) Effects {
	return h.submitPartNeeding(part, model.Needs{MilliCores: 1000})
}

func (h *harness) submitPartNeeding(part int, needs model.Needs) Effects {
	return h.step(Submitted{model.Batch{
		ID: model.BatchID{Job: "n.i.1.1.t", Part: part}, Pool: finderPool, Team: "t", Deadline: h.now.Add(10 * time.Second),
		Key: "key", MaxFailures: 1, Tasks: []model.Task{{Index: part, Needs: needs}},
	}, model.BuiltInProfile()})
}

// TestAPoolThatMovedGivesBackWhatHasNotStarted was found on a day of planned restarts: jobs that waited
// in a pool stayed with its former owner, which may not use the leased endpoints any more, until they
// were too late.
func TestAPoolThatMovedGivesBackWhatHasNotStarted(t *testing.T) {
	is := is.New(t)
	h := newHarness()
	h.announceLeased("a", 1000)
	is.Equal(len(h.submitPart(0).Starts), 1)
	var waiting []model.BatchID
	for part := 1; part <= 3; part++ {
		h.submitPart(part)
		waiting = append(waiting, model.BatchID{Job: "n.i.1.1.t", Part: part})
	}
	h.step(Disowned{})
	fx := h.step(Moved{})
	is.Equal(len(fx.Ended), 3)
	for i, result := range fx.Ended {
		is.Equal(result.ID, waiting[i]) // In the order of their arrival.
		is.True(result.Refused)
		is.Equal(result.Reason, model.ReasonMoved)
	}
	is.Equal(h.Open(), 1) // The one that runs goes on.
	is.Equal(h.Load().Queued, 0)
}

// TestAPoolThatMovedKeepsWhatItCanServe: endpoints without a lease go on working for their former owner.
func TestAPoolThatMovedKeepsWhatItCanServe(t *testing.T) {
	is := is.New(t)
	h := newHarness(1)
	for part := range 2 {
		h.submitPartNeeding(part, model.Needs{})
	}
	is.Equal(h.Load().Queued, 1)
	h.step(Disowned{})
	is.Equal(len(h.step(Moved{}).Ended), 0)
}

// TestABatchThatWasStartedStaysWithItsOwner: only the owner that started a task knows what came of it.
func TestABatchThatWasStartedStaysWithItsOwner(t *testing.T) {
	is := is.New(t)
	h := newHarness()
	h.announceLeased("a", 1000)
	is.Equal(len(h.submitRepeatable(1, model.Needs{MilliCores: 1000}, model.Needs{MilliCores: 1000}).Starts), 1)
	h.step(Disowned{})
	is.Equal(len(h.step(Moved{}).Ended), 0)
}

// TestTheNextOwnerCountsWhatRunsForTheFormerOne has a leased endpoint handed over with a task that runs
// there: its slot is taken for a while, as after a refusal.
func TestTheNextOwnerCountsWhatRunsForTheFormerOne(t *testing.T) {
	is := is.New(t)
	former := newHarness()
	former.announceLeased("a", 2000)
	is.Equal(len(former.submitRepeatable(1, model.Needs{MilliCores: 1000}, model.Needs{MilliCores: 1000}).Starts), 2)

	next := newHarness()
	for _, e := range former.Handover() {
		next.step(Announced{e})
	}
	is.Equal(len(next.submitRepeatable(1, model.Needs{MilliCores: 1000}).Starts), 0) // Its two cores are taken.
	next.now = next.now.Add(blockedTime)
	is.Equal(len(next.step(Elapsed{}).Starts), 1)
}

// TestATaskThatFoundNoRoomWaitsUntilThereMayBeSome: what the endpoint has is in use by others, so that
// neither this task nor another as large is sent there at once; a smaller one is.
func TestATaskThatFoundNoRoomWaitsUntilThereMayBeSome(t *testing.T) {
	is := is.New(t)
	h := newHarness()
	h.announceLeased("a", 4000)
	first := h.submitPart(0).Starts[0]
	is.Equal(len(h.reply(first, port.TaskNoRoom).Starts), 0)
	is.Equal(len(h.submitPart(1).Starts), 0)
	is.Equal(len(h.submitPartNeeding(2, model.Needs{MilliCores: 500}).Starts), 1)
	h.now = h.now.Add(blockedTime)
	is.Equal(len(h.step(Elapsed{}).Starts), 2)
}
