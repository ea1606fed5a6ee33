package poolstate

import "time"

// timer is a moment at which a batch, endpoint or origin has something due.
type timer struct {
	at    time.Time
	order uint64 // Of its setting; orders timers of the same moment.
	index int
	ring  func(now time.Time, fx *Effects)
}

// timers orders the timers that are set.
type timers struct {
	heap  priority[*timer]
	order uint64
}

func newTimers() timers {
	return timers{heap: priority[*timer]{
		less: func(a, b *timer) bool {
			if a.at.Equal(b.at) {
				return a.order < b.order
			}
			return a.at.Before(b.at)
		},
		place: func(t *timer) *int { return &t.index },
	}}
}

func newTimer(ring func(now time.Time, fx *Effects)) timer {
	return timer{index: absent, ring: ring}
}

func (t *timers) set(timer *timer, at time.Time) {
	t.order++
	timer.at, timer.order = at, t.order
	if t.heap.has(timer) {
		t.heap.fix(timer)
		return
	}
	t.heap.add(timer)
}

func (t *timers) stop(timer *timer) {
	if t.heap.has(timer) {
		t.heap.remove(timer)
	}
}

// elapsed rings the timers whose moment has come, in the order of their moments.
func (t *timers) elapsed(now time.Time, fx *Effects) {
	for !t.heap.empty() && !t.heap.first().at.After(now) {
		due := t.heap.first()
		t.heap.remove(due)
		due.ring(now, fx)
	}
}

// next returns the earliest moment.
func (t *timers) next() (at time.Time, ok bool) {
	if t.heap.empty() {
		return time.Time{}, false
	}
	return t.heap.first().at, true
}
