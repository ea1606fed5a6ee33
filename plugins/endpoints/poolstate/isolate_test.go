package poolstate

import (
	"testing"

	"github.com/matryer/is"

	"redwingpulley/kernel/model"
	"redwingpulley/kernel/port"
)

// Guards against issue 29: a task that crashes its endpoint took the tasks beside it down each time that it was started. With the
// first crash all of them are isolated; each then runs alone, so that the second crash tells which one is to blame.
func TestIsolatedTaskRunsAloneAtItsEndpoint(t *testing.T) {
	is := is.New(t)
	h := newHarness(4, 4, 4)
	culprit, innocent := h.submitPatient(model.Needs{}).Starts[0], h.submitPatient(model.Needs{}).Starts[0]
	first := append(h.lose(culprit, port.LossCrashed).Starts, h.lose(innocent, port.LossCrashed).Starts...)
	is.Equal(len(first), 1) // Three endpoints: isolated tasks may hold one.
	for range 8 {
		for _, s := range h.submitPatient(model.Needs{}).Starts {
			is.True(s.Endpoint != first[0].Endpoint)
		}
	}
	h.step(Down{first[0].Endpoint})
	fx := h.lose(first[0], port.LossCrashed) // The culprit's second.
	is.Equal(fx.Ended[0].Results[0].Reason, model.ReasonEndpointsCrashed)
	is.Equal(len(fx.Starts), 0) // The endpoint that it has crashed counts until it is back.
	fx = h.announce(first[0].Endpoint, 4, model.EndpointServing)
	is.Equal(fx.Starts[0].Task.Job(), innocent.Task.Job())
	is.True(h.reply(fx.Starts[0], port.TaskDone).Ended[0].Results[0].Done)
}

// Guards against isolated tasks that wait for ever in a busy pool: no endpoint is idle by itself.
func TestEndpointIsReservedForAnIsolatedTask(t *testing.T) {
	is := is.New(t)
	h := newHarness(2, 2)
	isolated := h.submitPatient(model.Needs{}).Starts[0]
	running := map[model.EndpointID][]Start{}
	for range 3 {
		s := h.submitPatient(model.Needs{}).Starts[0]
		running[s.Endpoint] = append(running[s.Endpoint], s)
	}
	fx := h.lose(isolated, port.LossCrashed)
	is.Equal(len(fx.Starts), 0)
	waiting := h.submitPatient(model.Needs{}) // It gets the slot that the lost run has left, unless that is reserved.
	for _, s := range waiting.Starts {
		running[s.Endpoint] = append(running[s.Endpoint], s)
	}
	for id, starts := range running {
		if id == isolated.Endpoint {
			continue
		}
		for _, s := range starts {
			fx = h.reply(s, port.TaskDone)
		}
	}
	is.Equal(fx.Starts[0].Task, isolated.Task) // Alone, before any other.
	is.Equal(len(fx.Starts), 1)
}

// Guards against a class or caller that takes a pool down: isolated tasks, and the endpoints lost under them, hold a bounded part of it.
func TestIsolatedTasksHoldABoundedPartOfThePool(t *testing.T) {
	is := is.New(t)
	const endpoints = 12
	slots := make([]int, endpoints)
	for i := range slots {
		slots[i] = 1
	}
	h := newHarness(slots...)
	isolated := 0
	for range endpoints {
		fx := h.submitPatient(model.Needs{})
		is.Equal(len(fx.Starts), 1)
		again := h.lose(fx.Starts[0], port.LossCrashed).Starts
		isolated += len(again)
		for _, s := range again {
			h.step(Down{s.Endpoint})
			h.lose(s, port.LossCrashed)
		}
	}
	is.Equal(isolated, endpoints/endpointsPerIsolated)
}
