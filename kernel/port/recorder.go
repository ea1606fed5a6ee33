package port

import "time"

// Recorder keeps the events and effects of decision machines, so that a run can be replayed.
type Recorder interface {
	// Active reports whether steps are kept. It does not change while the process runs; where it is
	// false, Record need not be called.
	Active() bool
	// Record keeps one step. It uses the event and the effects only until it returns, and it may do
	// I/O: it must not be called under a shard's lock.
	Record(step RecordedStep)
}

// RecordedStep is one step of a decision machine, or its creation.
type RecordedStep struct {
	Machine  string    // Kind of the machine, such as "pool".
	Key      string    // Which machine of that kind.
	Sequence uint64    // Of the machine's steps; its creation is 0.
	At       time.Time // The time that the step was given, without a monotonic reading.
	Event    any
	Effects  any // nil for a creation.
}
