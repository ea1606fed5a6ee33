package lease

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"redwingpulley/kernel/model"
	"redwingpulley/kernel/port"
)

// A former holder of the lease takes its runs for ended once the lease that was extended last, by itself or for a claim of
// its own, has certainly expired. So the next holder extends the lease, which is one for all runs at the endpoint, only while
// a live member has claimed each run that it did not start itself. It has the others stopped first, and starts nothing until
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
	stopSentAt time.Time    // When the newest stop order was sent; zero while the run is not to be stopped.
}

// Wanted reports whether a run was requested, has not finished and is not to be stopped.
func (m *Machine) Wanted(id port.TaskRun) bool {
	r, known := m.runs[id]
	return known && !r.stopRequested
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
		switch {
		case m.Pending(id):
			delete(m.foreignRuns, id)
		case !known:
			m.foreignRuns[id] = &foreignRun{}
			added = true
		case !f.stopSentAt.IsZero() && now.Sub(f.stopSentAt) > m.config.StopTimeout:
			m.stopForeignRun(now, id, f, fx)
		}
	}
	if added || now.Sub(m.claimsAskedAt) >= claimRenewal {
		m.queryClaims(now, added, fx)
	}
}

// queryClaims queries claims to the runs of other holders that are not to be stopped.
func (m *Machine) queryClaims(now time.Time, ofAll bool, fx *Effects) {
	for _, id := range slices.SortedFunc(maps.Keys(m.foreignRuns), byRun) {
		f := m.foreignRuns[id]
		if !f.stopSentAt.IsZero() {
			continue
		}
		fx.ClaimQuery = append(fx.ClaimQuery, id)
		if !ofAll && !slices.Contains(fx.Claimants, f.claimant) {
			fx.Claimants = append(fx.Claimants, f.claimant)
		}
	}
	if len(fx.ClaimQuery) > 0 {
		fx.ClaimToken = m.holdToken
		m.claimQueryInFlight, m.claimsAskedAt = true, now
	}
}

// handleClaims stops the runs of other holders that no live member waits for any more. The starts that have waited for the
// claims are sent if there are no such runs.
func (m *Machine) handleClaims(now time.Time, e Claimed, fx *Effects) {
	m.claimQueryInFlight, m.claimsValidFrom = false, m.claimsAskedAt
	for _, id := range e.Queried {
		f, known := m.foreignRuns[id]
		if !known {
			continue
		}
		if i := slices.IndexFunc(e.Claimed, func(c Claim) bool { return c.Run == id }); i >= 0 {
			f.claimant = e.Claimed[i].Member
			if !e.Claimed[i].Stop {
				continue
			}
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

// handleTakeover handles the news that another member holds the lease. The endpoint's refusal of this holder's token, which
// says the same, may not arrive here, and the other holder extends the lease of all runs while this one claims its runs: from
// now on the end of this holder's own lease does not end them.
func (m *Machine) handleTakeover(now time.Time, e TakenOver, fx *Effects) {
	if e.Token <= m.token || m.replaced {
		return
	}
	for _, id := range e.Running {
		r, known := m.runs[id]
		if !known {
			continue
		}
		if !r.listed {
			r.listed, m.leaseExtendedAt = true, now // The start may have been carried out just before the holder's list.
		}
		if r.phase == startSent {
			m.confirmStart(now, r)
		}
		if m.Wanted(id) {
			r.claimedAt = now
		}
	}
	if !now.Before(m.fencedUntil) {
		m.handleFenced(now, fx)
	}
}

// goneBy returns the time by which a run has certainly ended, although no list or end says so; bounded is false while its lease
// may be extended. A run that was handed over ends with its lease unless this member claims it again. The start of one that the
// endpoint has not listed may be carried out by the next incarnation, which knows nothing of the clock by which the
// lease was to end, and grants a whole lease, to all runs there, when a start or hold arrives.
func (m *Machine) goneBy(r *run) (at time.Time, bounded bool) {
	if r.phase != handedOver && r.phase != inherited && (!r.underLease() || m.failedHolds < maxFailedHolds) {
		return time.Time{}, false
	}
	extended := latest(m.leaseExtendedAt, r.claimedAt.Add(claimValidity))
	if !r.listed {
		extended = latest(extended, latest(r.startArrivesBy, m.ordersArriveBy))
	}
	return m.expiredBy(extended), true
}

// latest returns the later one of two times.
func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// finishGoneRuns finishes the runs that have certainly ended and whose ends nobody has reported.
func (m *Machine) finishGoneRuns(now time.Time, fx *Effects) {
	for _, id := range m.sortedRuns() {
		r := m.runs[id]
		at, bounded := m.goneBy(r)
		switch {
		case !bounded || now.Before(at):
		case r.underLease():
			fx.Lost = LossExpired
			m.finish(now, id, port.TaskLost, "the lease has expired", fx)
		default:
			m.finish(now, id, port.TaskLost, "no member can have extended the lease for the run", fx)
		}
	}
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
