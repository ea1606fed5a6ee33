package keptturns

import "time"

const (
	// RenewalInterval is the time between two updates of a keeper to its witnesses, as long as it has nothing else to tell.
	RenewalInterval = 300 * time.Millisecond
	// patience is how long a keeper may be silent before its witnesses tell all members: the caller of a job whose member has died may
	// send it again 1.3 s later.
	patience = 800 * time.Millisecond
	// returnedRetention is how long a witness remembers that a turn was given back, so that an update from before that changes nothing.
	returnedRetention = 5 * time.Second
)

// Witness is what a member knows of a turn of another one, the keeper, that may die before it can tell all: the endpoint has not
// answered the start yet. While the keeper renews its word, or once it has given the turn back, nobody else is told. The zero value knows
// of nothing.
type Witness struct {
	newest Update
	told   bool      // This member has told all others that the turn is kept.
	due    time.Time // When Elapsed is due.
}

// Apply records an update of the keeper, unless a newer one is known. It reports whether all members are to be told of it, since they were
// told that the turn is kept.
func (w *Witness) Apply(now time.Time, u Update) (tell bool) {
	if u.Number <= w.newest.Number {
		return false
	}
	w.newest = u
	switch {
	case !u.Kept:
		w.due = now.Add(returnedRetention)
	case w.told:
		w.due = now.Add(u.Valid)
	default:
		w.due = now.Add(patience)
	}
	return w.told && !u.Kept
}

// Elapsed reports what is due at the given time: whether all members are to be told that the turn is kept, and whether the witness may be
// forgotten.
func (w *Witness) Elapsed(now time.Time) (tell, forget bool) {
	switch {
	case now.Before(w.due):
		return false, false
	case !w.newest.Kept || w.told:
		return false, true
	}
	w.told, w.due = true, now.Add(w.newest.Valid)
	return true, false
}

// NextTimer returns when Elapsed is due.
func (w *Witness) NextTimer() time.Time { return w.due }

// Newest returns the newest update of the keeper.
func (w *Witness) Newest() Update { return w.newest }
