package group

import (
	"slices"

	"redwingpulley/kernel/model"
	"redwingpulley/kernel/plugin"
	"redwingpulley/kernel/port"
)

const profilesID plugin.ID = "profiles"

// WithFixedProfiles returns the linked plug-ins with the profile register replaced by a fixed set,
// so that an experiment runs under exactly these profiles.
func WithFixedProfiles(set model.ProfileSet) []plugin.Definition {
	others := slices.DeleteFunc(plugin.Registered(), func(d plugin.Definition) bool { return d.ID == profilesID })
	return append(others, plugin.Definition{
		ID:       profilesID,
		Summary:  "fixed profiles of an experiment",
		Provides: []plugin.Port{plugin.PortOf[port.Profiles]()},
		New:      func() plugin.Plugin { return fixedProfiles{set} },
	})
}

type fixedProfiles struct{ set model.ProfileSet }

// Provision binds the port.
func (f fixedProfiles) Provision(c *plugin.Context) error {
	plugin.Bind[port.Profiles](c, f)
	return nil
}

// Current returns the fixed set.
func (f fixedProfiles) Current() (model.ProfileSet, bool) { return f.set, true }
