package poolstate

import (
	"time"

	"redwingpulley/kernel/invariant"
	"redwingpulley/kernel/model"
	"redwingpulley/kernel/port"
)

const (
	// EndpointLease is how long an endpoint gets work after its last announcement.
	EndpointLease = 3 * time.Second
	revokeRetry   = 200 * time.Millisecond // Between revokes of one task.
)

// Policies are the placement and admission plug-ins by name.
type Policies struct {
	Placements map[string]port.Placement
	Admissions map[string]port.Admission
}

// Machine holds the state of one pool. Create one with New.
type Machine struct {
	id       model.PoolID
	owner    model.NodeID
	policies Policies
	seed     uint64

	placement string
	placer    port.Placer

	endpoints map[model.EndpointID]*endpoint
	batches   map[model.BatchID]*batch
	flights   map[model.TaskID]*flight
	queue     queue
	estimate  estimate
	version   uint64
}

type endpoint struct {
	model.Endpoint
	busy       int // Tasks whose end the endpoint has not confirmed.
	leaseUntil time.Time
}

// batch is a batch that has not ended.
type batch struct {
	model.Batch
	profile model.Profile
	results []model.TaskResult
	open    int // Tasks without a result.
}

// flight is a task that was sent to an endpoint and whose end there is not confirmed. It outlives
// its batch when the batch ends first.
type flight struct {
	task     model.TaskID
	batch    model.BatchID
	index    int
	attempt  int
	endpoint model.EndpointID
	address  string
	sent     time.Time
	stopping bool
}

// New returns the machine of an empty pool. Equal seeds and events give equal decisions.
func New(id model.PoolID, owner model.NodeID, policies Policies, seed uint64) *Machine {
	return &Machine{
		id:        id,
		owner:     owner,
		policies:  policies,
		seed:      seed,
		endpoints: make(map[model.EndpointID]*endpoint),
		batches:   make(map[model.BatchID]*batch),
		flights:   make(map[model.TaskID]*flight),
	}
}

// Step applies an event and puts what has to be done into fx, which it empties first. The caller
// may use one Effects for many steps; what it holds is valid until the next of them.
func (m *Machine) Step(now time.Time, event Event, fx *Effects) {
	fx.Reset()
	m.version++
	switch e := event.(type) {
	case Announced:
		m.announced(now, e.Endpoint)
	case Submitted:
		m.submitted(now, e, fx)
	case Replied:
		m.replied(now, e, fx)
	case RevokeReplied:
		m.revokeReplied(now, e, fx)
	case Cancelled:
		m.cancel(e.Batch, model.ReasonCancelled, fx)
	case Elapsed:
		m.elapsed(now, fx)
	}
	m.place(now, fx)
}

// Wake returns when Elapsed is due next; ok is false when nothing is waiting for time to pass.
func (m *Machine) Wake() (at time.Time, ok bool) {
	for _, b := range m.batches {
		at, ok = earlier(at, ok, b.Deadline)
	}
	for _, e := range m.endpoints {
		at, ok = earlier(at, ok, e.leaseUntil)
	}
	return at, ok
}

func earlier(at time.Time, ok bool, other time.Time) (time.Time, bool) {
	if !ok || other.Before(at) {
		return other, true
	}
	return at, true
}

func (m *Machine) announced(now time.Time, announced model.Endpoint) {
	e, known := m.endpoints[announced.ID]
	if !known {
		e = &endpoint{}
		m.endpoints[announced.ID] = e
	}
	e.Endpoint = announced
	e.leaseUntil = now.Add(EndpointLease)
	m.updatePlacer(e)
}

func (m *Machine) submitted(now time.Time, s Submitted, fx *Effects) {
	if _, known := m.batches[s.Batch.ID]; known {
		return
	}
	m.usePlacement(s.Profile.Placement)
	if verdict := m.admit(now, s); !verdict.Admit {
		result := model.RefusedBatch(s.Batch.ID, verdict.Reason)
		result.RetryAfter = verdict.RetryAfter
		result.Load = m.Load()
		fx.Ended = append(fx.Ended, result)
		fx.Decisions = append(fx.Decisions, Decision{Batch: s.Batch.ID, Task: -1, Why: "refused: " + string(verdict.Reason)})
		return
	}
	b := &batch{Batch: s.Batch, profile: s.Profile, open: len(s.Batch.Tasks)}
	m.batches[s.Batch.ID] = b
	for i := range s.Batch.Tasks {
		m.queue.push(s.Batch.Team, waiting{batch: b, position: i, attempt: 1, run: m.estimate.of(s.Profile, s.Batch.Tasks[i])})
	}
}

