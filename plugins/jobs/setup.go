package jobs

import (
	"redwingpulley/kernel/plugin"
	"redwingpulley/kernel/port"
)

func init() {
	plugin.Register(plugin.Definition{
		ID:       "jobs",
		Summary:  "owns the jobs submitted to this member and runs each at most once",
		Provides: []plugin.Port{plugin.PortOf[port.Jobs](), plugin.PortOf[port.Planner]()},
		Needs: []plugin.Port{
			plugin.PortOf[port.Peers](),
			plugin.PortOf[port.Membership](),
			plugin.PortOf[port.Profiles](),
			plugin.PortOf[port.Quotas](),
			plugin.PortOf[port.Pools](),
			plugin.PortOf[port.PoolJudge](),
			plugin.PortOf[port.Placement](),
			plugin.PortOf[port.Decisions](),
			plugin.PortOf[port.Recorder](),
		},
		New: func() plugin.Plugin { return &Jobs{} },
	})
}
