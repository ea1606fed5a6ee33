package decisions

import (
	"redwingpulley/kernel/plugin"
	"redwingpulley/kernel/port"
)

func init() {
	plugin.Register(plugin.Definition{
		ID:       "record.decisions",
		Summary:  "logs routing and placement decisions and keeps the newest ones in memory",
		Provides: []plugin.Port{plugin.PortOf[port.Decisions]()},
		New:      func() plugin.Plugin { return &Log{} },
	})
}
