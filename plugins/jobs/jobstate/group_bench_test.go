package jobstate_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"redwingpulley/kernel/model"
	"redwingpulley/kernel/port"
	"redwingpulley/plugins/admission/deadline"
	"redwingpulley/plugins/endpoints/loadview"
	"redwingpulley/plugins/endpoints/poolstate"
	"redwingpulley/plugins/jobs/fit"
	"redwingpulley/plugins/jobs/jobstate"
	"redwingpulley/plugins/placement/leastwait"
)

const (
	groupCores       = 16000           // Cores of an endpoint, in thousandths.
	groupNeeds       = 8000            // Average cores that a task needs, in thousandths.
	groupSlots       = 8               // Slots of an endpoint, of which its cores allow about two.
	groupWarmUp      = 3 * time.Second // Jobs that are submitted earlier do not count.
	groupLength      = 9 * time.Second
	groupTransit     = 6 * time.Millisecond  // Average time of a message between members, less the millisecond that each takes at least.
	groupEndpointRTT = 4 * time.Millisecond  // Time that a task's start and answer take together.
	groupPublishing  = 50 * time.Millisecond // Time between two decisions of a member on what to publish.
)

// groupSize is the size of a group and the work that it gets.
type groupSize struct {
	members   []int // In each data centre.
	endpoints int
	parts     int           // Pools of each data centre.
	load      float64       // Factor of the rates of groupKinds.
	startCost time.Duration // Time that an owner's processor takes for a start.
}

// groupKind is a kind of job.
type groupKind struct {
	team  model.TeamID
	rate  float64 // Jobs per second at load 1.
	tasks int     // Average number of tasks.
	run   time.Duration
}

var groupKinds = []groupKind{
	{"wide", 206, 8, 60 * time.Millisecond}, {"small", 600, 2, 200 * time.Millisecond}, {"long", 37.5, 4, 900 * time.Millisecond},
}

var groupObjective = model.Objective{Stretch: 1.6, Slack: 60 * time.Millisecond, Useful: 3}

// group simulates the members of a group, each of which owns pools and plans jobs by the loads that it knows of all pools,
// on a virtual clock. Endpoints do not fail, no message is lost, and processor time is free but for starts.
type group struct {
	now      time.Time
	events   groupEvents
	order    int        // Number of events so far.
	random   *rand.Rand // Times of messages and plans.
	arrivals *rand.Rand // Jobs, which are the same whatever the members decide.
	size     groupSize
	members  []*groupMember
	pools    []*groupPool
	jobs     map[model.JobID]*groupJob
	counts   map[model.TeamID]*groupCounts
}

// groupMember is a member and what it knows of the pools of others.
type groupMember struct {
	node     model.NodeID
	centre   model.DataCentre
	views    map[model.PoolID]*loadview.Estimate
	reporter *loadview.Reporter
	senders  map[model.NodeID]time.Time // When each member last sent a batch.
	busy     time.Time                  // Until when its processor has starts to send.
}

type groupPool struct {
	id      model.PoolID
	owner   *groupMember
	machine *poolstate.Machine
	timer   time.Time
	origins map[model.BatchID]*groupJob
}

type groupJob struct {
	model.Job
	state   *jobstate.Job
	member  *groupMember
	at      time.Time       // When it was submitted.
	runs    []time.Duration // Run times of its tasks, by index.
	parts   int             // Number of batches sent.
	replans int             // Number of parts that were planned again.
}

// groupCounts are sums over the jobs of a team that have ended.
type groupCounts struct{ jobs, inTime, late, parts, replans float64 }

// groupEvent is an event of the simulation. Events of the same time are carried out by their order.
type groupEvent struct {
	at    time.Time
	order int
	do    func()
}

type groupEvents []groupEvent

