package poolstate

import (
	"flag"
	"fmt"
	"maps"
	"os"
	"reflect"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"redwingpulley/kernel/model"
	"redwingpulley/kernel/port"
	"redwingpulley/plugins/endpoints/crashes"
)

// TestMain sets the seed and the length of random runs that the command line does not set.
func TestMain(m *testing.M) {
	flag.Parse()
	named := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { named[f.Name] = true })
	for name, value := range map[string]string{"rapid.seed": "20260101", "rapid.steps": "150", "rapid.checks": "300"} {
		if !named[name] {
			flag.Set(name, value)
		}
	}
	os.Exit(m.Run())
}

// cluster simulates the endpoints and members around a pool. It tracks which tasks were sent and
// which of them have ended, and checks each effect of the machine against that.
type cluster struct {
	t           *rapid.T
	now         time.Time
	profile     model.Profile
	machine     *Machine
	twin        *Machine                            // Second machine, which gets the same events and must give the same effects.
	leases      map[model.EndpointID]time.Time      // Ends of the leases.
	announced   map[model.EndpointID]model.Endpoint // Latest announcements.
	born        map[model.EndpointID]int64          // Newest incarnations of leased endpoints, by the id without the incarnation.
	sequence    uint64                              // Number of announcements so far.
	inFlight    map[model.TaskID]Start              // Tasks that were sent and whose end has not been reported to the machine.
	attempts    map[model.TaskID]int                // Attempts sent so far.
	ranIsolated map[model.TaskID]bool               // Tasks that were isolated at their latest start.
	ran         map[model.TaskID]bool               // Tasks with a run that failed or was lost.
	cordoned    map[model.EndpointID]bool           // Endpoints whose lease another member holds, as reported to the machine.
	down        map[model.EndpointID]bool           // Endpoints that refuse connections, as reported to the machine.
	losses      map[model.TaskID][]model.Loss       // Losses that the machine was told of.
	occupying   map[model.TaskID]int                // Attempts that the machine has started and not reported as released.
	revokes     []Revoke
	open        map[model.BatchID]int // Number of tasks of each batch that has not ended.
	started     map[model.BatchID]int
	outlived    map[model.JobID]bool // Jobs whose batch was open when the process was paused.
	next        int
	evacuatedAt time.Time // When the machine learned that its data centre is evacuated; zero while it is not.
}

var randomEndpoints = []model.EndpointID{"a", "b", "c", "d"}

func newCluster(t *rapid.T) *cluster {
	profile := model.BuiltInProfile()
	profile.Placement = rapid.SampledFrom([]string{"least_wait", "random", "round_robin", "stale_view"}).Draw(t, "placement")
	profile.Admission = rapid.SampledFrom([]string{"deadline", "open"}).Draw(t, "admission")
	profile.RetryBudget = 0.5
	created := Created{
		Pool: finderPool, Owner: "sj1-a", Seed: 1,
		LearnSpeeds: profile.Admission == "deadline", SeparateInterfering: profile.Admission == "open",
	}
	return &cluster{
		t: t, now: start, profile: profile,
		machine: created.Machine(shipped), twin: created.Machine(shipped),
		leases: map[model.EndpointID]time.Time{}, announced: map[model.EndpointID]model.Endpoint{},
		born: map[model.EndpointID]int64{"c": 1, "d": 1}, inFlight: map[model.TaskID]Start{}, attempts: map[model.TaskID]int{},
		ran: map[model.TaskID]bool{}, ranIsolated: map[model.TaskID]bool{}, cordoned: map[model.EndpointID]bool{}, occupying: map[model.TaskID]int{},
		down: map[model.EndpointID]bool{}, losses: map[model.TaskID][]model.Loss{},
		open: map[model.BatchID]int{}, started: map[model.BatchID]int{}, outlived: map[model.JobID]bool{},
	}
}

func (c *cluster) step(event Event) {
	var fx, same Effects
	c.machine.Step(c.now, event, &fx)
	c.twin.Step(c.now, event, &same)
	if !reflect.DeepEqual(fx, same) {
		c.t.Fatalf("equal events gave different effects:\n%+v\n%+v", fx, same)
	}
	for _, r := range fx.Released {
		c.checkRelease(r)
	}
	for _, s := range fx.Starts {
		c.checkStart(s)
	}
	c.revokes = append(c.revokes, fx.Revokes...)
	for _, result := range fx.Ended {
		c.checkEnd(result)
	}
}

