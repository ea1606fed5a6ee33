package poolstate

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"redwingpulley/kernel/model"
	"redwingpulley/kernel/port"
)

// simTrace describes the load of a simulated pool.
type simTrace struct {
	seed      uint64
	endpoints int
	load      float64 // Average share of the slots that the jobs need.
	length    time.Duration
	deadline  time.Duration
	teams     int
	noisy     float64       // Load that team 0 adds to its share.
	burstAt   time.Duration // Start of a burst of burstLoad; 0 for none.
	burst     time.Duration
	burstLoad float64
	classes   []simClass // Classes of jobs, one a team, instead of those of drawJob.
	parts     bool       // The batches are parts of jobs, which the pool may not refuse like whole ones.
}

// simJob is one job of a trace, with the actual and declared run times of its tasks.
type simJob struct {
	at       time.Duration
	team     int
	runs     []time.Duration
	declared []time.Duration
	end      time.Duration // End of the job's last task; 0 unless all tasks have answered.
	refused  bool
	slotTime time.Duration // Slot time spent on the job's tasks.
}

const simSlots = 8

// meanSlotTime returns the mean slot time of the jobs that drawJob returns.
func meanSlotTime(random *rand.Rand) time.Duration {
	const samples = 20000
	var sum time.Duration
	for range samples {
		for _, run := range drawJob(random).runs {
			sum += run
		}
	}
	return sum / samples
}

// drawJob draws a job of 1 to 160 tasks that run for 50 ms to a second, a few for several seconds.
// Declared run times are wrong by a factor of up to ten.
func drawJob(random *rand.Rand) *simJob {
	tasks := 1
	switch p := random.Float64(); {
	case p > 0.85:
		tasks = 16 + random.IntN(145)
	case p > 0.5:
		tasks = 2 + random.IntN(15)
	}
	j := &simJob{}
	for range tasks {
		run := 50 * time.Millisecond * time.Duration(1000*math.Pow(20, random.Float64())) / 1000
		if random.Float64() < 0.01 {
			run = time.Second + time.Duration(random.Int64N(int64(4*time.Second)))
		}
		j.runs = append(j.runs, run)
		j.declared = append(j.declared, time.Duration(float64(run)*math.Pow(10, 2*random.Float64()-1)))
	}
	return j
}

func (s simTrace) jobs() []*simJob {
	random := rand.New(rand.NewPCG(s.seed, 1))
	if len(s.classes) > 0 {
		return s.classJobs(random)
	}
	slots := float64(s.endpoints * simSlots)
	work := meanSlotTime(random)
	var jobs []*simJob
	draw := func(from, to time.Duration, load float64, team func() int) {
		gap := float64(work) / (load * slots)
		for at := from; load > 0; {
			at += time.Duration(random.ExpFloat64() * gap)
			if at >= to {
				return
			}
			j := drawJob(random)
			j.at, j.team = at, team()
			jobs = append(jobs, j)
		}
	}
	anyTeam := func() int { return random.IntN(s.teams) }
	draw(0, s.length, s.load, anyTeam)
	draw(0, s.length, s.noisy, func() int { return 0 })
	draw(s.burstAt, s.burstAt+s.burst, s.burstLoad, anyTeam)
	slices.SortFunc(jobs, func(a, b *simJob) int { return int(a.at - b.at) })
	return jobs
}

// simEvent is a scheduled event of the simulation. The machine's timers are not among them.
type simEvent struct {
	at    time.Time
	order int
	event Event
}

type simEvents []simEvent

