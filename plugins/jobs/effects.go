package jobs

import (
	"context"
	"time"

	"github.com/rcrowley/go-metrics"

	"redwingpulley/kernel/model"
	"redwingpulley/plugins/jobs/jobstate"
)

const (
	sampleSize  = 1028  // Number of response times that the histogram keeps.
	sampleAlpha = 0.015 // Decay rate of the sample: a higher one gives recent times more weight.
)

// registerMetrics creates the plug-in's metrics.
func (j *Jobs) registerMetrics(registry metrics.Registry) {
	j.registry = registry
	j.wastedMessages = metrics.GetOrRegisterCounter("messages.wasted", registry)
	j.responseTimes = metrics.GetOrRegisterHistogram("jobs.response_ms", registry, metrics.NewExpDecaySample(sampleSize, sampleAlpha))
}

// outgoingBatch is a batch that is about to be sent; its context ends when the batch is cancelled.
type outgoingBatch struct {
	jobstate.Send
	ctx    context.Context
	pauses uint64 // port.Liveness.Pauses when the job was submitted.
}

// stepped is what a step of a job leaves to be done without the lock of its shard.
type stepped struct {
	entry    *entry
	now      time.Time
	created  *jobstate.Created // Set in the first step, while steps are recorded.
	sequence uint64            // Number of the step.
	fx       jobstate.Effects
	sends    []outgoingBatch
	cancels  []context.CancelFunc
}

// step applies an event to a job under the lock of its shard, and then carries out the effects without
// the lock.
func (j *Jobs) step(id model.JobID, event jobstate.Event) {
	var s stepped
	j.jobs.Do(id, func(jobs map[model.JobID]*entry) {
		e, known := jobs[id]
		if !known {
			return
		}
		s = j.stepEntry(e, event)
		if s.fx.Gone {
			delete(jobs, id)
			return
		}
		e.timer.Reset(e.state.NextTimer().Sub(s.now))
	})
	if s.entry == nil {
		return
	}
	if j.recording() {
		j.recordStep(id, s.created, s.sequence, s.now, event, s.fx)
	}
	j.execute(id, s)
}

// stepEntry applies an event to a job. It is called under the lock of the job's shard.
func (j *Jobs) stepEntry(e *entry, event jobstate.Event) stepped {
	s := stepped{entry: e, now: j.now(), created: e.created}
	e.created = nil
	e.steps++
	s.sequence = e.steps
	s.fx = e.state.Step(s.now, event)
	s.sends, s.cancels = j.updateCancels(e, event, s.fx)
	return s
}

// execute carries out what a step has left to be done.
func (j *Jobs) execute(id model.JobID, s stepped) {
	for _, batch := range s.sends {
		go j.send(batch)
	}
	for _, cancel := range s.cancels {
		cancel()
	}
	if s.fx.Replan != nil {
		j.step(id, j.replanUnlessOutlived(s.entry, *s.fx.Replan))
	}
	if s.fx.Ended {
		j.end(id, s.entry, s.now)
	}
	if s.fx.Gone && s.entry.key != "" {
		j.removeKey(s.entry.key, id)
	}
}

// updateCancels updates the cancel functions of the parts in flight after a step. It is called under
// the lock of the job's shard, and returns the batches to send and the cancel functions to call once
// the lock is released.
func (j *Jobs) updateCancels(e *entry, event jobstate.Event, fx jobstate.Effects) (sends []outgoingBatch, cancels []context.CancelFunc) {
	if b, ok := event.(jobstate.BatchEnded); ok {
		cancels = e.removeCancel(cancels, b.Result.ID.Part)
	}
	for _, part := range fx.Cancels {
		cancels = e.removeCancel(cancels, part)
	}
	if fx.Ended {
		e.cancels = nil
	}
	for _, s := range fx.Sends {
		ctx, cancel := context.WithCancel(j.baseCtx)
		e.cancels[s.Batch.ID.Part] = cancel
		sends = append(sends, outgoingBatch{s, ctx, e.pauses})
	}
	return sends, cancels
}

// removeCancel moves the cancel function of a part, if there is one, from the entry to removed.
func (e *entry) removeCancel(removed []context.CancelFunc, part int) []context.CancelFunc {
	cancel, ok := e.cancels[part]
	if !ok {
		return removed
	}
	delete(e.cancels, part)
	return append(removed, cancel)
}

// replanUnlessOutlived plans a refused part again, unless this process has stood still since the job was submitted: then the
// caller may have sent the job to another member.
func (j *Jobs) replanUnlessOutlived(e *entry, r jobstate.Replan) jobstate.Event {
	if j.liveness.Pauses() != e.pauses {
		return jobstate.Replanned{Part: r.Part}
	}
	return j.replan(r)
}

// send runs a batch at its pool's owner and applies the result to the job. A batch is refused when this process has stood still
// since its job was submitted.
func (j *Jobs) send(s outgoingBatch) {
	if j.liveness.Pauses() != s.pauses {
		j.step(s.Batch.ID.Job, jobstate.BatchEnded{Result: model.RefusedBatch(s.Batch.ID, model.ReasonPaused)})
		return
	}
	j.step(s.Batch.ID.Job, jobstate.BatchEnded{Result: j.pools.Run(s.ctx, s.Owner, s.Batch)})
}

// end counts and logs the final outcome of a job and wakes the callers that wait for it.
func (j *Jobs) end(id model.JobID, e *entry, now time.Time) {
	var outcome model.Outcome
	j.jobs.Do(id, func(map[model.JobID]*entry) { outcome = e.state.Outcome() })
	took := now.Sub(e.submittedAt)
	j.responseTimes.Update(took.Milliseconds())
	if outcome.State == model.StateComplete {
		metrics.GetOrRegisterCounter("jobs.complete", j.registry).Inc(1)
	} else {
		metrics.GetOrRegisterCounter("jobs.failed."+string(outcome.Reason), j.registry).Inc(1)
	}
	j.logEnded(id, e, outcome, took)
	close(e.end)
}
