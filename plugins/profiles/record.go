package profiles

import (
	"time"

	"redwingpulley/kernel/port"
	"redwingpulley/plugins/profiles/register"
)

// recordedMachine is the kind of the register's machine in recorded steps.
const recordedMachine = "register"

// now returns the time for a step. Where steps are recorded it has no monotonic reading, since a
// replay has none either.
func (p *Profiles) now() time.Time {
	now := time.Now().UTC()
	if p.recorder.Active() {
		return now.Round(0)
	}
	return now
}

// record keeps a step. It is called without the lock; the number tells the order.
func (p *Profiles) record(number uint64, at time.Time, event any, effects []register.Effect) {
	if !p.recorder.Active() {
		return
	}
	step := port.RecordedStep{Machine: recordedMachine, Key: string(p.self), Sequence: number, At: at, Event: event}
	if number > 0 {
		step.Effects = effects
	}
	p.recorder.Record(step)
}