// checkRelease checks that the machine reports each started attempt as released once, and not while its end is unknown.
func (c *cluster) checkRelease(r Release) {
	if c.occupying[r.Task] != r.Attempt {
		c.t.Fatalf("attempt %d of task %s was released; %d occupies its endpoint", r.Attempt, r.Task, c.occupying[r.Task])
	}
	delete(c.occupying, r.Task)
	if s, unsettled := c.inFlight[r.Task]; unsettled && (c.now.Before(s.Deadline) || c.announced[s.Endpoint].Leased) {
		c.t.Fatalf("attempt %d of task %s was released before its end was confirmed", r.Attempt, r.Task)
	}
}

func (c *cluster) checkStart(s Start) {
	if attempt, occupying := c.occupying[s.Task]; occupying {
		c.t.Fatalf("task %s was sent again before attempt %d was released", s.Task, attempt)
	}
	c.occupying[s.Task] = s.Attempt
	if earlier, twice := c.inFlight[s.Task]; twice {
		c.t.Fatalf("task %s was sent to %s and again to %s before its end was confirmed", s.Task, earlier.Endpoint, s.Endpoint)
	}
	if c.attempts[s.Task]+1 != s.Attempt {
		c.t.Fatalf("attempt %d of task %s follows %d", s.Attempt, s.Task, c.attempts[s.Task])
	}
	e := c.announced[s.Endpoint]
	if e.State != model.EndpointServing || !c.leases[s.Endpoint].After(c.now) {
		c.t.Fatalf("task %s was sent to %s, which is leaving or whose lease has ended", s.Task, s.Endpoint)
	}
	if c.cordoned[s.Endpoint] {
		c.t.Fatalf("task %s was sent to %s, whose lease another member holds", s.Task, s.Endpoint)
	}
	if !s.Deadline.After(c.now) {
		c.t.Fatalf("task %s was sent after its deadline", s.Task)
	}
	if c.outlived[s.Task.Job()] {
		c.t.Fatalf("task %s was sent although the process has been paused since its batch was accepted", s.Task)
	}
	if c.down[s.Endpoint] {
		c.t.Fatalf("task %s was sent to %s, which refuses connections", s.Task, s.Endpoint)
	}
	c.checkEvacuation(s)
	c.checkLosses(s)
	c.checkCapacity(s)
	c.attempts[s.Task] = s.Attempt
	c.inFlight[s.Task] = s
	if taken := c.takenSlots(e); taken > e.Slots {
		c.t.Fatalf("endpoint %s has %d of %d slots taken", e.ID, taken, e.Slots)
	}
}

// checkEvacuation checks that in an evacuated data centre only tasks of jobs that have started in part are started, and none after
// evacuationGrace.
func (c *cluster) checkEvacuation(s Start) {
	if c.evacuatedAt.IsZero() {
		return
	}
	begun := slices.ContainsFunc(slices.Collect(maps.Keys(c.attempts)), func(id model.TaskID) bool { return id.Job() == s.Task.Job() })
	if !begun || c.now.Sub(c.evacuatedAt) >= evacuationGrace-port.MaxStartWait {
		c.t.Fatalf("task %s was sent %v after the evacuation of the data centre, its job begun before: %t", s.Task, c.now.Sub(c.evacuatedAt), begun)
	}
}

// checkLosses checks that a task under which too many endpoints have crashed is not started, and that one under which an endpoint
// may have crashed is alone at its endpoint.
func (c *cluster) checkLosses(s Start) {
	if crashes.Judge(c.losses[s.Task]) == crashes.Exhausted {
		c.t.Fatalf("task %s was sent although it has lost %v", s.Task, c.losses[s.Task])
	}
	tasks := c.machine.endpoints[s.Endpoint].tasks
	for _, t := range tasks {
		if len(tasks) > 1 && len(c.losses[t.id]) > 0 && c.attempts[t.id] > 0 && c.ranIsolated[t.id] {
			c.t.Fatalf("task %s was sent to %s, where task %s is isolated", s.Task, s.Endpoint, t.id)
		}
	}
	if c.ranIsolated[s.Task] = len(c.losses[s.Task]) > 0; c.ranIsolated[s.Task] && len(tasks) > 1 {
		c.t.Fatalf("task %s, which has lost %v, was sent to %s beside %d others", s.Task, c.losses[s.Task], s.Endpoint, len(tasks)-1)
	}
}

