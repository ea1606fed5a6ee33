package poolstate

import (
	"testing"

	"github.com/matryer/is"

	"redwingpulley/kernel/model"
)

// Guards against late starts of a dead member at an endpoint that was silent when the member departed.
func TestEndpointThatWasSilentWhenAHolderDepartedIsFencedWhenItAnnouncesItself(t *testing.T) {
	is := is.New(t)
	for _, occupied := range []bool{false, true} {
		h := newHarness()
		both := []Origin{{Node: "a", Incarnation: "1"}, {Node: "b", Incarnation: "1"}}
		h.step(Owners{Live: both, Holders: both})
		h.announceLeased("e", 2000)
		if occupied {
			h.submitRepeatable(1, model.Needs{MilliCores: 1000})
		}
		h.now = h.now.Add(2 * DefaultEndpointLease)
		h.step(Elapsed{})
		h.step(Owners{Live: both[:1], Holders: both[:1]})
		t.Log(occupied, len(h.endpoints))
		is.Equal(len(h.announceLeased("e", 2000).Fences), 1)
	}
}
