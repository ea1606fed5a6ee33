package explain

import (
	"slices"
	"time"

	"redwingpulley/kernel/event"
	"redwingpulley/kernel/model"
)

const (
	// The timeline includes lines about related processes and endpoints from contextBefore the request's first
	// line until contextAfter its last one.
	contextBefore = 5 * time.Second
	contextAfter  = time.Second
)

// Timeline is what the logs say about a request.
type Timeline struct {
	Jobs    []model.JobID `json:"jobs"` // A caller's own id has several jobs if the request was sent again.
	Keys    []string      `json:"keys,omitempty"`
	Clocks  []Clock       `json:"clocks"`
	Events  []Event       `json:"events"`
	Missing []string      `json:"missing"`
}

// Event is a line of the timeline.
type Event struct {
	At      time.Time         `json:"at"` // Time by the clock of the first job's owner.
	Node    string            `json:"node"`
	Level   string            `json:"level"`
	Kind    string            `json:"kind"`
	Related bool              `json:"around,omitempty"` // The line is about a process or an endpoint of the request, not about the request itself.
	Fields  map[event.Key]any `json:"fields"`
}

// request is what the lines read so far say about the request.
type request struct {
	jobs      []model.JobID
	keys      map[string]bool
	nodes     map[string]bool // Nodes that wrote lines about the request, or should have.
	endpoints map[string]bool
}

// BuildTimeline returns the timeline of the request with the given id: the product's id of its job or the
// caller's own id. ok is false if no line names the id.
func BuildTimeline(lines []Line, id string) (timeline Timeline, ok bool) {
	r := findRequest(lines, id)
	if r == nil {
		return Timeline{}, false
	}
	reference := r.referenceNode(lines)
	timeline.Clocks = estimateClocks(lines, reference)
	ahead := make(map[string]time.Duration)
	for _, c := range timeline.Clocks {
		ahead[c.Node] = c.Ahead
	}
	own, related := r.selectLines(lines)
	at := func(l Line) time.Time { return l.At.Add(-ahead[l.Node]) }
	first, last := timeSpan(own, at)
	for _, l := range own {
		timeline.Events = append(timeline.Events, Event{at(l), l.Node, l.Level, l.Kind, false, l.Fields})
	}
	for _, l := range related {
		if t := at(l); t.After(first.Add(-contextBefore)) && t.Before(last.Add(contextAfter)) {
			timeline.Events = append(timeline.Events, Event{t, l.Node, l.Level, l.Kind, true, l.Fields})
		}
	}
	slices.SortStableFunc(timeline.Events, func(a, b Event) int { return a.At.Compare(b.At) })
	timeline.Jobs, timeline.Keys = r.jobs, sortedKeys(r.keys)
	timeline.Missing = findMissing(lines, own, r)
	timeline.Clocks = slices.DeleteFunc(timeline.Clocks, func(c Clock) bool { return !r.nodes[c.Node] })
	return timeline, true
}

// findRequest collects the request's jobs, keys, nodes and endpoints. It returns nil if no line names the id.
func findRequest(lines []Line, id string) *request {
	r := &request{keys: make(map[string]bool), nodes: make(map[string]bool), endpoints: make(map[string]bool)}
	if _, isJob := model.JobID(id).Parse(); !isJob {
		r.keys[id] = true
	}
	for i := range lines {
		if l := &lines[i]; string(l.job()) == id || l.text(event.JobKey) == id {
			r.addNaming(l)
		}
	}
	if len(r.nodes) == 0 {
		return nil
	}
	for i := range lines {
		if l := &lines[i]; r.own(l) {
			r.addOwn(l)
		}
	}
	for _, job := range r.jobs {
		if parts, ok := job.Parse(); ok {
			r.nodes[string(parts.Owner)] = true
		}
	}
	return r
}

// addNaming adds the job, the key and the node of a line that names the id of the request.
func (r *request) addNaming(l *Line) {
	if job := l.job(); job != "" && !slices.Contains(r.jobs, job) {
		r.jobs = append(r.jobs, job)
	}
	if key := l.text(event.JobKey); key != "" {
		r.keys[key] = true
	}
	r.nodes[l.Node] = true
}

// addOwn adds the nodes and the endpoint of a line about the request itself.
func (r *request) addOwn(l *Line) {
	r.nodes[l.Node] = true
	if owner := l.text(event.Owner); owner != "" {
		r.nodes[owner] = true
	}
	if e := l.text(event.Endpoint); e != "" {
		r.endpoints[e] = true
	}
}

// own reports whether a line is about the request itself.
func (r *request) own(l *Line) bool {
	if job := l.job(); job != "" {
		return slices.Contains(r.jobs, job)
	}
	key := l.text(event.JobKey)
	return key != "" && r.keys[key]
}

// selectLines returns the lines about the request itself, and those about its processes and endpoints.
func (r *request) selectLines(lines []Line) (own, related []Line) {
	for i := range lines {
		switch l := &lines[i]; {
		case r.own(l):
			own = append(own, *l)
		case r.isRelated(l):
			related = append(related, *l)
		}
	}
	return own, related
}

// isRelated reports whether a line is about one of the request's endpoints, about one of its processes, or about
// how one of these processes sees another.
func (r *request) isRelated(l *Line) bool {
	if l.job() != "" || l.text(event.JobKey) != "" || l.Kind == event.RequestRefused.Name {
		return false // The line is about another request.
	}
	if e := l.text(event.Endpoint); e != "" {
		return r.endpoints[e]
	}
	if member := l.text(event.Member); member != "" {
		return r.nodes[l.Node] && r.nodes[member]
	}
	return r.nodes[l.Node]
}

// referenceNode returns the node that owned the first job or, if no job's id tells its owner, the node that wrote
// the first line about the request.
func (r *request) referenceNode(lines []Line) string {
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

func timeSpan(lines []Line, at func(Line) time.Time) (first, last time.Time) {
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
