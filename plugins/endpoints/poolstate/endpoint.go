package poolstate

import (
	"cmp"
	"slices"
	"time"

	"redwingpulley/kernel/model"
	"redwingpulley/plugins/endpoints/interference"
)

const (
	// DefaultEndpointLease is how long an endpoint gets work after an announcement that does not set a lease.
	DefaultEndpointLease = 3 * time.Second
	// releaseAfter is how long after its deadline a task occupies its slot when the endpoint neither
	// lists the task nor answers revokes for it.
	releaseAfter = DefaultEndpointLease
	maxEndpoints = 16384 // Bounds the endpoints that a faulty writer can bring into being in a pool.
	minReleased  = 16    // Minimum number of ended tasks that are remembered for an endpoint.
)

// endpoint is one licensed copy of a service. It stays known after its lease has ended until the end
// of every task there is confirmed.
type endpoint struct {
	model.Endpoint
	speed        int              // Learned speed, in units of 1/speedUnit.
	position     int              // Index in the machine's endpointList.
	live         bool             // Within the lease of its newest announcement.
	replacedBy   model.EndpointID // Later incarnation at the same address; "" when none has announced itself.
	down         bool             // Gets no work until its next announcement: it refuses connections.
	isolated     bool             // Runs an isolated task, or is reserved for one.
	confined     bool             // Runs only tasks of confined teams.
	occupant     *task            // The isolated task that runs there; nil while the endpoint is only reserved, or not isolated.
	cordon       bool             // Gets no work until its next announcement: another member may hold its lease.
	fenceMissed  bool             // Was silent when the former holders of all endpoints were to be fenced.
	tasks        []*task          // Tasks that were sent there and whose end is not confirmed.
	taken        model.Needs      // Resources that these tasks use together.
	held         []*task          // Tasks that the placement bound to the endpoint and that are not sent yet.
	foreign      []model.TaskID   // Tasks running there that another owner of the pool sent.
	blockedSlots int              // Slots assumed to be taken by tasks that this owner did not send.
	blockedNeeds model.Needs      // Resources assumed to be used by others at a leased endpoint.
	released     []model.TaskID   // Ring buffer of the latest ended tasks, which announcements may still list.
	releasedNext int              // Next position to overwrite in the ring buffer once it is full.
	health       health
	worker       interference.Worker
	companions   []companion // One for each of tasks, in the same order, while the pool separates.
	leaseTimer   timer
	probeTimer   timer
	unblockTimer timer        // Ends the assumption that others use slots and resources of a leased endpoint.
	counted      contribution // Share of the endpoint in the pool's totals.
	reported     Status       // Status in the latest reported change.
}

// busy returns how many of the endpoint's slots are taken, as far as the pool knows.
func (e *endpoint) busy() int { return len(e.tasks) + len(e.foreign) + e.blockedSlots }

// capacity returns how many tasks, including probes, the pool may have at the endpoint at once.
func (e *endpoint) capacity() int {
	switch {
	case !e.live, e.down, e.cordon, e.isolated, e.State != model.EndpointServing, e.health.status == quarantined:
		return 0
	case e.health.status == probing:
		return min(1, e.Slots)
	}
	return e.Slots
}

// schedulableSlots returns how many slots the placement may use: none unless the endpoint is healthy and open to all teams.
// An endpoint that is being probed gets its tasks from pickProbe instead.
func (e *endpoint) schedulableSlots() int {
	if e.health.status != healthy || e.confined {
		return 0
	}
	return e.capacity()
}

// Leaves reports whether the endpoint is known and its newest announcement says that it leaves.
func (m *Machine) Leaves(id model.EndpointID) bool {
	e, known := m.endpoints[id]
	return known && e.live && e.State == model.EndpointLeaving
}

func (m *Machine) handleAnnouncement(now time.Time, announced *Announced, fx *Effects) {
	a := &announced.Endpoint
	e, known := m.endpoints[a.ID]
	if m.isOutdated(a, e) || !known && len(m.endpointList) >= maxEndpoints {
		return
	}
	if a.State == model.EndpointGone {
		if known && e.live {
			e.Sequence = a.Sequence
			m.timers.stop(&e.leaseTimer)
			m.handleLeaseEnd(e, fx)
		}
		return
	}
	if !known {
		m.expirePredecessors(a, fx)
		e = m.newEndpoint(a)
	}
	if e.State != a.State || e.Has != a.Has {
		m.totals.largestStale = true
	}
	e.Endpoint = *a
	if e.fenceMissed || !announced.HandedOver && (!known || e.cordon) {
		e.fenceFormerHolders(fx)
	}
	e.fenceMissed = false
	if e.down {
		e.isolated, e.down = e.occupant != nil, false
	}
	e.cordon = announced.PassedOn && (!known || e.cordon)
	if !e.live {
		e.live = true
		m.live++
	}
	m.timers.set(&e.leaseTimer, now.Add(cmp.Or(a.Lease, DefaultEndpointLease)))
	m.reconcile(now, e, fx)
	m.updateSpeed(now, e, announced.HandedOver)
	m.updateTotals(e)
	m.requeueHeldIfUnavailable(e)
}

