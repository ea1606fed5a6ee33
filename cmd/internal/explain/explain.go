package explain

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"redwingpulley/kernel/event"
	"redwingpulley/kernel/model"
)

const (
	// before and after the request's own lines, in which changes of what its processes believed are told.
	before = 5 * time.Second
	after  = time.Second
)

// Story is what the logs tell of a request.
type Story struct {
	Jobs    []model.JobID `json:"jobs"` // A caller's id has several when it was sent again.
	Keys    []string      `json:"keys,omitempty"`
	Clocks  []Clock       `json:"clocks"`
	Events  []Event       `json:"events"`
	Missing []string      `json:"missing"`
}

// Event is a line of the story.
type Event struct {
	At     time.Time         `json:"at"` // By the clock of the first job's owner.
	Node   string            `json:"node"`
	Level  string            `json:"level"`
	Kind   string            `json:"kind"`
	Around bool              `json:"around,omitempty"` // On a process or an endpoint of the request, not on itself.
	Fields map[event.Key]any `json:"fields"`
}

// request is what is known of the request while its lines are gathered.
type request struct {
	jobs      []model.JobID
	keys      map[string]bool
	nodes     map[string]bool // That wrote lines on it, or should have.
	endpoints map[string]bool
}

// Tell returns the story of a request by the product's id of its job or by the caller's own id; ok is
// false when no line names it.
func Tell(lines []Line, id string) (story Story, ok bool) {
	r := find(lines, id)
	if r == nil {
		return Story{}, false
	}
	reference := r.owner(lines)
	story.Clocks = clocks(lines, reference)
	ahead := make(map[string]time.Duration)
	for _, c := range story.Clocks {
		ahead[c.Node] = c.Ahead
	}
	own, around := r.split(lines)
	at := func(l Line) time.Time { return l.At.Add(-ahead[l.Node]) }
	first, last := span(own, at)
	for _, l := range own {
		story.Events = append(story.Events, Event{at(l), l.Node, l.Level, l.Kind, false, l.Fields})
	}
	for _, l := range around {
		if t := at(l); t.After(first.Add(-before)) && t.Before(last.Add(after)) {
			story.Events = append(story.Events, Event{t, l.Node, l.Level, l.Kind, true, l.Fields})
		}
	}
	slices.SortStableFunc(story.Events, func(a, b Event) int { return a.At.Compare(b.At) })
	story.Jobs, story.Keys = r.jobs, sortedKeys(r.keys)
	story.Missing = missing(lines, own, r)
	story.Clocks = slices.DeleteFunc(story.Clocks, func(c Clock) bool { return !r.nodes[c.Node] })
	return story, true
}

// find gathers the request's jobs, keys, nodes and endpoints; nil when no line names it.
func find(lines []Line, id string) *request {
	r := &request{keys: make(map[string]bool), nodes: make(map[string]bool), endpoints: make(map[string]bool)}
	if _, isJob := model.JobID(id).Parse(); !isJob {
		r.keys[id] = true
	}
	named := func(l *Line) bool { return string(l.job()) == id || l.text(event.JobKey) == id }
	for i := range lines {
		l := &lines[i]
		if !named(l) {
			continue
		}
		if job := l.job(); job != "" && !slices.Contains(r.jobs, job) {
			r.jobs = append(r.jobs, job)
		}
		if key := l.text(event.JobKey); key != "" {
			r.keys[key] = true
		}
		r.nodes[l.Node] = true
	}
	if len(r.nodes) == 0 {
		return nil
	}
	for i := range lines {
		if l := &lines[i]; r.own(l) {
			r.nodes[l.Node] = true
			if owner := l.text(event.Owner); owner != "" {
				r.nodes[owner] = true
			}
			if e := l.text(event.Endpoint); e != "" {
				r.endpoints[e] = true
			}
		}
	}
	for _, job := range r.jobs {
		if parts, ok := job.Parse(); ok {
			r.nodes[string(parts.Owner)] = true
		}
	}
	return r
}

// own reports whether a line is on the request itself.
func (r *request) own(l *Line) bool {
	if job := l.job(); job != "" {
		return slices.Contains(r.jobs, job)
	}
	key := l.text(event.JobKey)
	return key != "" && r.keys[key]
}

