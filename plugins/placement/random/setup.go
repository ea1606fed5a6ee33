package random

import (
	"redwingpulley/kernel/plugin"
	"redwingpulley/kernel/port"
)

func init() {
	plugin.Register(plugin.Definition{
		ID:       "placement.random",
		Summary:  "baseline: assigns each task to a random endpoint at once",
		Provides: []plugin.Port{plugin.PortOf[port.Placement]()},
		New:      func() plugin.Plugin { return registration{} },
	})
}

type registration struct{}

func (registration) Provision(c *plugin.Context) error {
	plugin.Bind[port.Placement](c, Policy{})
	return nil
}
