package profiles

import (
	"redwingpulley/kernel/plugin"
	"redwingpulley/kernel/port"
)

func init() {
	plugin.Register(plugin.Definition{
		ID:       "profiles",
		Summary:  "replicates the register of profiles on members with disks; a majority of the replicas accepts each change",
		Provides: []plugin.Port{plugin.PortOf[port.Profiles](), plugin.PortOf[port.ProfileRegister](), plugin.PortOf[port.Routing](), plugin.PortOf[port.Evacuations]()},
		Needs: []plugin.Port{
			plugin.PortOf[port.Peers](), plugin.PortOf[port.Membership](), plugin.PortOf[port.Gossip](),
			plugin.PortOf[port.Recorder](),
		},
		New: func() plugin.Plugin { return &Profiles{} },
	})
}
