package poolstate

import (
	"cmp"
	"slices"
	"time"

	"redwingpulley/kernel/model"
)

const (
	// EndpointLease is how long an endpoint gets work after an announcement that names no lease.
	EndpointLease = 3 * time.Second
	// forgetAfter is how long after its deadline a task that the endpoint neither lists nor
	// answers for holds its slot.
	forgetAfter = EndpointLease
	minReleased = 16 // Ended tasks remembered for each endpoint.
)

// endpoint is one licensed copy. It outlives its lease while tasks there are unsettled.
type endpoint struct {
	model.Endpoint
	position int // In the machine's members.
	live     bool
	away     bool           // Another member holds it.
	tasks    []*task        // Sent there, and their end there is not confirmed.
	taken    model.Needs    // Of these tasks together.
	held     []*task        // Bound to it by the placement, and not sent yet.
	foreign  []model.TaskID // Running there, and sent by another owner.
	refusals int            // Since the last announcement; each stands for a slot that is not there.
	absent   model.Needs    // Resources that tasks of others use at a leased endpoint.
	released []model.TaskID // Ring of the tasks that ended last; announcements may still list them.
	next     int            // Of the ring.
	record   record
	lease    timer
	probe    timer
	crowded  timer // Ends the refusals of a leased endpoint.
	counted  contribution
	told     Standing // By the newest change.
}

// contribution is an endpoint's part of the pool's totals.
type contribution struct {
	slots   int
	free    int
	held    int
	serving int // 1 while it gets work.
}

// totals are sums over the endpoints that get work.
type totals struct {
	slots        int
	free         int
	held         int
	serving      int // Endpoints that get work.
	largest      model.Needs
	largestStale bool
}

func (e *endpoint) busy() int { return len(e.tasks) + len(e.foreign) + e.refusals }

// capacity returns how many tasks the endpoint may run at once, probes among them.
func (e *endpoint) capacity() int {
	switch {
	case !e.live, e.away, e.State != model.EndpointServing, e.record.standing == quarantined:
		return 0
	case e.record.standing == probing:
		return min(1, e.Slots)
	}
	return e.Slots
}

// offered returns how many of the slots the placement may use: none while tasks there are probes.
func (e *endpoint) offered() int {
	if e.record.standing != trusted {
		return 0
	}
	return e.capacity()
}

func (m *Machine) announced(now time.Time, a *model.Endpoint, fx *Effects) {
	e, known := m.endpoints[a.ID]
	if m.outdated(a, e) {
		return
	}
	if a.State == model.EndpointGone {
		if known && e.live {
			e.Sequence = a.Sequence
			m.timers.stop(&e.lease)
			m.lost(e, fx)
		}
		return
	}
	if !known {
		m.replaceAt(a, fx)
		e = m.newEndpoint(a)
	}
	if e.State != a.State || e.Has != a.Has {
		m.totals.largestStale = true
	}
	e.Endpoint = *a
	e.away = false
	if !e.live {
		e.live = true
		m.live++
	}
	m.timers.set(&e.lease, now.Add(cmp.Or(a.Lease, EndpointLease)))
	m.reconcile(now, e, fx)
	m.refresh(e)
	m.unbindUnless(e)
}

func (m *Machine) newEndpoint(a *model.Endpoint) *endpoint {
	e := &endpoint{position: len(m.members), released: make([]model.TaskID, max(minReleased, 2*a.Slots))}
	e.lease = newTimer(func(_ time.Time, fx *Effects) { m.lost(e, fx) })
	e.probe = newTimer(func(now time.Time, _ *Effects) { m.probeDue(now, e) })
	e.crowded = newTimer(func(time.Time, *Effects) { m.roomAgain(e) })
	m.endpoints[a.ID] = e
	m.members = append(m.members, e)
	return e
}

// reconcile compares the tasks that the endpoint says it runs with those that were sent there.
func (m *Machine) reconcile(now time.Time, e *endpoint, fx *Effects) {
	e.foreign = e.foreign[:0]
	e.refusals = 0
	if e.Leased {
		// Whoever holds the lease tells what has come of the tasks.
		if len(e.Running) > 0 {
			e.absent = model.Needs{}
			m.crowd(now, e, len(e.Running), e.Taken)
		}
		return
	}
	for _, id := range e.Running {
		if _, ours := m.flights[id]; !ours && !slices.Contains(e.released, id) && !slices.Contains(e.foreign, id) {
			e.foreign = append(e.foreign, id)
		}
	}
	m.forgetSilent(now, e)
	m.askUnlisted(now, e, fx)
	m.stopOrphans(now, e, fx)
}

