// Package decisions logs routing and placement decisions, a line each, and keeps the newest for
// operators.
package decisions

import (
	"context"
	"log/slog"
	"slices"

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
	l.log.LogAttrs(context.Background(), slog.LevelInfo, d.Kind,
		slog.String("job", string(d.Job)), slog.Int("task", d.Task), slog.String("pool", d.Pool),
		slog.String("endpoint", string(d.Endpoint)), slog.String("why", d.Why), slog.Int("passed_over", d.PassedOver))
	l.rings.Do(d.Job, func(rings map[model.JobID]*ring) {
		r, ok := rings[ringKey]
		if !ok {
			r = &ring{}
			rings[ringKey] = r
		}
		r.add(d)
	})
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
