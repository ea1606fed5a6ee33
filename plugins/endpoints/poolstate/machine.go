package poolstate

import (
	"time"

	"redwingpulley/kernel/invariant"
	"redwingpulley/kernel/model"
	"redwingpulley/kernel/port"
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
	members   []*endpoint // The same endpoints, in an order that depends on the events alone.
	totals    totals
	usual     model.Needs // Of a task, as a moving average.
	batches   map[model.BatchID]*batch
	flights   map[model.TaskID]*task
	origins   origins
	queue     queue
	skipped   []*batch         // Buffer of place.
	freed     []*endpoint      // Endpoints with held tasks that may have room.
	changes   []EndpointChange // Of this step.
	runTimes  runTimes
	retries   budget
	timers    timers
	badRate   float64 // Share of tasks that ended badly at endpoints in no long run of failures.
	aside     int     // Endpoints in quarantine or being probed.
	probing   []*endpoint
	failing   int // Endpoints in a run of failures that are not set aside.
	live      int // Endpoints within their lease.
	version   uint64
	batchesIn uint64 // Batches taken on so far.
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
		flights:   make(map[model.TaskID]*task),
		origins:   newOrigins(),
		queue:     newQueue(),
		runTimes:  newRunTimes(),
		retries:   budget{tokens: maxRetryTokens},
		timers:    newTimers(),
	}
}

// Step applies an event and puts what has to be done into fx, which it empties first. The caller
// may use one Effects for many steps; what it holds is valid until the next of them.
func (m *Machine) Step(now time.Time, event Event, fx *Effects) {
	fx.Reset()
	m.version++
	if _, renews := event.(Announced); !renews {
		m.timers.elapsed(now, fx) // The timer itself may be late, above all after the process stood still.
	}
	switch e := event.(type) {
	case Announced:
		m.announced(now, &e.Endpoint, fx)
		m.timers.elapsed(now, fx)
	case Submitted:
		m.submitted(now, &e, fx)
	case Replied:
		m.replied(now, e, fx)
	case RevokeReplied:
		m.revokeReplied(now, e, fx)
	case Cancelled:
		m.cancelled(now, e.Batch, fx)
	case Owners:
		m.ownersChanged(now, e.Live)
	case Disowned:
		m.disowned()
	case Departed:
		m.departed(e.Endpoints)
	case Moved:
		m.giveBack(now, fx)
	}
	m.place(now, fx)
	fx.Changes = append(fx.Changes, m.changes...)
	m.changes = m.changes[:0]
}

// Wake returns when Elapsed is due next; ok is false when nothing is waiting for time to pass.
func (m *Machine) Wake() (at time.Time, ok bool) { return m.timers.next() }

func (m *Machine) usePlacement(name string) {
	if m.placer != nil && m.placement == name {
		return
	}
	policy, ok := m.policies.Placements[name]
	invariant.Check(ok, "profile-placement", "profile names unknown placement %q", name)
	m.placement = name
	m.placer = policy.NewPlacer(m.seed)
	for _, e := range m.members {
		m.placer.Update(e.load(m.usual))
	}
}

func (m *Machine) admit(now time.Time, b *batch) port.Verdict {
	policy, ok := m.policies.Admissions[b.profile.Admission]
	invariant.Check(ok, "profile-admission", "profile names unknown admission %q", b.profile.Admission)
	request := port.AdmissionRequest{
		Tasks:       len(b.Tasks),
		Remaining:   b.Deadline.Sub(now),
		Expected:    b.typicalRun,
		RunTime:     b.cautiousRun,
		Work:        b.work,
		Slots:       m.totals.slots,
		Free:        m.totals.free,
		Fits:        m.fits(b.Tasks),
		QueuedTasks: m.queue.count + m.totals.held,
		QueuedWork:  m.queue.work,
		QueueLimit:  b.profile.QueueTasks,
	}
	residual := time.Duration(len(m.flights)) * time.Duration(m.runTimes.all.mean) / 2
	queued := m.queue.workAhead(now, b, request.Work)
	request.Ahead = residual + queued
	request.Wait, request.MaxWait = m.waitBehind(b, queued), b.maxWait()
	verdict := policy.Admit(request)
	if verdict.Admit && b.MaxWait > 0 && m.expectedWait(b) > b.MaxWait {
		return port.Verdict{Reason: model.ReasonBusy}
	}
	return verdict
}

// waitBehind returns how long the batch's last task is expected to wait for a slot behind the given
// work of others.
func (m *Machine) waitBehind(b *batch, queued time.Duration) time.Duration {
	room := max(m.totals.free-m.queue.count-m.totals.held, 0)
	if len(b.Tasks) <= room {
		return 0
	}
	own := b.work * time.Duration(len(b.Tasks)-room) / time.Duration(len(b.Tasks))
	return (queued + own) / time.Duration(max(m.totals.slots, 1))
}

// expectedWait returns how long the batch's last task is expected to wait for a slot: 0 while all
// find one at once, or while no run time is learned.
func (m *Machine) expectedWait(b *batch) time.Duration {
	room := max(m.totals.free-m.queue.count-m.totals.held, 0)
	if len(b.Tasks) <= room {
		return 0
	}
	mean := time.Duration(m.runTimes.all.mean)
	running := time.Duration(len(m.flights)) * mean / 2
	beyond := time.Duration(len(b.Tasks)-room) * mean
	return (running + m.queue.work + beyond) / time.Duration(max(m.totals.slots, 1))
}

// Load returns the pool's load as its owner sees it.
func (m *Machine) Load() model.PoolLoad {
	return model.PoolLoad{
		Pool: m.id, Owner: m.owner, Version: m.version,
		Slots: m.totals.slots, Free: m.totals.free, Largest: m.largest(),
		Queued: m.queue.count + m.totals.held, QueuedRun: m.queue.work,
		MeanRun: time.Duration(m.runTimes.all.mean),
	}
}

// Endpoints returns the pool's endpoints in no particular order.
func (m *Machine) Endpoints() []port.EndpointStatus {
	all := make([]port.EndpointStatus, 0, len(m.members))
	for _, e := range m.members {
		if e.live {
			all = append(all, port.EndpointStatus{
				Endpoint: e.Endpoint, Busy: e.busy(), Quarantined: e.record.standing != trusted,
			})
		}
	}
	return all
}
