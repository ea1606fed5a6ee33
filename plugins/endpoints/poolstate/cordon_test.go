package poolstate

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"redwingpulley/kernel/model"
	"redwingpulley/kernel/port"
)

// TestEndpointLeasedElsewhereGetsNoWorkUntilItAnnounces guards against two members that both believe
// they own a pool and take its endpoints from each other in turns: the one that is partitioned, and so
// gets no announcements any more, must not take them back.
func TestEndpointLeasedElsewhereGetsNoWorkUntilItAnnounces(t *testing.T) {
	is := is.New(t)
	h := newHarness()
	h.announceLeased("a", 2000)
	s := h.submitRepeatable(1, model.Needs{MilliCores: 1000}).Starts[0]
	fx := h.reply(s, port.TaskLeasedElsewhere)
	is.Equal(len(fx.Starts)+len(fx.Ended), 0)
	is.Equal(h.Load().Slots, 0)
	h.now = h.now.Add(time.Second)
	is.Equal(len(h.step(Elapsed{}).Starts), 0)
	fx = h.announceLeased("a", 2000)
	is.Equal(len(fx.Starts), 1)
	is.Equal(fx.Starts[0].Attempt, 2)
}

// TestDisownedPoolWaitsForAnnouncements guards against acting on outdated announcements: an endpoint
// announced that it was leaving while another member owned its pool, and the former owner, which got
// the pool back, still sent it tasks.
func TestDisownedPoolWaitsForAnnouncements(t *testing.T) {
	is := is.New(t)
	h := newHarness(1)
	h.announceLeased("z", 2000)
	is.Equal(h.Load().Slots, 9)
	h.step(Disowned{})
	is.Equal(h.Load().Slots, 1) // Only the slot of the endpoint without a lease, which lists its own tasks.
	is.Equal(len(h.Handover()), 1)
	h.announceLeased("z", 2000)
	is.Equal(h.Load().Slots, 9)
}
