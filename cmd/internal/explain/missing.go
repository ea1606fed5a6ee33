package explain

import (
	"fmt"
	"slices"
	"strings"

	"redwingpulley/kernel/event"
	"redwingpulley/kernel/model"
)

// clockFormat is the format of a line's time in descriptions.
const clockFormat = "15:04:05.000"

// findMissing describes the lines that the timeline should have but that are not in the logs.
func findMissing(lines, own []Line, r *request) (all []string) {
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
		all = append(all, findMissingOfJob(job, own)...)
	}
	for i := range lines {
		if l := &lines[i]; l.Kind == event.LinesDropped.Name && r.nodes[l.Node] {
			all = append(all, fmt.Sprintf("%s dropped %v lines of %s before %s", l.Node, l.number(event.Lines), l.text(event.Dropped), l.At.Format(clockFormat)))
		}
	}
	return all
}

// jobLines is what the lines about one job say, as far as it tells which lines must be there.
type jobLines struct {
	kinds    map[string]bool   // Kinds of the lines.
	pools    map[string]bool   // Pools to which parts were planned.
	answered map[string]bool   // Pools that accepted or refused a part.
	sent     map[string]string // Endpoints to which starts were sent, by start.
	ended    map[string]bool   // Starts that have ended.
}

// collectJobLines collects what the lines say about one job.
func collectJobLines(job model.JobID, own []Line) jobLines {
	j := jobLines{
		kinds: make(map[string]bool), pools: make(map[string]bool), answered: make(map[string]bool),
		sent: make(map[string]string), ended: make(map[string]bool),
	}
	for i := range own {
		if l := &own[i]; l.job() == job {
			j.add(l)
		}
	}
	return j
}

func (j *jobLines) add(l *Line) {
	j.kinds[l.Kind] = true
	start := fmt.Sprintf("task %v, attempt %v", l.number(event.Task), l.number(event.Attempt))
	switch l.Kind {
	case event.JobPlanned.Name, event.PartReplanned.Name:
		for _, pool := range strings.Split(l.text(event.Pools), ",") {
			name, _, _ := strings.Cut(pool, ":")
			j.pools[name] = name != ""
		}
	case event.BatchTaken.Name, event.BatchRefused.Name:
		j.answered[l.text(event.Pool)] = true
	case event.TaskSent.Name:
		j.sent[start] = l.text(event.Endpoint)
	case event.TaskEnded.Name:
		j.ended[start] = true
	}
}

// findMissingOfJob describes the missing lines of one job.
func findMissingOfJob(job model.JobID, own []Line) (all []string) {
	j := collectJobLines(job, own)
	for _, kind := range []*event.Kind{event.JobTaken, event.JobEnded} {
		if !j.kinds[kind.Name] {
			all = append(all, fmt.Sprintf("no %s of %s: its process was lost, its lines were dropped, or its log ends before", kind.Name, job))
		}
	}
	for _, pool := range sortedKeys(j.pools) {
		if j.pools[pool] && !j.answered[pool] {
			all = append(all, "no line of pool "+pool+": the log of its owner is not among the files, or the request did not reach it")
		}
	}
	for _, start := range sortedKeys(j.sent) {
		if !j.ended[start] {
			all = append(all, "no end of "+start+" at "+j.sent[start])
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
