package lease

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"redwingpulley/kernel/model"
	"redwingpulley/kernel/port"
)

// resendAfter is the time after which the caller of a member that has died sends its job again.
const resendAfter = 1300 * time.Millisecond

// membersSimulation connects the machines of several members to one fakeEndpoint. Orders, queries for claims and
// forwarded ends are lost or late at random; a member can die.
type membersSimulation struct {
	t        *rapid.T
	now      time.Time
	endpoint *fakeEndpoint
	members  map[model.NodeID]*Machine
	diedAt   map[model.NodeID]time.Time
	pending  []delivery
	owners   map[port.TaskRun]model.NodeID // The member that has requested the run.
	stopped  map[port.TaskRun]time.Time    // When that member was first told to stop it.
	finished map[port.TaskRun]bool
	// unansweredOrders is how many of eight starts and holds get no answer, and unansweredStops the same for stops.
	unansweredOrders, unansweredStops int
}

// delivery is something that happens at a time, unless the member has died.
type delivery struct {
	at  time.Time
	to  model.NodeID // "" for the endpoint.
	run func()
}

func newMembersSimulation(t *rapid.T) *membersSimulation {
	s := &membersSimulation{
		t: t, now: startTime, endpoint: newFakeEndpoint(), members: make(map[model.NodeID]*Machine),
		diedAt: make(map[model.NodeID]time.Time), owners: make(map[port.TaskRun]model.NodeID), finished: make(map[port.TaskRun]bool),
		stopped: make(map[port.TaskRun]time.Time), unansweredOrders: rapid.IntRange(1, 6).Draw(t, "lossy"),
		unansweredStops: rapid.IntRange(1, 8).Draw(t, "noStops"),
	}
	for i, id := range []model.NodeID{"a", "b", "c"} {
		config := testConfig
		config.HolderID = uint64(i + 1)
		s.members[id] = New(config)
	}
	return s
}

func (s *membersSimulation) alive() (ids []model.NodeID) {
	for _, id := range []model.NodeID{"a", "b", "c"} {
		if _, died := s.diedAt[id]; !died {
			ids = append(ids, id)
		}
	}
	return ids
}

func (s *membersSimulation) after(d time.Duration, to model.NodeID, run func()) {
	s.pending = append(s.pending, delivery{s.now.Add(d), to, run})
}

// oneIn reports true one time in n.
func (s *membersSimulation) oneIn(n int) bool { return rapid.IntRange(1, n).Draw(s.t, "fault") == 1 }

// order sends an order to the endpoint; its reply, or the lack of one, is an event. The order gets no answer in the given
// number of eight cases, and is then executed late or never.
func (s *membersSimulation) order(from model.NodeID, unanswered int, execute func() Event, noReply Event) {
	switch lost := rapid.IntRange(1, 8).Draw(s.t, "order") <= unanswered; {
	case lost && s.oneIn(2):
		late := time.Duration(rapid.IntRange(1, 3000).Draw(s.t, "late")) * time.Millisecond
		s.after(late, "", func() { execute() })
		s.after(200*time.Millisecond, from, func() { s.step(from, noReply) })
	case lost:
		s.after(200*time.Millisecond, from, func() { s.step(from, noReply) })
	default:
		s.after(time.Millisecond, "", func() {
			reply := execute()
			s.after(time.Millisecond, from, func() { s.step(from, reply) })
		})
	}
}

func (s *membersSimulation) step(id model.NodeID, e Event) {
	fx := s.members[id].Step(s.now, e)
	for _, f := range fx.Finished {
		s.checkFinished(f)
	}
	for _, o := range fx.Starts {
		s.order(id, s.unansweredOrders, func() Event { return StartReplied{o.Run, s.startInTime(o)} }, StartReplied{o.Run, port.OrderReply{State: port.OrderUnknown}})
	}
	for _, o := range fx.Stops {
		s.order(id, s.unansweredStops, func() Event { return StopReplied{o.Run, s.endpoint.stop(o)} }, StopReplied{o.Run, port.OrderReply{State: port.OrderUnknown}})
	}
	if o := fx.Hold; o != nil {
		s.order(id, s.unansweredOrders, func() Event { return HoldReplied{s.endpoint.hold(0, *o)} }, HoldReplied{port.HoldReply{State: port.OrderUnknown}})
	}
	for _, end := range fx.ForwardEnds {
		for _, to := range s.alive() {
			if to != id && !s.oneIn(4) && s.members[to].Pending(end.End.Run) {
				s.after(time.Millisecond, to, func() { s.step(to, EndForwarded{end.End}) })
			}
		}
	}
	if len(fx.ClaimQuery.Runs) > 0 {
		s.queryClaims(id, fx.ClaimQuery)
	}
}

// startInTime executes a start unless the lease that it asks for has ended.
func (s *membersSimulation) startInTime(o port.StartOrder) port.OrderReply {
	if o.Until <= s.endpoint.clock() {
		return port.OrderReply{State: port.OrderRefused, Clock: s.endpoint.clock()}
	}
	return s.endpoint.start(o)
}

