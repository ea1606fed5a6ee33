package poolstate

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"redwingpulley/kernel/model"
	"redwingpulley/kernel/port"
)

// TestAnEndpointThatAnotherMemberHoldsIsLeftAloneUntilItAnnouncesItself keeps two members that both
// believe to own a pool from taking its endpoints from each other by turns: the one that gets no
// announcements any more, since it is cut off, does not take them back.
func TestAnEndpointThatAnotherMemberHoldsIsLeftAloneUntilItAnnouncesItself(t *testing.T) {
	is := is.New(t)
	h := newHarness()
	h.announceLeased("a", 2000)
	s := h.submitRepeatable(1, model.Needs{MilliCores: 1000}).Starts[0]
	fx := h.reply(s, port.TaskAway)
	is.Equal(len(fx.Starts)+len(fx.Ended), 0)
	is.Equal(h.Load().Slots, 0)
	h.now = h.now.Add(time.Second)
	is.Equal(len(h.step(Elapsed{}).Starts), 0)
	fx = h.announceLeased("a", 2000)
	is.Equal(len(fx.Starts), 1)
	is.Equal(fx.Starts[0].Attempt, 2)
}

// TestAPoolThatWasNotOwnedForAWhileWaitsForAnnouncements was found on a day on which an endpoint said
// that it leaves while another member owned its pool: the former owner got the pool back and sent
// tasks to the endpoint as it had known it.
func TestAPoolThatWasNotOwnedForAWhileWaitsForAnnouncements(t *testing.T) {
	is := is.New(t)
	h := newHarness(1)
	h.announceLeased("z", 2000)
	is.Equal(h.Load().Slots, 9)
	h.step(Disowned{})
	is.Equal(h.Load().Slots, 1) // The endpoint without a lease lists its own tasks.
	is.Equal(len(h.Handover()), 1)
	h.announceLeased("z", 2000)
	is.Equal(h.Load().Slots, 9)
}
