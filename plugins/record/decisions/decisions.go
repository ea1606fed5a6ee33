// Package decisions logs each routing and placement decision as one line and keeps the newest
// decisions in memory for operators.
package decisions

import (
	"log/slog"
	"slices"

	"redwingpulley/kernel/event"
	"redwingpulley/kernel/model"
	"redwingpulley/kernel/plugin"
	"redwingpulley/kernel/port"
	"redwingpulley/kernel/shard"
)

const (
	shards            = 16
	decisionsPerShard = 64 // Number of newest decisions that each shard keeps.
)

// Log is the plug-in. Create it through the registry.
type Log struct {
	log   *slog.Logger
	rings *shard.Map[model.JobID, *ring]
}

// ring is a ring buffer of the newest decisions of one shard.
type ring struct {
	entries []port.Decision
	next    int // Index of the oldest entry, which the next one overwrites once the ring is full.
}

// Provision binds port.Decisions.
func (l *Log) Provision(c *plugin.Context) error {
	l.log = c.Log
	l.rings = shard.New[model.JobID, *ring](shards)
	plugin.Bind[port.Decisions](c, l)
	return c.Settings(&struct{}{})
}

// Record logs the decision and adds it to the ring buffer of its job's shard.
func (l *Log) Record(d port.Decision) {
	l.logDecision(d)
	l.rings.Do(d.Job, func(rings map[model.JobID]*ring) {
		r, ok := rings[ringKey]
		if !ok {
			r = &ring{}
			rings[ringKey] = r
		}
		r.add(d)
	})
}

// eventKinds are the kinds of log lines by the kinds of decisions.
var eventKinds = map[port.DecisionKind]*event.Kind{
	port.DecidedPlan: event.JobPlanned, port.DecidedJobRefusal: event.JobRefused, port.DecidedReplan: event.PartReplanned,
	port.DecidedBatchAcceptance: event.BatchTaken, port.DecidedBatchRefusal: event.BatchRefused, port.DecidedBatchCancellation: event.BatchCut,
	port.DecidedSend: event.TaskSent,
}

func (l *Log) logDecision(d port.Decision) {
	if kind := eventKinds[d.Kind]; kind.Enabled(l.log) {
		kind.Log(l.log, logFields(d)...)
	}
}

// logFields returns the fields of a decision's log line.
func logFields(d port.Decision) []slog.Attr {
	reason := event.Text(event.Reason, d.Reason)
	switch d.Kind {
	case port.DecidedPlan:
		return append(planFields(d), event.Text(event.Pools, d.Pools), event.Int(event.Revision, d.Revision))
	case port.DecidedJobRefusal:
		return append(planFields(d), reason, event.Int(event.Revision, d.Revision))
	case port.DecidedReplan:
		return append(planFields(d), event.Text(event.Pools, d.Pools), event.Int(event.Part, d.Part), reason)
	case port.DecidedBatchAcceptance:
		return batchFields(d)
	case port.DecidedBatchRefusal:
		return append(batchFields(d), reason, event.MS(event.RetryAfterMS, d.RetryAfter), event.Text(event.Why, d.Why))
	case port.DecidedBatchCancellation:
		return append(batchFields(d), reason)
	}
	return taskFields(d)
}

// taskFields returns the fields of a decision on one task.
func taskFields(d port.Decision) []slog.Attr {
	return []slog.Attr{
		event.Text(event.Job, d.Job), event.Text(event.JobKey, d.Key), event.Int(event.Task, d.Task),
		event.Int(event.Attempt, d.Attempt), event.Text(event.Pool, d.Pool), event.Text(event.Endpoint, d.Endpoint),
		event.MS(event.QueuedMS, d.Queued), event.Int(event.PassedOver, d.PassedOver),
		event.Int(event.Free, d.Free), event.Int(event.Queued, d.Waiting), event.Ratio(event.Factor, d.Factor), event.Text(event.Why, d.Why),
	}
}

// planFields returns the common fields of the decisions that a job's owner makes.
func planFields(d port.Decision) []slog.Attr {
	return []slog.Attr{
		event.Text(event.Job, d.Job), event.Text(event.JobKey, d.Key), event.Int(event.Tasks, d.Tasks),
		event.Int(event.Slots, d.Slots), event.Int(event.Free, d.Free),
		event.Int(event.Queued, d.Waiting), event.MS(event.AgeMS, d.Age), event.Text(event.Why, d.Why),
	}
}

// batchFields returns the common fields of the decisions that a pool's owner makes on a part of a job.
func batchFields(d port.Decision) []slog.Attr {
	return []slog.Attr{
		event.Text(event.Job, d.Job), event.Text(event.JobKey, d.Key), event.Int(event.Part, d.Part),
		event.Text(event.Pool, d.Pool), event.Int(event.Tasks, d.Tasks), event.Int(event.Slots, d.Slots),
		event.Int(event.Free, d.Free), event.Int(event.Queued, d.Waiting), event.MS(event.AheadMS, d.Ahead),
		event.MS(event.LeftMS, d.Left), event.MS(event.ObjectiveMS, d.Objective),
		event.Int(event.Priority, d.Priority), event.Flag(event.InTime, d.InTime),
	}
}

// ringKey is the only key in each shard's map. Decisions are spread over the shards by their job,
// and each shard has a single ring buffer.
const ringKey model.JobID = ""

// add appends a decision, and overwrites the oldest one if the ring is full.
func (r *ring) add(d port.Decision) {
	if len(r.entries) < decisionsPerShard {
		r.entries = append(r.entries, d)
		return
	}
	r.entries[r.next] = d
	r.next = (r.next + 1) % decisionsPerShard
}

// Recent returns the decisions that are kept, from oldest to newest.
func (l *Log) Recent() []port.Decision {
	var all []port.Decision
	l.rings.Each(func(rings map[model.JobID]*ring) {
		for _, r := range rings {
			all = append(all, r.entries...)
		}
	})
	slices.SortFunc(all, func(a, b port.Decision) int { return a.At.Compare(b.At) })
	return all
}
