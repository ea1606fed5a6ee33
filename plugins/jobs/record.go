package jobs

import (
	"time"

	"redwingpulley/kernel/model"
	"redwingpulley/kernel/port"
	"redwingpulley/plugins/jobs/jobstate"
)

// recordedMachine is the kind of a job's machine in recorded steps.
const recordedMachine = "job"

// recording reports whether steps are kept for a replay.
func (j *Jobs) recording() bool { return j.recorder != nil && j.recorder.Active() }

// now returns the time for a step. Where steps are recorded it has no monotonic reading, since a
// replay has none either.
func (j *Jobs) now() time.Time {
	if j.recording() {
		return time.Now().Round(0)
	}
	return time.Now()
}

// recordStep keeps a step of a job's machine, and its creation before the first one.
func (j *Jobs) recordStep(id model.JobID, created *jobstate.Created, number uint64, now time.Time, event jobstate.Event, fx jobstate.Effects) {
	key := string(id)
	if created != nil {
		j.recorder.Record(port.RecordedStep{Machine: recordedMachine, Key: key, At: now, Event: *created})
	}
	j.recorder.Record(port.RecordedStep{
		Machine: recordedMachine, Key: key, Sequence: number, At: now, Event: event, Effects: fx,
	})
}