// askUnlisted asks for tasks that the endpoint has not listed for some time and whose answers have
// not come: the start or the answer was lost, or is on a connection that fell silent. An endpoint
// that lists a task still runs it, so that a long task costs no question.
func (m *Machine) askUnlisted(now time.Time, e *endpoint, fx *Effects) {
	for _, t := range e.tasks {
		switch {
		case slices.Contains(e.Running, t.id):
			t.unlisted = time.Time{}
		case t.unlisted.IsZero():
			t.unlisted = now
		case now.Sub(t.unlisted) >= unlistedTime:
			m.revoke(t, 0, fx)
		}
	}
}

// forgetSilent frees the slots of tasks that are long behind their deadline and that the endpoint
// does not list. Their batches have ended, so nothing of them is sent again.
func (m *Machine) forgetSilent(now time.Time, e *endpoint) {
	for i := len(e.tasks) - 1; i >= 0; i-- {
		t := e.tasks[i]
		if t.batch.over && now.After(t.batch.Deadline.Add(forgetAfter)) && !slices.Contains(e.Running, t.id) {
			m.release(t)
		}
	}
}

// lost handles the end of an endpoint's lease: it gets nothing new, and what runs there is asked
// for over new connections.
func (m *Machine) lost(e *endpoint, fx *Effects) {
	e.live = false
	m.live--
	m.totals.largestStale = true
	e.foreign = e.foreign[:0]
	e.refusals, e.absent = 0, model.Needs{}
	m.trust(e)
	m.refresh(e)
	m.unbindUnless(e)
	for _, t := range e.tasks {
		m.revoke(t, 0, fx)
	}
	m.dropIfEmpty(e)
}

// dropIfEmpty forgets an endpoint that is lost and has no unsettled task.
func (m *Machine) dropIfEmpty(e *endpoint) {
	if e.live || len(e.tasks) > 0 {
		return
	}
	m.timers.stop(&e.crowded)
	last := m.members[len(m.members)-1]
	m.members[e.position] = last
	last.position = e.position
	m.members[len(m.members)-1] = nil
	m.members = m.members[:len(m.members)-1]
	delete(m.endpoints, e.ID)
	if m.placer != nil {
		m.placer.Remove(e.ID)
	}
}

// unbindUnless returns the tasks that are bound to an endpoint which gets no work to the queue.
func (m *Machine) unbindUnless(e *endpoint) {
	if e.offered() > 0 || len(e.held) == 0 {
		return
	}
	for _, t := range e.held {
		t.endpoint = nil
		m.enqueue(t)
	}
	clear(e.held)
	e.held = e.held[:0]
	m.refresh(e)
}

// refresh brings the totals and the placer up to date after a change of the endpoint.
func (m *Machine) refresh(e *endpoint) {
	load := e.load(m.usual)
	now := contribution{slots: load.Slots, held: len(e.held), serving: min(e.offered(), 1)}
	if load.Slots > 0 {
		now.free = load.Free + now.held
	}
	was := e.counted
	e.counted = now
	m.noteStanding(e)
	m.totals.free += now.free - was.free
	m.totals.held += now.held - was.held
	m.totals.serving += now.serving - was.serving
	if now.slots != was.slots || now.serving != was.serving {
		m.resized(was, now)
	}
	if m.placer != nil {
		m.placer.Update(load)
	}
	if len(e.held) > 0 && e.room(e.held[0].spec().Needs) {
		m.freed = append(m.freed, e)
	}
}

func (m *Machine) resized(was, now contribution) {
	m.totals.slots += now.slots - was.slots
	m.queue.resize(m.totals.slots)
	m.totals.largestStale = m.totals.largestStale || now.serving != was.serving
}

// largest returns the componentwise maximum of the resources of endpoints that are not leaving,
// those in quarantine among them: what fits on one of them fits, if not now.
func (m *Machine) largest() model.Needs {
	if !m.totals.largestStale {
		return m.totals.largest
	}
	m.totals.largestStale = false
	m.totals.largest = model.Needs{}
	for _, e := range m.members {
		if e.live && e.State == model.EndpointServing {
			m.totals.largest = m.totals.largest.Max(e.Has)
		}
	}
	return m.totals.largest
}

// fits reports whether each of the tasks fits on some endpoint that is not leaving.
func (m *Machine) fits(tasks []model.Task) bool {
	fitting := model.Needs{}
	for i := range tasks {
		if i > 0 && tasks[i].Needs == fitting {
			continue
		}
		if !slices.ContainsFunc(m.members, func(e *endpoint) bool {
			return e.live && e.State == model.EndpointServing && tasks[i].Needs.Within(e.Has)
		}) {
			return false
		}
		fitting = tasks[i].Needs
	}
	return true
}
