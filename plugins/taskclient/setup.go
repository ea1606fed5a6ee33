package taskclient

import (
	"redwingpulley/kernel/plugin"
	"redwingpulley/kernel/port"
)

func init() {
	plugin.Register(plugin.Definition{
		ID:       "taskclient",
		Summary:  "sends tasks to endpoints as JSON over HTTP",
		Provides: []plugin.Port{plugin.PortOf[port.Tasks]()},
		New:      func() plugin.Plugin { return &Client{} },
	})
}