// checkCapacity checks that a start does not bring its endpoint over the capacity that it has announced last. Tasks that are being
// stopped still count.
func (c *cluster) checkCapacity(s Start) {
	sum := model.Needs{}
	needs := model.Needs{}
	for _, t := range c.machine.endpoints[s.Endpoint].tasks {
		sum = sum.Plus(t.spec().Needs)
		if t.id == s.Task {
			needs = t.spec().Needs
		}
	}
	if has := c.announced[s.Endpoint].Has; needs != (model.Needs{}) && !sum.FitsIn(has) {
		c.t.Fatalf("task %s brings %s to %v of %v", s.Task, s.Endpoint, sum, has)
	}
}

func (c *cluster) takenSlots(e model.Endpoint) int {
	taken := len(c.machine.endpoints[e.ID].foreign)
	for _, s := range c.inFlight {
		if s.Endpoint == e.ID && c.now.Before(s.Deadline) {
			taken++
		}
	}
	return taken
}

func (c *cluster) checkEnd(result model.BatchResult) {
	tasks, open := c.open[result.ID]
	if !open {
		c.t.Fatalf("batch %v ended twice", result.ID)
	}
	delete(c.open, result.ID)
	if result.Refused {
		for index := range tasks {
			if c.attempts[result.ID.Job.TaskID(index)] > 0 {
				c.t.Fatalf("batch %v was refused after its task %d had been sent", result.ID, index)
			}
		}
	}
	seen := map[int]bool{}
	for _, r := range result.Results {
		seen[r.Index] = true
		tried := c.attempts[result.ID.Job.TaskID(r.Index)] > 0
		_, unsettled := c.inFlight[result.ID.Job.TaskID(r.Index)]
		ran := c.ran[result.ID.Job.TaskID(r.Index)]
		if r.Run == model.NotRun && (unsettled || ran) || r.Done && !tried {
			c.t.Fatalf("result %+v of a task: sent %t, in flight %t", r, tried, unsettled)
		}
	}
	if !result.Refused && (len(seen) != tasks || len(result.Results) != tasks) {
		c.t.Fatalf("batch %v of %d tasks ended with %d results", result.ID, tasks, len(result.Results))
	}
}

func (c *cluster) announce(t *rapid.T) {
	id := rapid.SampledFrom(randomEndpoints).Draw(t, "endpoint")
	e := model.Endpoint{ID: id, Slots: rapid.IntRange(1, 3).Draw(t, "slots"), State: model.EndpointServing, Has: model.Needs{MilliCores: 2 + 2*int(id[0]%2)}}
	if _, leased := c.born[id]; leased {
		id = c.drawIncarnation(t, &e)
	}
	if known, ok := c.announced[id]; ok {
		e.Slots = known.Slots
	}
	if rapid.IntRange(0, 3).Draw(t, "shrunk") == 0 {
		e.Has.MilliCores = rapid.IntRange(0, e.Has.MilliCores).Draw(t, "capacity")
	}
	if rapid.IntRange(0, 4).Draw(t, "leaving") == 0 {
		e.State = model.EndpointLeaving
	}
	e.Leased = e.Born > 0
	delete(c.cordoned, id)
	delete(c.down, id)
	if e.Leased && rapid.IntRange(0, 4).Draw(t, "handed over") == 0 {
		e.Running, e.Taken = []model.TaskID{"gone.x.1.1.t.0"}, model.Needs{MilliCores: 1}
	}
	if !e.Leased && rapid.IntRange(0, 4).Draw(t, "foreign") == 0 {
		e.Running = append(e.Running, "gone.x.1.1.t.0")
	}
	if e.Born > 0 && e.ID != c.newest(e.Address) {
		c.step(Announced{Endpoint: e}) // It came late, and is to be ignored.
		return
	}
	c.announced[id] = e
	c.leases[id] = c.now.Add(DefaultEndpointLease)
	c.step(Announced{Endpoint: e})
}

