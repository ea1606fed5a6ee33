package plugin

import (
	"context"
	"log/slog"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"

	"redwingpulley/kernel/settings"
)

// DrainContext bounds the time of a drain.
type DrainContext = context.Context

// Context is what a plug-in is provisioned with.
type Context struct {
	ID      ID
	Node    settings.Settings
	Log     *slog.Logger
	Metrics metrics.Registry
	Health  *Health

	host *Host
}

// Checked is a plug-in's settings that can tell their faults, each by its key.
type Checked interface{ Check(faults *settings.Faults) }

// Settings decodes the plug-in's own settings over the defaults that target holds, and checks them
// when target is Checked. Errors name the JSON path.
func (c *Context) Settings(target any) error {
	path := "plugins." + string(c.ID)
	if raw, ok := c.Node.Plugins[string(c.ID)]; ok {
		if err := settings.DecodeStrict(raw, path, target); err != nil {
			return err
		}
	}
	faults := settings.Faults{Prefix: path}
	if checked, ok := target.(Checked); ok {
		checked.Check(&faults)
	}
	return faults.Joined()
}

// RequestDrain asks for the same drain as SIGTERM.
func (c *Context) RequestDrain() { c.host.requestDrain() }

// Bind offers implementation as port T to the plug-ins that need it.
func Bind[T any](c *Context, implementation T) {
	port := PortOf[T]()
	c.host.bound[port] = append(c.host.bound[port], binding{c.ID, implementation})
}

var errMissingPort = errors.New("a port is missing")

// Use returns the one implementation of port T.
func Use[T any](c *Context) (T, error) {
	all := c.host.bound[PortOf[T]()]
	if len(all) != 1 {
		var none T
		return none, errors.Wrapf(errMissingPort, "%s: port %s has %d implementations, wanted 1", c.ID, PortOf[T](), len(all))
	}
	return all[0].implementation.(T), nil
}

// Need sets target to the one implementation of port T.
func Need[T any](c *Context, target *T) (err error) {
	*target, err = Use[T](c)
	return err
}

// UseAll returns the implementations of port T by their plug-ins' names.
func UseAll[T any](c *Context) map[string]T {
	byName := make(map[string]T)
	for _, b := range c.host.bound[PortOf[T]()] {
		byName[b.id.Name()] = b.implementation.(T)
	}
	return byName
}
