package jobs

import (
	"time"

	"redwingpulley/kernel/model"
	"redwingpulley/kernel/port"
	"redwingpulley/plugins/jobs/jobstate"
)

// machineKind is the kind under which steps of a job's state machine are recorded.
const machineKind = "job"

// recording reports whether steps are recorded for a replay.
func (j *Jobs) recording() bool { return j.recorder != nil && j.recorder.Active() }

// now returns the time to pass to a step. While steps are recorded it has no monotonic clock reading,
// since the times of a replay have none either.
func (j *Jobs) now() time.Time {
	if j.recording() {
		return time.Now().Round(0)
	}
	return time.Now()
}

// recordStep records a step of a job's state machine. Before the first step it records the creation.
func (j *Jobs) recordStep(id model.JobID, created *jobstate.Created, sequence uint64, now time.Time, event jobstate.Event, fx jobstate.Effects) {
	key := string(id)
	if created != nil {
		j.recorder.Record(port.RecordedStep{Machine: machineKind, Key: key, At: now, Event: *created})
	}
	j.recorder.Record(port.RecordedStep{
		Machine: machineKind, Key: key, Sequence: sequence, At: now, Event: event, Effects: fx,
	})
}
