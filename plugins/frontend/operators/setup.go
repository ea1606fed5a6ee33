package operators

import (
	"redwingpulley/kernel/plugin"
	"redwingpulley/kernel/port"
)

func init() {
	plugin.Register(plugin.Definition{
		ID:      "frontend.operators",
		Summary: "serves requests of operators as JSON over HTTP",
		Needs: []plugin.Port{
			plugin.PortOf[port.Pools](),
			plugin.PortOf[port.Membership](),
			plugin.PortOf[port.Profiles](),
			plugin.PortOf[port.ProfileRegister](),
			plugin.PortOf[port.Placement](),
			plugin.PortOf[port.Admission](),
			plugin.PortOf[port.Decisions](),
			plugin.PortOf[port.Planner](),
		},
		New: func() plugin.Plugin { return &Frontend{} },
	})
}
