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

// world is a job owner, pool owners and endpoints, joined by messages that a test delivers, drops,
// doubles and reorders. Nothing happens between its actions.
type world struct {
	fail     func(format string, args ...any)
	now      time.Time
	origin   *jobOwner
	origins  int // Incarnations of the job owner so far.
	owners   map[model.NodeID]*poolOwner
	wire     []message
	executed map[model.TaskID]int // Starts at any endpoint.
	ended    map[model.JobID]model.Outcome
	tasks    map[model.JobID]int
	jobs     int
}

// message is one message on its way; it may be delivered any number of times.
type message struct {
	name    string
	deliver func()
	lost    func() // The sender's connection broke; nil when nobody notices.
}

// jobOwner is one incarnation of the member that owns the jobs.
type jobOwner struct {
	incarnation int
	jobs        map[model.JobID]*jobstate.Job
	lines       map[lineKey]*ledger.Outbox
	open        map[model.BatchID]*sent
}

type lineKey struct {
	owner       model.NodeID
	incarnation int
}

// sent is a batch that the job owner waits for.
type sent struct {
	line     lineKey
	sequence uint64
	batch    model.Batch
	asks     bool // Its first reply did not come.
}

// poolOwner is one incarnation of a member that owns one pool with a few endpoints.
type poolOwner struct {
	node        model.NodeID
	incarnation int
	machine     *poolstate.Machine
	ledgers     map[int]*ledger.Ledger // By the job owner's incarnation.
	results     map[model.BatchID]*pending
	endpoints   []*endpoint // Outlive their owner's incarnations.
}

// pending is a batch at a pool's owner and the replies that wait for it.
type pending struct {
	origin   int
	sequence uint64
	result   *model.BatchResult
	waiting  []func(model.BatchResult)
}

// endpoint is the model of an endpoint's promises.
type endpoint struct {
	id      model.EndpointID
	slots   int
	busy    int
	state   map[model.TaskID]port.TaskState
	refused map[model.TaskID]int                  // Highest attempt that was answered not_run.
	answers map[model.TaskID]func(port.TaskReply) // Of the tasks that run.
	running []model.TaskID                        // In the order of their starts.
}

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newWorld(fail func(string, ...any), owners, slots int) *world {
	w := &world{
		fail: fail, now: epoch, owners: map[model.NodeID]*poolOwner{},
		executed: map[model.TaskID]int{}, ended: map[model.JobID]model.Outcome{}, tasks: map[model.JobID]int{},
	}
	w.restartOrigin()
	for i := range owners {
		node := model.NodeID(fmt.Sprintf("p%d", i))
		w.owners[node] = &poolOwner{node: node, endpoints: []*endpoint{newEndpoint("a-"+node, slots), newEndpoint("b-"+node, slots)}}
		w.restartOwner(node)
	}
	return w
}

func newEndpoint(id model.NodeID, slots int) *endpoint {
	return &endpoint{
		id: model.EndpointID(id), slots: slots,
		state: map[model.TaskID]port.TaskState{}, refused: map[model.TaskID]int{}, answers: map[model.TaskID]func(port.TaskReply){},
	}
}

func (w *world) post(m message) { w.wire = append(w.wire, m) }

// restartOrigin loses all jobs; who asks for one is told that it may have run.
func (w *world) restartOrigin() {
	w.origins++
	w.origin = &jobOwner{
		incarnation: w.origins, jobs: map[model.JobID]*jobstate.Job{},
		lines: map[lineKey]*ledger.Outbox{}, open: map[model.BatchID]*sent{},
	}
}

// restartOwner loses the pool and its ledgers; the endpoint goes on.
func (w *world) restartOwner(node model.NodeID) {
	old := w.owners[node]
	w.owners[node] = &poolOwner{
		node: node, incarnation: old.incarnation + 1, endpoints: old.endpoints,
		machine: poolstate.New(poolOf(node), node, poolstate.Policies{
			Placements: map[string]port.Placement{"least_wait": leastwait.Policy{}},
			Admissions: map[string]port.Admission{"deadline": deadline.Policy{}},
		}, 1),
		ledgers: map[int]*ledger.Ledger{}, results: map[model.BatchID]*pending{},
	}
	for _, e := range old.endpoints {
		w.announce(w.owners[node], e)
	}
}