// queryClaims carries a query for claims to the members, and their replies back after 150 ms at most.
func (s *membersSimulation) queryClaims(from model.NodeID, query ClaimQuery) {
	members, claimed := query.Members, Claimed{Queried: query.Runs}
	if len(members) == 0 {
		members = s.alive()
	}
	took := time.Millisecond
	for _, to := range members {
		if to == from {
			continue
		}
		if !slices.Contains(s.alive(), to) || s.oneIn(6) {
			took = 150 * time.Millisecond
			continue
		}
		m := s.members[to]
		queried := slices.DeleteFunc(slices.Clone(query.Runs), func(run port.TaskRun) bool { return !m.Pending(run) })
		if len(queried) == 0 {
			continue
		}
		s.step(to, TakenOver{query.Token, queried})
		for _, run := range queried {
			if m.Pending(run) && !s.oneIn(6) {
				claimed.Claims = append(claimed.Claims, Claim{Run: run, Member: to, Stop: !m.Wanted(run)})
			}
		}
	}
	s.after(took, from, func() { s.step(from, claimed) })
}

func (s *membersSimulation) checkFinished(f Finished) {
	s.endpoint.now = s.now
	s.endpoint.expire()
	if s.endpoint.running[f.Run] {
		s.t.Fatalf("run %v was reported as %s (%s) while it was running", f.Run, f.State, f.Detail)
	}
	s.finished[f.Run] = true
}

// runUntil advances the time to end and checks that runs are over in time.
func (s *membersSimulation) runUntil(end time.Time) {
	for {
		next, index, timerOf := end, -1, model.NodeID("")
		for i, d := range s.pending {
			if d.at.Before(next) {
				next, index = d.at, i
			}
		}
		for _, id := range s.alive() {
			if at, armed := s.members[id].NextTimer(s.now); armed && at.Before(next) {
				next, timerOf = at, id
			}
		}
		s.now = maxTime(s.now, next)
		s.endpoint.now = s.now
		s.endpoint.expire()
		s.checkRunning()
		switch {
		case timerOf != "":
			s.step(timerOf, Elapsed{})
		case index >= 0:
			d := s.pending[index]
			s.pending = slices.Delete(s.pending, index, index+1)
			if _, died := s.diedAt[d.to]; !died {
				d.run()
			}
		default:
			return
		}
	}
}

// checkRunning fails if a run is at work whose task may have been sent again by now: its member has died, or was told to stop it.
func (s *membersSimulation) checkRunning() {
	for run := range s.endpoint.running {
		if at, died := s.diedAt[s.owners[run]]; died && s.now.Sub(at) > resendAfter {
			s.t.Fatalf("run %v was at work %s after its member %s had died", run, s.now.Sub(at), s.owners[run])
		}
		if at, stopped := s.stopped[run]; stopped && s.now.Sub(at) > resendAfter {
			s.t.Fatalf("run %v was at work %s after it was to be stopped", run, s.now.Sub(at))
		}
	}
}

// act takes a random step.
func (s *membersSimulation) act() {
	alive := s.alive()
	id := rapid.SampledFrom(alive).Draw(s.t, "member")
	switch rapid.IntRange(0, 5).Draw(s.t, "action") {
	case 0, 1:
		run := testRun(len(s.owners) + 1)
		s.owners[run] = id
		s.step(id, StartRequested{Run: run})
	case 2:
		if pending := s.members[id].sortedRuns(); len(pending) > 0 {
			run := rapid.SampledFrom(pending).Draw(s.t, "stopped")
			if _, again := s.stopped[run]; !again {
				s.stopped[run] = s.now
			}
			s.step(id, StopRequested{run})
		}
	case 3:
		if running := s.endpoint.sortedRunning(); len(running) > 0 {
			s.endpoint.end(running[0], port.TaskDone)
		}
	case 4:
		if len(alive) > 1 && s.oneIn(4) {
			s.diedAt[id] = s.now
		}
	}
	s.runUntil(s.now.Add(time.Duration(rapid.IntRange(1, 600).Draw(s.t, "ms")) * time.Millisecond))
}

// Guards against two runs of a task: a run that is reported while it is at work, and one that is still at work when the caller
// sends its job again, because its member has died or the orders to stop the run are lost. The lease moves among the members.
func TestRunsOfSeveralMembersAreOverWhenTheirTasksMayStartAgain(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newMembersSimulation(t)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			s.act()
		}
		s.unansweredOrders, s.unansweredStops = 1, 1
		for range 20 { // Each run of a member that lives has an outcome in the end.
			for _, run := range s.endpoint.sortedRunning() {
				s.endpoint.end(run, port.TaskDone)
			}
			s.runUntil(s.now.Add(time.Second))
		}
		for run, owner := range s.owners {
			if _, died := s.diedAt[owner]; !died && !s.finished[run] {
				t.Fatalf("run %v of member %s has no outcome", run, owner)
			}
		}
	})
}