func (e simEvents) Len() int { return len(e) }
func (e simEvents) Less(i, j int) bool {
	if e[i].at.Equal(e[j].at) {
		return e[i].order < e[j].order
	}
	return e[i].at.Before(e[j].at)
}
func (e simEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *simEvents) Push(x any)   { *e = append(*e, x.(simEvent)) }
func (e *simEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// simulation runs a machine on a virtual clock.
type simulation struct {
	trace   simTrace
	machine *Machine
	now     time.Time
	events  simEvents
	order   int
	jobs    []*simJob
	running map[model.TaskID]simRun
	fx      Effects
}

// simRun is a task that runs at an endpoint.
type simRun struct {
	since    time.Time
	endpoint model.EndpointID
}

// simulate runs the trace; tune may change the machine before it starts.
func simulate(trace simTrace, profile model.Profile, tune func(*Machine)) []*simJob {
	s := &simulation{
		trace: trace, machine: New(finderPool, "sj1-a", shipped, trace.seed), now: start,
		jobs: trace.jobs(), running: make(map[model.TaskID]simRun),
	}
	tune(s.machine)
	for i := range trace.endpoints {
		e := model.Endpoint{ID: model.EndpointID(fmt.Sprint("e", i)), Slots: simSlots, State: model.EndpointServing}
		for at := time.Duration(0); at < trace.length+time.Minute; at += DefaultEndpointLease / 3 {
			s.at(start.Add(at), Announced{Endpoint: e})
		}
	}
	for i, j := range s.jobs {
		s.at(start.Add(j.at), s.submission(i, j, profile))
	}
	s.run()
	return s.jobs
}

func (s *simulation) submission(i int, j *simJob, profile model.Profile) Event {
	b := model.Batch{
		ID: model.BatchID{Job: model.JobID(fmt.Sprintf("n.i.1.%d.t", i)), Part: i}, Pool: finderPool,
		Team: model.TeamID(fmt.Sprint("t", j.team)), Deadline: start.Add(j.at + s.trace.deadline),
	}
	for k := range j.runs {
		b.Tasks = append(b.Tasks, model.Task{Index: k, Declared: j.declared[k]})
	}
	if len(s.trace.classes) > 0 {
		b.Objective, b.Priority, b.Whole = simObjective, s.trace.classes[j.team].priority, !s.trace.parts
	}
	return Submitted{b, profile}
}

func (s *simulation) at(at time.Time, event Event) {
	s.order++
	heap.Push(&s.events, simEvent{at, s.order, event})
}

func (s *simulation) run() {
	for len(s.events) > 0 {
		if due, ok := s.machine.NextTimer(); ok && due.Before(s.events[0].at) {
			s.now = due
			s.step(Elapsed{})
			continue
		}
		next := heap.Pop(&s.events).(simEvent)
		s.now = next.at
		s.step(next.event)
	}
}

func (s *simulation) step(event Event) {
	if r, ok := event.(Replied); ok {
		if _, runs := s.running[r.Task]; !runs {
			return // The task was stopped.
		}
		s.endRun(r.Task)
	}
	if a, ok := event.(Announced); ok {
		a.Endpoint.Running = s.runningAt(a.Endpoint.ID)
		event = a
	}
	s.machine.Step(s.now, event, &s.fx)
	for _, st := range s.fx.Starts {
		j, index := s.taskOf(st.Task)
		s.running[st.Task] = simRun{s.now, st.Endpoint}
		s.at(s.now.Add(j.runs[index]), Replied{Task: st.Task, Attempt: st.Attempt, Reply: port.TaskReply{State: port.TaskDone}})
	}
	for _, r := range s.fx.Revokes {
		s.endRun(r.Task)
		s.at(s.now, RevokeReplied{r.Task, r.Attempt, port.RevokeReply{State: port.TaskStopped}})
	}
	for _, result := range s.fx.Ended {
		s.finish(result)
	}
}

// runningAt returns the tasks that the endpoint lists in its announcement.
func (s *simulation) runningAt(id model.EndpointID) (tasks []model.TaskID) {
	for task, run := range s.running {
		if run.endpoint == id {
			tasks = append(tasks, task)
		}
	}
	slices.Sort(tasks)
	return tasks
}

func (s *simulation) endRun(id model.TaskID) {
	j, _ := s.taskOf(id)
	j.slotTime += s.now.Sub(s.running[id].since)
	delete(s.running, id)
}

func (s *simulation) taskOf(id model.TaskID) (j *simJob, index int) {
	var job int
	fmt.Sscanf(string(id), "n.i.1.%d.t.%d", &job, &index)
	return s.jobs[job], index
}

func (s *simulation) finish(result model.BatchResult) {
	j := s.jobs[result.ID.Part]
	j.refused = result.Refused
	for _, r := range result.Results {
		if !r.Done {
			return
		}
	}
	if !result.Refused {
		j.end = s.now.Sub(start)
	}
}

// clairvoyant returns the mean response time of an ideal single queue over all slots that knows the run
// times in advance: jobs in the order of arrival, and the longest tasks of each first.
func clairvoyant(jobs []*simJob, slots int) time.Duration {
	free := make([]time.Duration, slots)
	var sum time.Duration
	for _, j := range jobs {
		runs := slices.Clone(j.runs)
		slices.SortFunc(runs, func(a, b time.Duration) int { return int(b - a) })
		end := j.at
		for _, run := range runs {
			first := 0
			for i := range free {
				if free[i] < free[first] {
					first = i
				}
			}
			free[first] = max(free[first], j.at) + run
			end = max(end, free[first])
		}
		sum += end - j.at
	}
	return sum / time.Duration(max(len(jobs), 1))
}

// simSummary holds the results of a simulation.
type simSummary struct {
	jobs, completed, refused, late int
	mean, p99                      time.Duration
	overIdeal                      float64 // Mean response time divided by that of the clairvoyant queue for all jobs.
	wasted                         float64 // Share of the slot time used that was spent on jobs without an answer.
	useful                         float64 // Share of all slot time that was spent on jobs with an answer.
}

func summarize(trace simTrace, jobs []*simJob, counts func(*simJob) bool) simSummary {
	var r simSummary
	var responses []time.Duration
	var sum, used, lost time.Duration
	for _, j := range jobs {
		if !counts(j) {
			continue
		}
		r.jobs++
		switch {
		case j.end > 0:
			r.completed++
			responses = append(responses, j.end-j.at)
			sum += j.end - j.at
			used += j.slotTime
		case j.refused:
			r.refused++
		default:
			r.late++
			lost += j.slotTime
		}
	}
	slices.Sort(responses)
	if len(responses) > 0 {
		r.mean = sum / time.Duration(len(responses))
		r.p99 = responses[len(responses)*99/100]
	}
	slots := trace.endpoints * simSlots
	r.overIdeal = float64(r.mean) / float64(clairvoyant(jobs, slots))
	r.wasted = float64(lost) / float64(max(used+lost, 1))
	r.useful = float64(used) / float64(trace.length*time.Duration(slots))
	return r
}

func all(*simJob) bool { return true }
