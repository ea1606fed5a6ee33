package poolstate

import (
	"math/rand/v2"
	"time"

	"redwingpulley/kernel/invariant"
	"redwingpulley/kernel/model"
	"redwingpulley/kernel/port"
	"redwingpulley/plugins/endpoints/runtimes"
	"redwingpulley/plugins/endpoints/speed"
	"redwingpulley/plugins/endpoints/urgency"
)

// Policies holds the placement and admission plug-ins by name.
type Policies struct {
	Placements map[string]port.Placement
	Admissions map[string]port.Admission
}

// Machine holds the state of one pool. Create one with New. A Machine is not safe for concurrent use.
type Machine struct {
	id       model.PoolID
	owner    model.NodeID
	policies Policies
	seed     uint64

	placement string
	placer    port.Placer

	endpoints            map[model.EndpointID]*endpoint
	endpointList         []*endpoint // The same endpoints, in an order that only the events determine.
	totals               totals
	needs                needsEstimate
	batches              map[model.BatchID]*batch
	inFlight             map[model.TaskID]*task
	origins              origins
	queue                queue
	isolation            isolation
	confinement          confinement
	evacuation           evacuation
	skipped              []*batch         // Buffer of dispatchQueued.
	freed                []*endpoint      // Endpoints with held tasks that may have room for one now.
	changes              []EndpointChange // Changes of endpoints in this step.
	released             []Release        // Attempts released in this step.
	runTimes             runtimes.Estimates
	speeds               *speed.Table // nil when speeds are not learned.
	waitingForFaster     int          // Number of tasks, found in this step, that wait for a faster endpoint.
	fasterWaitEnd        timer        // When the first of these tasks stops waiting.
	separation           separation
	retries              retryBudget
	refusals             urgency.Refusals
	random               *rand.Rand // Spreads the delays that are advised to refused callers.
	timers               timers
	failureRate          float64     // Moving average of the share of tasks that failed; see learnFailureRate.
	quarantinedEndpoints int         // Number of endpoints in quarantine or being probed.
	probing              []*endpoint // Endpoints being probed.
	failing              int         // Number of healthy endpoints in a run of failures.
	live                 int         // Number of endpoints within their lease.
	version              uint64      // Steps taken so far.
	acceptedBatches      uint64      // Batches accepted so far.
}

// New returns the machine of an empty pool. Machines with equal seeds and events decide equally.
func New(id model.PoolID, owner model.NodeID, policies Policies, seed uint64) *Machine {
	return &Machine{
		id:            id,
		owner:         owner,
		policies:      policies,
		seed:          seed,
		endpoints:     make(map[model.EndpointID]*endpoint),
		batches:       make(map[model.BatchID]*batch),
		inFlight:      make(map[model.TaskID]*task),
		origins:       newOrigins(),
		queue:         newQueue(),
		runTimes:      runtimes.New(),
		retries:       retryBudget{tokens: maxRetryTokens},
		random:        rand.New(rand.NewPCG(seed, seed)),
		timers:        newTimers(),
		fasterWaitEnd: newTimer(func(time.Time, *Effects) {}), // Each step dispatches queued tasks.
		evacuation:    newEvacuation(),
	}
}

// Step applies an event and stores the resulting effects in fx, which it empties first. The caller
// may reuse one Effects for many steps; its contents are valid until the next step.
func (m *Machine) Step(now time.Time, event Event, fx *Effects) {
	fx.Reset()
	m.version++
	m.separation.now = now
	if _, renews := event.(Announced); !renews {
		m.timers.fireDue(now, fx) // Elapsed may be late, especially after a pause of the process.
	}
	switch e := event.(type) {
	case Announced:
		m.handleAnnouncement(now, &e, fx)
		m.timers.fireDue(now, fx) // After the announcement, which may renew a lease that has run out.
	case Submitted:
		m.handleSubmission(now, &e, fx)
	case Replied:
		m.handleStartReply(now, e, fx)
	case RevokeReplied:
		m.handleRevokeReply(now, e, fx)
	case Cancelled:
		m.handleCancellation(now, e.Batch, fx)
	case Owners:
		m.handleOwners(now, e, fx)
	case Disowned:
		m.handleDisowned()
	case Departed:
		m.handleDeparted(e.Endpoints)
	case Down:
		m.handleDown(now, e.Endpoint)
	case Resumed:
		m.handleResumed(now, fx)
	case Moved:
		m.handleMoved(now, fx)
	case Evacuated:
		m.handleEvacuated(now, e, fx)
	}
	m.updateConfinement(now, fx)
	m.endWaiting(now, fx)
	m.dispatchQueued(now, fx)
	fx.Changes = append(fx.Changes, m.changes...)
	m.changes = m.changes[:0]
	fx.Released = append(fx.Released, m.released...)
	m.released = m.released[:0]
}

// Serves reports whether the endpoint is known and not known to be down.
func (m *Machine) Serves(id model.EndpointID) bool {
	e, known := m.endpoints[id]
	return known && e.live && !e.down
}

// NextTimer returns the time at which Elapsed is due next; ok is false when no timer is set.
func (m *Machine) NextTimer() (at time.Time, ok bool) { return m.timers.next() }

// usePlacement makes a new placer unless the pool uses the placement policy already.
func (m *Machine) usePlacement(name string) {
	if m.placer != nil && m.placement == name {
		return
	}
	policy, ok := m.policies.Placements[name]
	invariant.Check(ok, "profile-placement", "profile names unknown placement %q", name)
	m.placement = name
	m.placer = policy.NewPlacer(m.seed)
	for _, e := range m.endpointList {
		m.placer.Update(m.loadOf(e))
	}
}

// Load returns the pool's load as its owner sees it.
func (m *Machine) Load() model.PoolLoad {
	return m.hideSlots(model.PoolLoad{
		Pool: m.id, Owner: m.owner, Version: m.version,
		Endpoints: m.totals.serving, Slots: m.totals.slots, Free: m.totals.free, FreeFast: m.totals.freeFast, Largest: m.largest(),
		Queued: m.queue.count + m.totals.held, QueuedRun: m.queue.work,
		MeanRun: m.runTimes.Mean(),
	})
}

// Endpoints returns the pool's endpoints in no particular order.
func (m *Machine) Endpoints() []port.EndpointStatus {
	all := make([]port.EndpointStatus, 0, len(m.endpointList))
	for _, e := range m.endpointList {
		if e.live {
			all = append(all, port.EndpointStatus{
				Endpoint: e.Endpoint, Busy: e.busy(), Quarantined: e.health.status != healthy,
			})
		}
	}
	return all
}
