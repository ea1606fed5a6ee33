package poolstate

import (
	"time"

	"redwingpulley/kernel/port"
)

const (
	speedUnit = 1 << 16 // Speed of an endpoint with a learned factor of 1. Speeds are integers, so that their sum is exact.

	fastBelow = 0.9 // Factor below which an endpoint's slots count as fast.
	slowAbove = 1.5 // Factor above which an endpoint counts as slow.
)

// learnSpeed adds the run of a task that has answered to the estimate for its endpoint. Until the service's run times are known
// the declared ones, with which the run would be compared, may be far off.
func (m *Machine) learnSpeed(now time.Time, t *task, run time.Duration) {
	if m.speeds == nil || t.timeUnknown || !t.class.Learned() {
		return
	}
	e := t.endpoint
	m.speeds.Add(now, e.Address, e.Kind, run, t.run.Median)
	m.updateSpeed(now, e, false)
}

// updateSpeed updates an endpoint's speed, which is kept by address and so survives a restart. One that has been handed over begins
// with the factor that the former owner has learned. The caller updates the totals.
func (m *Machine) updateSpeed(now time.Time, e *endpoint, handedOver bool) {
	if m.speeds == nil {
		return
	}
	if handedOver {
		m.speeds.Adopt(now, e.Address, e.Endpoint.Factor)
	}
	e.speed = max(int(speedUnit/m.speeds.Factor(now, e.Address, e.Kind)), 1)
}

// factor returns the mean speed of the pool's slots over that of the endpoint: how long a run takes there in relation to the pool.
// Speeds rather than run times are averaged, as in the average over all runs: a few endpoints that have become very slow run few
// tasks, and do not make all others fast. Without any slots the mean is that of speed 1: runs may still end, and endpoints be handed over.
func (m *Machine) factor(e *endpoint) float64 {
	if m.totals.slots == 0 {
		return speedUnit / float64(e.speed)
	}
	return float64(m.totals.speed) / (float64(m.totals.slots) * float64(e.speed))
}

// learnedFactor returns the endpoint's factor, or 0 when speeds are not learned.
func (m *Machine) learnedFactor(e *endpoint) float64 {
	if m.speeds == nil {
		return 0
	}
	return m.factor(e)
}

// nominalRun returns how long a run would have taken at a typical endpoint of the pool.
func (m *Machine) nominalRun(e *endpoint, run time.Duration) time.Duration {
	if m.speeds == nil {
		return run
	}
	return time.Duration(float64(run) / m.factor(e))
}

// loadOf returns the endpoint's load.
func (m *Machine) loadOf(e *endpoint) port.EndpointLoad {
	load := e.load(m.needs.typical)
	load.Factor = m.learnedFactor(e)
	return load
}

// setSpeed sets the endpoint's share in the totals that depend on its speed.
func (c *contribution) setSpeed(e *endpoint, load port.EndpointLoad) {
	c.speed = c.slots * e.speed
	if c.slots > 0 && load.Factor > slowAbove {
		c.slow = 1
	}
	if load.Factor > 0 && load.Factor < fastBelow {
		c.freeFast = max(c.free, 0)
	}
}

// addSpeed updates the totals that depend on the speeds of endpoints after a change of one endpoint's share.
func (t *totals) addSpeed(was, now contribution) {
	t.speed += now.speed - was.speed
	t.freeFast += now.freeFast - was.freeFast
	t.slow += now.slow - was.slow
}

// SlowEndpoints returns the number of endpoints that take much longer for a run than the pool's mean.
func (m *Machine) SlowEndpoints() int { return m.totals.slow }

// objectiveLeft returns the time until the objective of the batch's job ends, at least 1; it is 0 when there is none, or when speeds
// are not learned.
func (m *Machine) objectiveLeft(now time.Time, b *batch) time.Duration {
	if m.speeds == nil || !b.hasObjective() {
		return 0
	}
	return max(b.inTimeUntil.Sub(now), 1)
}

// recordWait counts the queued tasks of a batch whose first one waits for a faster endpoint, and sets the timer that ends its wait
// after the given time. 0 means that it does not wait for one. A timer that is due earlier remains: the task is then looked at again.
func (m *Machine) recordWait(now time.Time, b *batch, waits time.Duration) {
	if waits <= 0 {
		return
	}
	m.waitingForFaster += len(b.queued)
	at := now.Add(waits)
	if !m.timers.heap.has(&m.fasterWaitEnd) || at.Before(m.fasterWaitEnd.at) {
		m.timers.set(&m.fasterWaitEnd, at)
	}
}
