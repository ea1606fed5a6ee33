package leases

import (
	"redwingpulley/kernel/plugin"
	"redwingpulley/kernel/port"
)

func init() {
	plugin.Register(plugin.Definition{
		ID:       "leases",
		Summary:  "runs tasks on endpoints under leases that this member holds",
		Optional: true,
		Provides: []plugin.Port{plugin.PortOf[port.Tasks]()},
		Needs: []plugin.Port{
			plugin.PortOf[port.LeasedEndpoints](), plugin.PortOf[port.Peers](), plugin.PortOf[port.Membership](),
		},
		New: func() plugin.Plugin { return &Leases{} },
	})
}
