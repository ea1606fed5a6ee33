package standin

import (
	"maps"
	"slices"
	"time"
)

// Reasons for which a stand-in refuses a start.
const (
	RefusedRevoked = "revoked"
	RefusedKnown   = "known task"
	RefusedNoSlot  = "no free slot"
	RefusedAtWill  = "refuses"
)

// maxRecords bounds the records that a stand-in keeps; the oldest go first.
const maxRecords = 1 << 20

// Record is one request to start or to revoke a task.
type Record struct {
	Task    string        `json:"task"`
	Attempt int           `json:"attempt"`
	At      time.Time     `json:"at"`
	Refused string        `json:"refused,omitempty"` // "" when the task started.
	Revoke  bool          `json:"revoke,omitempty"`  // A revoke rather than a start.
	Ran     time.Duration `json:"ran_ns,omitempty"`  // Slot time; 0 until the task has ended.
}

// Started reports whether the request started the task.
func (r Record) Started() bool { return r.Refused == "" && !r.Revoke }

// Log is what a stand-in has seen.
type Log struct {
	Records []Record `json:"records"`
	Dropped int      `json:"dropped"` // Records that are no longer kept.
}

type records struct {
	Log
	byTask map[string]int // Position of the start of a task that has not ended.
}

func (r *records) add(record Record) {
	if r.byTask == nil {
		r.byTask = make(map[string]int)
	}
	if len(r.Records) == maxRecords {
		r.dropOldest()
	}
	if record.Started() {
		r.byTask[record.Task] = len(r.Records)
	}
	r.Records = append(r.Records, record)
}

// dropOldest forgets the older half.
func (r *records) dropOldest() {
	half := len(r.Records) / 2
	r.Records = slices.Clone(r.Records[half:])
	r.Dropped += half
	for id, position := range r.byTask {
		r.byTask[id] = position - half
	}
	maps.DeleteFunc(r.byTask, func(_ string, position int) bool { return position < 0 })
}

// ran sets the slot time of a task's start.
func (r *records) ran(t *task, took time.Duration) {
	if position, ok := r.byTask[t.id]; ok {
		r.Records[position].Ran = took
		delete(r.byTask, t.id)
	}
}

// Log returns what the stand-in has seen so far.
func (e *Endpoint) Log() Log {
	e.mu.Lock()
	defer e.mu.Unlock()
	log := e.records.Log
	log.Records = slices.Clone(log.Records)
	return log
}

// Repeated returns the tasks that were started more than once, or asked to start again where they
// had started, over all logs. A dispatcher that keeps its promise leaves it empty.
func Repeated(logs ...Log) []string {
	starts := make(map[string]int)
	for _, log := range logs {
		for _, r := range log.Records {
			if r.Started() || r.Refused == RefusedKnown {
				starts[r.Task]++
			}
		}
	}
	maps.DeleteFunc(starts, func(_ string, count int) bool { return count < 2 })
	return slices.Sorted(maps.Keys(starts))
}
