package plugin

import (
	"maps"
	"slices"
	"sync"
)

// Health collects the conditions that keep a process from being ready to serve.
type Health struct {
	mu       sync.Mutex
	blockers map[string]string // Reason for each condition that blocks readiness.
	changed  chan struct{}     // Closed and replaced at each change.
}

// NewHealth returns a Health without blocking conditions.
func NewHealth() *Health {
	return &Health{blockers: make(map[string]string), changed: make(chan struct{})}
}

// Block sets the named condition, which keeps the process from serving, and the reason for it.
func (h *Health) Block(condition, reason string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.blockers[condition] = reason
	h.notify()
}

// Clear removes the named condition.
func (h *Health) Clear(condition string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.blockers, condition)
	h.notify()
}

// notify closes the channel that Changed has returned. The lock must be held.
func (h *Health) notify() {
	close(h.changed)
	h.changed = make(chan struct{})
}

// Changed returns a channel that is closed when a condition is next set or cleared.
func (h *Health) Changed() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.changed
}

// ReadyExcept reports whether no condition other than the named one keeps the process from serving.
func (h *Health) ReadyExcept(condition string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	_, blocked := h.blockers[condition]
	return len(h.blockers) == 0 || (blocked && len(h.blockers) == 1)
}

// Ready reports whether no condition keeps the process from serving. If any does, it returns all of
// them with their reasons, sorted by name.
func (h *Health) Ready() (bool, []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	var reasons []string
	for _, condition := range slices.Sorted(maps.Keys(h.blockers)) {
		reasons = append(reasons, condition+": "+h.blockers[condition])
	}
	return len(reasons) == 0, reasons
}