// split returns the lines on the request, and those on its processes and endpoints.
func (r *request) split(lines []Line) (own, around []Line) {
	for i := range lines {
		switch l := &lines[i]; {
		case r.own(l):
			own = append(own, *l)
		case r.concerns(l):
			around = append(around, *l)
		}
	}
	return own, around
}

// concerns reports whether a line tells of one of the request's endpoints, or of a change in one of its
// processes or in what they believe of each other.
func (r *request) concerns(l *Line) bool {
	if l.job() != "" || l.text(event.JobKey) != "" || l.Kind == event.RequestRefused.Name {
		return false // Of another request.
	}
	if e := l.text(event.Endpoint); e != "" {
		return r.endpoints[e]
	}
	if member := l.text(event.Member); member != "" {
		return r.nodes[l.Node] && r.nodes[member]
	}
	return r.nodes[l.Node]
}

// owner returns the node that owned the first job, or that wrote the first line.
func (r *request) owner(lines []Line) string {
	for _, job := range r.jobs {
		if parts, ok := job.Parse(); ok {
			return string(parts.Owner)
		}
	}
	for i := range lines {
		if r.own(&lines[i]) {
			return lines[i].Node
		}
	}
	return ""
}

func span(lines []Line, at func(Line) time.Time) (first, last time.Time) {
	for i, l := range lines {
		t := at(l)
		if i == 0 || t.Before(first) {
			first = t
		}
		if i == 0 || t.After(last) {
			last = t
		}
	}
	return first, last
}

// missing says which lines the story should have and the logs do not.
func missing(lines, own []Line, r *request) (all []string) {
	wrote := make(map[string]bool)
	for i := range lines {
		wrote[lines[i].Node] = true
	}
	for _, node := range sortedKeys(r.nodes) {
		if !wrote[node] {
			all = append(all, "no log of "+node+" is among the files")
		}
	}
	for _, job := range r.jobs {
		all = append(all, missingOf(job, own)...)
	}
	for i := range lines {
		if l := &lines[i]; l.Kind == event.LinesDropped.Name && r.nodes[l.Node] {
			all = append(all, fmt.Sprintf("%s dropped %v lines of %s before %s", l.Node, l.number(event.Lines), l.text(event.Dropped), l.At.Format(clockFormat)))
		}
	}
	return all
}

const clockFormat = "15:04:05.000"

// missingOf says which lines of a job are not there.
func missingOf(job model.JobID, own []Line) (all []string) {
	seen := make(map[string]bool)
	sent, ended := make(map[string]string), make(map[string]bool)
	pools, answered := make(map[string]bool), make(map[string]bool)
	for i := range own {
		l := &own[i]
		if l.job() != job {
			continue
		}
		seen[l.Kind] = true
		start := fmt.Sprintf("task %v, attempt %v", l.number(event.Task), l.number(event.Attempt))
		switch l.Kind {
		case event.JobPlanned.Name, event.PartReplanned.Name:
			for _, pool := range strings.Split(l.text(event.Pools), ",") {
				name, _, _ := strings.Cut(pool, ":")
				pools[name] = name != ""
			}
		case event.BatchTaken.Name, event.BatchRefused.Name:
			answered[l.text(event.Pool)] = true
		case event.TaskSent.Name:
			sent[start] = l.text(event.Endpoint)
		case event.TaskEnded.Name:
			ended[start] = true
		}
	}
	for _, kind := range []*event.Kind{event.JobTaken, event.JobEnded} {
		if !seen[kind.Name] {
			all = append(all, fmt.Sprintf("no %s of %s: its process was lost, its lines were dropped, or its log ends before", kind.Name, job))
		}
	}
	for _, pool := range sortedKeys(pools) {
		if pools[pool] && !answered[pool] {
			all = append(all, "no line of pool "+pool+": the log of its owner is not among the files, or the request did not reach it")
		}
	}
	for _, start := range sortedKeys(sent) {
		if !ended[start] {
			all = append(all, "no end of "+start+" at "+sent[start])
		}
	}
	return all
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}
