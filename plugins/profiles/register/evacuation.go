package register

import (
	"maps"

	"redwingpulley/kernel/model"
)

// An order to evacuate a data centre, or to end that, may be delayed between members and be overtaken by a later order. It names the
// revision that the member knew which received it, and is refused when the data centre has changed since.

func isEvacuation(kind model.EditKind) bool {
	return kind == model.Evacuate || kind == model.EndEvacuation
}

// hasEvacuation reports whether the edit is about an evacuation and the state that it orders is in force.
func (s State) hasEvacuation(edit model.ProfileEdit) bool {
	return isEvacuation(edit.Kind) && s.Set.Evacuated(edit.DataCentre) == (edit.Kind == model.Evacuate)
}

// evacuationIsStale reports whether the data centre's evacuation has changed, or may have, since the revision that the edit expects.
func (s State) evacuationIsStale(edit model.ProfileEdit) bool {
	if e, known := s.Set.Evacuations[edit.DataCentre]; known {
		return e.Changed > edit.Expect
	}
	if len(s.Set.Evacuations) < model.MaxEvacuations {
		return false
	}
	// The data centre may have been evicted. Then its newest change was before those of all that have ended and are kept.
	oldest, some := s.oldestEnded()
	return some && s.Set.Evacuations[oldest].Changed > edit.Expect
}

// hasRoomForEvacuation reports whether the data centre is kept already or can be.
func (s State) hasRoomForEvacuation(dc model.DataCentre) bool {
	_, known := s.Set.Evacuations[dc]
	_, evictable := s.oldestEnded()
	return known || evictable || len(s.Set.Evacuations) < model.MaxEvacuations
}

// oldestEnded returns the data centre whose evacuation ended first among those that have ended and are kept. No two
// changes have the same revision.
func (s State) oldestEnded() (oldest model.DataCentre, some bool) {
	for dc, e := range s.Set.Evacuations {
		if !e.Active && (!some || e.Changed < s.Set.Evacuations[oldest].Changed) {
			oldest, some = dc, true
		}
	}
	return oldest, some
}

// changedEvacuations returns the evacuations after the change. It evicts one that has ended when there are too many.
func (s State) changedEvacuations(c model.ProfileChange) map[model.DataCentre]model.Evacuation {
	next := maps.Clone(s.Set.Evacuations)
	if next == nil {
		next = make(map[model.DataCentre]model.Evacuation)
	}
	if _, known := next[c.DataCentre]; !known && len(next) >= model.MaxEvacuations {
		if oldest, some := s.oldestEnded(); some {
			delete(next, oldest)
		}
	}
	next[c.DataCentre] = model.Evacuation{Active: model.EditKind(c.Kind) == model.Evacuate, Changed: c.Revision}
	return next
}
