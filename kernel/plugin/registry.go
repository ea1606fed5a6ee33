// Package plugin is the kernel's registry of plug-ins and their life cycle.
//
// A plug-in registers a Definition in its package's init function, under an id made of a kind and a
// name, such as "placement.least_wait". A binary links the plug-in by a blank import of its package.
// The host then provisions, validates and starts the plug-ins in the order of their dependencies on
// ports, and stops them in reverse order. The kernel refers to no particular plug-in.
package plugin

import (
	"reflect"
	"slices"
	"strings"
	"sync"

	"redwingpulley/kernel/invariant"
	"redwingpulley/kernel/settings"
)

// ID is a plug-in's kind and name joined by a dot.
type ID string

// Kind returns the part of the id before the first dot.
func (id ID) Kind() string {
	kind, _, _ := strings.Cut(string(id), ".")
	return kind
}

// Name returns the part of the id after the first dot, or the whole id if it contains no dot.
func (id ID) Name() string {
	_, name, found := strings.Cut(string(id), ".")
	if !found {
		return string(id)
	}
	return name
}

// Port identifies an interface that some plug-ins provide and others use.
type Port struct{ iface reflect.Type }

// PortOf returns the port of interface T.
func PortOf[T any]() Port { return Port{reflect.TypeFor[T]()} }

// String returns the interface's name.
func (p Port) String() string { return p.iface.String() }

// Definition describes a plug-in to the kernel.
type Definition struct {
	ID       ID
	Summary  string // One line for the list printed by `redwingd plugins`.
	Provides []Port // Ports that Provision binds.
	Needs    []Port // Ports whose providers are provisioned and started before this plug-in.
	New      func() Plugin
	// Optional plug-ins run only if the settings name them under "plugins".
	Optional bool
}

// Plugin is one instance of a plug-in. Provision reads settings and binds ports; it must not open
// listeners or start goroutines, which is left to Start.
type Plugin interface {
	Provision(*Context) error
}

// Validator is a plug-in that checks itself after all plug-ins have been provisioned.
type Validator interface{ Validate() error }

// Starter is a plug-in that opens listeners or starts goroutines.
type Starter interface{ Start() error }

// Drainer is a plug-in that finishes the requests in flight before it is stopped. Drain returns when
// no request is left or the context ends.
type Drainer interface{ Drain(DrainContext) }

// Reloader is a plug-in that applies changed settings while it runs. Changed settings that it does
// not apply take effect at the next start.
type Reloader interface{ Reload(node settings.Settings) }

// Stopper is a plug-in that releases what Start opened.
type Stopper interface{ Stop() error }

var registry = struct {
	sync.Mutex
	byID map[ID]Definition
}{byID: make(map[ID]Definition)}

// Register adds a plug-in to the registry. It panics when the definition is incomplete or another
// plug-in has the same id, since the build is then broken.
func Register(d Definition) {
	registry.Lock()
	defer registry.Unlock()
	_, duplicate := registry.byID[d.ID]
	invariant.Check(!duplicate && d.ID != "" && d.New != nil, "plugin-registration", "id %q", d.ID)
	registry.byID[d.ID] = d
}

// Registered returns the definitions of all linked plug-ins, sorted by id.
func Registered() []Definition {
	registry.Lock()
	defer registry.Unlock()
	all := make([]Definition, 0, len(registry.byID))
	for _, d := range registry.byID {
		all = append(all, d)
	}
	slices.SortFunc(all, func(a, b Definition) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return all
}
