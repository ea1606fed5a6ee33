package explain

import (
	"slices"
	"strings"
	"time"

	"redwingpulley/kernel/event"
	"redwingpulley/kernel/model"
)

// Clock is how far a node's clock is ahead of the reference's. Requests to it and replies from it bound
// that; a bound without such lines is nil.
type Clock struct {
	Node  string         `json:"node"`
	Ahead time.Duration  `json:"ahead_ns"` // By which times are corrected: the least that the bounds allow.
	Least *time.Duration `json:"least_ns"`
	Most  *time.Duration `json:"most_ns"`
}

// clocks compares the clocks of all nodes with the reference's by the jobs that it owned.
func clocks(lines []Line, reference string) []Clock {
	known := make(map[string]*Clock)
	for i := range lines {
		if node := lines[i].Node; known[node] == nil {
			known[node] = &Clock{Node: node}
		}
	}
	owned := ownedBy(lines, reference)
	for i := range lines {
		if l := &lines[i]; l.Node != reference && l.job() != "" {
			owned.bound(l, known[l.Node])
		}
	}
	all := make([]Clock, 0, len(known))
	for _, c := range known {
		c.settle(c.Node == reference)
		all = append(all, *c)
	}
	slices.SortFunc(all, func(a, b Clock) int { return strings.Compare(a.Node, b.Node) })
	return all
}

// part is a part of a job at a pool.
type part struct {
	job    model.JobID
	number int
}

// owned is when the owner of jobs sent and heard of them, by its clock.
type owned struct {
	planned  map[model.JobID]time.Time // Before its first message.
	complete map[model.JobID]time.Time // After all results.
	refused  map[part]time.Time        // After the refusal.
}

func ownedBy(lines []Line, reference string) owned {
	o := owned{make(map[model.JobID]time.Time), make(map[model.JobID]time.Time), make(map[part]time.Time)}
	for i := range lines {
		l := &lines[i]
		if l.Node != reference {
			continue
		}
		switch l.Kind {
		case event.JobPlanned.Name:
			o.planned[l.job()] = l.At
		case event.PartReplanned.Name:
			o.refused[l.part()] = l.At
		case event.JobEnded.Name:
			if l.text(event.Outcome) == string(model.StateComplete) {
				o.complete[l.job()] = l.At // A job that failed may have ended before its parts.
			}
		}
	}
	return o
}

func (l *Line) part() part { return part{l.job(), int(l.number(event.Part))} }

// bound takes in that a line of a pool's owner was written after the job was planned, and before what
// came of it was known to the job's owner.
func (o owned) bound(l *Line, clock *Clock) {
	planned, ours := o.planned[l.job()]
	if !ours {
		return
	}
	clock.most(l.At.Sub(planned))
	switch l.Kind {
	case event.TaskEnded.Name:
		if complete, ok := o.complete[l.job()]; ok {
			clock.least(l.At.Sub(complete))
		}
	case event.BatchRefused.Name:
		if heard, ok := o.refused[l.part()]; ok {
			clock.least(l.At.Sub(heard))
		}
	}
}

func (c *Clock) most(d time.Duration) {
	if c.Most == nil || d < *c.Most {
		c.Most = &d
	}
}

func (c *Clock) least(d time.Duration) {
	if c.Least == nil || d > *c.Least {
		c.Least = &d
	}
}

// settle takes the value nearest to 0 that the bounds allow.
func (c *Clock) settle(reference bool) {
	switch {
	case reference:
		c.Least, c.Most = new(time.Duration), new(time.Duration)
	case c.Least != nil && *c.Least > 0:
		c.Ahead = *c.Least
	case c.Most != nil && *c.Most < 0:
		c.Ahead = *c.Most
	}
}
