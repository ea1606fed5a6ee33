package poolstate

import (
	"math"
	"runtime"
	"testing"

	"github.com/matryer/is"

	"redwingpulley/kernel/model"
)

// Guards against issue 28: an announcement made its pool allocate memory in proportion to the slots that it named, at once.
func TestEndpointTakesMemoryOnlyForWhatItHasRun(t *testing.T) {
	is := is.New(t)
	h := newHarness()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	h.announce("e", 1<<24, model.EndpointServing)
	runtime.ReadMemStats(&after)
	is.True(after.TotalAlloc-before.TotalAlloc < 1<<20)
}

// Guards against an endpoint that is shut out for good: another writer has announced it with the largest number, or a later
// incarnation at its address.
func TestOddAnnouncementShutsItsEndpointOutOnlyForItsLease(t *testing.T) {
	endpoint := model.Endpoint{
		ID: "e@5", Service: "finder", Address: "10.0.0.1:1", Slots: 2, State: model.EndpointServing, Born: 5, Sequence: 1, Leased: true,
	}
	sequence, born := endpoint, endpoint
	sequence.Sequence = math.MaxUint64
	born.ID, born.Born = "odd@9", 9
	for _, odd := range []model.Endpoint{sequence, born} {
		is := is.New(t)
		h := newHarness()
		h.step(Announced{Endpoint: endpoint})
		h.step(Announced{Endpoint: odd})
		h.now = h.now.Add(DefaultEndpointLease)
		h.step(Elapsed{})
		endpoint.Sequence++
		h.step(Announced{Endpoint: endpoint})
		is.Equal(len(h.Endpoints()), 1)
		is.Equal(h.Endpoints()[0].Endpoint.ID, endpoint.ID)
	}
}
