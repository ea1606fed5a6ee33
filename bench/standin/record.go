package standin

import (
	"maps"
	"slices"
	"time"
)

// Reasons for which a stand-in refuses a start.
const (
	RefusedRevoked     = "revoked"
	RefusedKnownTask   = "known task"
	RefusedNoSlot      = "no free slot"
	RefusedByBehaviour = "refuses"
)

// maxRecords is the maximum number of records that a stand-in keeps; the oldest are dropped first.
const maxRecords = 1 << 20

// Record is one request to start or to revoke a task.
type Record struct {
	Task    string        `json:"task"`
	Attempt int           `json:"attempt"`
	At      time.Time     `json:"at"`
	Refused string        `json:"refused,omitempty"` // Reason for the refusal; "" when the task started.
	Revoke  bool          `json:"revoke,omitempty"`  // Whether the request was a revoke rather than a start.
	Ran     time.Duration `json:"ran_ns,omitempty"`  // Slot time of the started task; 0 until it has ended.
}

// Started reports whether the request started the task.
func (r Record) Started() bool { return r.Refused == "" && !r.Revoke }

// Log is a stand-in's log of the requests to start or to revoke tasks.
type Log struct {
	Records []Record `json:"records"`
	Dropped int      `json:"dropped"` // Number of records that were dropped.
}

// records is a Log that is still being written. Endpoint.mu guards it.
type records struct {
	Log
	startOf map[string]int // Position of each running task's start in Records.
}

// add appends a record.
func (r *records) add(record Record) {
	if r.startOf == nil {
		r.startOf = make(map[string]int)
	}
	if len(r.Records) == maxRecords {
		r.dropOldest()
	}
	if record.Started() {
		r.startOf[record.Task] = len(r.Records)
	}
	r.Records = append(r.Records, record)
}

// dropOldest drops the older half of the records.
func (r *records) dropOldest() {
	half := len(r.Records) / 2
	r.Records = slices.Clone(r.Records[half:])
	r.Dropped += half
	for id, position := range r.startOf {
		r.startOf[id] = position - half
	}
	maps.DeleteFunc(r.startOf, func(_ string, position int) bool { return position < 0 })
}

// setSlotTime sets the slot time in the record of a running task's start.
func (r *records) setSlotTime(t *task, took time.Duration) {
	if position, ok := r.startOf[t.id]; ok {
		r.Records[position].Ran = took
		delete(r.startOf, t.id)
	}
}

// Log returns a copy of the log so far.
func (e *Endpoint) Log() Log {
	e.mu.Lock()
	defer e.mu.Unlock()
	log := e.records.Log
	log.Records = slices.Clone(log.Records)
	return log
}

// RepeatedStarts returns the tasks that, over all logs, were started more than once or for which an
// endpoint that had started them received another start request. There are none if the dispatcher keeps
// its guarantee to start a task at most once.
func RepeatedStarts(logs ...Log) []string {
	starts := make(map[string]int)
	for _, log := range logs {
		for _, r := range log.Records {
			if r.Started() || r.Refused == RefusedKnownTask {
				starts[r.Task]++
			}
		}
	}
	maps.DeleteFunc(starts, func(_ string, count int) bool { return count < 2 })
	return slices.Sorted(maps.Keys(starts))
}
