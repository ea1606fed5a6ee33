package lease

import (
	"time"

	"redwingpulley/kernel/port"
)

// The time from the request of a run to its outcome is the run's time only if the start was answered at once and the endpoint
// was in contact until it reported the end: ends are reported in replies to holds.

// timeUnknown reports whether the time since a run was requested may differ from the run's time by more than port.MaxTimingError.
func (m *Machine) timeUnknown(now time.Time, id port.TaskRun) bool {
	r, known := m.runs[id]
	if !known {
		return true
	}
	switch r.phase {
	case confirmed:
		return r.timeUnknown
	case startSent: // The end was reported before the start was answered.
		return r.timeUnknown || elapsed(now, r.requestedAt) > port.MaxTimingError
	default: // Others report the end, or nobody knows when the run started.
		return true
	}
}

// recordHoldContact records the reply to a hold, or that none came. Runs may have ended any time before a late one.
func (m *Machine) recordHoldContact(now time.Time, state port.OrderState) {
	m.holdRepliedAt = now
	if state == port.OrderDone && elapsed(now, m.holdSentAt) <= m.holdWaits+port.MaxTimingError {
		return
	}
	for _, r := range m.runs {
		r.timeUnknown = true
	}
}

// recordHoldGap records that a hold is sent to which the endpoint may delay its reply for the given time. If none was in flight for long,
// runs may have ended meanwhile.
func (m *Machine) recordHoldGap(now time.Time, wait time.Duration) {
	m.holdWaits = wait
	for _, r := range m.runs {
		gap := elapsed(now, latest(m.holdRepliedAt, r.confirmedAt))
		if r.phase == confirmed && gap > port.MaxTimingError {
			r.timeUnknown = true
		}
	}
}
