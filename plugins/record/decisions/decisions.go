// Package decisions logs routing and placement decisions, a line each, and keeps the newest for
// operators.
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
	shards       = 16
	keptPerShard = 64 // Decisions that one shard keeps.
)

// Log is the plug-in. Create it through the registry.
type Log struct {
	log   *slog.Logger
	rings *shard.Map[model.JobID, *ring]
}

// ring keeps the newest decisions of one shard.
type ring struct {
	kept []port.Decision
	next int // Where the next one goes once the ring is full.
}

// Provision binds the port.
func (l *Log) Provision(c *plugin.Context) error {
	l.log = c.Log
	l.rings = shard.New[model.JobID, *ring](shards)
	plugin.Bind[port.Decisions](c, l)
	return c.Settings(&struct{}{})
}

// Record writes the decision to the log and keeps it.
func (l *Log) Record(d port.Decision) {
	l.write(d)
	l.rings.Do(d.Job, func(rings map[model.JobID]*ring) {
		r, ok := rings[ringKey]
		if !ok {
			r = &ring{}
			rings[ringKey] = r
		}
		r.add(d)
	})
}

// kinds are the kinds of lines that tell of decisions.
var kinds = map[port.DecisionKind]*event.Kind{
	port.DecidedPlan: event.JobPlanned, port.DecidedRefusal: event.JobRefused, port.DecidedReplan: event.PartReplanned,
	port.DecidedTake: event.BatchTaken, port.DecidedBatchNo: event.BatchRefused, port.DecidedCut: event.BatchCut,
	port.DecidedSend: event.TaskSent,
}

func (l *Log) write(d port.Decision) {
	if kind := kinds[d.Kind]; kind.Enabled(l.log) {
		kind.Log(l.log, fields(d)...)
	}
}

// fields returns what the line of a decision tells.
func fields(d port.Decision) []slog.Attr {
	reason := event.Text(event.Reason, d.Reason)
	switch d.Kind {
	case port.DecidedPlan:
		return append(planFields(d), event.Text(event.Pools, d.Pools), event.Count(event.Revision, d.Revision))
	case port.DecidedRefusal:
		return append(planFields(d), reason, event.Count(event.Revision, d.Revision))
	case port.DecidedReplan:
		return append(planFields(d), event.Text(event.Pools, d.Pools), event.Count(event.Part, d.Part), reason)
	case port.DecidedTake:
		return batchFields(d)
	case port.DecidedBatchNo:
		return append(batchFields(d), reason, event.MS(event.RetryAfterMS, d.RetryAfter), event.Text(event.Why, d.Why))
	case port.DecidedCut:
		return append(batchFields(d), reason)
	}
	return taskFields(d)
}

func taskFields(d port.Decision) []slog.Attr {
	return []slog.Attr{
		event.Text(event.Job, d.Job), event.Text(event.JobKey, d.Key), event.Count(event.Task, d.Task),
		event.Count(event.Attempt, d.Attempt), event.Text(event.Pool, d.Pool), event.Text(event.Endpoint, d.Endpoint),
		event.MS(event.QueuedMS, d.Queued), event.Count(event.PassedOver, d.PassedOver),
		event.Count(event.Free, d.Free), event.Count(event.Queued, d.Waiting), event.Text(event.Why, d.Why),
	}
}

// planFields returns the fields of a decision that a job's owner makes.
func planFields(d port.Decision) []slog.Attr {
	return []slog.Attr{
		event.Text(event.Job, d.Job), event.Text(event.JobKey, d.Key), event.Count(event.Tasks, d.Tasks),
		event.Count(event.Slots, d.Slots), event.Count(event.Free, d.Free),
		event.Count(event.Queued, d.Waiting), event.MS(event.AgeMS, d.Age), event.Text(event.Why, d.Why),
	}
}

// batchFields returns the fields of a decision on a part of a job that a pool's owner makes.
func batchFields(d port.Decision) []slog.Attr {
	return []slog.Attr{
		event.Text(event.Job, d.Job), event.Text(event.JobKey, d.Key), event.Count(event.Part, d.Part),
		event.Text(event.Pool, d.Pool), event.Count(event.Tasks, d.Tasks), event.Count(event.Slots, d.Slots),
		event.Count(event.Free, d.Free), event.Count(event.Queued, d.Waiting), event.MS(event.AheadMS, d.Ahead),
		event.MS(event.LeftMS, d.Left), event.MS(event.ObjectiveMS, d.Objective),
	}
}

// ringKey is the one entry of each shard: decisions are spread over shards by their job, and kept
// in one ring a shard.
const ringKey model.JobID = ""

func (r *ring) add(d port.Decision) {
	if len(r.kept) < keptPerShard {
		r.kept = append(r.kept, d)
		return
	}
	r.kept[r.next] = d
	r.next = (r.next + 1) % keptPerShard
}

// Recent returns the newest decisions, the newest last.
func (l *Log) Recent() []port.Decision {
	var all []port.Decision
	l.rings.Each(func(rings map[model.JobID]*ring) {
		for _, r := range rings {
			all = append(all, r.kept...)
		}
	})
	slices.SortFunc(all, func(a, b port.Decision) int { return a.At.Compare(b.At) })
	return all
}
