package lease

import (
	"slices"
	"strconv"
	"time"

	"redwingpulley/kernel/model"
	"redwingpulley/kernel/port"
)

// fakeEndpoint implements the published endpoint protocol: it rejects older fencing tokens, limits the
// length of leases, and remembers which runs were stopped or have ended.
type fakeEndpoint struct {
	now         time.Time
	incarnation int       // Number of its restarts.
	born        time.Time // When the present incarnation started.
	token       uint64
	leaseEnd    time.Time
	running     map[port.TaskRun]bool
	finished    map[port.TaskRun]bool // Stopped or ended; such a run never starts again.
	startCounts map[port.TaskRun]int
	done        map[port.TaskRun]bool // Runs that ended with a result.
	unackedEnds []port.RunEnd
	grants      bool   // The lease of a start or hold counts from its arrival.
	endCount    uint64 // Number of the newest end.
}

func newFakeEndpoint() *fakeEndpoint {
	return &fakeEndpoint{
		now: startTime, born: startTime, running: make(map[port.TaskRun]bool), finished: make(map[port.TaskRun]bool),
		startCounts: make(map[port.TaskRun]int), done: make(map[port.TaskRun]bool),
	}
}

// restart ends all runs, and forgets them and all tokens. Orders keep reaching the endpoint.
func (e *fakeEndpoint) restart() {
	e.incarnation++
	e.born, e.token, e.leaseEnd = e.now, 0, time.Time{}
	e.endCount, e.unackedEnds = 0, nil
	clear(e.running)
	clear(e.finished)
}

// rejects reports whether a token is older than the newest one, and otherwise stores it.
func (e *fakeEndpoint) rejects(token uint64) bool {
	if token < e.token {
		return true
	}
	e.token = token
	return false
}

// expire ends all runs once the lease has expired.
func (e *fakeEndpoint) expire() {
	if e.now.Before(e.leaseEnd) {
		return
	}
	for _, id := range e.sortedRunning() {
		e.end(id, port.TaskLost)
	}
}

func (e *fakeEndpoint) sortedRunning() []port.TaskRun {
	var runs []port.TaskRun
	for id := range e.running {
		runs = append(runs, id)
	}
	slices.SortFunc(runs, func(a, b port.TaskRun) int { return a.Index - b.Index })
	return runs
}

func (e *fakeEndpoint) end(id port.TaskRun, how port.TaskState) {
	delete(e.running, id)
	e.finished[id] = true
	e.done[id] = how == port.TaskDone
	e.endCount++
	e.unackedEnds = append(e.unackedEnds, port.RunEnd{Number: e.endCount, Run: id, How: how})
}

// extend extends the lease until a time on the endpoint's clock, which is 2% slow. It never shortens the
// lease.
func (e *fakeEndpoint) extend(until int64) {
	if e.grants && until > 0 {
		until = max(until, e.clock()+testConfig.MaxLease.Milliseconds())
	}
	left := min(time.Duration(until-e.clock())*time.Millisecond, testConfig.MaxLease)
	if end := e.now.Add(time.Duration(float64(left) * (1 + maxClockDrift))); until > 0 && end.After(e.leaseEnd) {
		e.leaseEnd = end
	}
}

// clock returns the endpoint's clock in milliseconds; it is 2% slow.
func (e *fakeEndpoint) clock() int64 {
	return int64(float64(e.now.Sub(e.born).Milliseconds())/(1+maxClockDrift)) + 1000
}

func (e *fakeEndpoint) start(o port.StartOrder) port.OrderReply {
	e.expire()
	switch {
	case e.rejects(o.Token):
		return port.OrderReply{State: port.OrderFenced}
	case o.Until <= e.clock() && !e.grants:
		return port.OrderReply{State: port.OrderRefused, Clock: e.clock()}
	}
	e.extend(o.Until) // Also by a start that is refused below.
	switch {
	case e.running[o.Run]:
		return port.OrderReply{State: port.OrderDone, Clock: e.clock()}
	case e.finished[o.Run]:
		return port.OrderReply{State: port.OrderSuperseded, Clock: e.clock()}
	}
	e.running[o.Run] = true
	e.startCounts[o.Run]++
	return port.OrderReply{State: port.OrderDone, Clock: e.clock()}
}

func (e *fakeEndpoint) stop(o port.StopOrder) port.OrderReply {
	e.expire()
	if e.rejects(o.Token) {
		return port.OrderReply{State: port.OrderFenced}
	}
	if e.running[o.Run] {
		e.end(o.Run, port.TaskStopped)
	}
	e.finished[o.Run] = true
	return port.OrderReply{State: port.OrderDone, Clock: e.clock()}
}

// hold returns the lists of runs. It extends the lease and forgets ends also when it was meant for another incarnation.
func (e *fakeEndpoint) hold(incarnation int, o port.HoldOrder) port.HoldReply {
	e.expire()
	if e.rejects(o.Token) {
		return port.HoldReply{State: port.OrderFenced}
	}
	e.extend(o.Until)
	e.unackedEnds = slices.DeleteFunc(e.unackedEnds, func(end port.RunEnd) bool { return end.Number <= o.Seen })
	if incarnation != e.incarnation {
		return port.HoldReply{State: port.OrderOtherIncarnation, Incarnation: incarnationID(e.incarnation)}
	}
	return port.HoldReply{State: port.OrderDone, Clock: e.clock(), Running: e.sortedRunning(), Ended: slices.Clone(e.unackedEnds)}
}

func incarnationID(number int) model.EndpointID { return model.EndpointID(strconv.Itoa(number)) }
