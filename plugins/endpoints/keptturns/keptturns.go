// Package keptturns decides whether a member may start a task, by what the others have told it: that an attempt of theirs keeps the turn of
// the task although its batch has ended, and that it has given the turn back. Updates may be repeated, late, and in any order.
package keptturns

import (
	"time"

	"redwingpulley/kernel/model"
)

// Keeper is an incarnation of a member that keeps a turn, or has kept one.
type Keeper struct {
	Node        model.NodeID
	Incarnation model.Incarnation
}

// Update is what a member tells of a turn of its own.
type Update struct {
	Keeper Keeper
	Number uint64        // Rises with each update of the keeper.
	Kept   bool          // The turn is kept; otherwise it was given back.
	Valid  time.Duration // How long this is valid, unless the keeper tells something newer.
}

// Task is what is known of the turns of one task. The zero value knows of none.
type Task struct {
	known map[Keeper]state
}

// state is the newest update of one keeper.
type state struct {
	number  uint64
	kept    bool
	expires time.Time
}

// Apply records an update, unless a newer one of its keeper is known. It reports whether the update gives back a turn that was kept.
func (t *Task) Apply(now time.Time, u Update) (returned bool) {
	before, told := t.known[u.Keeper]
	if told && u.Number <= before.number {
		return false
	}
	if t.known == nil {
		t.known = make(map[Keeper]state)
	}
	t.known[u.Keeper] = state{u.Number, u.Kept, now.Add(u.Valid)}
	return before.kept && !u.Kept
}

// KeptBy returns a member that keeps the turn of the task, and until when without a further word; kept is false when there is none.
func (t *Task) KeptBy(now time.Time) (keeper Keeper, until time.Time, kept bool) {
	for k, s := range t.known {
		if s.kept && s.expires.After(now) && s.expires.After(until) {
			keeper, until, kept = k, s.expires, true
		}
	}
	return keeper, until, kept
}

// Expires returns when the last of the updates is no longer valid.
func (t *Task) Expires() (last time.Time) {
	for _, s := range t.known {
		if s.expires.After(last) {
			last = s.expires
		}
	}
	return last
}

// Updates returns the updates that are valid, for a member that was not told.
func (t *Task) Updates(now time.Time) (valid []Update) {
	for k, s := range t.known {
		if left := s.expires.Sub(now); left > 0 {
			valid = append(valid, Update{k, s.number, s.kept, left})
		}
	}
	return valid
}
