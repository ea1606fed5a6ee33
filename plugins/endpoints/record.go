package endpoints

import (
	"time"

	"redwingpulley/kernel/port"
	"redwingpulley/plugins/endpoints/poolstate"
)

// machineKind is the kind of a pool's machine in recorded steps.
const machineKind = "pool"

// now returns the time for a step. It has no monotonic reading while steps are recorded, since a replay
// has none either.
func (p *Pools) now() time.Time {
	if p.recorder.Active() {
		return time.Now().Round(0)
	}
	return time.Now()
}

// recordStep records a step of a pool's machine, and the machine's creation before the first step.
func (p *Pools) recordStep(created poolstate.Created, number uint64, now time.Time, event poolstate.Event, fx *poolstate.Effects) {
	key := string(created.Owner) + " " + created.Pool.String()
	if number == 1 {
		p.recorder.Record(port.RecordedStep{Machine: machineKind, Key: key, At: now, Event: created})
	}
	p.recorder.Record(port.RecordedStep{
		Machine: machineKind, Key: key, Sequence: number, At: now, Event: event, Effects: fx,
	})
}
