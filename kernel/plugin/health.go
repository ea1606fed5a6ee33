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
}

// NewHealth returns a Health with no reason against serving.
func NewHealth() *Health { return &Health{blocking: make(map[string]string)} }

// Block records why the named condition keeps the process from serving.
func (h *Health) Block(condition, why string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.blocking[condition] = why
}

// Clear removes the named condition.
func (h *Health) Clear(condition string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.blocking, condition)
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
