package lease

import (
	"time"

	"redwingpulley/kernel/port"
)

func (m *Machine) wanted(now time.Time, w Wanted, fx *Effects) {
	switch {
	case m.gone:
		fx.Settled = append(fx.Settled, Settled{w.Run, port.TaskNotRun, "another lifetime has taken its place"})
		return
	case now.Before(m.fencedUntil):
		fx.Settled = append(fx.Settled, Settled{w.Run, port.TaskAway, "another member holds the endpoint"})
		return
	case m.runs[w.Run] != nil:
		return
	}
	m.renewToken(now)
	r := &run{payload: w.Payload}
	m.runs[w.Run] = r
	if m.opened {
		m.start(now, w.Run, r, fx)
	}
}

// renewToken takes a new token after a pause in which another member may have held the endpoint.
func (m *Machine) renewToken(now time.Time) {
	if m.token != 0 && (len(m.runs) > 0 || m.holding || now.Sub(m.idleAt) < idleTime) {
		return
	}
	fresh := uint64(now.UnixMilli())<<holderBits | m.config.Holder&(1<<holderBits-1)
	m.token = max(fresh, m.token+1<<holderBits)
	m.opened = false
}

func (m *Machine) start(now time.Time, id port.TaskRun, r *run, fx *Effects) {
	r.phase = sent
	m.extendedAt = now
	fx.Starts = append(fx.Starts, port.StartOrder{Run: id, Payload: r.payload, Until: m.until(now), Token: m.token})
	r.payload = nil
}

func (m *Machine) startWaiting(now time.Time, fx *Effects) {
	for _, id := range m.sorted() {
		if r := m.runs[id]; r.phase == waiting {
			m.start(now, id, r, fx)
		}
	}
}

func (m *Machine) refuseWaiting(now time.Time, detail string, fx *Effects) {
	for _, id := range m.sorted() {
		if m.runs[id].phase == waiting {
			m.settle(now, id, port.TaskNotRun, "the endpoint does not answer: "+detail, fx)
		}
	}
}

func (m *Machine) startEnded(now time.Time, e StartEnded, fx *Effects) {
	m.hear(now, e.Reply.Clock)
	r, known := m.runs[e.Run]
	if !known || r.phase != sent {
		return
	}
	switch e.Reply.State {
	case port.OrderDone:
		m.confirm(now, r)
	case port.OrderUnknown:
		r.phase = doubtful
		r.stopAt = now // Stopped there, it never starts later.
	case port.OrderFenced:
		m.settle(now, e.Run, port.TaskAway, "another member holds the endpoint", fx)
		m.fenced(now, fx)
	case port.OrderOtherLife:
		m.settle(now, e.Run, port.TaskNotRun, "another lifetime has taken its place", fx)
		m.lost(now, "another lifetime has taken its place", fx)
		m.gone = true
	case port.OrderNoRoom:
		m.settle(now, e.Run, port.TaskNoRoom, e.Reply.Detail, fx)
	default:
		m.settle(now, e.Run, port.TaskNotRun, string(e.Reply.State)+": "+e.Reply.Detail, fx)
	}
}

func (m *Machine) confirm(now time.Time, r *run) {
	r.phase = confirmed
	r.confirmedAt = now
	if now.Before(m.fencedUntil) {
		r.phase = entrusted
		return
	}
	if r.unwanted {
		r.stopAt = now
	}
}

func (m *Machine) unwanted(now time.Time, id port.TaskRun, fx *Effects) {
	r, known := m.runs[id]
	if !known {
		return
	}
	r.unwanted = true
	switch r.phase {
	case waiting:
		m.settle(now, id, port.TaskNotRun, "never sent", fx)
	case entrusted:
		m.settle(now, id, port.TaskLost, "the endpoint has another holder", fx)
	case sent, confirmed, doubtful:
		if !r.stopping && r.stoppedAt.IsZero() {
			r.stopAt = now // A stop that comes before the start keeps it from running.
		}
	}
}

func (m *Machine) stopEnded(now time.Time, e StopEnded, fx *Effects) {
	m.hear(now, e.Reply.Clock)
	r, known := m.runs[e.Run]
	if !known {
		return
	}
	r.stopping = false
	switch e.Reply.State {
	case port.OrderDone:
		r.stoppedAt = now
	case port.OrderFenced:
		m.fenced(now, fx)
	case port.OrderOtherLife:
		m.lost(now, "another lifetime has taken its place", fx)
		m.gone = true
	default:
		r.stopAt = now.Add(retryPause)
	}
}

func (m *Machine) settle(now time.Time, id port.TaskRun, state port.TaskState, detail string, fx *Effects) {
	delete(m.runs, id)
	m.idleAt = now
	fx.Settled = append(fx.Settled, Settled{id, state, detail})
}
