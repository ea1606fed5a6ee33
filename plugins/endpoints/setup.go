package endpoints

import (
	"redwingpulley/kernel/plugin"
	"redwingpulley/kernel/port"
)

func init() {
	plugin.Register(plugin.Definition{
		ID:       "endpoints",
		Summary:  "owns pools of endpoints and runs batches of tasks on them",
		Provides: []plugin.Port{plugin.PortOf[port.Pools](), plugin.PortOf[port.PoolJudge]()},
		Needs: []plugin.Port{
			plugin.PortOf[port.Peers](),
			plugin.PortOf[port.Membership](),
			plugin.PortOf[port.Gossip](),
			plugin.PortOf[port.Liveness](),
			plugin.PortOf[port.Profiles](),
			plugin.PortOf[port.Tasks](),
			plugin.PortOf[port.Placement](),
			plugin.PortOf[port.Decisions](),
			plugin.PortOf[port.Recorder](),
			plugin.PortOf[port.Admission](),
		},
		New: func() plugin.Plugin { return &Pools{} },
	})
}
