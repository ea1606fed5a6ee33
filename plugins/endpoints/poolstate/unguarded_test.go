package poolstate

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"redwingpulley/kernel/model"
)

// Guards against LIMIT at endpoints that do not guard their capacity: the pool's next owner assumes for a short time only that runs of
// the former one use resources, and starts tasks beside runs that go on for longer.
func TestNextOwnerStartsNothingOverTheCapacityWhileARunOfTheFormerOneGoesOn(t *testing.T) {
	is := is.New(t)
	former, next := newHarness(), newHarness()
	former.step(Announced{Endpoint: model.Endpoint{
		ID: "e@1", Service: "finder", Address: "10.0.0.1:1", Slots: 8, Has: model.Needs{MilliCores: 1000},
		State: model.EndpointServing, Born: 1, Sequence: 1, Leased: true,
	}})
	needs := model.Needs{MilliCores: 600}
	is.Equal(len(former.submitPatient(needs).Starts), 1)
	for _, e := range former.Handover() {
		next.step(Announced{Endpoint: e})
	}
	next.now = next.now.Add(2 * blockedTime) // The former owner's run goes on.
	next.step(Elapsed{})
	fx := next.submitPatient(needs)
	is.Equal(len(fx.Starts), 0)
	next.now = next.now.Add(time.Second)
	is.Equal(len(next.step(Elapsed{}).Starts), 0)
}
