// Package node runs one entry VM's process, or several in one process for a demonstration.
package node

import (
	"context"
	"log/slog"
	"slices"

	"redwingpulley/kernel/event"
	"redwingpulley/kernel/plugin"
	"redwingpulley/kernel/port"
	"redwingpulley/kernel/settings"
	"redwingpulley/plugins/endpoints/poolstate"

	_ "redwingpulley/platform"         // Links in the plug-ins for the users' platform.
	_ "redwingpulley/plugins/standard" // Links in the plug-ins.
)

// Start provisions and starts all linked plug-ins.
func Start(s settings.Settings, log *slog.Logger) (*plugin.Host, error) {
	host, err := plugin.NewHost(s, log.With(event.Text(event.Node, s.Node)), plugin.Registered())
	if err != nil {
		return nil, err
	}
	return host, host.Start()
}

// Policies returns the placements and admissions that are linked, provisioned with their defaults.
func Policies(log *slog.Logger) (poolstate.Policies, error) {
	pure := slices.DeleteFunc(plugin.Registered(), func(d plugin.Definition) bool {
		return d.ID.Kind() != "placement" && d.ID.Kind() != "admission"
	})
	host, err := plugin.NewHost(settings.Settings{}, log, pure)
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
