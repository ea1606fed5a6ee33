package leastwait

import (
	"redwingpulley/kernel/plugin"
	"redwingpulley/kernel/port"
)

func init() {
	plugin.Register(plugin.Definition{
		ID:       "placement.least_wait",
		Summary:  "sends a job where it waits least and a task to the endpoint with most free slots",
		Provides: []plugin.Port{plugin.PortOf[port.Placement]()},
		New:      func() plugin.Plugin { return registration{} },
	})
}

type registration struct{}

func (registration) Provision(c *plugin.Context) error {
	plugin.Bind[port.Placement](c, Policy{})
	return nil
}
