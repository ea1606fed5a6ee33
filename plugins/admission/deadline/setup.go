package deadline

import (
	"redwingpulley/kernel/plugin"
	"redwingpulley/kernel/port"
)

func init() {
	plugin.Register(plugin.Definition{
		ID:       "admission.deadline",
		Summary:  "refuses work that is estimated to end after its deadline, given the queued work",
		Provides: []plugin.Port{plugin.PortOf[port.Admission]()},
		New:      func() plugin.Plugin { return registration{} },
	})
}

type registration struct{}

func (registration) Provision(c *plugin.Context) error {
	plugin.Bind[port.Admission](c, Policy{})
	return nil
}
