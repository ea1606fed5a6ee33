package poolstate

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"redwingpulley/kernel/model"
	"redwingpulley/kernel/port"
)

// submitPart submits a part with one task that needs one core and may run again if its run is lost.
func (h *harness) submitPart(part int) Effects {
	return h.submitPartNeeding(part, model.Needs{MilliCores: 1000})
}

func (h *harness) submitPartNeeding(part int, needs model.Needs) Effects {
	return h.step(Submitted{model.Batch{
		ID: model.BatchID{Job: "n.i.1.1.t", Part: part}, Pool: finderPool, Team: "t", Deadline: h.now.Add(10 * time.Second),
		Key: "key", MaxFailures: 1, Tasks: []model.Task{{Index: part, Needs: needs}},
	}, model.BuiltInProfile()})
}

// TestMovedPoolRefusesBatchesNotStarted guards against jobs that miss their deadlines after a planned
// restart: they stayed queued at the pool's former owner, which may no longer use the leased endpoints.
func TestMovedPoolRefusesBatchesNotStarted(t *testing.T) {
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
		is.Equal(result.ID, waiting[i]) // Refused in the order of their arrival.
		is.True(result.Refused)
		is.Equal(result.Reason, model.ReasonMoved)
	}
	is.Equal(h.OpenBatches(), 1) // The batch that has started goes on.
	is.Equal(h.Load().Queued, 0)
}

// TestMovedPoolKeepsBatchesItCanServe checks that queued batches stay while there are endpoints without
// a lease, since these go on working for their former owner.
func TestMovedPoolKeepsBatchesItCanServe(t *testing.T) {
	is := is.New(t)
	h := newHarness(1)
	for part := range 2 {
		h.submitPartNeeding(part, model.Needs{})
	}
	is.Equal(h.Load().Queued, 1)
	h.step(Disowned{})
	is.Equal(len(h.step(Moved{}).Ended), 0)
}

// TestMovedPoolKeepsStartedBatches checks that a batch with a started task stays with the owner that
// started it, since only that owner learns the task's outcome.
func TestMovedPoolKeepsStartedBatches(t *testing.T) {
	is := is.New(t)
	h := newHarness()
	h.announceLeased("a", 1000)
	is.Equal(len(h.submitRepeatable(1, model.Needs{MilliCores: 1000}, model.Needs{MilliCores: 1000}).Starts), 1)
	h.step(Disowned{})
	is.Equal(len(h.step(Moved{}).Ended), 0)
}

// TestNextOwnerCountsTasksOfFormerOwner hands over a leased endpoint with running tasks: their slots and
// resources count as taken for blockedTime, as after a refusal.
func TestNextOwnerCountsTasksOfFormerOwner(t *testing.T) {
	is := is.New(t)
	former := newHarness()
	former.announceLeased("a", 2000)
	is.Equal(len(former.submitRepeatable(1, model.Needs{MilliCores: 1000}, model.Needs{MilliCores: 1000}).Starts), 2)

	next := newHarness()
	for _, e := range former.Handover() {
		next.step(Announced{Endpoint: e})
	}
	is.Equal(len(next.submitRepeatable(1, model.Needs{MilliCores: 1000}).Starts), 0) // The endpoint's two cores are taken.
	next.now = next.now.Add(blockedTime)
	is.Equal(len(next.step(Elapsed{}).Starts), 1)
}

// TestTaskRefusedForNoRoomWaitsBeforeItIsRetried checks that, after a refusal for lack of room, neither
// the task nor another as large is sent to the endpoint for blockedTime, while a smaller one is.
func TestTaskRefusedForNoRoomWaitsBeforeItIsRetried(t *testing.T) {
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
