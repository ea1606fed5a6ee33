// Package crashes decides what to do with a task under whose runs endpoints have crashed. A record of them is a set that is
// keyed by the endpoint's incarnation, so that members can merge their records in any order and as often as they like.
package crashes

import (
	"slices"

	"redwingpulley/kernel/model"
	"redwingpulley/kernel/port"
)

const (
	// maxCrashes is the number of endpoints that have certainly crashed under a task after which it is not started again.
	maxCrashes = 2
	// maxLosses is the same for all endpoints that may have crashed under the task.
	maxLosses = 4
	// MaxRecorded bounds the losses that are kept of one task.
	MaxRecorded = 8
)

// Verdict is what may be done with a task.
type Verdict int

// Verdicts.
const (
	Clear     Verdict = iota // No endpoint is known to have crashed under the task.
	Isolate                  // The task may have crashed an endpoint, or was there when another one did.
	Exhausted                // The task must not be started again.
)

// LossOf returns the loss to be recorded for a run that was lost at an endpoint for the given cause; ok is false when the
// endpoint is not taken to have crashed.
func LossOf(endpoint model.EndpointID, cause port.LossCause) (loss model.Loss, ok bool) {
	switch cause {
	case port.LossCrashed:
		return model.Loss{Endpoint: endpoint, Crashed: true}, true
	case port.LossRefusing, port.LossNotBegun:
		return model.Loss{Endpoint: endpoint}, true
	}
	return model.Loss{}, false
}

// Add returns the record with a loss added. A loss that is recorded already can only become certain.
func Add(record []model.Loss, loss model.Loss) (added []model.Loss, changed bool) {
	i := slices.IndexFunc(record, func(l model.Loss) bool { return l.Endpoint == loss.Endpoint })
	switch {
	case i >= 0 && (record[i].Crashed || !loss.Crashed):
		return record, false
	case i >= 0:
		added = slices.Clone(record)
		added[i].Crashed = true
		return added, true
	case len(record) >= MaxRecorded:
		return record, false
	}
	return append(slices.Clip(record), loss), true
}

// Merge returns the union of two records.
func Merge(record, other []model.Loss) []model.Loss {
	for _, loss := range other {
		record, _ = Add(record, loss)
	}
	return record
}

// Judge returns the verdict on a task with the given record.
func Judge(record []model.Loss) Verdict {
	certain := 0
	for _, loss := range record {
		if loss.Crashed {
			certain++
		}
	}
	switch {
	case certain >= maxCrashes || len(record) >= maxLosses:
		return Exhausted
	case len(record) > 0:
		return Isolate
	}
	return Clear
}
