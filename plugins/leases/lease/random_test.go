package lease

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"redwingpulley/kernel/port"
)

// fakeEndpoint is an endpoint after the published protocol: it fences, shortens leases, and remembers what
// was stopped or has ended.
type fakeEndpoint struct {
	now     time.Time
	token   uint64
	lease   time.Time
	running map[port.TaskRun]bool
	over    map[port.TaskRun]bool // Stopped or ended: never starts again.
	begun   map[port.TaskRun]int
	done    map[port.TaskRun]bool
	ended   []port.RunEnd
	ends    uint64
}

func (m *fakeEndpoint) fenced(token uint64) bool {
	if token < m.token {
		return true
	}
	m.token = token
	return false
}

// lapse ends what runs when the lease is over. The endpoint's clock is 2% slow.
func (m *fakeEndpoint) lapse() {
	if m.now.Before(m.lease) {
		return
	}
	for _, id := range m.sorted() {
		m.end(id, port.TaskLost)
	}
}

func (m *fakeEndpoint) sorted() []port.TaskRun {
	var all []port.TaskRun
	for id := range m.running {
		all = append(all, id)
	}
	slices.SortFunc(all, func(a, b port.TaskRun) int { return a.Index - b.Index })
	return all
}

func (m *fakeEndpoint) end(id port.TaskRun, how port.TaskState) {
	delete(m.running, id)
	m.over[id] = true
	m.done[id] = how == port.TaskDone
	m.ends++
	m.ended = append(m.ended, port.RunEnd{Number: m.ends, Run: id, How: how})
}

// extend takes a lease until a time on the endpoint's clock, which is 2% slow. It never shortens.
func (m *fakeEndpoint) extend(until int64) {
	left := min(time.Duration(until-m.clock())*time.Millisecond, config.Lease)
	if end := m.now.Add(time.Duration(float64(left) * (1 + clockError))); until > 0 && end.After(m.lease) {
		m.lease = end
	}
}

func (m *fakeEndpoint) clock() int64 {
	return int64(float64(m.now.Sub(start).Milliseconds())/(1+clockError)) + 1000
}

func (m *fakeEndpoint) start(o port.StartOrder) port.OrderReply {
	m.lapse()
	switch {
	case m.fenced(o.Token):
		return port.OrderReply{State: port.OrderFenced}
	case m.running[o.Run]:
		return port.OrderReply{State: port.OrderDone, Clock: m.clock()}
	case m.over[o.Run]:
		return port.OrderReply{State: port.OrderOld, Clock: m.clock()}
	}
	m.extend(o.Until)
	m.running[o.Run] = true
	m.begun[o.Run]++
	return port.OrderReply{State: port.OrderDone, Clock: m.clock()}
}

func (m *fakeEndpoint) stop(o port.StopOrder) port.OrderReply {
	m.lapse()
	if m.fenced(o.Token) {
		return port.OrderReply{State: port.OrderFenced}
	}
	if m.running[o.Run] {
		m.end(o.Run, port.TaskStopped)
	}
	m.over[o.Run] = true
	return port.OrderReply{State: port.OrderDone, Clock: m.clock()}
}

func (m *fakeEndpoint) hold(o port.HoldOrder) port.HoldReply {
	m.lapse()
	if m.fenced(o.Token) {
		return port.HoldReply{State: port.OrderFenced}
	}
	m.extend(o.Until)
	m.ended = slices.DeleteFunc(m.ended, func(e port.RunEnd) bool { return e.Number <= o.Seen })
	return port.HoldReply{State: port.OrderDone, Clock: m.clock(), Running: m.sorted(), Ended: slices.Clone(m.ended)}
}

// call is an order on its way: carried out at one time, answered at another or never.
type call struct {
	at      time.Time
	carry   func() Event // Carries the order out and returns its answer.
	lost    Event        // The answer that the holder gets when none comes.
	muted   bool
	pending Event
}

type world struct {
	t       *rapid.T
	now     time.Time
	model   *fakeEndpoint
	machine *Machine
	calls   []*call
	settled map[port.TaskRun]port.TaskState
	next    int
}

// step applies an event and puts the calls that follow from it on their way.
func (w *world) step(e Event) {
	fx := w.machine.Step(w.now, e)
	for _, s := range fx.Settled {
		w.check(s)
	}
	for _, o := range fx.Starts {
		w.send(func() Event { return StartEnded{o.Run, w.model.start(o)} }, StartEnded{o.Run, port.OrderReply{State: port.OrderUnknown}})
	}
	for _, o := range fx.Stops {
		w.send(func() Event { return StopEnded{o.Run, w.model.stop(o)} }, StopEnded{o.Run, port.OrderReply{State: port.OrderUnknown}})
	}
	if o := fx.Hold; o != nil {
		w.send(func() Event { return HoldEnded{w.model.hold(*o)} }, HoldEnded{port.HoldReply{State: port.OrderUnknown}})
	}
}

