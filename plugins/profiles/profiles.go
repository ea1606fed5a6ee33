// Package profiles holds the register of profiles. So far it serves the built-in revision 0.
package profiles

import (
	"redwingpulley/kernel/model"
	"redwingpulley/kernel/plugin"
	"redwingpulley/kernel/port"
)

// Profiles is the plug-in. Create it through the registry.
type Profiles struct{ current model.ProfileSet }

// Provision loads revision 0.
func (p *Profiles) Provision(c *plugin.Context) error {
	p.current = model.BuiltInProfiles()
	plugin.Bind[port.Profiles](c, p)
	return c.Settings(&struct{}{})
}

// Current returns the newest known profiles.
func (p *Profiles) Current() (model.ProfileSet, bool) { return p.current, true }
