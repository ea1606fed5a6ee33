package http

import (
	"redwingpulley/kernel/plugin"
	"redwingpulley/kernel/port"
)

func init() {
	plugin.Register(plugin.Definition{
		ID:       "peer.http",
		Summary:  "carries requests between members as JSON over HTTP/2",
		Provides: []plugin.Port{plugin.PortOf[port.Peers]()},
		New:      func() plugin.Plugin { return &Peers{} },
	})
}
