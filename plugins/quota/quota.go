// Package quota bounds the task starts of teams over all members. So far it grants all.
package quota

import (
	"time"

	"redwingpulley/kernel/model"
	"redwingpulley/kernel/plugin"
	"redwingpulley/kernel/port"
)

// Quotas is the plug-in. Create it through the registry.
type Quotas struct{}

// Provision binds the port.
func (q *Quotas) Provision(c *plugin.Context) error {
	plugin.Bind[port.Quotas](c, q)
	return c.Settings(&struct{}{})
}

// Take grants the tasks.
func (q *Quotas) Take(model.Profile, model.TeamID, int) (bool, time.Duration) { return true, 0 }
