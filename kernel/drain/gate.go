// Package drain tracks requests in flight, so that a process can wait for the last of them before it
// stops.
package drain

import (
	"context"
	"sync"
)

// Gate counts the requests in flight and can be closed to new ones. The zero value is open.
type Gate struct {
	mu       sync.Mutex
	closed   bool
	inFlight int
	idle     chan struct{} // Created by the first waiter; closed once no request is in flight.
}

// Enter counts a request and reports whether the gate is open. The caller must call Leave afterwards,
// whether the gate is open or not.
func (g *Gate) Enter() (open bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.inFlight++
	return !g.closed
}

// Leave ends a request that was counted by Enter.
func (g *Gate) Leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.inFlight--
	g.signalIdle()
}

// Close closes the gate to new requests.
func (g *Gate) Close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = true
}

// Wait returns when no request is in flight or when the context ends.
func (g *Gate) Wait(ctx context.Context) {
	select {
	case <-g.idleChan():
	case <-ctx.Done():
	}
}

// idleChan returns a channel that is closed once no request is in flight.
func (g *Gate) idleChan() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.idle == nil {
		g.idle = make(chan struct{})
	}
	idle := g.idle
	g.signalIdle()
	return idle
}

// signalIdle wakes all callers of Wait if no request is in flight. The lock must be held.
func (g *Gate) signalIdle() {
	if g.inFlight > 0 || g.idle == nil {
		return
	}
	close(g.idle)
	g.idle = nil
}
