package file

import (
	"redwingpulley/kernel/plugin"
	"redwingpulley/kernel/port"
)

func init() {
	plugin.Register(plugin.Definition{
		ID:       "record.file",
		Summary:  "records the events and effects of the decision-making state machines for a replay",
		Provides: []plugin.Port{plugin.PortOf[port.Recorder]()},
		New:      func() plugin.Plugin { return &Recorder{} },
	})
}
