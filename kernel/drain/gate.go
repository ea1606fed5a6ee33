// Package drain counts the requests in flight, so that a process stops after the last of them.
package drain

import (
	"context"
	"sync"
)

// Gate counts the requests inside and can be closed to new ones. The zero value is open.
type Gate struct {
	mu     sync.Mutex
	closed bool
	inside int
	empty  chan struct{} // Made by who waits; closed once nobody is inside.
}

// Enter reports whether the gate is open. Who enters must call Leave, whether it is open or not.
func (g *Gate) Enter() (open bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.inside++
	return !g.closed
}

// Leave is called at the end of a request.
func (g *Gate) Leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.inside--
	g.signal()
}

// Close closes the gate to new requests.
func (g *Gate) Close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = true
}

// Wait returns once nobody is inside, or when the context ends.
func (g *Gate) Wait(ctx context.Context) {
	select {
	case <-g.whenEmpty():
	case <-ctx.Done():
	}
}

func (g *Gate) whenEmpty() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.empty == nil {
		g.empty = make(chan struct{})
	}
	empty := g.empty
	g.signal()
	return empty
}

// signal wakes who waits; the lock is held.
func (g *Gate) signal() {
	if g.inside > 0 || g.empty == nil {
		return
	}
	close(g.empty)
	g.empty = nil
}
