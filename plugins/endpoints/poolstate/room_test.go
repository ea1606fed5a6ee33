package poolstate

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"redwingpulley/kernel/model"
	"redwingpulley/kernel/port"
)

// submitUrgent submits a part of a job whose tasks, each with the same needs, must not wait.
func (h *harness) submitUrgent(tasks, milliCores int) Effects {
	b := h.batchNeeding(tasks, milliCores)
	b.ID.Job = "u" + b.ID.Job
	b.MaxWait = time.Millisecond
	return h.step(Submitted{b, model.BuiltInProfile()})
}

// endAll ends the tasks of the starts.
func (h *harness) endAll(starts []Start) {
	for _, s := range starts {
		h.reply(s, port.TaskDone)
	}
}

// Guards against issue 24: idle endpoints counted as one free slot or as two, by the needs of the last few jobs.
func TestFreeSlotsDoNotChangeWithEachJob(t *testing.T) {
	is := is.New(t)
	h := newHarness()
	for i := range 4 {
		h.announceLeased(model.EndpointID(strconv.Itoa(i)), 16000)
	}
	random := rand.New(rand.NewPCG(1, 1))
	for job := range 500 {
		h.endAll(h.submitNeeding(1, 6500+random.IntN(3000)).Starts)
		if learned := job > 100; learned {
			is.Equal(h.Load().Free, 8)
		}
	}
}

// Guards against issue 24: a part was refused as busy although its tasks fitted, or taken although they had to wait, since
// the room was counted for other tasks.
func TestRoomIsCountedForTheTasksOfTheJob(t *testing.T) {
	is := is.New(t)
	h := newHarness()
	h.announceLeased("a", 16000)
	for range 100 {
		starts := h.submitNeeding(1, 8500).Starts
		h.now = h.now.Add(20 * time.Millisecond)
		h.endAll(starts)
	}
	small := h.submitUrgent(2, 7500)
	is.Equal(len(small.Starts), 2)
	h.endAll(small.Starts)
	large := h.submitUrgent(2, 8500)
	is.Equal(len(large.Ended), 1)
	is.Equal(large.Ended[0].Reason, model.ReasonBusy)
}
