package leastwait

import (
	"redwingpulley/kernel/plugin"
	"redwingpulley/kernel/port"
)

func init() {
	plugin.Register(plugin.Definition{
		ID:       "placement.least_wait",
		Summary:  "places a job on the pools where it waits least and a task on the endpoint with the most free slots",
		Provides: []plugin.Port{plugin.PortOf[port.Placement]()},
		New:      func() plugin.Plugin { return registration{} },
	})
}

type registration struct{}

func (registration) Provision(c *plugin.Context) error {
	plugin.Bind[port.Placement](c, Policy{})
	return nil
}