// send has a call arrive at once or late, with its answer or without.
func (w *world) send(carry func() Event, lost Event) {
	kind := rapid.IntRange(0, 9).Draw(w.t, "fate")
	c := &call{at: w.now.Add(time.Millisecond), carry: carry, lost: lost}
	switch kind {
	case 0: // Carried out, and its answer is lost.
		c.muted = true
	case 1: // Carried out seconds later.
		c.muted = true
		c.at = w.now.Add(time.Duration(rapid.IntRange(300, 4000).Draw(w.t, "late")) * time.Millisecond)
	case 2: // Never carried out.
		c.muted, c.carry = true, nil
	}
	if c.muted {
		w.calls = append(w.calls, &call{at: w.now.Add(200 * time.Millisecond), pending: lost})
	}
	w.calls = append(w.calls, c)
}

// check compares a settled run with what the endpoint did.
func (w *world) check(s Settled) {
	if former, twice := w.settled[s.Run]; twice {
		w.t.Fatalf("run %v was settled as %s and as %s", s.Run, former, s.State)
	}
	w.settled[s.Run] = s.State
	w.model.now = w.now
	w.model.lapse()
	switch {
	case s.State == port.TaskDone && !w.model.done[s.Run]:
		w.t.Fatalf("run %v is said to be done", s.Run)
	case (s.State == port.TaskNotRun || s.State == port.TaskNoRoom || s.State == port.TaskAway) && w.model.begun[s.Run] > 0:
		w.t.Fatalf("run %v is said not to have run", s.Run)
	case w.model.running[s.Run]:
		w.t.Fatalf("run %v is settled as %s while it runs", s.Run, s.State)
	}
}

// until lets time pass, with what arrives and what is due in its order.
func (w *world) until(end time.Time) {
	for {
		next, what := end, -1
		for i, c := range w.calls {
			if c.at.Before(next) {
				next, what = c.at, i
			}
		}
		wake, armed := w.machine.Wake(w.now)
		if armed && wake.Before(next) {
			w.now = maxTime(w.now, wake)
			w.step(Elapsed{})
			continue
		}
		if what < 0 {
			w.now = maxTime(w.now, end)
			return
		}
		w.now = maxTime(w.now, next)
		c := w.calls[what]
		w.calls = slices.Delete(w.calls, what, what+1)
		w.arrive(c)
	}
}

func (w *world) arrive(c *call) {
	w.model.now = w.now
	switch {
	case c.pending != nil:
		w.step(c.pending)
	case c.carry != nil:
		answer := c.carry()
		if !c.muted {
			w.step(answer)
		}
	}
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// TestRandomRuns checks what is said of runs against an endpoint that loses answers and carries orders
// out late. A longer run: -rapid.checks=100000 -rapid.seed=1.
func TestRandomRuns(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{t: t, now: start, machine: New(config), settled: make(map[port.TaskRun]port.TaskState), model: &fakeEndpoint{
			now: start, running: make(map[port.TaskRun]bool), over: make(map[port.TaskRun]bool),
			begun: make(map[port.TaskRun]int), done: make(map[port.TaskRun]bool),
		}}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "action") {
			case 0:
				w.next++
				w.step(Wanted{Run: nth(w.next)})
			case 1:
				if w.next > 0 {
					w.step(Unwanted{nth(rapid.IntRange(1, w.next).Draw(t, "run"))})
				}
			case 2:
				w.model.now = w.now
				w.model.lapse()
				if all := w.model.sorted(); len(all) > 0 {
					how := rapid.SampledFrom([]port.TaskState{port.TaskDone, port.TaskFailed}).Draw(t, "how")
					w.model.end(all[rapid.IntRange(0, len(all)-1).Draw(t, "which")], how)
				}
			}
			w.until(w.now.Add(time.Duration(rapid.IntRange(1, 600).Draw(t, "ms")) * time.Millisecond))
		}
		for id, count := range w.model.begun {
			if state := w.settled[id]; count > 1 || state == port.TaskNotRun || state == port.TaskNoRoom || state == port.TaskAway {
				t.Fatalf("run %v started %d times and was settled as %q", id, count, state)
			}
		}
		w.drain()
	})
}

// drain ends all that runs and checks that each run is settled.
func (w *world) drain() {
	for range 100 {
		w.model.now = w.now
		w.model.lapse()
		for _, id := range w.model.sorted() {
			w.model.end(id, port.TaskDone)
		}
		w.until(w.now.Add(500 * time.Millisecond))
		if len(w.settled) == w.next {
			return
		}
	}
	w.t.Fatal(fmt.Sprintf("%d of %d runs are settled", len(w.settled), w.next))
}