func (m *Machine) usePlacement(name string) {
	if m.placer != nil && m.placement == name {
		return
	}
	policy, ok := m.policies.Placements[name]
	invariant.Check(ok, "profile-placement", "profile names unknown placement %q", name)
	m.placement = name
	m.placer = policy.NewPlacer(m.seed)
	for _, e := range m.endpoints {
		m.updatePlacer(e)
	}
}

func (m *Machine) admit(now time.Time, s Submitted) port.Verdict {
	policy, ok := m.policies.Admissions[s.Profile.Admission]
	invariant.Check(ok, "profile-admission", "profile names unknown admission %q", s.Profile.Admission)
	load := m.Load()
	request := port.AdmissionRequest{
		Tasks:       len(s.Batch.Tasks),
		Remaining:   s.Batch.Deadline.Sub(now),
		Slots:       load.Slots,
		Free:        load.Free,
		QueuedTasks: load.Queued,
		QueuedWork:  load.QueuedRun,
		QueueLimit:  s.Profile.QueueTasks,
	}
	for _, task := range s.Batch.Tasks {
		run := m.estimate.of(s.Profile, task)
		request.RunTime = max(request.RunTime, run)
		request.Work += run
	}
	return policy.Admit(request)
}

// place starts queued tasks while an endpoint has room for one.
func (m *Machine) place(now time.Time, fx *Effects) {
	for m.placer != nil {
		w, ok := m.queue.peek()
		if !ok {
			return
		}
		id, why, ok := m.placer.Pick(w.task().Needs)
		if !ok {
			return
		}
		m.queue.pop()
		m.start(now, w, m.endpoints[id], why, fx)
	}
}

func (m *Machine) start(now time.Time, w waiting, e *endpoint, why string, fx *Effects) {
	id := w.batch.ID.Job.TaskID(w.task().Index)
	_, flying := m.flights[id]
	invariant.Check(!flying, "one-start", "task %s is already at an endpoint", id)
	invariant.Check(e.busy < e.Slots, "slots", "endpoint %s has %d of %d slots taken", e.ID, e.busy, e.Slots)
	e.busy++
	m.updatePlacer(e)
	m.flights[id] = &flight{task: id, batch: w.batch.ID, index: w.position, attempt: w.attempt, endpoint: e.ID, address: e.Address, sent: now}
	fx.Starts = append(fx.Starts, Start{
		Task: id, Attempt: w.attempt, Endpoint: e.ID, Address: e.Address,
		Deadline: w.batch.Deadline, Payload: w.task().Payload,
	})
	fx.Decisions = append(fx.Decisions, Decision{
		Batch: w.batch.ID, Task: w.task().Index, Endpoint: e.ID, Why: why, PassedOver: len(m.endpoints) - 1,
	})
}

func (m *Machine) updatePlacer(e *endpoint) {
	if m.placer == nil {
		return
	}
	slots := e.Slots
	if e.State != model.EndpointServing {
		slots = 0
	}
	m.placer.Update(port.EndpointLoad{ID: e.ID, Slots: slots, Free: min(slots, e.Slots-e.busy), Has: e.Has})
}

// Load returns the pool's load as its owner sees it.
func (m *Machine) Load() model.PoolLoad {
	load := model.PoolLoad{Pool: m.id, Owner: m.owner, Version: m.version, Queued: m.queue.count, QueuedRun: m.queue.work}
	for _, e := range m.endpoints {
		if e.State != model.EndpointServing {
			continue
		}
		load.Slots += e.Slots
		load.Free += e.Slots - e.busy
		load.Largest.Cores = max(load.Largest.Cores, e.Has.Cores)
		load.Largest.MemoryMB = max(load.Largest.MemoryMB, e.Has.MemoryMB)
		load.Largest.Accelerators = max(load.Largest.Accelerators, e.Has.Accelerators)
	}
	return load
}

// Endpoints returns the pool's endpoints in no particular order.
func (m *Machine) Endpoints() []port.EndpointStatus {
	all := make([]port.EndpointStatus, 0, len(m.endpoints))
	for _, e := range m.endpoints {
		all = append(all, port.EndpointStatus{Endpoint: e.Endpoint, Busy: e.busy})
	}
	return all
}
