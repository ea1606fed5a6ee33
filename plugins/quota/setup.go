package quota

import (
	"redwingpulley/kernel/plugin"
	"redwingpulley/kernel/port"
)

func init() {
	plugin.Register(plugin.Definition{
		ID:       "quota",
		Summary:  "limits the task starts of each team over all members",
		Provides: []plugin.Port{plugin.PortOf[port.Quotas]()},
		Needs: []plugin.Port{
			plugin.PortOf[port.Peers](), plugin.PortOf[port.Membership](), plugin.PortOf[port.Liveness](),
		},
		New: func() plugin.Plugin { return &Quotas{} },
	})
}