func (e groupEvents) Len() int { return len(e) }
func (e groupEvents) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].order < e[j].order
}
func (e groupEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *groupEvents) Push(x any)   { *e = append(*e, x.(groupEvent)) }
func (e *groupEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// after schedules an event.
func (g *group) after(d time.Duration, do func()) {
	g.order++
	heap.Push(&g.events, groupEvent{g.now.Add(d), g.order, do})
}

// transit draws the time of a message from one member to another, which is 0 for one to itself.
func (g *group) transit(from, to *groupMember) time.Duration {
	if from == to {
		return 0
	}
	return time.Millisecond + time.Duration(g.random.ExpFloat64()*float64(groupTransit))
}

// newGroup returns a group without jobs, in which all members know the loads of all pools.
func newGroup(seed uint64, size groupSize) *group {
	g := &group{
		now: epoch, size: size, random: rand.New(rand.NewPCG(seed, 1)), arrivals: rand.New(rand.NewPCG(seed, 2)),
		jobs: map[model.JobID]*groupJob{}, counts: map[model.TeamID]*groupCounts{},
	}
	for i, count := range size.members {
		g.addDataCentre(model.DataCentre("dc"+strconv.Itoa(i)), count, seed)
	}
	for i := range size.endpoints {
		p := g.pools[g.arrivals.IntN(len(g.pools))]
		id := "e" + strconv.Itoa(i)
		g.stepPool(p, poolstate.Announced{Endpoint: model.Endpoint{
			ID: model.EndpointID(id), Address: id, Service: "finder", DataCentre: p.id.DataCentre, State: model.EndpointServing,
			Slots: groupSlots, Has: model.Needs{MilliCores: groupCores}, Leased: true, Lease: time.Hour,
		}})
	}
	for _, m := range g.members {
		for _, p := range g.pools {
			g.viewOf(m, p).Update(g.now, p.machine.Load())
		}
		g.publish(m)
	}
	return g
}

// addDataCentre adds a data centre's members and pools.
func (g *group) addDataCentre(centre model.DataCentre, members int, seed uint64) {
	first := len(g.members)
	for i := range members {
		g.members = append(g.members, &groupMember{
			node: model.NodeID(fmt.Sprintf("%s-%d", centre, i)), centre: centre, reporter: loadview.NewReporter(),
			views: map[model.PoolID]*loadview.Estimate{}, senders: map[model.NodeID]time.Time{},
		})
	}
	for part := range g.size.parts {
		p := &groupPool{
			id:    model.PoolID{Service: "finder", DataCentre: centre, Part: part},
			owner: g.members[first+part%members], origins: map[model.BatchID]*groupJob{},
		}
		p.machine = poolstate.New(p.id, p.owner.node, poolstate.Policies{
			Placements: map[string]port.Placement{"least_wait": leastwait.Policy{}},
			Admissions: map[string]port.Admission{"deadline": deadline.Policy{}},
		}, seed)
		g.pools = append(g.pools, p)
	}
}

func (g *group) viewOf(m *groupMember, p *groupPool) *loadview.Estimate {
	if m.views[p.id] == nil {
		m.views[p.id] = &loadview.Estimate{}
	}
	return m.views[p.id]
}

// publish publishes the loads of a member's pools, as its reporter decides.
func (g *group) publish(m *groupMember) {
	var loads []model.PoolLoad
	var owned []*groupPool
	for _, p := range g.pools {
		if p.owner == m {
			owned, loads = append(owned, p), append(loads, p.machine.Load())
		}
	}
	publication := m.reporter.Plan(g.now, loads, func() []loadview.Member { return g.sendersTo(m) })
	for _, to := range g.members {
		update := func() {
			for i, p := range owned {
				g.viewOf(to, p).Update(g.now, loads[i])
			}
		}
		switch {
		case to == m:
		case slices.Contains(publication.To, to.node):
			g.after(g.transit(m, to), update)
		case publication.Gossip:
			g.after(time.Duration(g.random.Int64N(int64(time.Second))), update)
		}
	}
	g.after(groupPublishing, func() { g.publish(m) })
}

// sendersTo returns the other members, first those whose newest batch is the oldest.
func (g *group) sendersTo(m *groupMember) (all []loadview.Member) {
	for _, other := range g.members {
		if other != m {
			all = append(all, loadview.Member{Node: other.node, NewestBatch: m.senders[other.node]})
		}
	}
	slices.SortStableFunc(all, func(a, b loadview.Member) int { return a.NewestBatch.Compare(b.NewestBatch) })
	return all
}

// stepPool applies an event to a pool and carries out the effects.
func (g *group) stepPool(p *groupPool, event poolstate.Event) {
	var fx poolstate.Effects
	p.machine.Step(g.now, event, &fx)
	for _, s := range fx.Starts {
		id := string(s.Task)
		index, _ := strconv.Atoi(id[strings.LastIndexByte(id, '.')+1:])
		done := poolstate.Replied{Task: s.Task, Attempt: s.Attempt, Reply: port.TaskReply{State: port.TaskDone, Answer: []byte("1")}}
		g.after(g.timeToSend(p.owner)+g.jobs[s.Task.Job()].runs[index]+groupEndpointRTT, func() { g.stepPool(p, done) })
	}
	for _, r := range fx.Revokes {
		reply := poolstate.RevokeReplied{Task: r.Task, Attempt: r.Attempt, Reply: port.RevokeReply{State: port.TaskUnknown}}
		g.after(r.After+groupEndpointRTT, func() { g.stepPool(p, reply) })
	}
	for _, result := range fx.Ended {
		j := p.origins[result.ID]
		delete(p.origins, result.ID)
		g.after(g.transit(p.owner, j.member), func() {
			g.viewOf(j.member, p).Update(g.now, result.Load)
			g.stepJob(j, jobstate.BatchEnded{Result: result})
		})
	}
	g.setPoolTimer(p)
}

// timeToSend returns when a member's processor has sent one more start, after those that it has to send already.
func (g *group) timeToSend(m *groupMember) time.Duration {
	if m.busy.Before(g.now) {
		m.busy = g.now
	}
	m.busy = m.busy.Add(g.size.startCost)
	return m.busy.Sub(g.now)
}

// setPoolTimer lets the pool's next timer fire when it is due.
func (g *group) setPoolTimer(p *groupPool) {
	at, set := p.machine.NextTimer()
	if !set || at.Equal(p.timer) {
		return
	}
	p.timer = at
	g.after(at.Sub(g.now), func() {
		if p.timer.Equal(at) {
			p.timer = time.Time{}
			g.stepPool(p, poolstate.Elapsed{})
		}
	})
}

// stepJob applies an event to a job and carries out the effects.
func (g *group) stepJob(j *groupJob, event jobstate.Event) {
	if j.state.Outcome().State != model.StateRunning {
		return
	}
	fx := j.state.Step(g.now, event)
	for _, s := range fx.Sends {
		j.parts++
		g.sendPart(j, s.Batch)
	}
	if fx.Replan != nil {
		j.replans++
		g.stepJob(j, jobstate.Replanned{Part: fx.Replan.Part, Plan: g.replan(j.member, fx.Replan)})
	}
	if fx.Ended && j.at.Sub(epoch) > groupWarmUp {
		g.count(j)
	}
}

func (g *group) sendPart(j *groupJob, b model.Batch) {
	p := g.pools[slices.IndexFunc(g.pools, func(p *groupPool) bool { return p.id == b.Pool })]
	if p.owner != j.member {
		g.viewOf(j.member, p).AddSent(g.now, len(b.Tasks))
	}
	g.after(g.transit(j.member, p.owner), func() {
		p.origins[b.ID] = j
		p.owner.senders[j.member.node] = g.now
		g.stepPool(p, poolstate.Submitted{Batch: b, Profile: model.BuiltInProfile()})
	})
}

// plan plans a job by the loads that the member knows.
func (g *group) plan(m *groupMember, job model.Job, avoid []model.PoolID) port.Plan {
	var loads []model.PoolLoad
	for _, p := range g.pools {
		load, known := p.machine.Load(), true
		if p.owner != m {
			load, known = g.viewOf(m, p).Load(g.now)
		}
		if known && !slices.Contains(avoid, p.id) {
			loads = append(loads, load)
		}
	}
	return leastwait.Policy{}.Plan(port.PlanRequest{
		Job: job, Pools: loads, Self: m.node, Near: m.centre, MessageCost: model.BuiltInProfile().MessageCost, Random: g.random,
	})
}

// replan plans a refused part again. Each part has a retry, unlike in a member with a retry budget.
func (g *group) replan(m *groupMember, r *jobstate.Replan) port.Plan {
	plan := g.plan(m, r.Job, r.Avoid)
	if r.Unaccepted && r.Reason == model.ReasonOverload && fit.LateBy(&r.Job, plan.Wait, nil, g.now) > 0 {
		return port.Plan{}
	}
	return plan
}

// count adds a job that has ended to the counts of its team.
func (g *group) count(j *groupJob) {
	c, ok := g.counts[j.Team]
	if !ok {
		c = &groupCounts{}
		g.counts[j.Team] = c
	}
	c.jobs++
	c.parts += float64(j.parts)
	c.replans += float64(j.replans)
	switch took := g.now.Sub(j.at); {
	case j.state.Outcome().State != model.StateComplete:
	case took <= groupObjective.For(slices.Max(j.runs)):
		c.inTime++
	case took <= groupObjective.UsefulFor(slices.Max(j.runs)):
		c.late++
	}
}

// spread draws a factor with a log-normal distribution around 1; deviation is the standard deviation of its logarithm.
func (g *group) spread(deviation float64) float64 {
	return math.Exp(deviation * g.arrivals.NormFloat64())
}

// drawJob draws a job of the kind. All its tasks need the same cores.
func (g *group) drawJob(k groupKind) *groupJob {
	j := &groupJob{at: g.now, member: g.members[g.arrivals.IntN(len(g.members))]}
	j.Job = model.Job{
		ID: model.JobID("j" + strconv.Itoa(len(g.jobs))), Service: "finder", Team: k.team, Deadline: g.now.Add(3 * time.Second),
		MaxFailures: 2, Objective: groupObjective, Submitted: g.now,
	}
	declared := time.Duration(float64(k.run) * g.spread(0.2))
	needs := min(max(int(groupNeeds*(1+0.2*g.arrivals.NormFloat64())), groupNeeds/2), groupNeeds*3/2)
	for i := range max(int(float64(k.tasks)*g.spread(0.3)), 1) {
		j.runs = append(j.runs, time.Duration(float64(declared)*g.spread(0.15)))
		j.Tasks = append(j.Tasks, model.Task{Index: i, Declared: declared, Needs: model.Needs{MilliCores: needs}})
	}
	return j
}

// submit submits a job of the kind, and the next one after a random time.
func (g *group) submit(k groupKind) {
	j := g.drawJob(k)
	g.after(time.Duration(g.arrivals.ExpFloat64()/(k.rate*g.size.load)*float64(time.Second)), func() { g.submit(k) })
	g.jobs[j.ID] = j
	j.state = jobstate.New(j.Job, j.member.node, jobstate.Retention{Answers: time.Minute, Until: g.now.Add(time.Hour)})
	if plan := g.plan(j.member, j.Job, nil); len(plan.Parts) > 0 {
		g.stepJob(j, jobstate.Planned{Plan: plan})
	} else {
		g.stepJob(j, jobstate.Refused{Reason: plan.Refused})
	}
}

// run lets jobs arrive for the given time.
func (g *group) run(length time.Duration) {
	for _, k := range groupKinds {
		g.submit(k)
	}
	for end := epoch.Add(length); g.now.Before(end); {
		e := heap.Pop(&g.events).(groupEvent)
		g.now = e.at
		e.do()
	}
}

// BenchmarkGroup measures the jobs within their objectives while a group of members with many small pools works. At load 1 its
// jobs use about 0.61 of the cores, at 1.3 about 0.78, which is nearly all that tasks with such needs can fill.
func BenchmarkGroup(b *testing.B) {
	for _, load := range []float64{1, 1.2, 1.3} {
		b.Run(fmt.Sprintf("load=%.1f", load), func(b *testing.B) {
			benchmarkGroup(b, groupSize{members: []int{8, 8, 6, 6}, endpoints: 350, parts: 8, load: load})
		})
	}
}

// BenchmarkGroupOfSlowMembers measures the same where the owners of one pool a data centre have not the processor for all of its
// starts, although the members together have more than enough: 20 endpoints a data centre, and 0.83 ms of a core for a start at 0.12
// cores a member. Jobs of many short tasks are the first to be late. They all use 0.36 and 0.44 of the endpoints' cores.
func BenchmarkGroupOfSlowMembers(b *testing.B) {
	for _, parts := range []int{1, 2} {
		for _, load := range []float64{0.2, 0.25} {
			b.Run(fmt.Sprintf("parts=%d,load=%.2f", parts, load), func(b *testing.B) {
				benchmarkGroup(b, groupSize{
					members: []int{3, 3, 3, 3, 3, 3}, endpoints: 120, parts: parts, load: load, startCost: 6900 * time.Microsecond,
				})
			})
		}
	}
}

func benchmarkGroup(b *testing.B, size groupSize) {
	sums := map[model.TeamID]groupCounts{}
	for seed := range b.N {
		g := newGroup(uint64(seed+1), size)
		g.run(groupLength)
		for team, c := range g.counts {
			s := sums[team]
			sums[team] = groupCounts{s.jobs + c.jobs, s.inTime + c.inTime, s.late + c.late, s.parts + c.parts, s.replans + c.replans}
		}
	}
	for team, s := range sums {
		b.ReportMetric(s.inTime/s.jobs, string(team)+"-in-time")
		b.ReportMetric(s.late/s.jobs, string(team)+"-late")
		b.ReportMetric(s.parts/s.jobs, string(team)+"-parts")
		b.ReportMetric(s.replans/s.jobs, string(team)+"-replans")
	}
}
