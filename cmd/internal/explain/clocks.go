package explain

import (
	"slices"
	"strings"
	"time"

	"redwingpulley/kernel/event"
	"redwingpulley/kernel/model"
)

// Clock is the estimated offset of a node's clock from the reference node's clock. The time at which a request
// was sent to the node and the time at which its reply had arrived bound the offset. A bound for which there are
// no log lines is nil.
type Clock struct {
	Node  string         `json:"node"`
	Ahead time.Duration  `json:"ahead_ns"` // Offset by which the node's times are corrected: the value nearest to 0 within the bounds.
	Least *time.Duration `json:"least_ns"`
	Most  *time.Duration `json:"most_ns"`
}

// estimateClocks estimates the offsets of all nodes' clocks from the reference node's, using the jobs that the
// reference node owned.
func estimateClocks(lines []Line, reference string) []Clock {
	known := make(map[string]*Clock)
	for i := range lines {
		if node := lines[i].Node; known[node] == nil {
			known[node] = &Clock{Node: node}
		}
	}
	owned := collectOwnerTimes(lines, reference)
	for i := range lines {
		if l := &lines[i]; l.Node != reference && l.job() != "" {
			owned.addBounds(l, known[l.Node])
		}
	}
	all := make([]Clock, 0, len(known))
	for _, c := range known {
		c.setAhead(c.Node == reference)
		all = append(all, *c)
	}
	slices.SortFunc(all, func(a, b Clock) int { return strings.Compare(a.Node, b.Node) })
	return all
}

// partKey identifies a part of a job: the tasks that one pool gets.
type partKey struct {
	job    model.JobID
	number int
}

// ownerTimes are the times, by the clock of the jobs' owner, that bound when other nodes worked on its jobs.
type ownerTimes struct {
	planned  map[model.JobID]time.Time // When the job was planned: before its first message was sent.
	complete map[model.JobID]time.Time // When the job was complete: after all results had arrived.
	refused  map[partKey]time.Time     // When the part was replanned: after its refusal had arrived.
}

func collectOwnerTimes(lines []Line, reference string) ownerTimes {
	o := ownerTimes{make(map[model.JobID]time.Time), make(map[model.JobID]time.Time), make(map[partKey]time.Time)}
	for i := range lines {
		l := &lines[i]
		if l.Node != reference {
			continue
		}
		switch l.Kind {
		case event.JobPlanned.Name:
			o.planned[l.job()] = l.At
		case event.PartReplanned.Name:
			o.refused[l.partKey()] = l.At
		case event.JobEnded.Name:
			if l.text(event.Outcome) == string(model.StateComplete) {
				o.complete[l.job()] = l.At // Only complete jobs: one that failed may have ended before its parts did.
			}
		}
	}
	return o
}

func (l *Line) partKey() partKey { return partKey{l.job(), int(l.number(event.Part))} }

// addBounds narrows the bounds of a pool owner's clock by one of its lines: the line was written after the job
// was planned and before the job's owner had received the result.
func (o ownerTimes) addBounds(l *Line, clock *Clock) {
	planned, owns := o.planned[l.job()]
	if !owns {
		return
	}
	clock.lowerMost(l.At.Sub(planned))
	switch l.Kind {
	case event.TaskEnded.Name:
		if complete, ok := o.complete[l.job()]; ok {
			clock.raiseLeast(l.At.Sub(complete))
		}
	case event.BatchRefused.Name:
		if refusal, ok := o.refused[l.partKey()]; ok {
			clock.raiseLeast(l.At.Sub(refusal))
		}
	}
}

func (c *Clock) lowerMost(d time.Duration) {
	if c.Most == nil || d < *c.Most {
		c.Most = &d
	}
}

func (c *Clock) raiseLeast(d time.Duration) {
	if c.Least == nil || d > *c.Least {
		c.Least = &d
	}
}

// setAhead sets the offset to the value nearest to 0 within the bounds.
func (c *Clock) setAhead(reference bool) {
	switch {
	case reference:
		c.Least, c.Most = new(time.Duration), new(time.Duration)
	case c.Least != nil && *c.Least > 0:
		c.Ahead = *c.Least
	case c.Most != nil && *c.Most < 0:
		c.Ahead = *c.Most
	}
}
