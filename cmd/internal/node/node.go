// Package node creates and starts a plug-in host with all linked plug-ins: one for an entry VM's process,
// several in one process for a demonstration.
package node

import (
	"context"
	"log/slog"
	"runtime"
	"slices"
	"time"

	"github.com/rcrowley/go-metrics"

	"redwingpulley/kernel/event"
	"redwingpulley/kernel/plugin"
	"redwingpulley/kernel/port"
	"redwingpulley/kernel/settings"
	"redwingpulley/plugins/endpoints/poolstate"

	_ "redwingpulley/platform"         // Links in the plug-ins for the users' platform.
	_ "redwingpulley/plugins/standard" // Links in the plug-ins.
)

// New provisions all linked plug-ins without starting them: no file or listener is opened. Its error joins
// all faults of the settings.
func New(s settings.Settings, log *slog.Logger) (*plugin.Host, error) {
	host, err := plugin.NewHost(s, log.With(event.Text(event.Node, s.Node)), plugin.Registered())
	if err != nil {
		return nil, err
	}
	registerProcessMetrics(host.Metrics)
	return host, nil
}

// Start provisions and starts all linked plug-ins.
func Start(s settings.Settings, log *slog.Logger) (*plugin.Host, error) {
	host, err := New(s, log)
	if err != nil {
		return nil, err
	}
	return host, host.Start()
}

// registerProcessMetrics registers gauges of the process's uptime, goroutines and memory.
func registerProcessMetrics(registry metrics.Registry) {
	startedAt := time.Now()
	metrics.NewRegisteredFunctionalGauge("process.uptime_s", registry, func() int64 { return int64(time.Since(startedAt).Seconds()) })
	metrics.NewRegisteredFunctionalGauge("process.goroutines", registry, func() int64 { return int64(runtime.NumGoroutine()) })
	metrics.NewRegisteredFunctionalGauge("process.memory_bytes", registry, memoryInUse)
}

// memoryInUse returns the bytes that the Go runtime has mapped and not released to the operating system.
func memoryInUse() int64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.Sys - m.HeapReleased)
}

// Policies returns the linked placement and admission plug-ins, provisioned with their default settings.
func Policies(log *slog.Logger) (poolstate.Policies, error) {
	policies := slices.DeleteFunc(plugin.Registered(), func(d plugin.Definition) bool {
		return d.ID.Kind() != "placement" && d.ID.Kind() != "admission"
	})
	host, err := plugin.NewHost(settings.Settings{}, log, policies)
	if err != nil {
		return poolstate.Policies{}, err
	}
	return poolstate.Policies{
		Placements: plugin.LookupAll[port.Placement](host),
		Admissions: plugin.LookupAll[port.Admission](host),
	}, nil
}

// Stop drains the host until the context ends, then stops it.
func Stop(ctx context.Context, host *plugin.Host) error {
	host.Drain(ctx)
	return host.Stop()
}
