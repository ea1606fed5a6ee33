package endpoints

import (
	"slices"
	"time"

	"redwingpulley/kernel/event"
	"redwingpulley/kernel/model"
	"redwingpulley/kernel/port"
	"redwingpulley/plugins/endpoints/crashes"
)

// The losses of a task belong to the task, not to the pool or the member that ran it. Each member keeps a table of those that it
// knows, by the key that the caller chose, so that they also count for a job that its caller has sent to another member. A
// member that learns of a loss tells all others at once. Batches and their results carry losses as well, so that a job's
// owner and the next owner of a pool need not wait for that.

const (
	lossRetention     = 10 * time.Minute // How long a task's losses are kept after the newest of them.
	maxTasksPerShard  = 256              // Bounds the tasks with losses that are kept in one shard of the table.
	maxLossTextLength = 256              // Limit on the key of a job and the id of an endpoint, in bytes.
)

// taskLosses is an entry of the table.
type taskLosses struct {
	record  []model.Loss
	expires time.Time
}

// lossesOf returns the known losses of a task.
func (p *Pools) lossesOf(ref taskRef) []model.Loss {
	entry, _ := p.losses.Get(ref)
	return entry.record
}

// recordLoss records that a run of a task was lost, if its endpoint has crashed or may have, and tells the other members.
func (p *Pools) recordLoss(ref taskRef, endpoint model.EndpointID, cause port.LossCause) {
	loss, counts := crashes.LossOf(endpoint, cause)
	if !counts || ref.job == "" || !p.addLoss(ref, loss) {
		return
	}
	record := p.lossesOf(ref)
	if crashes.Judge(record) == crashes.Exhausted {
		event.TaskExhausted.Log(p.log, event.Text(event.JobKey, ref.job), event.Int(event.Task, ref.index),
			event.Int(event.Crashes, len(record)), event.Text(event.Endpoint, endpoint))
	}
	p.enqueueUpdates(taskUpdates{Losses: []wireTaskLoss{{ref.job, ref.index, loss.Endpoint, loss.Crashed}}})
}

// addLoss adds a loss to the table. It reports whether the table has changed.
func (p *Pools) addLoss(ref taskRef, loss model.Loss) (changed bool) {
	now := time.Now()
	p.losses.Do(ref, func(entries map[taskRef]taskLosses) {
		entry, known := entries[ref]
		entry.record, changed = crashes.Add(entry.record, loss)
		if !changed {
			return
		}
		if !known {
			evict(entries, maxTasksPerShard, now, func(e taskLosses) time.Time { return e.expires })
		}
		entry.expires = now.Add(lossRetention)
		entries[ref] = entry
	})
	return changed
}

// withLosses adds what this member knows of the losses of a batch's tasks to them. The tasks are copied, since the batch shares
// them with its job.
func (p *Pools) withLosses(batch model.Batch) model.Batch {
	cloned := false
	for i, t := range batch.Tasks {
		ref := refIn(&batch, t.Index)
		for _, loss := range t.Losses {
			p.addLoss(ref, loss)
		}
		known := p.lossesOf(ref)
		if len(known) == 0 {
			continue
		}
		if !cloned {
			batch.Tasks, cloned = slices.Clone(batch.Tasks), true
		}
		batch.Tasks[i].Losses = known
	}
	return batch
}

// addResultLosses adds the losses in a batch's result to the table.
func (p *Pools) addResultLosses(batch model.Batch, result model.BatchResult) {
	for _, r := range result.Results {
		for _, loss := range r.Losses {
			p.addLoss(refIn(&batch, r.Index), loss)
		}
	}
}

// RunLost implements port.EndpointObserver.
func (p *Pools) RunLost(endpoint model.EndpointID, run port.TaskRun, cause port.LossCause) {
	p.recordLoss(taskRef{run.Key, run.Index}, endpoint, cause)
}
