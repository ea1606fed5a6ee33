package profiles

import "sync"

// goroutines are the goroutines of the plug-in, of which none starts any more once it stops. Messages of
// other members may still arrive then.
type goroutines struct {
	mu      sync.Mutex
	stopped bool
	running sync.WaitGroup
}

// Go runs f in a goroutine, unless the plug-in stops.
func (g *goroutines) Go(f func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.stopped {
		g.running.Go(f)
	}
}

// Stop keeps further goroutines from starting and waits until all have ended.
func (g *goroutines) Stop() {
	g.mu.Lock()
	g.stopped = true
	g.mu.Unlock()
	g.running.Wait()
}
