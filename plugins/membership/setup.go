package membership

import (
	"redwingpulley/kernel/plugin"
	"redwingpulley/kernel/port"
)

func init() {
	plugin.Register(plugin.Definition{
		ID:      "membership",
		Summary: "maintains the view of which entry VMs are alive and gossips small values between them",
		Provides: []plugin.Port{
			plugin.PortOf[port.Membership](), plugin.PortOf[port.Gossip](), plugin.PortOf[port.Liveness](),
		},
		Needs: []plugin.Port{plugin.PortOf[port.Peers]()},
		New:   func() plugin.Plugin { return &Membership{} },
	})
}
