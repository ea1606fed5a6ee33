package standin

import (
	"context"
	"encoding/json"
	"math"
	"time"
)

// maxEndedTasks is the maximum number of ended tasks and fences that a stand-in keeps.
const maxEndedTasks = 1 << 17

type taskState string

const (
	stateRunning taskState = "running"
	stateDone    taskState = "done"
	stateStopped taskState = "stopped"
	stateFailed  taskState = "failed"
	stateRevoked taskState = "revoked"
)

// protocolState maps the state to one that the endpoint protocol defines: a failed task ended without an
// answer, as a stopped one did.
func (s taskState) protocolState() taskState {
	if s == stateFailed {
		return stateStopped
	}
	return s
}

// task is a task that was started or revoked on this stand-in.
type task struct {
	id      string
	attempt int // Attempt that started; for a revoked task the highest fenced attempt, 0 if all are fenced.
	state   taskState
	answer  json.RawMessage
	started time.Time
	stop    context.CancelFunc
}

// fences reports whether the attempt at a revoked task must be refused. A revoke without an attempt
// fences all attempts, since an earlier start request may still be in transit.
func (t *task) fences(attempt int) bool { return attempt <= t.fence() }

// fence returns the highest fenced attempt.
func (t *task) fence() int {
	if t.attempt == 0 {
		return math.MaxInt
	}
	return t.attempt
}

// extendFence extends the fence of a revoked task to the given attempt, or to all attempts if it is 0.
func (t *task) extendFence(attempt int) {
	if t.state != stateRevoked {
		return
	}
	if attempt == 0 || t.attempt == 0 {
		t.attempt = 0
		return
	}
	t.attempt = max(t.attempt, attempt)
}

// table holds the running tasks and a bounded number of ended tasks and fences; beyond its limit it
// evicts the oldest of these. Endpoint.mu guards it.
type table struct {
	byID         map[string]*task
	evictionRing []*task // Ended tasks and fences; a ring buffer once it has limit entries.
	next         int     // Position of the oldest entry of a full ring.
	limit        int
}

func newTable(limit int) *table { return &table{byID: make(map[string]*task), limit: limit} }

func (t *table) get(id string) (*task, bool) {
	found, ok := t.byID[id]
	return found, ok
}

func (t *table) put(added *task) { t.byID[added.id] = added }

// retire adds an ended task or a fence to the ring, and evicts the oldest one when the ring is full.
func (t *table) retire(last *task) {
	if len(t.evictionRing) < t.limit {
		t.evictionRing = append(t.evictionRing, last)
		return
	}
	oldest := t.evictionRing[t.next]
	if t.byID[oldest.id] == oldest {
		delete(t.byID, oldest.id)
	}
	t.evictionRing[t.next] = last
	t.next = (t.next + 1) % t.limit
}

// runningIDs returns the ids of the running tasks.
func (t *table) runningIDs() []string {
	ids := []string{}
	for id, task := range t.byID {
		if task.state == stateRunning {
			ids = append(ids, id)
		}
	}
	return ids
}
