package endpoints

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"redwingpulley/kernel/model"
	"redwingpulley/kernel/port"
)

// profilesHook calls before when a profile is read, as the submission of a batch does.
type profilesHook struct {
	port.Profiles
	before func()
}

func (h profilesHook) Current() (profiles model.ProfileSet, known bool) {
	h.before()
	return h.Profiles.Current()
}

// Guards against a batch that runs to its end, so that its tasks overlap those of a resent job, because the order to cancel it
// arrived between its request and its submission to the pool.
func TestBatchIsCancelledByAnOrderThatArrivesBeforeItsSubmission(t *testing.T) {
	withVirtualClock(t, func(t *testing.T, is *is.I) {
		_, origin, owner, atOwner := newPair(t)
		r := useRuns(atOwner)
		batch := repeatableBatch()
		e := origin.envelope(origin.open(owner1))
		ordered := false // The steps of the pool read the profiles too.
		owner.profiles = profilesHook{owner.profiles, func() {
			if ordered {
				return
			}
			ordered = true
			owner.handleCancel(t.Context(), "origin", batchRef{e, batch.ID, batch.Pool})
		}}
		go owner.handleRun(t.Context(), "origin", encodeBatch(e, batch))
		time.Sleep(runTime / 2) // On the virtual clock: longer than a stop takes, shorter than the runs.
		atWork := r.atWork()
		time.Sleep(runTime) // On the virtual clock: the runs have ended by themselves.
		is.Equal(atWork, 0)
	})
}
