package port

import "time"

// Recorder writes the events and effects of state machines to a record from which a run can be
// replayed.
type Recorder interface {
	// Active reports whether steps are recorded. The result does not change while the process runs;
	// when it is false, Record need not be called.
	Active() bool
	// Record records one step. It does not retain the event or the effects after it returns. It may
	// do I/O, so it must not be called while a shard's lock is held.
	Record(step RecordedStep)
}

// RecordedStep is one step of a state machine, or its creation.
type RecordedStep struct {
	Machine  string    // Kind of the machine, such as "pool".
	Key      string    // Identifies the machine among those of its kind.
	Sequence uint64    // Number of the step; the machine's creation is step 0.
	At       time.Time // Time that was passed to the step, without a monotonic clock reading.
	Event    any
	Effects  any // nil for a creation.
}
