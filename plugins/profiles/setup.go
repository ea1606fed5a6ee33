package profiles

import (
	"redwingpulley/kernel/plugin"
	"redwingpulley/kernel/port"
)

func init() {
	plugin.Register(plugin.Definition{
		ID:       "profiles",
		Summary:  "holds the register of profiles",
		Provides: []plugin.Port{plugin.PortOf[port.Profiles]()},
		Needs:    []plugin.Port{plugin.PortOf[port.Peers](), plugin.PortOf[port.Membership]()},
		New:      func() plugin.Plugin { return &Profiles{} },
	})
}
