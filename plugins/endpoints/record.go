package endpoints

import (
	"time"

	"redwingpulley/kernel/port"
	"redwingpulley/plugins/endpoints/poolstate"
)

// recordedMachine is the kind of a pool's machine in recorded steps.
const recordedMachine = "pool"

// now returns the time for a step. Where steps are recorded it has no monotonic reading, since a
// replay has none either.
func (p *Pools) now() time.Time {
	if p.recorder.Active() {
		return time.Now().Round(0)
	}
	return time.Now()
}

// recordStep keeps a step of a pool's machine, and its creation before the first one.
func (p *Pools) recordStep(created poolstate.Created, number uint64, now time.Time, event poolstate.Event, fx *poolstate.Effects) {
	key := string(created.Owner) + " " + created.Pool.String()
	if number == 1 {
		p.recorder.Record(port.RecordedStep{Machine: recordedMachine, Key: key, At: now, Event: created})
	}
	p.recorder.Record(port.RecordedStep{
		Machine: recordedMachine, Key: key, Sequence: number, At: now, Event: event, Effects: fx,
	})
}