func poolOf(node model.NodeID) model.PoolID {
	return model.PoolID{Service: "finder", DataCentre: model.DataCentre(node)}
}

func (w *world) announce(p *poolOwner, e *endpoint) {
	w.stepPool(p, poolstate.Announced{Endpoint: model.Endpoint{
		ID: e.id, Address: string(e.id), Service: "finder", DataCentre: model.DataCentre(p.node),
		Slots: e.slots, State: model.EndpointServing, Running: slices.Clone(e.running),
	}})
}

// submit starts a job whose tasks are split over the given owners.
func (w *world) submit(tasks int, deadline time.Duration, owners []model.NodeID) {
	w.jobs++
	job := model.Job{ID: model.JobID(fmt.Sprintf("j%d", w.jobs)), Service: "finder", Team: "t", Deadline: w.now.Add(deadline)}
	for i := range tasks {
		job.Tasks = append(job.Tasks, model.Task{Index: i})
	}
	w.tasks[job.ID] = tasks
	w.origin.jobs[job.ID] = jobstate.New(job, "origin", jobstate.Retention{Answers: time.Minute, Until: w.now.Add(time.Hour)})
	w.stepJob(job.ID, jobstate.Planned{Plan: split(tasks, owners)})
}

func split(tasks int, owners []model.NodeID) port.Plan {
	var plan port.Plan
	for i, node := range owners {
		part := port.PlanPart{Pool: poolOf(node), Owner: node}
		for t := i; t < tasks; t += len(owners) {
			part.Tasks = append(part.Tasks, t)
		}
		if len(part.Tasks) > 0 {
			plan.Parts = append(plan.Parts, part)
		}
	}
	return plan
}

func (w *world) stepJob(id model.JobID, event jobstate.Event) {
	job, known := w.origin.jobs[id]
	if !known {
		return
	}
	fx := job.Step(w.now, event)
	for _, s := range fx.Sends {
		w.send(s)
	}
	for _, part := range fx.Cancels {
		w.cancel(model.BatchID{Job: id, Part: part})
	}
	if fx.Replan != nil {
		w.stepJob(id, jobstate.Replanned{Part: fx.Replan.Part, Plan: w.elsewhere(fx.Replan)})
	}
	if fx.Ended {
		w.jobEnded(id, job.Outcome())
	}
}

// elsewhere plans a refused part for the first owner that has not refused the job.
func (w *world) elsewhere(r *jobstate.Replan) port.Plan {
	for i := range len(w.owners) {
		node := model.NodeID(fmt.Sprintf("p%d", i))
		avoided := false
		for _, pool := range r.Avoid {
			avoided = avoided || pool == poolOf(node)
		}
		if !avoided {
			return split(len(r.Job.Tasks), []model.NodeID{node})
		}
	}
	return port.Plan{}
}

func (w *world) jobEnded(id model.JobID, outcome model.Outcome) {
	if _, twice := w.ended[id]; twice {
		w.fail("job %s ended twice", id)
	}
	w.ended[id] = outcome
	if outcome.State != model.StateComplete {
		return
	}
	if len(outcome.Answers) != w.tasks[id] {
		w.fail("job %s complete with %d of %d answers", id, len(outcome.Answers), w.tasks[id])
	}
	for i, answer := range outcome.Answers {
		if string(answer) != string(id.TaskID(i)) {
			w.fail("job %s got %q as answer %d", id, answer, i)
		}
	}
}

// check holds at any time: a task starts at most once, and what is said not to have run never does.
func (w *world) check() {
	for task, starts := range w.executed {
		if starts > 1 {
			w.fail("task %s started %d times", task, starts)
		}
		if w.ended[task.Job()].Run == model.NotRun && starts > 0 {
			w.fail("task %s started, its job says not_run", task)
		}
	}
	for _, p := range w.owners {
		for _, e := range p.endpoints {
			if e.busy > e.slots {
				w.fail("endpoint %s runs %d tasks on %d slots", e.id, e.busy, e.slots)
			}
		}
	}
}
