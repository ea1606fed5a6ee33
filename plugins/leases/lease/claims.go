package lease

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"redwingpulley/kernel/model"
	"redwingpulley/kernel/port"
)

// A former holder of the lease takes its runs for ended once the lease that it has extended last has certainly expired.
// So the next holder extends the lease, which is one for all runs at the endpoint, only while a live member has claimed
// each run that it did not start itself. It has the others stopped first, and starts nothing until they are gone.

// foreignRun is a run of another holder that the endpoint has listed.
type foreignRun struct {
	claimant   model.NodeID // The live member that waits for the run; "" when none has claimed it.
	stopSentAt time.Time    // When the newest stop order was sent; zero when none was.
}

// recordForeignRuns records the listed runs that this holder did not start, forgets those that are no longer listed, and
// queries claims to new ones. A run that was to be stopped and is still listed is stopped again.
func (m *Machine) recordForeignRuns(now time.Time, running []port.TaskRun, listed map[port.TaskRun]bool, fx *Effects) {
	for id := range m.foreignRuns {
		if !listed[id] {
			delete(m.foreignRuns, id)
		}
	}
	for _, id := range running {
		f, known := m.foreignRuns[id]
		switch {
		case m.Pending(id):
			delete(m.foreignRuns, id)
		case !known:
			m.foreignRuns[id] = &foreignRun{}
			fx.ClaimQuery = append(fx.ClaimQuery, id)
			fx.ClaimToken, m.claimQueryInFlight = m.holdToken, true
		case !f.stopSentAt.IsZero() && now.Sub(f.stopSentAt) > m.config.StopTimeout:
			m.stopForeignRun(now, id, f, fx)
		}
	}
}

// handleClaims stops the runs of other holders that no live member waits for. The starts that have waited for the claims
// are sent if there are no such runs.
func (m *Machine) handleClaims(now time.Time, e Claimed, fx *Effects) {
	m.claimQueryInFlight = false
	for _, id := range e.Queried {
		f, known := m.foreignRuns[id]
		if !known {
			continue
		}
		if i := slices.IndexFunc(e.Claimed, func(c Claim) bool { return c.Run == id }); i >= 0 {
			f.claimant = e.Claimed[i].Member
			continue
		}
		m.stopForeignRun(now, id, f, fx)
	}
	if m.tokenAccepted && m.failedHolds == 0 {
		m.sendQueuedStarts(now, fx)
	}
}

func (m *Machine) stopForeignRun(now time.Time, id port.TaskRun, f *foreignRun, fx *Effects) {
	f.stopSentAt = now
	fx.Stops = append(fx.Stops, port.StopOrder{Run: id, Token: m.token})
}

// mayExtend reports whether this holder may extend the lease.
func (m *Machine) mayExtend() bool {
	for _, f := range m.foreignRuns {
		if f.claimant == "" {
			return false
		}
	}
	return true
}

// claimantOf returns the member that has claimed a run, or "" when none has.
func (m *Machine) claimantOf(id port.TaskRun) (claimant model.NodeID) {
	if f, known := m.foreignRuns[id]; known {
		claimant = f.claimant
	}
	return claimant
}

// byRun orders runs.
func byRun(a, b port.TaskRun) int {
	return cmp.Or(strings.Compare(a.Key, b.Key), cmp.Compare(a.Index, b.Index), cmp.Compare(a.Attempt, b.Attempt))
}
