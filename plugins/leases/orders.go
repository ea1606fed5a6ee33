package leases

import (
	"context"
	"time"

	"github.com/rcrowley/go-metrics"

	"redwingpulley/kernel/event"
	"redwingpulley/kernel/model"
	"redwingpulley/kernel/port"
	"redwingpulley/plugins/leases/lease"
)

// execute carries out the effects of a step.
func (l *Leases) execute(at port.EndpointIncarnation, fx lease.Effects) {
	l.report(at.ID, fx)
	if len(fx.ForwardEnds) > 0 {
		l.forwardEnds(at, fx.ForwardEnds)
	}
	for _, request := range fx.Settle {
		go l.settle(at, fx.Successor, request)
	}
	for _, run := range fx.SettleStops {
		go l.step(successorOf(at, fx.Successor), lease.StopRequested{Run: run})
	}
	if fx.FenceSuccessor {
		go l.step(successorOf(at, fx.Successor), lease.FenceRequested{})
	}
	for _, order := range fx.Starts {
		go l.sendStart(at, order)
	}
	for _, order := range fx.Stops {
		go l.sendStop(at, order)
	}
	if fx.Hold != nil {
		go l.sendHold(at, *fx.Hold)
	}
	if len(fx.ClaimQuery.Runs) > 0 {
		go l.queryClaims(at, fx.ClaimQuery)
	}
}

// report logs and counts what a step has changed about the lease and the runs of an endpoint.
func (l *Leases) report(endpoint model.EndpointID, fx lease.Effects) {
	if fx.Acquired {
		l.leasesTaken.Inc(1)
		event.LeaseTaken.Log(l.log, event.Text(event.Endpoint, endpoint))
	}
	if fx.Lost != "" {
		metrics.GetOrRegisterCounter("leases.lost."+string(fx.Lost), l.registry).Inc(1)
		event.LeaseLost.Log(l.log, event.Text(event.Endpoint, endpoint), event.Text(event.Reason, fx.Lost),
			event.Text(event.Successor, fx.Successor), event.Int(event.Runs, len(fx.Finished)))
	}
	for _, outcome := range fx.Finished {
		if outcome.State != port.TaskDone {
			l.runsWithoutResult.Inc(1)
		}
	}
}

// notifyObservers tells the observers which runs a step has found to be lost, and whether the endpoint is down.
func (l *Leases) notifyObservers(endpoint model.EndpointID, fx lease.Effects) {
	for _, o := range l.observers {
		if fx.Down {
			o.EndpointDown(endpoint)
		}
		for _, outcome := range fx.Finished {
			if outcome.State == port.TaskLost {
				o.RunLost(endpoint, outcome.Run, outcome.Cause)
			}
		}
		for _, loss := range fx.ForeignLosses {
			o.RunLost(endpoint, loss.Run, loss.Cause)
		}
	}
}

// sendStart sends a start order and applies its reply.
func (l *Leases) sendStart(at port.EndpointIncarnation, order port.StartOrder) {
	ctx, cancel := context.WithTimeout(l.baseCtx, l.orderTimeout())
	defer cancel()
	sentAt := time.Now()
	slow := l.watchStart(order.Run)
	reply := l.client.Start(ctx, at, order)
	if slow() && reply.State != port.OrderUnknown {
		for _, o := range l.observers {
			o.StartAnswered(order.Run)
		}
	}
	if reply.State == port.OrderUnknown {
		event.StartUnanswered.Log(l.log, event.Text(event.Endpoint, at.ID), event.Text(event.JobKey, order.Run.Key),
			event.Int(event.Task, order.Run.Index), event.Int(event.Attempt, order.Run.Attempt),
			event.MS(event.TookMS, time.Since(sentAt)), event.Text(event.Why, reply.Detail))
	}
	l.step(at, lease.StartReplied{Run: order.Run, Reply: reply})
}

// watchStart tells the observers when the start of a run has not been answered within slowStart. The function that it returns ends the watch
// and reports whether they have been told.
func (l *Leases) watchStart(run port.TaskRun) (end func() (told bool)) {
	told := make(chan struct{})
	timer := time.AfterFunc(slowStart, func() {
		defer close(told)
		for _, o := range l.observers {
			o.StartSlow(run)
		}
	})
	return func() bool {
		if timer.Stop() {
			return false
		}
		<-told
		return true
	}
}

// sendStop sends a stop order and applies its reply.
func (l *Leases) sendStop(at port.EndpointIncarnation, order port.StopOrder) {
	ctx, cancel := context.WithTimeout(l.baseCtx, l.orderTimeout())
	defer cancel()
	reply := l.client.StopRun(ctx, at, order)
	l.step(at, lease.StopReplied{Run: order.Run, Reply: reply})
}

// sendHold sends a hold and applies its reply.
func (l *Leases) sendHold(at port.EndpointIncarnation, order port.HoldOrder) {
	ctx, cancel := context.WithTimeout(l.baseCtx, l.orderTimeout()+order.Wait)
	defer cancel()
	reply := l.client.Hold(ctx, at, order)
	l.step(at, lease.HoldReplied{Reply: reply})
}

// settle waits for the outcome of a run at the incarnation that has replaced its endpoint, and applies it.
func (l *Leases) settle(at port.EndpointIncarnation, successor model.EndpointID, request lease.SettleRequested) {
	if outcome, ok := l.stepAndWait(l.baseCtx, successorOf(at, successor), request, request.Run); ok {
		l.step(at, lease.Settled{Outcome: outcome})
	}
}

// successorOf returns the incarnation of an endpoint that has replaced another one.
func successorOf(at port.EndpointIncarnation, successor model.EndpointID) port.EndpointIncarnation {
	at.ID = successor
	return at
}

// orderTimeout returns the timeout of an order, without the time for which an endpoint may delay its reply to a hold.
func (l *Leases) orderTimeout() time.Duration {
	return time.Duration(l.settings.OrderMS) * time.Millisecond
}
