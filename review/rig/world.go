package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// World is what clients, executors and the platform have seen, and the check of the rules on it.
type World struct {
	rec        *Record
	mu         sync.Mutex
	jobs       map[string]*job
	tasks      map[string]*task
	broken     map[string]int
	starts     int
	orders     int             // Orders that executors have received.
	unanswered int             // Those of them that they have left unanswered.
	odd        map[string]bool // Jobs that may be read in any way.
	drains     map[*Executor]time.Time
}

type job struct {
	spec      string
	count     int
	sent      int
	rejected  int
	completed bool
	cancelled bool
	cancelAck time.Time
}

type task struct {
	running map[*run]*Executor
	starts  int
	done    bool
}

func newWorld(rec *Record) *World {
	return &World{rec: rec, jobs: make(map[string]*job), tasks: make(map[string]*task), broken: make(map[string]int), drains: make(map[*Executor]time.Time), odd: make(map[string]bool)}
}

// breaks notes a broken rule. The lock is held.
func (w *World) breaks(rule, format string, args ...any) {
	w.broken[rule]++
	w.rec.Add("BROKEN %s: %s", rule, fmt.Sprintf(format, args...))
}

// Broken returns how often a rule was broken.
func (w *World) Broken(rule string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.broken[rule]
}

// Sent notes that a client sends a job.
func (w *World) Sent(id, spec string, count int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	j := w.jobs[id]
	if j == nil {
		j = &job{spec: spec, count: count}
		w.jobs[id] = j
	}
	j.sent++
}

// Answered notes the response to a POST.
func (w *World) Answered(id string, status int, body string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	j := w.jobs[id]
	if status == 429 || status == 503 || status == 404 {
		j.rejected++
	}
	if status == 200 && strings.Contains(body, "completed") {
		j.completed = true
		for i := range j.count {
			if t := w.tasks[fmt.Sprintf("%s.0.0.%d", id, i)]; t == nil || !t.done {
				w.breaks("MIXED", "job %s is completed, and its task %d has not ended done", id, i)
			}
		}
	}
}

// Cancelled notes that a client cancels a job.
func (w *World) Cancelled(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if j := w.jobs[id]; j != nil { // Otherwise the cancelling has overtaken its job.
		j.cancelled = true
	}
}

// CancelAcked notes the first ack of a job's cancelling.
func (w *World) CancelAcked(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if j := w.jobs[id]; j != nil && j.cancelAck.IsZero() {
		j.cancelAck = time.Now()
	}
}

func (w *World) drainAcked(e *Executor) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if _, known := w.drains[e]; !known {
		w.drains[e] = time.Now()
		w.rec.Add("executor %s: draining is acknowledged", e.ID)
	}
}

// begun is called by an executor that has begun a task; used is what is in use there with it.
func (w *World) begun(e *Executor, r *run, spec string, used Amount) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.starts++
	w.rec.Add("executor %s: starts %s run %d", e.ID, r.task, r.number)
	t := w.tasks[r.task]
	if t == nil {
		t = &task{running: make(map[*run]*Executor)}
		w.tasks[r.task] = t
	}
	for other, at := range t.running {
		w.breaks("TWICE", "%s runs on %s (run %d) and on %s (run %d)", r.task, at.ID, other.number, e.ID, r.number)
	}
	t.running[r] = e
	t.starts++
	if used.CPU > e.Has.CPU || used.Mem > e.Has.Mem {
		w.breaks("LIMIT", "%s has %v, and %v is in use with the start of %s", e.ID, e.Has, used, r.task)
	}
	if at, drained := w.drains[e]; drained && time.Since(at) > 2*time.Second {
		w.breaks("DRAIN", "%s starts %s %.1f s after the ack of draining", e.ID, r.task, time.Since(at).Seconds())
	}
	id, _, _ := strings.Cut(r.task, ".")
	j := w.jobs[id]
	switch {
	case j == nil && w.odd[id]:
	case j == nil:
		w.breaks("UNASKED", "nobody sent job %s", id)
	case j.spec != spec:
		w.breaks("UNASKED", "%s has another spec", r.task)
	case !j.cancelAck.IsZero() && time.Since(j.cancelAck) > 3*time.Second:
		w.breaks("UNASKED", "%s starts %.1f s after the ack of its job's cancelling", r.task, time.Since(j.cancelAck).Seconds())
	}
}

func (w *World) ended(e *Executor, r *run, how string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.rec.Add("executor %s: %s run %d has ended %s", e.ID, r.task, r.number, how)
	id, _, _ := strings.Cut(r.task, ".")
	if j := w.jobs[id]; j != nil && !j.cancelAck.IsZero() && time.Since(j.cancelAck) > 3050*time.Millisecond {
		w.rec.Add("late end: %s ends %.1f s after the ack of its job's cancelling", r.task, time.Since(j.cancelAck).Seconds())
	}
	t := w.tasks[r.task]
	delete(t.running, r)
	t.done = t.done || how == "done"
}

// Finish checks what shows at the end only.
func (w *World) Finish() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for name := range w.tasks {
		id, _, _ := strings.Cut(name, ".")
		if j := w.jobs[id]; j != nil && j.sent > 0 && j.rejected == j.sent {
			w.breaks("REFUSED", "%s has started, and all %d attempts to hand its job in were rejected", name, j.sent)
		}
	}
}
