package endpoints

import (
	"github.com/rcrowley/go-metrics"

	"redwingpulley/kernel/model"
	"redwingpulley/kernel/port"
	"redwingpulley/plugins/endpoints/poolstate"
)

const (
	sampleSize  = 1028 // Values that a histogram keeps.
	sampleAlpha = 0.015
)

// meters are the plug-in's metrics.
type meters struct {
	registry  metrics.Registry
	starts    metrics.Counter
	repeated  metrics.Counter   // Starts of a task that was started before.
	wasted    metrics.Counter   // Messages whose content nobody used.
	waits     metrics.Histogram // Milliseconds that a task waited in its pool.
	objective metrics.Histogram // Per cent of the objective that a job took.
}

func newMeters(registry metrics.Registry) meters {
	histogram := func(name string) metrics.Histogram {
		return metrics.GetOrRegisterHistogram(name, registry, metrics.NewExpDecaySample(sampleSize, sampleAlpha))
	}
	return meters{
		registry: registry,
		starts:   metrics.GetOrRegisterCounter("tasks.starts", registry),
		repeated: metrics.GetOrRegisterCounter("tasks.starts_repeated", registry),
		wasted:   metrics.GetOrRegisterCounter("messages.wasted", registry),
		waits:    histogram("pools.wait_ms"), objective: histogram("pools.response_over_objective_pct"),
	}
}

// gaugePools registers what is read from the owned pools when somebody asks.
func (p *Pools) gaugePools(registry metrics.Registry) {
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

// countStep counts what a step has decided.
func (m *meters) countStep(fx *poolstate.Effects) {
	for i := range fx.Decisions {
		d := &fx.Decisions[i]
		switch d.Kind {
		case port.DecidedSend:
			m.waits.Update(d.Queued.Milliseconds())
			if d.Attempt > 1 {
				m.repeated.Inc(1)
			}
		case port.DecidedBatchNo:
			metrics.GetOrRegisterCounter("pools.refused."+string(d.Reason), m.registry).Inc(1)
		}
	}
	for _, s := range fx.Served {
		if s.Objective > 0 {
			m.objective.Update(int64(100 * s.Took / s.Objective))
		}
	}
}

// countEnd counts what came of a start.
func (m *meters) countEnd(state port.TaskState) {
	metrics.GetOrRegisterCounter("tasks.ended."+string(state), m.registry).Inc(1)
}