// recordReleased remembers a task that has ended at the endpoint.
func (e *endpoint) recordReleased(id model.TaskID) {
	if len(e.released) < max(minReleased, 2*e.Slots) {
		e.released = append(e.released, id)
		return
	}
	e.releasedNext %= len(e.released)
	e.released[e.releasedNext] = id
	e.releasedNext++
}

func (m *Machine) newEndpoint(a *model.Endpoint) *endpoint {
	e := &endpoint{speed: speedUnit, position: len(m.endpointList)}
	e.leaseTimer = newTimer(func(_ time.Time, fx *Effects) { m.handleLeaseEnd(e, fx) })
	e.probeTimer = newTimer(func(now time.Time, _ *Effects) { m.startProbing(now, e) })
	e.unblockTimer = newTimer(func(time.Time, *Effects) { m.unblockCapacity(e) })
	m.endpoints[a.ID] = e
	m.endpointList = append(m.endpointList, e)
	return e
}

// handleDown stops sending work to an endpoint until it announces itself again. The runs there have not ended by this.
func (m *Machine) handleDown(now time.Time, id model.EndpointID) {
	e, known := m.endpoints[id]
	if !known || !e.live || e.down {
		return
	}
	e.down = true
	m.recordFailure(now, e)
	m.updateTotals(e)
	m.requeueHeldIfUnavailable(e)
}

// reconcile compares the tasks that the endpoint lists as running with those that were sent there.
func (m *Machine) reconcile(now time.Time, e *endpoint, fx *Effects) {
	e.foreign = e.foreign[:0]
	e.blockedSlots = 0
	if e.Leased {
		// Announcements of a leased endpoint list no tasks: the holder of the lease reports their
		// outcomes. Tasks listed here come from a handover by the pool's former owner.
		if len(e.Running) > 0 {
			e.blockedNeeds = model.Needs{}
			m.blockCapacity(now, e, len(e.Running), e.Taken)
		}
		return
	}
	for _, id := range e.Running {
		if _, ours := m.inFlight[id]; !ours && !slices.Contains(e.released, id) && !slices.Contains(e.foreign, id) {
			e.foreign = append(e.foreign, id)
		}
	}
	m.releaseExpired(now, e)
	m.revokeUnlisted(now, e, fx)
	m.stopOrphans(now, e, fx)
}

// revokeUnlisted revokes tasks that the endpoint has not listed for some time and whose answers have
// not arrived: the start or the answer was lost, or is stuck on a dead connection. An endpoint that
// lists a task still runs it, so long tasks cost no revokes.
func (m *Machine) revokeUnlisted(now time.Time, e *endpoint, fx *Effects) {
	for _, t := range e.tasks {
		switch {
		case slices.Contains(e.Running, t.id):
			t.unlistedSince = time.Time{}
		case t.unlistedSince.IsZero():
			t.unlistedSince = now
		case now.Sub(t.unlistedSince) >= unlistedTime:
			m.revoke(t, 0, fx)
		}
	}
}

// releaseExpired frees the slots of tasks whose deadline passed long ago and that the endpoint does
// not list. Their batches have ended, so none of them is sent again.
func (m *Machine) releaseExpired(now time.Time, e *endpoint) {
	for i := len(e.tasks) - 1; i >= 0; i-- {
		t := e.tasks[i]
		if t.batch.ended && now.After(t.batch.Deadline.Add(releaseAfter)) && !slices.Contains(e.Running, t.id) {
			m.release(t)
		}
	}
}

// handleLeaseEnd handles the end of an endpoint's lease. The endpoint gets no new tasks, and each task
// there is revoked, over a new connection, to learn what became of it.
func (m *Machine) handleLeaseEnd(e *endpoint, fx *Effects) {
	e.live, e.confined = false, false
	e.isolated = e.occupant != nil
	m.live--
	m.totals.largestStale = true
	e.foreign = e.foreign[:0]
	e.blockedSlots, e.blockedNeeds = 0, model.Needs{}
	m.endQuarantine(e)
	m.updateTotals(e)
	m.requeueHeldIfUnavailable(e)
	for _, t := range e.tasks {
		t.timeUnknown = true // The endpoint is not in contact.
		m.revoke(t, 0, fx)
	}
	m.removeIfSettled(e)
}

// removeIfSettled removes an endpoint whose lease has ended and that has no task whose end is
// unconfirmed.
func (m *Machine) removeIfSettled(e *endpoint) {
	if e.live || len(e.tasks) > 0 {
		return
	}
	m.timers.stop(&e.unblockTimer)
	last := m.endpointList[len(m.endpointList)-1]
	m.endpointList[e.position] = last
	last.position = e.position
	m.endpointList[len(m.endpointList)-1] = nil
	m.endpointList = m.endpointList[:len(m.endpointList)-1]
	delete(m.endpoints, e.ID)
	if m.placer != nil {
		m.placer.Remove(e.ID)
	}
}

// requeueHeldIfUnavailable moves the held tasks of an endpoint that gets no work back to the queue.
func (m *Machine) requeueHeldIfUnavailable(e *endpoint) {
	if e.schedulableSlots() > 0 || len(e.held) == 0 {
		return
	}
	for _, t := range e.held {
		t.endpoint = nil
		m.enqueue(t)
	}
	clear(e.held)
	e.held = e.held[:0]
	m.updateTotals(e)
}
