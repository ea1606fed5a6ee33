package lease

import "time"

// MaxOrderDelay is how long after it was sent an endpoint may carry out an order at the latest.
const MaxOrderDelay = 12 * time.Second

// minOrderDelay is how long after it was sent an endpoint carries out an order at the earliest that it has not carried out at once.
const minOrderDelay = 2 * time.Second

// lateExtensions is the time in which starts and holds without an answer may be carried out and extend the lease by its full length, since
// the endpoint may count it from their arrival. One that arrives after the lease has expired extends it for no run.
type lateExtensions struct {
	from, until time.Time // Both are zero when there are none.
	token       uint64    // Highest fencing token of these orders.
}

// add records an order without an answer that was sent at a time.
func (e *lateExtensions) add(token uint64, sentAt time.Time) {
	if e.until.IsZero() {
		e.from = sentAt.Add(minOrderDelay)
	}
	e.until = latest(e.until, sentAt.Add(MaxOrderDelay))
	e.token = max(e.token, token)
}

// refuse records that the endpoint has accepted a token by now, and refuses the orders with lower ones.
func (e *lateExtensions) refuse(now time.Time, accepted uint64) {
	switch {
	case e.token >= accepted:
	case now.Before(e.from):
		*e = lateExtensions{}
	case now.Before(e.until):
		e.until = now
	}
}

// mayArriveBefore reports whether such an order may have arrived or may still arrive before the given end of a lease.
func (e *lateExtensions) mayArriveBefore(leaseEnd time.Time) bool {
	return !e.until.IsZero() && e.from.Before(leaseEnd)
}

// outbidLateExtensions replaces the token where orders without an answer may still arrive and the endpoint answers, so that it refuses them.
func (m *Machine) outbidLateExtensions(now time.Time) {
	idle := !m.needsLease() || m.retirement.phase != retireNotRequested || m.replaced
	if idle || !m.tokenAccepted || m.failedHolds > 0 || m.claimQueryInFlight || !m.lateExtensions.until.After(now) || m.orderInFlight() {
		return
	}
	m.replaceToken(now)
}

// lateExtensionsFor returns how long such orders of this holder may extend the lease; zero when none can arrive before the lease has expired
// that is extended for a claim made now.
func (m *Machine) lateExtensionsFor(now time.Time) time.Duration {
	if !m.lateExtensions.mayArriveBefore(m.expiredBy(now.Add(claimValidity))) {
		return 0
	}
	return max(0, m.lateExtensions.until.Sub(now))
}

// recordHolderExtensions records what the holder that has fenced this one says about its late orders. A query may be overtaken by a later one.
func (m *Machine) recordHolderExtensions(now time.Time, e TakenOver) {
	if e.Token < m.holderToken {
		return
	}
	if e.Token > m.holderToken {
		m.refuseHolderExtensions(now)
	}
	m.holderToken = e.Token
	if e.LateExtensionsFor > 0 {
		m.holderExtensionsUntil = latest(m.holderExtensionsUntil, now.Add(e.LateExtensionsFor))
	}
}

// refuseHolderExtensions records that the endpoint refuses the orders of that holder from now on. One may have arrived just before.
func (m *Machine) refuseHolderExtensions(now time.Time) {
	if m.holderExtensionsUntil.After(now) {
		m.holderExtensionsUntil = now
	}
}

// lateExtension returns the latest time at which a late order may have extended a lease that was otherwise extended last at the given time.
func (m *Machine) lateExtension(extended time.Time) time.Time {
	if m.lateExtensions.mayArriveBefore(latest(m.expiredBy(extended), m.leaseSeenAt)) {
		extended = latest(extended, m.lateExtensions.until)
	}
	return latest(extended, m.holderExtensionsUntil)
}

// recordUnanswered records a start or a hold that extends the lease, to which no answer came. It was sent at the given time.
func (m *Machine) recordUnanswered(now time.Time, token uint64, sentAt time.Time) {
	m.ordersArriveBy = latest(m.ordersArriveBy, sentAt.Add(MaxOrderDelay))
	if m.expiredBy(m.lateExtensions.until).Before(now) {
		m.lateExtensions = lateExtensions{}
	}
	m.lateExtensions.add(token, sentAt)
	switch {
	case m.fenced:
		m.lateExtensions.refuse(now, m.fencedBy)
	case m.tokenAccepted:
		m.lateExtensions.refuse(now, m.token)
	}
}
