package profiles

import (
	"redwingpulley/kernel/plugin"
	"redwingpulley/kernel/port"
)

func init() {
	plugin.Register(plugin.Definition{
		ID:       "profiles",
		Summary:  "holds the register of profiles, agreed by a majority of the members with disks",
		Provides: []plugin.Port{plugin.PortOf[port.Profiles](), plugin.PortOf[port.ProfileRegister](), plugin.PortOf[port.Routing]()},
		Needs: []plugin.Port{
			plugin.PortOf[port.Peers](), plugin.PortOf[port.Membership](), plugin.PortOf[port.Gossip](),
			plugin.PortOf[port.Recorder](),
		},
		New: func() plugin.Plugin { return &Profiles{} },
	})
}
