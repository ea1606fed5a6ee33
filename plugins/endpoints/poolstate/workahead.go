package poolstate

import (
	"math"
	"time"

	"redwingpulley/kernel/model"
	"redwingpulley/plugins/endpoints/urgency"
)

const (
	// rateWindow is the time constant of the moving average of the rate at which a team sends work.
	rateWindow = 10 * time.Second
	rateStep   = rateWindow / 100 // Minimum time between updates of a rate.
	// workAheadRounds is the number of iterations of workAhead: the wait of a batch and the work that
	// arrives during the wait depend on each other.
	workAheadRounds = 3
)

// workAhead estimates the slot time that the pool gives to other tasks before the last task of a new
// batch would start. It assumes that each team goes on sending at its recent rate and gets no more than
// the batch's own team gets meanwhile.
func (q *queue) workAhead(now time.Time, b *batch, work time.Duration) time.Duration {
	displaced := q.displacement(work)
	own, rate := work, 0.0
	weight := urgency.Weight(b.Priority)
	if t, ok := q.teams[b.Team]; ok {
		own += t.workBefore(b.arrived.Add(displaced))
		rate = t.demand.rate(now)
	}
	var ahead time.Duration
	for range workAheadRounds {
		wait := (own + ahead) / time.Duration(q.slots)
		ownWork := own + time.Duration(rate*float64(min(wait, displaced)))
		ahead = ownWork - work + q.workOfOthers(now, b.Team, urgency.Charge(ownWork, weight), wait)
	}
	return ahead + q.urgentWork(b.Team)
}

// workOfOthers estimates the slot time that other teams get for batches that are not late while the given team
// is charged the given time within wait.
func (q *queue) workOfOthers(now time.Time, id model.TeamID, charge, wait time.Duration) (ahead time.Duration) {
	for _, t := range q.teamsInOrder {
		if t.id != id {
			sent := time.Duration(t.demand.rate(now) * float64(wait))
			ahead += min(t.work-t.lateWork+sent, urgency.WorkFor(charge, t.weight))
		}
	}
	return ahead
}

// urgentWork returns the queued work of the first batch if it is urgent and belongs to another team.
func (q *queue) urgentWork(id model.TeamID) time.Duration {
	if q.eligible.empty() {
		return 0
	}
	first := q.eligible.first().batches.first()
	if !first.urgent || first.Team == id {
		return 0
	}
	return first.queuedWork
}

// workBefore returns the queued work of the team's batches that are not late and whose keys are not after the
// given one.
func (t *team) workBefore(key time.Time) (work time.Duration) {
	for _, b := range t.batches.items {
		if !b.place.Late && !b.place.Key.After(key) {
			work += b.queuedWork
		}
	}
	return work
}

// demand is a moving average of the rate at which a team's batches request slot time.
type demand struct {
	level float64 // Requested slot time in nanoseconds, with exponential decay.
	at    time.Time
}

func (d *demand) add(now time.Time, work time.Duration) {
	d.decay(now)
	d.level += float64(work)
}

// decay applies the decay up to now, unless the last update is more recent than rateStep.
func (d *demand) decay(now time.Time) {
	age := now.Sub(d.at)
	if age < rateStep {
		return
	}
	d.level *= math.Exp(-float64(age) / float64(rateWindow))
	d.at = now
}

// rate returns the requested slot time per unit of time.
func (d *demand) rate(now time.Time) float64 {
	d.decay(now)
	return d.level / float64(rateWindow)
}
