package poolstate

import (
	"testing"

	"github.com/matryer/is"

	"redwingpulley/kernel/model"
	"redwingpulley/kernel/port"
)

// Guards against issue 29: a task was sent again and again to endpoints that refuse connections, since a refused start said nothing
// about the next one.
func TestEndpointThatRefusesConnectionsGetsNoWorkUntilItAnnouncesItself(t *testing.T) {
	is := is.New(t)
	h := newHarness(2, 2)
	s := h.submitRepeatable(4, model.Needs{}).Starts[0]
	h.step(Down{s.Endpoint})
	is.Equal(h.Load().Slots, 2) // Those of the other endpoint.
	fx := h.reply(s, port.TaskNotRun)
	is.True(fx.Starts[0].Endpoint != s.Endpoint)
	fx = h.reply(fx.Starts[0], port.TaskNotRun) // For another reason: the other endpoint is to be avoided, and this one is down.
	is.True(len(fx.Starts) == 0 || fx.Starts[0].Endpoint != s.Endpoint)
	h.announce(s.Endpoint, 2, model.EndpointServing)
	is.Equal(h.Load().Slots, 4)
}

// Guards against a run that is taken for ended since its endpoint refuses connections: a partition may refuse them.
func TestRunAtAnEndpointThatRefusesConnectionsHasNotEnded(t *testing.T) {
	is := is.New(t)
	h := newHarness(2, 2)
	s := h.submitRepeatable(4, model.Needs{}).Starts[0]
	fx := h.step(Down{s.Endpoint})
	is.Equal(len(fx.Starts)+len(fx.Ended)+len(fx.Released), 0)
	is.True(h.reply(s, port.TaskDone).Ended[0].Results[0].Done)
}

func TestOnlyKnownServingEndpointsAreDown(t *testing.T) {
	is := is.New(t)
	h := newHarness(2)
	is.True(h.Serves("a"))
	is.True(!h.Serves("unknown"))
	h.step(Down{"unknown"})
	h.step(Down{"a"})
	is.True(!h.Serves("a"))
}
