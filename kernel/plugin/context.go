package plugin

import (
	"context"
	"log/slog"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"

	"redwingpulley/kernel/settings"
)

// DrainContext is the context of a drain; it ends when the time for the drain is over.
type DrainContext = context.Context

// Context gives a plug-in access to the process while the plug-in is provisioned.
type Context struct {
	ID      ID
	Node    settings.Settings // Settings of the process.
	Log     *slog.Logger
	Metrics metrics.Registry
	Health  *Health

	host *Host
}

// Checker is implemented by plug-in settings that check their values. Check reports each fault under
// the key of the value.
type Checker interface{ Check(faults *settings.Faults) }

// Settings decodes the plug-in's own settings into target, which holds the defaults, and checks them
// when target implements Checker. Errors name the JSON path.
func (c *Context) Settings(target any) error {
	path := "plugins." + string(c.ID)
	if raw, ok := c.Node.Plugins[string(c.ID)]; ok {
		if err := settings.DecodeStrict(raw, path, target); err != nil {
			return err
		}
	}
	faults := settings.Faults{Prefix: path}
	if checked, ok := target.(Checker); ok {
		checked.Check(&faults)
	}
	return faults.Err()
}

// RequestDrain asks the process to drain, as SIGTERM does.
func (c *Context) RequestDrain() { c.host.requestDrain() }

// Bind registers implementation as an implementation of port T for the plug-ins that need the port.
func Bind[T any](c *Context, implementation T) {
	port := PortOf[T]()
	c.host.bindings[port] = append(c.host.bindings[port], binding{c.ID, implementation})
}

var errMissingPort = errors.New("a port is missing")

// Use returns the implementation of port T. It fails unless exactly one is bound.
func Use[T any](c *Context) (T, error) {
	all := c.host.bindings[PortOf[T]()]
	if len(all) != 1 {
		var none T
		return none, errors.Wrapf(errMissingPort, "%s: port %s has %d implementations, wanted 1", c.ID, PortOf[T](), len(all))
	}
	return all[0].implementation.(T), nil
}

// Need sets target to the implementation of port T. It fails unless exactly one is bound.
func Need[T any](c *Context, target *T) (err error) {
	*target, err = Use[T](c)
	return err
}

// UseAll returns all implementations of port T by the names of their plug-ins.
func UseAll[T any](c *Context) map[string]T {
	byName := make(map[string]T)
	for _, b := range c.host.bindings[PortOf[T]()] {
		byName[b.id.Name()] = b.implementation.(T)
	}
	return byName
}
