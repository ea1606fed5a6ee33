package jobstate_test

import (
	"fmt"
	"slices"
	"time"

	"redwingpulley/kernel/model"
	"redwingpulley/kernel/port"
	"redwingpulley/plugins/admission/deadline"
	"redwingpulley/plugins/endpoints/ledger"
	"redwingpulley/plugins/endpoints/poolstate"
	"redwingpulley/plugins/jobs/jobstate"
	"redwingpulley/plugins/placement/leastwait"
)

// simulation is a job owner, pool owners and endpoints, connected by messages that a test delivers,
// drops, duplicates and reorders. Nothing happens except by the test's actions.
type simulation struct {
	fail                 func(format string, args ...any)
	now                  time.Time
	owner                *jobOwner // Current incarnation of the job owner.
	jobOwnerIncarnations int       // Number of incarnations of the job owner so far.
	poolOwners           map[model.NodeID]*poolOwner
	messages             []message                     // Messages in flight.
	executions           map[model.TaskID]int          // How often each task was started, over all endpoints.
	ended                map[model.JobID]model.Outcome // Outcomes of the jobs that have ended.
	tasks                map[model.JobID]int           // Number of tasks of each job.
	jobs                 int                           // Number of jobs submitted so far.
}

// message is a message that has been sent; it may be delivered any number of times.
type message struct {
	name    string
	deliver func()
	onDrop  func() // Called when the sender's connection breaks; nil when the sender does not notice.
}

// jobOwner is one incarnation of the member that owns the jobs.
type jobOwner struct {
	incarnation int
	jobs        map[model.JobID]*jobstate.Job
	outboxes    map[outboxKey]*ledger.Outbox
	inFlight    map[model.BatchID]*sentBatch
}

// outboxKey names one incarnation of a pool owner.
type outboxKey struct {
	owner       model.NodeID
	incarnation int
}

// sentBatch is a batch whose result the job owner waits for.
type sentBatch struct {
	outbox    outboxKey
	sequence  uint64
	batch     model.Batch
	replyLost bool // The connection of its request or of a reply broke: the result has to be requested again.
}

// poolOwner is one incarnation of a member that owns one pool with a few endpoints.
type poolOwner struct {
	node        model.NodeID
	incarnation int
	machine     *poolstate.Machine
	ledgers     map[int]*ledger.Ledger // By the incarnation of the job owner.
	batches     map[model.BatchID]*poolBatch
	endpoints   []*endpoint // They survive a restart of their owner.
}

// poolBatch is a batch at a pool's owner, with the replies to send when it ends.
type poolBatch struct {
	jobOwnerIncarnation int
	sequence            uint64
	result              *model.BatchResult
	replies             []func(model.BatchResult)
}

// endpoint models what an endpoint guarantees.
type endpoint struct {
	id             model.EndpointID
	slots          int
	busy           int
	state          map[model.TaskID]port.TaskState
	highestRefused map[model.TaskID]int                  // Highest attempt that was refused with not_run.
	replies        map[model.TaskID]func(port.TaskReply) // How to reply to the starts of the running tasks.
	running        []model.TaskID                        // In the order in which they started.
}

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newSimulation(fail func(string, ...any), poolOwners, slots int) *simulation {
	sim := &simulation{
		fail: fail, now: epoch, poolOwners: map[model.NodeID]*poolOwner{},
		executions: map[model.TaskID]int{}, ended: map[model.JobID]model.Outcome{}, tasks: map[model.JobID]int{},
	}
	sim.restartJobOwner()
	for i := range poolOwners {
		node := model.NodeID(fmt.Sprintf("p%d", i))
		sim.poolOwners[node] = &poolOwner{node: node, endpoints: []*endpoint{newEndpoint("a-"+node, slots), newEndpoint("b-"+node, slots)}}
		sim.restartPoolOwner(node)
	}
	return sim
}

func newEndpoint(id model.NodeID, slots int) *endpoint {
	return &endpoint{
		id: model.EndpointID(id), slots: slots,
		state: map[model.TaskID]port.TaskState{}, highestRefused: map[model.TaskID]int{}, replies: map[model.TaskID]func(port.TaskReply){},
	}
}

// send adds a message to those in flight.
func (sim *simulation) send(m message) { sim.messages = append(sim.messages, m) }

// restartJobOwner replaces the job owner by a new incarnation, which knows no jobs. Callers that ask
// for a job of the old one are told that it may have run.
func (sim *simulation) restartJobOwner() {
	sim.jobOwnerIncarnations++
	sim.owner = &jobOwner{
		incarnation: sim.jobOwnerIncarnations, jobs: map[model.JobID]*jobstate.Job{},
		outboxes: map[outboxKey]*ledger.Outbox{}, inFlight: map[model.BatchID]*sentBatch{},
	}
}

