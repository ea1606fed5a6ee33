package poolstate

import (
	"cmp"
	"slices"
	"time"

	"redwingpulley/kernel/model"
)

const (
	// originGrace is how long an origin must be missing from the live members before its work is stopped.
	// A member that has just started may send work before it is known to be alive.
	originGrace = 2 * time.Second
	// maxOrigins is the number of known origins at which those without batches are evicted.
	maxOrigins = 1024
)

// origins holds the entry VMs that own the jobs of this pool's tasks.
type origins struct {
	reported bool     // The live members have been reported at least once.
	live     []Origin // Sorted by node.
	holders  []Origin // Those that may hold leases on endpoints of this pool.
	known    map[Origin]*origin
}

// origin is one incarnation of an entry VM.
type origin struct {
	Origin
	batches    int // Number of its batches that have not ended.
	gone       bool
	graceTimer timer
}

func newOrigins() origins { return origins{known: make(map[Origin]*origin)} }

func (o *origins) isLive(id Origin) bool {
	if !o.reported || id.Node == "" {
		return true
	}
	at, ok := slices.BinarySearchFunc(o.live, id, compareNodes)
	return ok && (o.live[at].Incarnation == "" || o.live[at].Incarnation == id.Incarnation)
}

// originOf returns the origin of a job, which its id names. Jobs with ids of another form share an
// origin that is always live.
func (m *Machine) originOf(now time.Time, job model.JobID) *origin {
	parts, _ := job.Parse()
	id := Origin{parts.Owner, parts.Incarnation}
	o, ok := m.origins.known[id]
	if !ok {
		m.evictIdleOrigins()
		o = &origin{Origin: id}
		o.graceTimer = newTimer(func(now time.Time, fx *Effects) { m.handleOriginGone(now, o, fx) })
		m.origins.known[id] = o
	}
	m.updateGrace(now, o)
	return o
}

func (m *Machine) evictIdleOrigins() {
	if len(m.origins.known) < maxOrigins {
		return
	}
	for id, o := range m.origins.known {
		if o.batches == 0 {
			m.timers.stop(&o.graceTimer)
			delete(m.origins.known, id)
		}
	}
}

// updateGrace starts the grace period of an origin that is not live, or stops that of a live one.
func (m *Machine) updateGrace(now time.Time, o *origin) {
	switch {
	case m.origins.isLive(o.Origin):
		o.gone = false
		m.timers.stop(&o.graceTimer)
	case !o.gone && !m.timers.heap.has(&o.graceTimer):
		m.timers.set(&o.graceTimer, now.Add(originGrace))
	}
}

func (m *Machine) handleOwners(now time.Time, owners Owners, fx *Effects) {
	m.origins.reported = true
	m.origins.live = sortedByNode(owners.Live)
	if hasDeparted(m.origins.holders, owners.Holders) {
		m.fenceAll(fx)
	}
	m.origins.holders = owners.Holders
	var changed []*origin
	for _, o := range m.origins.known {
		if m.origins.isLive(o.Origin) == (o.gone || m.timers.heap.has(&o.graceTimer)) {
			changed = append(changed, o)
		}
	}
	slices.SortFunc(changed, func(a, b *origin) int {
		return cmp.Or(cmp.Compare(a.Node, b.Node), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	for _, o := range changed {
		m.updateGrace(now, o)
	}
}

func compareNodes(a, b Origin) int { return cmp.Compare(a.Node, b.Node) }

// sortedByNode returns the origins sorted by node; they mostly are.
func sortedByNode(origins []Origin) []Origin {
	if slices.IsSortedFunc(origins, compareNodes) {
		return origins
	}
	return slices.SortedFunc(slices.Values(origins), compareNodes)
}

// handleOriginGone stops the work of an origin, since nobody waits for its answers any more.
func (m *Machine) handleOriginGone(now time.Time, o *origin, fx *Effects) {
	o.gone = true
	for _, b := range m.batchesOf(o) {
		m.cancel(now, b, model.ReasonOwnerLost, fx)
	}
	for _, e := range m.endpointList {
		m.stopOrphans(now, e, fx)
	}
}

func (m *Machine) batchesOf(o *origin) []*batch {
	var all []*batch
	for _, b := range m.batches {
		if b.origin == o {
			all = append(all, b)
		}
	}
	slices.SortFunc(all, func(a, b *batch) int { return cmp.Compare(a.place.Order, b.place.Order) })
	return all
}

// stopOrphans stops tasks at the endpoint that another owner of the pool sent and whose origin is gone.
// It is called again for each announcement that still lists them.
func (m *Machine) stopOrphans(now time.Time, e *endpoint, fx *Effects) {
	for _, id := range e.foreign {
		if m.originOf(now, id.Job()).gone {
			fx.Revokes = append(fx.Revokes, Revoke{Task: id, Endpoint: e.ID, Address: e.Address, Stop: true})
		}
	}
}
