package plugin

import (
	"maps"
	"slices"
	"sync"
)

// Health collects the reasons for which a process is not ready to serve.
type Health struct {
	mu       sync.Mutex
	blocking map[string]string
	changed  chan struct{}
}

// NewHealth returns a Health with no reason against serving.
func NewHealth() *Health {
	return &Health{blocking: make(map[string]string), changed: make(chan struct{})}
}

// Block records why the named condition keeps the process from serving.
func (h *Health) Block(condition, why string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.blocking[condition] = why
	h.tell()
}

// Clear removes the named condition.
func (h *Health) Clear(condition string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.blocking, condition)
	h.tell()
}

func (h *Health) tell() {
	close(h.changed)
	h.changed = make(chan struct{})
}

// Changed returns a channel that is closed at the next change of a condition.
func (h *Health) Changed() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.changed
}

// ReadyBut reports whether nothing but the named condition keeps the process from serving.
func (h *Health) ReadyBut(condition string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	_, blocked := h.blocking[condition]
	return len(h.blocking) == 0 || (blocked && len(h.blocking) == 1)
}

// Ready reports whether nothing keeps the process from serving, and otherwise what does.
func (h *Health) Ready() (bool, []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	var why []string
	for _, condition := range slices.Sorted(maps.Keys(h.blocking)) {
		why = append(why, condition+": "+h.blocking[condition])
	}
	return len(why) == 0, why
}
