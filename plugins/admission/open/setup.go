package open

import (
	"redwingpulley/kernel/plugin"
	"redwingpulley/kernel/port"
)

func init() {
	plugin.Register(plugin.Definition{
		ID:       "admission.open",
		Summary:  "baseline: admits all work up to the queue's limit",
		Provides: []plugin.Port{plugin.PortOf[port.Admission]()},
		New:      func() plugin.Plugin { return registration{} },
	})
}

type registration struct{}

func (registration) Provision(c *plugin.Context) error {
	plugin.Bind[port.Admission](c, Policy{})
	return nil
}
