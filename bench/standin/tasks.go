package standin

import (
	"context"
	"encoding/json"
	"math"
	"time"
)

// maxTasks bounds the ended tasks and fences that a stand-in remembers.
const maxTasks = 1 << 17

type taskState string

const (
	stateRunning taskState = "running"
	stateDone    taskState = "done"
	stateStopped taskState = "stopped"
	stateFailed  taskState = "failed"
	stateRevoked taskState = "revoked"
)

// onWire maps the state to one of those that the endpoint protocol names: a failed task ended
// without an answer, as a stopped one did.
func (s taskState) onWire() taskState {
	if s == stateFailed {
		return stateStopped
	}
	return s
}

// task is a task that was started or revoked here.
type task struct {
	id      string
	attempt int // The one that started; of a revoked task the highest that is fenced.
	state   taskState
	answer  json.RawMessage
	started time.Time
	stop    context.CancelFunc
}

// fences reports whether a revoked task must refuse the attempt. A revoke without an attempt
// fences all of them, since an earlier start may still be under way.
func (t *task) fences(attempt int) bool { return attempt <= t.fence() }

func (t *task) fence() int {
	if t.attempt == 0 {
		return math.MaxInt
	}
	return t.attempt
}

// refence extends the fence of a revoked task to a further attempt.
func (t *task) refence(attempt int) {
	if t.state != stateRevoked {
		return
	}
	if attempt == 0 || t.attempt == 0 {
		t.attempt = 0
		return
	}
	t.attempt = max(t.attempt, attempt)
}

// table remembers running tasks and a bounded number of ended ones, the oldest dropped first.
type table struct {
	byID  map[string]*task
	order []*task // Ended tasks and fences, a ring once it is full.
	next  int
	limit int
}

func newTable(limit int) *table { return &table{byID: make(map[string]*task), limit: limit} }

func (t *table) get(id string) (*task, bool) {
	found, ok := t.byID[id]
	return found, ok
}

func (t *table) put(added *task) { t.byID[added.id] = added }

// ended counts the task against the bound.
func (t *table) ended(last *task) {
	if len(t.order) < t.limit {
		t.order = append(t.order, last)
		return
	}
	oldest := t.order[t.next]
	if t.byID[oldest.id] == oldest {
		delete(t.byID, oldest.id)
	}
	t.order[t.next] = last
	t.next = (t.next + 1) % t.limit
}

func (t *table) running() []string {
	ids := []string{}
	for id, task := range t.byID {
		if task.state == stateRunning {
			ids = append(ids, id)
		}
	}
	return ids
}
