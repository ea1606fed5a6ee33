// Package plugin is the kernel's registry of plug-ins and their life cycle.
//
// A plug-in registers a Definition from its package's init function under an id of a kind and a
// name, such as "placement.least_wait". The binary links it in by a blank import. The host then
// provisions, validates and starts the plug-ins in the order of the ports they need, and stops
// them in reverse. The kernel names no plug-in.
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

// Kind returns the part before the first dot.
func (id ID) Kind() string {
	kind, _, _ := strings.Cut(string(id), ".")
	return kind
}

// Name returns the part after the first dot, or the whole id when there is none.
func (id ID) Name() string {
	_, name, found := strings.Cut(string(id), ".")
	if !found {
		return string(id)
	}
	return name
}

// Port identifies an interface by which plug-ins meet.
type Port struct{ face reflect.Type }

// PortOf returns the port of interface T.
func PortOf[T any]() Port { return Port{reflect.TypeFor[T]()} }

// String returns the interface's name.
func (p Port) String() string { return p.face.String() }

// Definition tells the kernel what a plug-in is.
type Definition struct {
	ID       ID
	Summary  string // One line for `redwingd plugins`.
	Provides []Port // Ports that Provision fills.
	Needs    []Port // Ports that must be provisioned, and started, before this one.
	New      func() Plugin
	// Optional plug-ins run only where settings name them under "plugins".
	Optional bool
}

// Plugin is one instance of a plug-in. Provision reads settings and binds ports; it opens nothing.
type Plugin interface {
	Provision(*Context) error
}

// Validator is a plug-in that checks itself after all have been provisioned.
type Validator interface{ Validate() error }

// Starter is a plug-in that opens listeners or starts goroutines.
type Starter interface{ Start() error }

// Drainer is a plug-in that finishes requests in flight before it is stopped. Drain returns when
// none is left or the context ends.
type Drainer interface{ Drain(DrainContext) }

// Reloader is a plug-in that takes changed settings while it runs. What it does not take holds from
// the next start on.
type Reloader interface{ Reload(node settings.Settings) }

// Stopper is a plug-in that releases what Start opened.
type Stopper interface{ Stop() error }

var registered = struct {
	sync.Mutex
	byID map[ID]Definition
}{byID: make(map[ID]Definition)}

// Register adds a plug-in to the registry. Two plug-ins of one id are a broken build.
func Register(d Definition) {
	registered.Lock()
	defer registered.Unlock()
	_, twice := registered.byID[d.ID]
	invariant.Check(!twice && d.ID != "" && d.New != nil, "plugin-registration", "id %q", d.ID)
	registered.byID[d.ID] = d
}

// Registered returns the definitions of all linked plug-ins, sorted by id.
func Registered() []Definition {
	registered.Lock()
	defer registered.Unlock()
	all := make([]Definition, 0, len(registered.byID))
	for _, d := range registered.byID {
		all = append(all, d)
	}
	slices.SortFunc(all, func(a, b Definition) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return all
}
