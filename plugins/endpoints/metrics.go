package endpoints

import (
	"strconv"

	"github.com/rcrowley/go-metrics"

	"redwingpulley/kernel/model"
	"redwingpulley/kernel/port"
	"redwingpulley/plugins/endpoints/poolstate"
)

const (
	sampleSize  = 1028  // Number of values that a histogram keeps.
	sampleAlpha = 0.015 // Decay rate of the sample: a higher one gives recent values more weight.
)

// instruments are the plug-in's metric instruments.
type instruments struct {
	registry         metrics.Registry
	starts           metrics.Counter
	repeated         metrics.Counter                        // Starts of tasks that were started before.
	startsLate       [model.MaxPriority + 1]metrics.Counter // Starts of tasks that are not expected to end in time, by priority.
	refusedEndpoints metrics.Counter                        // Endpoints that other members named and that cannot exist.
	wasted           metrics.Counter                        // Messages whose content was not used.
	keptTurns        metrics.Counter                        // Turns of which the other members were told.
	slowStarts       metrics.Counter                        // Starts of which the witnesses were told.
	queueTimes       metrics.Histogram                      // Milliseconds that a task was queued in its pool.
	objective        metrics.Histogram                      // Response time of a job as a percentage of its latency objective.
}

func newInstruments(registry metrics.Registry) instruments {
	histogram := func(name string) metrics.Histogram {
		return metrics.GetOrRegisterHistogram(name, registry, metrics.NewExpDecaySample(sampleSize, sampleAlpha))
	}
	m := instruments{
		registry:         registry,
		starts:           metrics.GetOrRegisterCounter("tasks.starts", registry),
		repeated:         metrics.GetOrRegisterCounter("tasks.starts_repeated", registry),
		refusedEndpoints: metrics.GetOrRegisterCounter("announcements.refused", registry),
		wasted:           metrics.GetOrRegisterCounter("messages.wasted", registry),
		keptTurns:        metrics.GetOrRegisterCounter("turns.kept", registry),
		slowStarts:       metrics.GetOrRegisterCounter("turns.witnessed", registry),
		queueTimes:       histogram("pools.wait_ms"), objective: histogram("pools.response_over_objective_pct"),
	}
	for priority := range m.startsLate {
		m.startsLate[priority] = metrics.GetOrRegisterCounter("tasks.starts_late."+strconv.Itoa(priority), registry)
	}
	return m
}

// registerGauges registers the gauges that are computed on each read, most of them from the owned pools.
func (p *Pools) registerGauges(registry metrics.Registry) {
	registry.GetOrRegister("keys.withdrawn", metrics.NewFunctionalGauge(func() int64 { return int64(p.withdrawn.Len()) }))
	registry.GetOrRegister("turns.kept_elsewhere", metrics.NewFunctionalGauge(func() int64 { return int64(p.keptElsewhere.Len()) }))
	registry.GetOrRegister("endpoints.slow", metrics.NewFunctionalGauge(func() (sum int64) {
		p.pools.Each(func(pools map[model.PoolID]*pool) {
			for _, o := range pools {
				sum += int64(o.machine.SlowEndpoints())
			}
		})
		return sum
	}))
	registry.GetOrRegister("endpoints.interfering_pairs", metrics.NewFunctionalGauge(p.interferingPairs))
	for name, value := range map[string]func(model.PoolLoad) int{
		"pools.owned":        func(model.PoolLoad) int { return 1 },
		"pools.slots":        func(l model.PoolLoad) int { return l.Slots },
		"pools.free_slots":   func(l model.PoolLoad) int { return l.Free },
		"pools.queued_tasks": func(l model.PoolLoad) int { return l.Queued },
	} {
		registry.GetOrRegister(name, metrics.NewFunctionalGauge(func() (sum int64) {
			for _, load := range p.ownedLoads() {
				sum += int64(value(load))
			}
			return sum
		}))
	}
}

// interferingPairs returns the number of pairs of teams that are kept apart, over all owned pools.
func (p *Pools) interferingPairs() (sum int64) {
	p.pools.Each(func(pools map[model.PoolID]*pool) {
		for id, o := range pools {
			if p.owns(id) {
				sum += int64(o.machine.InterferingPairs())
			}
		}
	})
	return sum
}

// countStep updates the metrics by the effects of a step.
func (m *instruments) countStep(fx *poolstate.Effects) {
	for i := range fx.Decisions {
		d := &fx.Decisions[i]
		switch d.Kind {
		case port.DecidedSend:
			m.queueTimes.Update(d.Queued.Milliseconds())
			if d.Attempt > 1 {
				m.repeated.Inc(1)
			}
			if !d.InTime {
				m.startsLate[model.ClampPriority(d.Priority)].Inc(1)
			}
		case port.DecidedBatchRefusal:
			m.countRefusal(d.Reason)
		}
	}
	for _, s := range fx.Served {
		if s.Objective > 0 {
			m.objective.Update(int64(100 * s.Took / s.Objective))
		}
	}
}

// countRefusal counts a refused batch by its reason.
func (m *instruments) countRefusal(reason model.Reason) {
	metrics.GetOrRegisterCounter("pools.refused."+string(reason), m.registry).Inc(1)
}

// countTaskEnd counts the reply of a start by its state.
func (m *instruments) countTaskEnd(state port.TaskState) {
	metrics.GetOrRegisterCounter("tasks.ended."+string(state), m.registry).Inc(1)
}
