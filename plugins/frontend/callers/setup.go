package callers

import (
	"redwingpulley/kernel/plugin"
	"redwingpulley/kernel/port"
)

func init() {
	plugin.Register(plugin.Definition{
		ID:      "frontend.callers",
		Summary: "accepts jobs from callers as JSON over HTTP",
		Needs:   []plugin.Port{plugin.PortOf[port.Jobs]()},
		New:     func() plugin.Plugin { return &Frontend{} },
	})
}
