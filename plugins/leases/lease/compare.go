package lease

import (
	"slices"
	"time"

	"redwingpulley/kernel/port"
)

// compare looks for runs that the endpoint has lost, and for those of other holders.
func (m *Machine) compare(now time.Time, running []port.TaskRun, fx *Effects) {
	there := make(map[port.TaskRun]bool, len(running))
	for _, id := range running {
		there[id] = true
		r, ours := m.runs[id]
		_, asked := m.foreign[id]
		switch {
		case ours && r.phase == sent:
			m.confirm(now, r)
		case !ours && !asked:
			m.foreign[id] = false
			fx.Ask = append(fx.Ask, id)
		}
	}
	for id := range m.foreign {
		if !there[id] {
			delete(m.foreign, id)
		}
	}
	for _, id := range m.sorted() {
		if r := m.runs[id]; !there[id] {
			m.missing(now, id, r, fx)
		}
	}
}

// missing settles a run that the endpoint neither runs nor lists among the ends, where its answer is
// new enough to tell.
func (m *Machine) missing(now time.Time, id port.TaskRun, r *run, fx *Effects) {
	stopped := !r.stoppedAt.IsZero() && m.held.After(r.stoppedAt.Add(m.config.StopTime))
	switch {
	case r.phase == doubtful && stopped:
		m.settle(now, id, port.TaskNotRun, "stopped before it started", fx)
	case r.phase == confirmed && stopped:
		m.settle(now, id, port.TaskStopped, "stopped", fx)
	case r.phase == confirmed && m.held.After(r.confirmedAt):
		m.settle(now, id, port.TaskLost, "the endpoint does not know it any more", fx)
	}
}

// ended settles a run by its end.
func (m *Machine) ended(now time.Time, end port.RunEnd, fx *Effects) {
	r, known := m.runs[end.Run]
	if !known {
		return
	}
	state := end.How
	if state == port.TaskStopped && !r.unwanted {
		state = port.TaskLost // By the start's doubt, or by another holder.
	}
	m.settle(now, end.Run, state, "ended "+string(end.How), fx)
}

// claimed stops the runs of others for which nobody waits.
func (m *Machine) claimed(e Claimed, fx *Effects) {
	for _, id := range e.Asked {
		if slices.Contains(e.Claimed, id) {
			m.foreign[id] = true
			continue
		}
		delete(m.foreign, id) // Asked for again where the stop is lost.
		fx.Stops = append(fx.Stops, port.StopOrder{Run: id, Token: m.token})
	}
}

// fenced gives the endpoint up to its next holder.
func (m *Machine) fenced(now time.Time, fx *Effects) {
	fx.Lost = LossFenced
	m.fencedUntil = now.Add(m.config.Away)
	m.opened = false
	m.acknowledged = m.seen // By the next holder.
	clear(m.foreign)
	for _, id := range m.sorted() {
		r := m.runs[id]
		switch {
		case r.phase == sent: // Its answer is still to come.
		case r.phase == waiting:
			m.settle(now, id, port.TaskAway, "another member holds the endpoint", fx)
		case r.unwanted:
			m.settle(now, id, port.TaskLost, "the endpoint has another holder", fx)
		default:
			r.phase, r.stopAt = entrusted, time.Time{}
		}
	}
}

// lost settles all runs of an endpoint that has surely ended them.
func (m *Machine) lost(now time.Time, why string, fx *Effects) {
	fx.Lost = LossOtherLife
	for _, id := range m.sorted() {
		state := port.TaskLost
		if m.runs[id].phase == waiting {
			state = port.TaskNotRun
		}
		m.settle(now, id, state, why, fx)
	}
}