// newest returns the id of the newest incarnation at an address.
func (c *cluster) newest(address string) model.EndpointID {
	return incarnationID(model.EndpointID(address), c.born[model.EndpointID(address)])
}

func incarnationID(id model.EndpointID, born int64) model.EndpointID {
	return model.EndpointID(fmt.Sprintf("%s@%d", id, born))
}

// drawIncarnation makes an announcement that of an incarnation of its endpoint: of the newest one, of the next one, or, while the
// newest one gets work, a late one of an earlier incarnation. It returns the incarnation's id.
func (c *cluster) drawIncarnation(t *rapid.T, e *model.Endpoint) model.EndpointID {
	id, newest := e.ID, c.newest(string(e.ID))
	c.sequence++
	e.Address, e.Born, e.Sequence = string(id), c.born[id], c.sequence
	switch kind := rapid.IntRange(0, 5).Draw(t, "incarnation"); {
	case kind == 0:
		c.leases[newest] = c.now
		c.born[id]++
		e.Born++
	case kind == 1 && e.Born > 1 && c.leases[newest].After(c.now):
		e.Born -= rapid.Int64Range(1, e.Born-1).Draw(t, "earlier")
	}
	e.ID = incarnationID(id, e.Born)
	return e.ID
}

func (c *cluster) submit(t *rapid.T) {
	c.next++
	b := model.Batch{
		ID: model.BatchID{Job: model.JobID(fmt.Sprintf("n.i.1.%d.t", c.next))}, Pool: finderPool,
		Team:     model.TeamID(rapid.SampledFrom([]string{"s", "t", "u"}).Draw(t, "team")),
		Deadline: c.now.Add(time.Duration(rapid.IntRange(1, 6000).Draw(t, "deadline")) * time.Millisecond),

		MaxFailures: rapid.IntRange(0, 3).Draw(t, "failures"),
		Whole:       rapid.Bool().Draw(t, "whole"),
		Priority:    rapid.IntRange(0, model.MaxPriority).Draw(t, "priority"),
		Submitted:   c.now.Add(-time.Duration(rapid.IntRange(0, 500).Draw(t, "age")) * time.Millisecond),
	}
	if rapid.Bool().Draw(t, "objective") {
		b.Objective = model.Objective{Stretch: 1.6, Slack: 60 * time.Millisecond, Useful: 3}
	}
	most := rapid.IntRange(0, 5).Draw(t, "cores")
	for i := range rapid.IntRange(1, 12).Draw(t, "tasks") {
		b.Tasks = append(b.Tasks, model.Task{Index: i, Needs: model.Needs{MilliCores: most * (i % 2)}})
	}
	c.open[b.ID] = len(b.Tasks)
	s := Submitted{Batch: b, Profile: c.profile}
	c.machine.Judge(c.now, s) // The twin, which does not judge it, has to decide like the machine from here on.
	c.step(s)
}

// drawInFlight draws a task that is in flight; ok is false when there is none.
func (c *cluster) drawInFlight(t *rapid.T) (s Start, ok bool) {
	if len(c.inFlight) == 0 {
		return Start{}, false
	}
	ids := slices.Sorted(maps.Keys(c.inFlight))
	return c.inFlight[rapid.SampledFrom(ids).Draw(t, "task")], true
}