// restartPoolOwner replaces a pool owner by a new incarnation with an empty pool and no ledgers. Its
// endpoints go on running their tasks and announce themselves again.
func (sim *simulation) restartPoolOwner(node model.NodeID) {
	previous := sim.poolOwners[node]
	sim.poolOwners[node] = &poolOwner{
		node: node, incarnation: previous.incarnation + 1, endpoints: previous.endpoints,
		machine: poolstate.New(poolIDOf(node), node, poolstate.Policies{
			Placements: map[string]port.Placement{"least_wait": leastwait.Policy{}},
			Admissions: map[string]port.Admission{"deadline": deadline.Policy{}},
		}, 1),
		ledgers: map[int]*ledger.Ledger{}, batches: map[model.BatchID]*poolBatch{},
	}
	for _, e := range previous.endpoints {
		sim.announce(sim.poolOwners[node], e)
	}
}

func poolIDOf(node model.NodeID) model.PoolID {
	return model.PoolID{Service: "finder", DataCentre: model.DataCentre(node)}
}

// announce has an endpoint announce itself to the owner of its pool.
func (sim *simulation) announce(p *poolOwner, e *endpoint) {
	sim.stepPool(p, poolstate.Announced{Endpoint: model.Endpoint{
		ID: e.id, Address: string(e.id), Service: "finder", DataCentre: model.DataCentre(p.node),
		Slots: e.slots, State: model.EndpointServing, Running: slices.Clone(e.running),
	}})
}

// submit starts a job whose tasks are split over the pools of the given owners.
func (sim *simulation) submit(tasks int, deadline time.Duration, owners []model.NodeID) {
	sim.jobs++
	job := model.Job{ID: model.JobID(fmt.Sprintf("j%d", sim.jobs)), Service: "finder", Team: "t", Deadline: sim.now.Add(deadline)}
	for i := range tasks {
		job.Tasks = append(job.Tasks, model.Task{Index: i})
	}
	sim.tasks[job.ID] = tasks
	sim.owner.jobs[job.ID] = jobstate.New(job, "origin", jobstate.Retention{Answers: time.Minute, Until: sim.now.Add(time.Hour)})
	sim.stepJob(job.ID, jobstate.Planned{Plan: splitTasks(tasks, owners)})
}

// splitTasks returns a plan that deals the tasks out to the owners' pools in turn.
func splitTasks(tasks int, owners []model.NodeID) port.Plan {
	var plan port.Plan
	for i, node := range owners {
		part := port.PlanPart{Pool: poolIDOf(node), Owner: node}
		for t := i; t < tasks; t += len(owners) {
			part.Tasks = append(part.Tasks, t)
		}
		if len(part.Tasks) > 0 {
			plan.Parts = append(plan.Parts, part)
		}
	}
	return plan
}

// stepJob applies an event to a job and carries out its effects.
func (sim *simulation) stepJob(id model.JobID, event jobstate.Event) {
	job, exists := sim.owner.jobs[id]
	if !exists {
		return
	}
	fx := job.Step(sim.now, event)
	for _, s := range fx.Sends {
		sim.sendBatch(s)
	}
	for _, part := range fx.Cancels {
		sim.cancel(model.BatchID{Job: id, Part: part})
	}
	if fx.Replan != nil {
		sim.stepJob(id, jobstate.Replanned{Part: fx.Replan.Part, Plan: sim.replan(fx.Replan)})
	}
	if fx.Ended {
		sim.recordOutcome(id, job.Outcome())
	}
}

// replan returns a plan that sends a refused part to the first pool that the job need not avoid.
func (sim *simulation) replan(r *jobstate.Replan) port.Plan {
	for i := range len(sim.poolOwners) {
		node := model.NodeID(fmt.Sprintf("p%d", i))
		avoided := false
		for _, pool := range r.Avoid {
			avoided = avoided || pool == poolIDOf(node)
		}
		if !avoided {
			return splitTasks(len(r.Job.Tasks), []model.NodeID{node})
		}
	}
	return port.Plan{}
}

// recordOutcome keeps the outcome of a job that has ended; a complete one must have the answer of
// each of its tasks.
func (sim *simulation) recordOutcome(id model.JobID, outcome model.Outcome) {
	if _, exists := sim.ended[id]; exists {
		sim.fail("job %s ended twice", id)
	}
	sim.ended[id] = outcome
	if outcome.State != model.StateComplete {
		return
	}
	if len(outcome.Answers) != sim.tasks[id] {
		sim.fail("job %s complete with %d of %d answers", id, len(outcome.Answers), sim.tasks[id])
	}
	for i, answer := range outcome.Answers {
		if string(answer) != string(id.TaskID(i)) {
			sim.fail("job %s got %q as answer %d", id, answer, i)
		}
	}
}

// checkInvariants checks what holds at any time: a task starts at most once, no task of a job that was
// reported as not run starts, and no endpoint runs more tasks than it has slots.
func (sim *simulation) checkInvariants() {
	for task, starts := range sim.executions {
		if starts > 1 {
			sim.fail("task %s started %d times", task, starts)
		}
		if sim.ended[task.Job()].Run == model.NotRun && starts > 0 {
			sim.fail("task %s started, but its job was reported as not_run", task)
		}
	}
	for _, p := range sim.poolOwners {
		for _, e := range p.endpoints {
			if e.busy > e.slots {
				sim.fail("endpoint %s runs %d tasks on %d slots", e.id, e.busy, e.slots)
			}
		}
	}
}
