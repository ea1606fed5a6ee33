package roundrobin

import (
	"redwingpulley/kernel/plugin"
	"redwingpulley/kernel/port"
)

func init() {
	plugin.Register(plugin.Definition{
		ID:       "placement.round_robin",
		Summary:  "baseline: assigns tasks to the endpoints in turn",
		Provides: []plugin.Port{plugin.PortOf[port.Placement]()},
		New:      func() plugin.Plugin { return registration{} },
	})
}

type registration struct{}

func (registration) Provision(c *plugin.Context) error {
	plugin.Bind[port.Placement](c, Policy{})
	return nil
}
