package lease

import (
	"time"

	"redwingpulley/kernel/port"
)

// until returns the end of a lease that is granted now, by the endpoint's clock.
func (m *Machine) until(now time.Time) int64 {
	return m.clock + now.Sub(m.clockAt).Milliseconds() + m.config.Lease.Milliseconds()
}

func (m *Machine) hear(now time.Time, clock int64) {
	if clock > 0 {
		m.clock, m.clockAt = clock, now
	}
}

func (m *Machine) holdEnded(now time.Time, reply port.HoldReply, fx *Effects) {
	m.holding = false
	switch reply.State {
	case port.OrderDone:
		m.heldNow(now, reply, fx)
	case port.OrderFenced:
		m.fenced(now, fx)
	case port.OrderOtherLife:
		m.lost(now, "another lifetime has taken its place", fx)
		m.gone = true
	default:
		m.failures++
		m.retryAt = now.Add(retryPause)
		m.refuseWaiting(now, reply.Detail, fx)
	}
}

// heldNow takes in an answer to a hold.
func (m *Machine) heldNow(now time.Time, reply port.HoldReply, fx *Effects) {
	m.hear(now, reply.Clock)
	m.failures, m.retryAt = 0, time.Time{}
	m.acknowledged = max(m.acknowledged, m.told)
	for _, end := range reply.Ended {
		if end.Number <= m.seen {
			continue
		}
		m.seen = end.Number
		if !m.Waits(end.Run) {
			fx.PassOn = append(fx.PassOn, end)
			delete(m.foreign, end.Run)
			continue
		}
		m.ended(now, end, fx)
	}
	m.compare(now, reply.Running, fx)
	if !m.opened {
		m.opened, fx.Taken = true, true
		m.startWaiting(now, fx)
	}
}

func (m *Machine) holdDue(now time.Time) bool {
	at, wanted := m.holdAt(now)
	return wanted && !now.Before(at)
}

// holdAt returns when the next hold is due.
func (m *Machine) holdAt(now time.Time) (at time.Time, wanted bool) {
	switch {
	case m.gone || now.Before(m.fencedUntil) && m.token != 0:
		return time.Time{}, false
	case m.active():
		return m.retryAt, true
	case m.acknowledged < m.seen:
		at = m.idleAt.Add(acknowledgeAfter)
		if m.retryAt.After(at) {
			at = m.retryAt
		}
		return at, m.failures < extendingFailures
	}
	return time.Time{}, false
}

func (m *Machine) hold(now time.Time, fx *Effects) {
	m.holding, m.held, m.told = true, now, m.seen
	order := port.HoldOrder{Seen: m.seen, Token: m.token}
	if m.opened && m.active() {
		order.Wait = time.Duration(holdShare * float64(m.config.Lease))
		if m.failures > 0 {
			order.Wait = 0
		}
		if m.failures < extendingFailures {
			order.Until = m.until(now)
			m.extendedAt = now
		}
	}
	fx.Hold = &order
}

// lapsedAt returns when the lease has surely lapsed.
func (m *Machine) lapsedAt() time.Time {
	lease := float64(m.config.Lease) * (1 + clockError)
	return m.extendedAt.Add(time.Duration(lease) + lapseMargin)
}

func (m *Machine) loseLapsed(now time.Time, fx *Effects) {
	for _, id := range m.sorted() {
		if m.runs[id].phase != entrusted {
			fx.Lost = LossLapsed
			m.settle(now, id, port.TaskLost, "the lease has lapsed", fx)
		}
	}
}

// active reports whether a run is at the endpoint, or may be.
func (m *Machine) active() bool {
	for _, r := range m.runs {
		if r.phase != entrusted {
			return true
		}
	}
	return false
}
