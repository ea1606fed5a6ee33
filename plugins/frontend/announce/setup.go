package announce

import (
	"redwingpulley/kernel/plugin"
	"redwingpulley/kernel/port"
)

func init() {
	plugin.Register(plugin.Definition{
		ID:      "frontend.announce",
		Summary: "accepts announcements from endpoints as JSON over HTTP",
		Needs:   []plugin.Port{plugin.PortOf[port.Pools]()},
		New:     func() plugin.Plugin { return &Frontend{} },
	})
}
