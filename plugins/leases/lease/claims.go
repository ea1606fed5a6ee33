package lease

import (
	"maps"
	"slices"
	"time"

	"redwingpulley/kernel/model"
	"redwingpulley/kernel/port"
)

// The lease is one for all runs at the endpoint. A former holder takes its runs for ended once the lease has certainly
// expired that was extended last, by itself or for a claim of its own. So the next holder extends the lease only while a
// live member claims each run that the holder did not start itself. It has the others stopped, and starts nothing until
// they are gone. A claim is soon out of date: the claimant may die, or want the run stopped.

const (
	// claimValidity is how long the lease may be extended after a query whose reply contained the claims. After the
	// loss of a claimant the lease ends before the caller of an attached job sends it again, even if no stop arrives.
	claimValidity = 250 * time.Millisecond
	// claimRenewal is the age from which claims are queried again with the next list of runs.
	claimRenewal = 100 * time.Millisecond
	// claimWaitFraction replaces holdWaitFraction while runs of others are listed, so that their claims stay valid.
	claimWaitFraction = 0.15
	// stopPatience is how long the lease is still extended while a run is to be stopped and its end is not known. The caller
	// of its job may have sent it again when the lease that was extended last has expired.
	stopPatience = 200 * time.Millisecond
)

// foreignRun is a run of another holder that the endpoint has listed.
type foreignRun struct {
	claimant   model.NodeID // The live member that waits for the run; "" when none has claimed it.
	listedAt   time.Time    // When the endpoint has listed the run last.
	stopSentAt time.Time    // When the newest stop order was sent; zero while the run is not to be stopped.
}

// recordForeignRuns records the listed runs that this holder did not start, forgets those that are no longer listed, and
// queries claims: of all members when there are new runs, otherwise of the claimants. A run that was to be stopped and is
// still listed is stopped again.
func (m *Machine) recordForeignRuns(now time.Time, running []port.TaskRun, listed map[port.TaskRun]bool, fx *Effects) {
	for id := range m.foreignRuns {
		if !listed[id] {
			delete(m.foreignRuns, id)
		}
	}
	added := false
	for _, id := range running {
		f, known := m.foreignRuns[id]
		if known {
			f.listedAt = now
		}
		switch {
		case m.Pending(id):
			delete(m.foreignRuns, id)
		case !known:
			m.foreignRuns[id] = &foreignRun{listedAt: now}
			added = true
		case !f.stopSentAt.IsZero() && now.Sub(f.stopSentAt) > m.config.StopTimeout:
			m.stopForeignRun(now, id, f, fx)
		}
	}
	if added || now.Sub(m.claimsQueriedAt) >= claimRenewal {
		m.queryClaims(now, added, fx)
	}
}

// queryClaims queries claims to the runs of other holders that are not to be stopped, of all members or of the claimants.
func (m *Machine) queryClaims(now time.Time, ofAll bool, fx *Effects) {
	query := ClaimQuery{Token: m.holdToken, LateExtensionsFor: m.lateExtensionsFor(now)}
	for _, id := range slices.SortedFunc(maps.Keys(m.foreignRuns), compareRuns) {
		f := m.foreignRuns[id]
		if !f.stopSentAt.IsZero() {
			continue
		}
		query.Runs = append(query.Runs, id)
		if !ofAll && !slices.Contains(query.Members, f.claimant) {
			query.Members = append(query.Members, f.claimant)
		}
	}
	if len(query.Runs) > 0 {
		fx.ClaimQuery = query
		m.claimQueryInFlight, m.claimsQueriedAt = true, now
	}
}

// handleClaims handles a Claimed event. It stops the runs of other holders that no live member waits for any more, and
// sends the starts that have waited for the claims if there are no such runs.
func (m *Machine) handleClaims(now time.Time, e Claimed, fx *Effects) {
	m.claimQueryInFlight, m.claimsValidFrom = false, m.claimsQueriedAt
	for _, id := range e.Queried {
		f, known := m.foreignRuns[id]
		if !known {
			continue
		}
		claim, claimed := e.claimTo(id)
		if claimed {
			f.claimant = claim.Member
		}
		if !claimed || claim.Stop {
			m.stopForeignRun(now, id, f, fx)
		}
	}
	if m.tokenAccepted && m.failedHolds == 0 {
		m.sendQueuedStarts(now, fx)
	}
}

// claimTo returns the claim to a run; claimed is false when there is none.
func (e Claimed) claimTo(id port.TaskRun) (claim Claim, claimed bool) {
	i := slices.IndexFunc(e.Claims, func(c Claim) bool { return c.Run == id })
	if i < 0 {
		return Claim{}, false
	}
	return e.Claims[i], true
}

// stopForeignRun sends a stop order for a run of another holder.
func (m *Machine) stopForeignRun(now time.Time, id port.TaskRun, f *foreignRun, fx *Effects) {
	f.stopSentAt = now
	fx.Stops = append(fx.Stops, port.StopOrder{Run: id, Token: m.token})
}

// mayExtend reports whether this holder may extend the lease: no run that is to be stopped is overdue, and each run of
// another holder has a valid claim.
func (m *Machine) mayExtend(now time.Time) bool {
	for _, r := range m.runs {
		if r.underLease() && r.stopRequested && now.Sub(r.stopRequestedAt) > stopPatience {
			return false
		}
	}
	for _, f := range m.foreignRuns {
		if f.claimant == "" || !f.stopSentAt.IsZero() || now.Sub(m.claimsValidFrom) > claimValidity {
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
