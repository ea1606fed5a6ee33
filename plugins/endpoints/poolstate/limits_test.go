package poolstate

import (
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
