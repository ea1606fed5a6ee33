package poolstate

import (
	"testing"

	"github.com/matryer/is"

	"redwingpulley/kernel/model"
)

func TestExpiredLeaseTakesEffectBeforeItsTimerFires(t *testing.T) {
	is := is.New(t)
	h := newHarness(2)
	h.now = start.Add(DefaultEndpointLease) // The process was paused, so Elapsed is late.
	fx := h.submit("j", "t", 1)
	is.Equal(len(fx.Starts), 0)
	is.True(fx.Ended[0].Refused)
}

func TestLateAnnouncementRenewsTheLease(t *testing.T) {
	is := is.New(t)
	h := newHarness(1)
	is.Equal(len(h.submit("j", "t", 1).Starts), 1)
	h.now = start.Add(DefaultEndpointLease)
	is.Equal(len(h.announce("a", 1, model.EndpointServing).Revokes), 0)
}

func TestHandoverListsRunningTasks(t *testing.T) {
	is := is.New(t)
	h := newHarness(2)
	h.submit("j", "t", 3)
	all := h.Handover()
	is.Equal(len(all), 1)
	is.Equal(len(all[0].Running), 2)
	is.Equal(h.OpenBatches(), 1)
	next := newHarness()
	next.step(Announced{Endpoint: all[0]})
	is.Equal(len(next.submit("k", "t", 1).Starts), 0) // The next owner counts the slots as taken.
}