func (c *cluster) reply(t *rapid.T) {
	s, ok := c.drawInFlight(t)
	if !ok {
		return
	}
	state := rapid.SampledFrom([]port.TaskState{
		port.TaskDone, port.TaskDone, port.TaskDone, port.TaskNotRun, port.TaskFailed, port.TaskUnknown,
		port.TaskLost, port.TaskNoRoom, port.TaskLeasedElsewhere,
	}).Draw(t, "state")
	if state != port.TaskUnknown {
		delete(c.inFlight, s.Task)
	}
	switch state {
	case port.TaskFailed, port.TaskLost:
		c.ran[s.Task] = true
	case port.TaskLeasedElsewhere:
		// A reply to an attempt that was released, long after its deadline, tells the machine nothing: it has forgotten where that was.
		if c.occupying[s.Task] == s.Attempt {
			c.cordoned[s.Endpoint] = true
		}
	}
	reply := Replied{Task: s.Task, Attempt: s.Attempt, Reply: port.TaskReply{State: state}}
	if state == port.TaskLost {
		reply.Reply.Cause = rapid.SampledFrom([]port.LossCause{
			port.LossCrashed, port.LossRefusing, port.LossNotBegun, port.LossSilent, port.LossLeft, port.LossDropped,
		}).Draw(t, "cause")
		if loss, counts := crashes.LossOf(s.Endpoint, reply.Reply.Cause); counts {
			c.losses[s.Task], _ = crashes.Add(c.losses[s.Task], loss)
		}
	}
	if rapid.IntRange(0, 9).Draw(t, "loss elsewhere") == 0 {
		reply.Losses = []model.Loss{{Endpoint: "elsewhere", Crashed: rapid.Bool().Draw(t, "crashed")}}
		c.losses[s.Task] = crashes.Merge(c.losses[s.Task], reply.Losses)
		c.ran[s.Task] = true
	}
	c.step(reply)
}

func (c *cluster) refuseConnections(t *rapid.T) {
	if len(c.announced) == 0 {
		return
	}
	id := rapid.SampledFrom(slices.Sorted(maps.Keys(c.announced))).Draw(t, "down")
	c.down[id] = true
	c.step(Down{id})
}

func (c *cluster) lateReply(t *rapid.T) {
	s, ok := c.drawInFlight(t)
	if !ok {
		return
	}
	c.step(Replied{Task: s.Task, Attempt: s.Attempt - 1, Reply: port.TaskReply{State: port.TaskDone}})
}

func (c *cluster) revokeReply(t *rapid.T) {
	if len(c.revokes) == 0 {
		return
	}
	r := c.revokes[0]
	c.revokes = c.revokes[1:]
	state := rapid.SampledFrom([]port.TaskState{
		port.TaskRevoked, port.TaskRunning, port.TaskUnknown, port.TaskDone, port.TaskStopped, port.TaskNotRun, port.TaskLost,
	}).Draw(t, "state")
	s, unsettled := c.inFlight[r.Task]
	if unsettled && s.Attempt == r.Attempt && state != port.TaskRunning && state != port.TaskUnknown {
		delete(c.inFlight, r.Task)
		c.ran[r.Task] = c.ran[r.Task] || state == port.TaskLost || state == port.TaskStopped
	}
	c.step(RevokeReplied{r.Task, r.Attempt, port.RevokeReply{State: state}})
}

func (c *cluster) cancel(t *rapid.T) {
	job := model.JobID(fmt.Sprintf("n.i.1.%d.t", rapid.IntRange(1, c.next+1).Draw(t, "batch")))
	c.step(Cancelled{model.BatchID{Job: job}})
}

func (c *cluster) wait(t *rapid.T) {
	c.now = c.now.Add(time.Duration(rapid.IntRange(1, 900).Draw(t, "ms")) * time.Millisecond)
	if rapid.Bool().Draw(t, "timer fires") { // Otherwise another event comes before Elapsed.
		c.step(Elapsed{})
	}
}

func (c *cluster) owners(t *rapid.T) {
	live := []Origin{{"n", "i"}}
	if rapid.IntRange(0, 5).Draw(t, "gone") == 0 {
		live = nil
	}
	c.step(Owners{Live: live})
}

// moved makes another member own the pool. This one may own it again later.
func (c *cluster) moved(*rapid.T) {
	for id, e := range c.announced {
		if e.Leased {
			c.cordoned[id] = true
		}
	}
	c.step(Disowned{})
	c.step(Moved{})
}

// evacuate begins an evacuation, or ends it.
func (c *cluster) evacuate(t *rapid.T) {
	active := c.evacuatedAt.IsZero()
	c.evacuatedAt = time.Time{}
	if active {
		c.evacuatedAt = c.now
	}
	c.step(Evacuated{Active: active})
	if load := c.machine.Load(); active && load.Slots+load.Free > 0 {
		t.Fatalf("an evacuated pool reports %+v", load)
	}
}

