package jobs

import (
	"context"
	"testing"

	"github.com/matryer/is"

	"redwingpulley/kernel/model"
)

// Guards against two runs of a task: the job's owner stood still, a pool refuses a part of the job afterwards, and the caller has sent
// the job to another member meanwhile.
func TestRefusedPartIsNotSentAgainAfterAPause(t *testing.T) {
	for _, pauses := range []uint64{0, 1} {
		withVirtualClock(t, func(t *testing.T, is *is.I) {
			owner, _, atOwner, _ := newMemberPair(t)
			atOwner.run = func(_ context.Context, b model.Batch) model.BatchResult {
				atOwner.pauses.Store(pauses)
				return model.RefusedBatch(b.ID, model.ReasonMoved)
			}
			outcome := owner.Submit(t.Context(), newJob("", 2))
			is.Equal(outcome.Run, model.NotRun)
			is.Equal(atOwner.runs.Load() == 1, pauses == 1) // Without a pause it is sent again.
		})
	}
}

// Guards against the same by a part that is ready to be sent when the pause begins.
func TestPartIsNotSentAfterAPause(t *testing.T) {
	withVirtualClock(t, func(t *testing.T, is *is.I) {
		owner, _, atOwner, _ := newMemberPair(t)
		job := newJob(owner.Mint(1)[0], 1)
		parts, _ := job.ID.Parse()
		e := owner.newEntry(job, owner.now(), owner.ticketLifetime())
		owner.jobs.Do(job.ID, func(jobs map[model.JobID]*entry) { jobs[job.ID] = e })
		atOwner.pauses.Add(1)
		owner.start(job)
		outcome := owner.submitOwned(t.Context(), job, parts)
		is.Equal(outcome, model.Failed(job.ID, model.NotRun, model.ReasonPaused))
		is.Equal(atOwner.runs.Load(), int32(0))
	})
}
