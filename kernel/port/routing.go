package port

import (
	"context"

	"redwingpulley/kernel/model"
)

// Routing gives access to the routes and services that operators have declared.
type Routing interface {
	// Declared returns the newest routing known to this member; nil while none is known.
	Declared() *model.Routing
	// Declare has a majority of the replicas accept a routing. A version older than the one in force
	// is accepted and changes nothing.
	Declare(ctx context.Context, routing model.Routing) Declaration
	// Confirmed returns the routing that the replicas had chosen at some moment during the call (a
	// linearizable read); ok is false when that cannot be determined.
	Confirmed(ctx context.Context) (routing *model.Routing, ok bool)
}

// Declaration is the result of declaring a routing.
type Declaration struct {
	Status DeclareStatus
	Detail string // What is invalid, when Status is DeclareInvalid.
}

// DeclareStatus is the status of a declaration.
type DeclareStatus string

// Statuses of declarations.
const (
	DeclareDone    DeclareStatus = "done"    // The replicas have chosen this routing or a newer one.
	DeclareInvalid DeclareStatus = "invalid" // The routing is invalid and never comes into force.
	DeclareUnknown DeclareStatus = "unsure"  // The routing may or may not come into force; it may be declared again.
)
