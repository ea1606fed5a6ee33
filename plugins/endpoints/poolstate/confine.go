package poolstate

import (
	"cmp"
	"math"
	"slices"
	"time"

	"redwingpulley/kernel/model"
	"redwingpulley/kernel/port"
)

// A team many of whose tasks crash their endpoints could take a whole pool down with first runs alone, before any of its tasks is
// isolated. While endpoints go down again and again with its tasks there, and seldom without them, the team is confined to a bounded
// part of the pool, and the others have the rest for themselves.

const (
	// failureHalfLife is the time in which the amount in a team's failure record falls by half.
	failureHalfLife = 2 * time.Second
	// confineAbove is the amount above which a team is confined: that of several endpoints which went down one after the other.
	confineAbove = 2.5
	// releaseBelow is the amount below which a team is no longer confined.
	releaseBelow = 1.0
	// failureInterval is the time within which endpoints that go down count once: those of a rack fail together.
	failureInterval = 100 * time.Millisecond
	// endpointsPerConfined is the number of live endpoints for each that confined teams may hold; they may always hold one.
	endpointsPerConfined = 3
	// confinedRetry is when the caller of a job that is refused to a confined team is advised to try again.
	confinedRetry = time.Second
)

// failureRecord measures how often endpoints have gone down while tasks of a team were there.
type failureRecord struct {
	amount   float64
	at       time.Time // When the amount was computed.
	confined bool
}

// confinement is the state of a pool's confined teams.
type confinement struct {
	countedAt time.Time // When an endpoint that went down was last counted.
	active    bool      // A team has failures on its record or is confined.
}

// current returns the amount that is left.
func (r *failureRecord) current(now time.Time) float64 {
	return r.amount * math.Exp2(-float64(now.Sub(r.at))/float64(failureHalfLife))
}

func (r *failureRecord) add(now time.Time, amount float64) {
	r.amount, r.at = r.current(now)+amount, now
}

// recordFailure divides the failure of an endpoint that has gone down among the teams whose tasks are there.
func (m *Machine) recordFailure(now time.Time, e *endpoint) {
	if len(e.tasks) == 0 || now.Sub(m.confinement.countedAt) < failureInterval {
		return
	}
	m.confinement.countedAt, m.confinement.active = now, true
	var teams []*team
	for _, t := range e.tasks {
		if !slices.Contains(teams, t.batch.team) {
			teams = append(teams, t.batch.team)
		}
	}
	for _, t := range teams {
		t.failures.add(now, 1/float64(len(teams)))
	}
}

// updateConfinement confines and releases teams by their failure records, and adapts the endpoints that are reserved for them.
func (m *Machine) updateConfinement(now time.Time, fx *Effects) {
	if !m.confinement.active {
		return
	}
	m.confinement.active = false
	most := 0
	for _, t := range m.queue.teamsInOrder {
		m.judgeTeam(now, t, fx)
		if t.failures.confined {
			most = m.maxConfined()
		}
		m.confinement.active = m.confinement.active || t.failures.confined || t.failures.current(now) >= releaseBelow
	}
	m.resizeConfined(most)
}

// judgeTeam confines or releases a team by its failure record.
func (m *Machine) judgeTeam(now time.Time, t *team, fx *Effects) {
	current, before := t.failures.current(now), t.failures.confined
	switch {
	case before:
		t.failures.confined = current >= releaseBelow
	case current >= confineAbove:
		t.failures.confined = m.othersFailSeldom(now, t)
	}
	if t.failures.confined != before {
		fx.Teams = append(fx.Teams, TeamChange{t.id, t.failures.confined, m.maxConfined()})
	}
}

// maxConfined returns the number of endpoints that confined teams may hold.
func (m *Machine) maxConfined() int { return max(m.live/endpointsPerConfined, 1) }

// othersFailSeldom reports whether there is another team with work in the pool, and each such team has much fewer failures than this
// one. Otherwise it is not the team that makes the difference.
func (m *Machine) othersFailSeldom(now time.Time, candidate *team) bool {
	others := 0
	for _, t := range m.queue.teamsInOrder {
		if t == candidate || t.failures.confined || t.openBatches == 0 {
			continue
		}
		others++
		if 2*t.failures.current(now) > candidate.failures.current(now) {
			return false
		}
	}
	return others > 0
}

// resizeConfined sets at most the given number of endpoints aside for confined teams.
func (m *Machine) resizeConfined(most int) {
	held := 0
	for _, e := range m.endpointList {
		if !e.confined || !e.live {
			continue
		}
		if held == most {
			m.setConfined(e, false)
			continue
		}
		held++
	}
	for ; held < most; held++ {
		candidates := slices.DeleteFunc(slices.Clone(m.endpointList), func(e *endpoint) bool {
			return e.confined || e.isolated || e.schedulableSlots() == 0
		})
		if len(candidates) < 2 {
			return // The last one is for the other teams.
		}
		m.setConfined(slices.MinFunc(candidates, func(a, b *endpoint) int {
			return cmp.Or(cmp.Compare(a.busy(), b.busy()), cmp.Compare(a.ID, b.ID))
		}), true)
	}
}

func (m *Machine) setConfined(e *endpoint, confined bool) {
	e.confined = confined
	m.updateTotals(e)
	m.requeueHeldIfUnavailable(e)
}

// pickConfined returns the endpoint for a task of a confined team: the one with room that runs the fewest tasks.
func (m *Machine) pickConfined(t *task) (port.Choice, bool) {
	var chosen *endpoint
	for _, e := range m.endpointList {
		if e.confined && e.hasRoom(t.spec().Needs) && e.ID != t.avoid && (chosen == nil || e.busy() < chosen.busy()) {
			chosen = e
		}
	}
	if chosen == nil {
		return port.Choice{}, false
	}
	return port.Choice{Endpoint: chosen.ID, Why: "endpoints go down with tasks of this team"}, true
}

// admitConfined accepts a batch of a confined team only if all of its tasks can start at once.
func (m *Machine) admitConfined(b *batch) port.Verdict {
	if !m.fits(b.Tasks) {
		return port.Verdict{Reason: model.ReasonNeverFits}
	}
	largest := model.Needs{}
	for i := range b.Tasks {
		largest = largest.Max(b.Tasks[i].Needs)
	}
	room := 0
	for _, e := range m.endpointList {
		if e.confined {
			room += min(max(e.capacity()-e.busy(), 0), e.available().CountFitting(largest))
		}
	}
	if room < len(b.Tasks) {
		return port.Verdict{Reason: model.ReasonOverload, RetryAfter: confinedRetry}
	}
	return port.Verdict{Admit: true}
}
