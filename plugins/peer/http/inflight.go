package http

import (
	"context"
	"sync"

	"redwingpulley/kernel/plugin"
)

// inFlight counts the requests of peers that have no reply yet.
type inFlight struct {
	mu    sync.Mutex
	count int
	none  chan struct{} // Closed once count is 0; nil while nobody waits.
}

func (f *inFlight) begin() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.count++
}

func (f *inFlight) end() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.count--
	if f.count == 0 && f.none != nil {
		close(f.none)
		f.none = nil
	}
}

// wait returns once no request is without a reply, or the context has ended.
func (f *inFlight) wait(ctx context.Context) {
	f.mu.Lock()
	if f.count == 0 {
		f.mu.Unlock()
		return
	}
	if f.none == nil {
		f.none = make(chan struct{})
	}
	none := f.none
	f.mu.Unlock()
	select {
	case <-none:
	case <-ctx.Done():
	}
}

// Drain waits for the replies that are due, before others hear that this member stops and wait for
// none of them any more. The listener stays for the last requests.
func (p *Peers) Drain(ctx plugin.DrainContext) {
	p.draining.Store(true)
	p.requests.wait(ctx)
}
