package membership

import (
	"redwingpulley/kernel/plugin"
	"redwingpulley/kernel/port"
)

func init() {
	plugin.Register(plugin.Definition{
		ID:      "membership",
		Summary: "knows which entry VMs are alive",
		Provides: []plugin.Port{
			plugin.PortOf[port.Membership](), plugin.PortOf[port.Gossip](), plugin.PortOf[port.Liveness](),
		},
		Needs: []plugin.Port{plugin.PortOf[port.Peers]()},
		New:   func() plugin.Plugin { return &Membership{} },
	})
}
