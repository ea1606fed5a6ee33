package profiles

import (
	"time"

	"redwingpulley/kernel/port"
	"redwingpulley/plugins/profiles/register"
)

// recordedMachineKind names the register's machine in recorded steps.
const recordedMachineKind = "register"

// now returns the time for a step. Where steps are recorded it has no monotonic reading, since a
// replay has none either.
func (p *Profiles) now() time.Time {
	now := time.Now().UTC()
	if p.recorder.Active() {
		return now.Round(0)
	}
	return now
}

// record passes a step to the recorder. It is called without the lock; number gives the order of the
// steps, and is 0 for the creation of a machine, which has no effects.
func (p *Profiles) record(number uint64, at time.Time, event any, effects []register.Effect) {
	if !p.recorder.Active() {
		return
	}
	step := port.RecordedStep{Machine: recordedMachineKind, Key: string(p.self), Sequence: number, At: at, Event: event}
	if number > 0 {
		step.Effects = effects
	}
	p.recorder.Record(step)
}
