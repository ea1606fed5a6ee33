package lease

import (
	"maps"
	"slices"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	"redwingpulley/kernel/model"
	"redwingpulley/kernel/port"
)

// resendAfter is the time after which the caller of a member that has died sends its job again.
const resendAfter = 1300 * time.Millisecond

// membersSimulation connects the machines of several members to one fakeEndpoint. Orders, queries for claims and
// forwarded ends are lost or late at random; a member can die or be cut off from the endpoint, which may start again.
type membersSimulation struct {
	t        *rapid.T
	now      time.Time
	endpoint *fakeEndpoint
	members  map[model.NodeID]*member
	diedAt   map[model.NodeID]time.Time
	pending  []delivery
	owners   map[port.TaskRun]model.NodeID // The member that has requested the run.
	stopped  map[port.TaskRun]time.Time    // When that member was first told to stop it.
	finished map[port.TaskRun]bool         // Runs that were reported to the member that has requested them.
	// misdirected are the runs whose starts were carried out by an incarnation for which they were not meant. With
	// checkMisdirected they, too, have to be over when the caller may have sent the job again.
	misdirected      map[port.TaskRun]bool
	checkMisdirected bool
	// fencing holds the newest request of each member to fence those that have died.
	fencing map[model.NodeID]fencing
	// checkLateOrders leaves out the checks of when runs are over, which do not hold where the lease of a late start counts from its
	// arrival and nobody has fenced the endpoint yet.
	checkLateOrders bool
	fences          bool // Members have the endpoint fenced at random times.
	// minDelay and maxDelay bound the delay of late orders.
	minDelay, maxDelay time.Duration
	// unansweredOrders is how many of eight starts and holds get no answer, and unansweredStops the same for stops.
	unansweredOrders, unansweredStops int
}

// fencing is a request to fence the members that had died by then, at one incarnation of the endpoint.
type fencing struct {
	dead []model.NodeID
	at   model.EndpointID
	done bool // The requesting member knows that the endpoint has carried it out.
}

// member is the state of one member: its machines for the incarnations of the endpoint.
type member struct {
	machines map[model.EndpointID]*Machine
	config   Config
	known    model.EndpointID                  // The newest incarnation that has announced itself to the member.
	settles  map[port.TaskRun]model.EndpointID // The incarnation whose machine has requested to settle the run.
	cutUntil time.Time                         // Until then its orders get no answer.
}

// machine returns the member's machine for an incarnation.
func (m *member) machine(id model.EndpointID) *Machine {
	if m.machines[id] == nil {
		m.machines[id] = New(m.config)
	}
	return m.machines[id]
}

// sortedIncarnations returns the incarnations that have a machine, oldest first.
func (m *member) sortedIncarnations() []model.EndpointID {
	return slices.Sorted(maps.Keys(m.machines))
}

// pendingRuns returns the runs that the member has requested and not settled, each with its incarnation.
func (m *member) pendingRuns() (runs []port.TaskRun, at []model.EndpointID) {
	for _, id := range m.sortedIncarnations() {
		for _, run := range m.machines[id].sortedRuns() {
			if requester, settled := m.settles[run]; !settled || requester == id {
				runs, at = append(runs, run), append(at, id)
			}
		}
	}
	return runs, at
}

// delivery is something that happens at a time, unless the member has died.
type delivery struct {
	at  time.Time
	to  model.NodeID // "" for the endpoint.
	run func()
}

