package leases

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"redwingpulley/kernel/port"
)

// slowEndpoint answers starts after a time, with the given state.
type slowEndpoint struct {
	port.LeasedEndpoints
	after time.Duration
	state port.OrderState
}

func (e slowEndpoint) Start(context.Context, port.EndpointIncarnation, port.StartOrder) port.OrderReply {
	time.Sleep(e.after) // On the virtual clock.
	return port.OrderReply{State: e.state}
}

// startObserver counts what it is told of starts.
type startObserver struct {
	port.EndpointObserver
	slow, answered int
}

func (o *startObserver) StartSlow(port.TaskRun)     { o.slow++ }
func (o *startObserver) StartAnswered(port.TaskRun) { o.answered++ }

// Guards against a start that may be carried out late, and of which no other member knows when its own dies (review/7), and against
// messages for starts that are answered at once.
func TestObserversAreToldOfStartsThatAreNotAnsweredAtOnce(t *testing.T) {
	for _, c := range []struct {
		after          time.Duration
		state          port.OrderState
		slow, answered int
	}{
		{slowStart - time.Millisecond, port.OrderDone, 0, 0},
		{slowStart + time.Millisecond, port.OrderDone, 1, 1},
		{slowStart + time.Millisecond, port.OrderFenced, 1, 1},
		{defaultOrderTime, port.OrderUnknown, 1, 0},
	} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			l := newLeases(t, slowEndpoint{after: c.after, state: c.state})
			o := &startObserver{}
			l.observers = append(l.observers, o)
			l.sendStart(port.EndpointIncarnation{ID: firstIncarnation}, port.StartOrder{})
			synctest.Wait()
			is.Equal([]int{o.slow, o.answered}, []int{c.slow, c.answered})
		})
	}
}

const defaultOrderTime = 200 * time.Millisecond
