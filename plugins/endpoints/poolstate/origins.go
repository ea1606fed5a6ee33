package poolstate

import (
	"cmp"
	"slices"
	"time"

	"redwingpulley/kernel/model"
)

const (
	// originGrace is how long an origin must be missing before its work is stopped. A member that
	// has just started may send work before it is known to be alive.
	originGrace = 2 * time.Second
	// maxOrigins bounds the origins that are remembered without work of theirs.
	maxOrigins = 1024
)

// origins knows the entry VMs that own the jobs of this pool's tasks.
type origins struct {
	told  bool // Of the live members at least once.
	live  map[model.NodeID]model.Incarnation
	known map[Origin]*origin
}

// origin is one run of an entry VM.
type origin struct {
	Origin
	batches int // That have not ended.
	gone    bool
	grace   timer
}

func newOrigins() origins { return origins{known: make(map[Origin]*origin)} }

func (o *origins) isLive(id Origin) bool {
	if !o.told || id.Node == "" {
		return true
	}
	incarnation, ok := o.live[id.Node]
	return ok && (incarnation == "" || incarnation == id.Incarnation)
}

// originOf returns the origin of a job. Jobs with ids of another form have one that never goes.
func (m *Machine) originOf(now time.Time, job model.JobID) *origin {
	parts, _ := job.Parse()
	id := Origin{parts.Owner, parts.Incarnation}
	o, ok := m.origins.known[id]
	if !ok {
		m.forgetOrigins()
		o = &origin{Origin: id}
		o.grace = newTimer(func(now time.Time, fx *Effects) { m.originGone(now, o, fx) })
		m.origins.known[id] = o
	}
	m.watch(now, o)
	return o
}

func (m *Machine) forgetOrigins() {
	if len(m.origins.known) < maxOrigins {
		return
	}
	for id, o := range m.origins.known {
		if o.batches == 0 {
			m.timers.stop(&o.grace)
			delete(m.origins.known, id)
		}
	}
}

// watch starts or ends the grace time of an origin.
func (m *Machine) watch(now time.Time, o *origin) {
	switch {
	case m.origins.isLive(o.Origin):
		o.gone = false
		m.timers.stop(&o.grace)
	case !o.gone && !m.timers.heap.has(&o.grace):
		m.timers.set(&o.grace, now.Add(originGrace))
	}
}

func (m *Machine) ownersChanged(now time.Time, live []Origin) {
	m.origins.told = true
	m.origins.live = make(map[model.NodeID]model.Incarnation, len(live))
	for _, o := range live {
		m.origins.live[o.Node] = o.Incarnation
	}
	known := make([]*origin, 0, len(m.origins.known))
	for _, o := range m.origins.known {
		known = append(known, o)
	}
	slices.SortFunc(known, func(a, b *origin) int {
		return cmp.Or(cmp.Compare(a.Node, b.Node), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	for _, o := range known {
		m.watch(now, o)
	}
}

// originGone stops the work whose answers nobody waits for any more.
func (m *Machine) originGone(now time.Time, o *origin, fx *Effects) {
	o.gone = true
	for _, b := range m.batchesOf(o) {
		m.cancel(now, b, model.ReasonOwnerLost, fx)
	}
	for _, e := range m.members {
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
	slices.SortFunc(all, func(a, b *batch) int { return cmp.Compare(a.order, b.order) })
	return all
}

// stopOrphans stops tasks that another owner sent and whose job's owner is gone. It is repeated
// with each announcement that still lists them.
func (m *Machine) stopOrphans(now time.Time, e *endpoint, fx *Effects) {
	for _, id := range e.foreign {
		if m.originOf(now, id.Job()).gone {
			fx.Revokes = append(fx.Revokes, Revoke{Task: id, Endpoint: e.ID, Address: e.Address, Stop: true})
		}
	}
}