func newMembersSimulation(t *rapid.T) *membersSimulation {
	s := &membersSimulation{
		t: t, now: startTime, endpoint: newFakeEndpoint(), members: make(map[model.NodeID]*member),
		diedAt: make(map[model.NodeID]time.Time), owners: make(map[port.TaskRun]model.NodeID), finished: make(map[port.TaskRun]bool),
		fencing: make(map[model.NodeID]fencing), misdirected: make(map[port.TaskRun]bool), stopped: make(map[port.TaskRun]time.Time),
		minDelay: time.Millisecond, maxDelay: 3 * time.Second,
		unansweredOrders: rapid.IntRange(1, 6).Draw(t, "lossy"), unansweredStops: rapid.IntRange(1, 8).Draw(t, "noStops"),
	}
	for i, id := range []model.NodeID{"a", "b", "c"} {
		config := testConfig
		config.HolderID = uint64(i + 1)
		s.members[id] = &member{
			machines: make(map[model.EndpointID]*Machine), config: config, known: incarnationID(0),
			settles: make(map[port.TaskRun]model.EndpointID),
		}
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

// order sends an order to the endpoint. Its reply, or the lack of one, is an event for the machine of an incarnation. In as many of
// eight cases as unanswered says there is no reply, and the order is executed late or never. An order that was sent before the
// endpoint started again is not executed.
func (s *membersSimulation) order(from model.NodeID, at model.EndpointID, unanswered int, execute func() Event, noReply Event) {
	reaches := s.endpoint.incarnation
	reply := func(after time.Duration, e Event) { s.after(after, from, func() { s.step(from, at, e) }) }
	deliver := func() Event {
		if reaches != s.endpoint.incarnation {
			return noReply
		}
		return execute()
	}
	switch lost := s.now.Before(s.members[from].cutUntil) || rapid.IntRange(1, 8).Draw(s.t, "order") <= unanswered; {
	case lost && s.oneIn(2):
		late := time.Duration(rapid.IntRange(int(s.minDelay.Milliseconds()), int(s.maxDelay.Milliseconds())).Draw(s.t, "late")) * time.Millisecond
		s.after(late, "", func() { deliver() })
		reply(200*time.Millisecond, noReply)
	case lost:
		reply(200*time.Millisecond, noReply)
	default:
		s.after(time.Millisecond, "", func() {
			reply(time.Millisecond, deliver())
		})
	}
}

// step applies an event to a member's machine for an incarnation, and carries out the effects.
func (s *membersSimulation) step(id model.NodeID, at model.EndpointID, e Event) {
	member := s.members[id]
	fx := member.machine(at).Step(s.now, e)
	s.recordFencing(id, at, e)
	for _, f := range fx.Finished {
		if requester, settled := member.settles[f.Run]; settled && requester < at {
			delete(member.settles, f.Run)
			s.step(id, requester, Settled{f})
			continue
		}
		s.checkFinished(f)
	}
	for _, o := range fx.Starts {
		s.order(id, at, s.unansweredOrders, func() Event { return StartReplied{o.Run, s.executeStart(at, o)} }, StartReplied{o.Run, port.OrderReply{State: port.OrderUnknown}})
	}
	for _, o := range fx.Stops {
		s.order(id, at, s.unansweredStops, func() Event { return StopReplied{o.Run, s.endpoint.stop(o)} }, StopReplied{o.Run, port.OrderReply{State: port.OrderUnknown}})
	}
	if o := fx.Hold; o != nil {
		incarnation, _ := strconv.Atoi(string(at))
		s.order(id, at, s.unansweredOrders, func() Event { return HoldReplied{s.endpoint.hold(incarnation, *o)} }, HoldReplied{port.HoldReply{State: port.OrderUnknown}})
	}
	for _, request := range fx.Settle {
		member.settles[request.Run] = at
		s.step(id, fx.Successor, request)
	}
	if f, requested := s.fencing[id]; requested && fx.FenceSuccessor {
		s.fencing[id] = fencing{dead: f.dead, at: fx.Successor}
		s.step(id, fx.Successor, FenceRequested{})
	}
	for _, run := range fx.SettleStops {
		s.step(id, fx.Successor, StopRequested{run})
	}
	for _, end := range fx.ForwardEnds {
		for _, to := range s.alive() {
			if to != id && !s.oneIn(4) && s.members[to].machine(at).Pending(end.End.Run) {
				s.after(time.Millisecond, to, func() { s.step(to, at, EndForwarded{end.End}) })
			}
		}
	}
	if len(fx.ClaimQuery.Runs) > 0 {
		s.queryClaims(id, at, fx.ClaimQuery)
	}
}

// executeStart lets the endpoint carry out a start that was meant for the given incarnation.
func (s *membersSimulation) executeStart(at model.EndpointID, o port.StartOrder) port.OrderReply {
	s.misdirected[o.Run] = at != incarnationID(s.endpoint.incarnation)
	startsBefore := s.endpoint.startCounts[o.Run]
	reply := s.endpoint.start(o)
	if s.endpoint.startCounts[o.Run] > startsBefore {
		s.checkNotFenced(o.Run)
	}
	return reply
}

// checkNotFenced fails if a run has just started whose member had died when another one had the endpoint fenced.
func (s *membersSimulation) checkNotFenced(run port.TaskRun) {
	for by, f := range s.fencing {
		if f.done && f.at == incarnationID(s.endpoint.incarnation) && slices.Contains(f.dead, s.owners[run]) {
			s.t.Fatalf("run %v of dead member %s was started after member %s had fenced the endpoint", run, s.owners[run], by)
		}
	}
}

// requestFence has a member fence those that have died.
func (s *membersSimulation) requestFence(id model.NodeID) {
	known := s.members[id].known
	s.fencing[id] = fencing{dead: slices.Collect(maps.Keys(s.diedAt)), at: known}
	s.step(id, known, FenceRequested{})
}

// recordFencing records that the endpoint has carried out a member's request to fence, once the member knows it.
func (s *membersSimulation) recordFencing(id model.NodeID, at model.EndpointID, e Event) {
	f, requested := s.fencing[id]
	reply, isReply := e.(HoldReplied)
	if !requested || f.at != at || !isReply || reply.Reply.State != port.OrderDone {
		return
	}
	f.done = f.done || s.members[id].machine(at).fence.requestedAt.IsZero()
	s.fencing[id] = f
}

// queryClaims carries a query for claims to the members, and their replies back after 150 ms at most.
func (s *membersSimulation) queryClaims(from model.NodeID, at model.EndpointID, query ClaimQuery) {
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
		m := s.members[to].machine(at)
		queried := slices.DeleteFunc(slices.Clone(query.Runs), func(run port.TaskRun) bool { return !m.Pending(run) })
		if len(queried) == 0 {
			continue
		}
		s.step(to, at, TakenOver{query.Token, queried, query.LateExtensionsFor})
		for _, run := range queried {
			if m.Pending(run) && !s.oneIn(6) {
				claimed.Claims = append(claimed.Claims, Claim{Run: run, Member: to, Stop: !m.Wanted(run)})
			}
		}
	}
	s.after(took, from, func() { s.step(from, at, claimed) })
}

func (s *membersSimulation) checkFinished(f Finished) {
	s.endpoint.now = s.now
	s.endpoint.expire()
	if s.endpoint.running[f.Run] && !s.checkLateOrders {
		s.t.Fatalf("run %v was reported as %s (%s) while it was running", f.Run, f.State, f.Detail)
	}
	s.finished[f.Run] = true
}

// runUntil advances the time to end and checks that runs are over in time.
func (s *membersSimulation) runUntil(end time.Time) {
	for {
		next, index, timerOf, timerAt := end, -1, model.NodeID(""), model.EndpointID("")
		for i, d := range s.pending {
			if d.at.Before(next) {
				next, index = d.at, i
			}
		}
		for _, id := range s.alive() {
			for _, incarnation := range s.members[id].sortedIncarnations() {
				if at, armed := s.members[id].machines[incarnation].NextTimer(s.now); armed && at.Before(next) {
					next, timerOf, timerAt = at, id, incarnation
				}
			}
		}
		s.now = latest(s.now, next)
		s.endpoint.now = s.now
		s.endpoint.expire()
		s.checkRunning()
		switch {
		case timerOf != "":
			s.step(timerOf, timerAt, Elapsed{})
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

// checkRunning fails if a run is at work whose task may have started again by now: it was reported, or its member has died or
// was told to stop it, so that the caller may have sent the job again. For a run whose start the next incarnation has carried out
// only the first is checked, unless checkMisdirected is set: the member that sent the start cannot bound when that happens. The same
// holds where the lease counts from the arrival of late orders.
func (s *membersSimulation) checkRunning() {
	if s.checkLateOrders {
		return
	}
	for run := range s.endpoint.running {
		if s.finished[run] {
			s.t.Fatalf("run %v was at work after it was reported", run)
		}
		if s.endpoint.grants || s.misdirected[run] && !s.checkMisdirected {
			continue
		}
		if at, died := s.diedAt[s.owners[run]]; died && s.now.Sub(at) > resendAfter {
			s.t.Fatalf("run %v was at work %s after its member %s had died", run, s.now.Sub(at), s.owners[run])
		}
		if at, stopped := s.stopped[run]; stopped && s.now.Sub(at) > resendAfter {
			s.t.Fatalf("run %v was at work %s after it was to be stopped", run, s.now.Sub(at))
		}
	}
}

// lastAction returns the number of the last action that act may take.
func (s *membersSimulation) lastAction(restarts int) int {
	if s.fences {
		return 8
	}
	return 6 + min(restarts-s.endpoint.incarnation, 1)
}

// act takes a random step, which may be one of at most the given number of restarts.
func (s *membersSimulation) act(restarts int) {
	alive := s.alive()
	id := rapid.SampledFrom(alive).Draw(s.t, "member")
	switch rapid.IntRange(0, s.lastAction(restarts)).Draw(s.t, "action") {
	case 0, 1:
		run := testRun(len(s.owners) + 1)
		s.owners[run] = id
		s.step(id, s.members[id].known, StartRequested{Run: run})
	case 2:
		if pending, at := s.members[id].pendingRuns(); len(pending) > 0 {
			i := rapid.IntRange(0, len(pending)-1).Draw(s.t, "stopped")
			if _, again := s.stopped[pending[i]]; !again {
				s.stopped[pending[i]] = s.now
			}
			s.step(id, at[i], StopRequested{pending[i]})
		}
	case 3:
		if running := s.endpoint.sortedRunning(); len(running) > 0 {
			s.endpoint.end(running[0], port.TaskDone)
		}
	case 4:
		if len(alive) > 1 && s.oneIn(4) {
			s.diedAt[id] = s.now
		}
	case 5:
		s.announce(id)
	case 6:
		s.members[id].cutUntil = s.now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(s.t, "cutFor")) * time.Millisecond)
	case 7:
		if restarts > s.endpoint.incarnation {
			s.endpoint.restart()
		}
	case 8:
		s.requestFence(id)
	}
	s.runUntil(s.now.Add(time.Duration(rapid.IntRange(1, 600).Draw(s.t, "ms")) * time.Millisecond))
}

// announce makes the newest incarnation known to a member.
func (s *membersSimulation) announce(to model.NodeID) {
	m, newest := s.members[to], incarnationID(s.endpoint.incarnation)
	if m.known == newest {
		return
	}
	m.known = newest
	for _, id := range m.sortedIncarnations() {
		if id < newest {
			s.step(to, id, Replaced{newest})
		}
	}
}

// Guards against two runs of a task: a run that is reported while it is at work, and one that is still at work when the caller
// sends its job again, because its member has died or the orders to stop the run are lost. The lease moves among the members.
func TestRunsOfSeveralMembersAreOverWhenTheirTasksMayStartAgain(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { newMembersSimulation(t).run(0) })
}

// Guards against the same at an endpoint that also starts again under its id, so that the next incarnation carries out orders for
// an earlier one while the lease moves among members that know different incarnations.
func TestRunsOfSeveralMembersAreOverWhenTheEndpointRestarts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { newMembersSimulation(t).run(3) })
}

