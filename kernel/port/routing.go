package port

import (
	"context"

	"redwingpulley/kernel/model"
)

// Routing holds what operators have declared of routes and services.
type Routing interface {
	// Declared returns the newest routing that is known here; nil while none is.
	Declared() *model.Routing
	// Declare has the replicas agree on a routing. An older version than the agreed one is accepted
	// and changes nothing.
	Declare(ctx context.Context, routing model.Routing) Declaration
	// Confirmed returns the routing that is agreed at some moment during the call; ok is false when
	// that cannot be found out.
	Confirmed(ctx context.Context) (routing *model.Routing, ok bool)
}

// Declaration is what came of a declared routing.
type Declaration struct {
	Status DeclareStatus
	Detail string // Of an invalid one.
}

// DeclareStatus tells how a declaration ended.
type DeclareStatus string

// Statuses of declarations.
const (
	DeclareDone    DeclareStatus = "done"    // It is agreed, or a newer one is.
	DeclareInvalid DeclareStatus = "invalid" // It can never be in force.
	DeclareUnsure  DeclareStatus = "unsure"  // It may or may not come into force; the same may be sent again.
)