// resumed pauses the process for a while.
func (c *cluster) resumed(t *rapid.T) {
	c.now = c.now.Add(time.Duration(rapid.IntRange(700, 5000).Draw(t, "paused")) * time.Millisecond)
	for id := range c.open {
		c.outlived[id.Job] = true
	}
	c.step(Resumed{})
}

// check compares the sums that the machine updates incrementally with a fresh count.
func (c *cluster) check(t *rapid.T) {
	m := c.machine
	count, work := 0, time.Duration(0)
	for _, b := range m.batches {
		for i := range b.tasks {
			if b.tasks[i].phase == inQueue {
				count++
				work += b.tasks[i].run.Mean
			}
		}
	}
	var sums totals
	for _, e := range m.endpointList {
		left := e.Has.MilliCores
		for _, t := range e.tasks {
			left -= t.spec().Needs.MilliCores
		}
		left = max(left-e.blockedNeeds.MilliCores, 0) // Resources assumed to be used by others.
		if e.blockedNeeds != (model.Needs{}) && !m.timers.heap.has(&e.unblockTimer) {
			t.Fatalf("endpoint %s has %v blocked for others with no timer to end it", e.ID, e.blockedNeeds)
		}
		free := max(e.schedulableSlots()-e.busy(), 0)
		slots := e.schedulableSlots()
		if each := m.needs.typical.MilliCores; each > 0 && left/each < free {
			slots -= free - left/each
			free = left / each
			if free == 0 && len(e.held) == 0 {
				sums.remnants++
			}
		}
		sums.slots += slots
		sums.free += free
		sums.held += len(e.held)
		sums.serving += min(e.schedulableSlots(), 1)
		sums.speed += slots * e.speed
		sums.freeFast += e.counted.freeFast
		sums.slow += e.counted.slow
	}
	sums.largest, sums.largestStale = m.totals.largest, m.totals.largestStale
	if count != m.queue.count || work != m.queue.work || sums != m.totals {
		t.Fatalf("counted afresh: %d tasks, %v, %+v; in the machine: %d, %v, %+v", count, work, sums, m.queue.count, m.queue.work, m.totals)
	}
	c.checkTeams(t)
	if len(c.open) != len(m.batches) {
		t.Fatalf("%d batches have not ended, the machine has %d", len(c.open), len(m.batches))
	}
}

// checkTeams checks the sums that the shares of teams are computed from, and that late teams wait apart.
func (c *cluster) checkTeams(t *rapid.T) {
	weights, late := 0, map[*team]time.Duration{}
	for _, b := range c.machine.batches {
		if b.place.Late {
			late[b.team] += b.queuedWork
		}
	}
	for _, team := range c.machine.queue.teams {
		if team.heap != nil {
			weights += team.weight
		}
		isLate := !team.batches.empty() && team.batches.first().place.Late
		if team.lateWork != late[team] || team.batches.empty() != (team.heap == nil) || isLate != (team.heap == &c.machine.queue.late) {
			t.Fatalf("team %s: %v late work, counted afresh %v; first batch late: %v", team.id, team.lateWork, late[team], isLate)
		}
	}
	if weights != c.machine.queue.totalWeight {
		t.Fatalf("weights: %d, counted afresh: %d", c.machine.queue.totalWeight, weights)
	}
}

// TestRandomEvents feeds a pool random events. For a longer run: -rapid.checks=100000 -rapid.seed=1.
func TestRandomEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(t)
		t.Repeat(map[string]func(*rapid.T){
			"announce": c.announce, "announce too": c.announce, "submit": c.submit,
			"reply": c.reply, "reply too": c.reply, "reply as well": c.reply, "late reply": c.lateReply,
			"revoke reply": c.revokeReply, "revoke reply too": c.revokeReply,
			"cancel": c.cancel, "wait": c.wait, "refuse connections": c.refuseConnections, "owners": c.owners, "moved": c.moved, "resumed": c.resumed, "evacuate": c.evacuate, "": c.check,
		})
	})
}