// Guards against two runs of a task: an order of the lease's holder, carried out seconds late, extends the lease from then, while a member
// takes its run there for ended.
func TestRunsOfSeveralMembersAreOverWhereLeasesCountFromTheArrival(t *testing.T) {
	for _, restarts := range []int{0, 3} {
		rapid.Check(t, func(t *rapid.T) {
			s := newMembersSimulation(t)
			s.endpoint.grants = true
			s.minDelay, s.maxDelay = minOrderDelay, MaxOrderDelay
			s.run(restarts)
		})
	}
}

// Guards against two runs of a task at different members: the member that sent a start has died, the endpoint's next incarnation
// carries the start out late, and the caller has sent its job to another member meanwhile.
func TestLateStartAtTheNextIncarnationIsOverWhenItsTaskMayStartAgain(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newMembersSimulation(t)
		s.checkMisdirected = true
		s.run(3)
	})
}

// run takes random steps, among them at most the given number of restarts, and checks that each run of a member that lives has
// an outcome in the end.
func (s *membersSimulation) run(restarts int) {
	for range rapid.IntRange(1, 40).Draw(s.t, "steps") {
		s.act(restarts)
	}
	s.unansweredOrders, s.unansweredStops = 1, 1
	for _, id := range s.alive() {
		s.members[id].cutUntil = time.Time{}
		s.announce(id)
	}
	for range 20 {
		for _, run := range s.endpoint.sortedRunning() {
			s.endpoint.end(run, port.TaskDone)
		}
		s.runUntil(s.now.Add(time.Second))
	}
	for run, owner := range s.owners {
		if _, died := s.diedAt[owner]; !died && !s.finished[run] {
			s.t.Fatalf("run %v of member %s has no outcome", run, owner)
		}
	}
}
