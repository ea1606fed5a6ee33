package poolstate

import (
	"time"

	"redwingpulley/kernel/model"
)

// queue holds the tasks that wait for a slot: first in, first out within a team, and teams in
// turn, a task each.
type queue struct {
	teams []*teamQueue // Teams that have waiting tasks, the next to be served first.
	count int
	work  time.Duration // Estimated run time of the waiting tasks.
}

type teamQueue struct {
	team  model.TeamID
	tasks []waiting
}

// waiting is a task of a batch that is at no endpoint.
type waiting struct {
	batch    *batch
	position int // In the batch's tasks.
	attempt  int // The next one.
	run      time.Duration
}

func (w waiting) task() model.Task { return w.batch.Tasks[w.position] }

func (q *queue) push(team model.TeamID, w waiting) {
	q.count++
	q.work += w.run
	for _, t := range q.teams {
		if t.team == team {
			t.tasks = append(t.tasks, w)
			return
		}
	}
	q.teams = append(q.teams, &teamQueue{team: team, tasks: []waiting{w}})
}

func (q *queue) peek() (waiting, bool) {
	if len(q.teams) == 0 {
		return waiting{}, false
	}
	return q.teams[0].tasks[0], true
}

// pop removes the task that peek returned and puts its team last.
func (q *queue) pop() {
	t := q.teams[0]
	q.forget(t.tasks[0])
	t.tasks = t.tasks[1:]
	q.teams = q.teams[1:]
	if len(t.tasks) > 0 {
		q.teams = append(q.teams, t)
	}
}

// drop removes all waiting tasks of the batch.
func (q *queue) drop(b *batch) {
	teams := q.teams[:0]
	for _, t := range q.teams {
		kept := t.tasks[:0]
		for _, w := range t.tasks {
			if w.batch == b {
				q.forget(w)
			} else {
				kept = append(kept, w)
			}
		}
		t.tasks = kept
		if len(kept) > 0 {
			teams = append(teams, t)
		}
	}
	q.teams = teams
}

func (q *queue) forget(w waiting) {
	q.count--
	q.work -= w.run
}
