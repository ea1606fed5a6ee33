package staleview

import (
	"redwingpulley/kernel/plugin"
	"redwingpulley/kernel/port"
)

func init() {
	plugin.Register(plugin.Definition{
		ID:       "placement.stale_view",
		Summary:  "baseline: assigns each task to the least loaded endpoint of a view that is refreshed at intervals",
		Provides: []plugin.Port{plugin.PortOf[port.Placement]()},
		New:      func() plugin.Plugin { return registration{} },
	})
}

type registration struct{}

func (registration) Provision(c *plugin.Context) error {
	plugin.Bind[port.Placement](c, Policy{})
	return nil
}
