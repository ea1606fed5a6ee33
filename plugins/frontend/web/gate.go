package web

import (
	"context"
	"sync"
)

// Gate counts the requests inside and can be closed to new ones. The zero value is open.
type Gate struct {
	mu     sync.Mutex
	closed bool
	inside int
	empty  chan struct{} // Made by Close; closed once nobody is inside.
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

// Close closes the gate and waits until nobody is inside or the context ends.
func (g *Gate) Close(ctx context.Context) {
	empty := g.close()
	select {
	case <-empty:
	case <-ctx.Done():
	}
}

func (g *Gate) close() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = true
	if g.empty == nil {
		g.empty = make(chan struct{})
	}
	empty := g.empty
	g.signal()
	return empty
}

// signal wakes Close; the lock is held.
func (g *Gate) signal() {
	if g.inside > 0 || g.empty == nil {
		return
	}
	close(g.empty)
	g.empty = nil
}
