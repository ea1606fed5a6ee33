package poolstate

import "time"

// timer calls a function at a set time, for a batch, endpoint or origin.
type timer struct {
	at    time.Time
	order uint64 // Number of the latest call of set for this timer; timers due at the same time fire in this order.
	index int
	fire  func(now time.Time, fx *Effects)
}

// timers holds the timers that are set, ordered by time.
type timers struct {
	heap  indexedHeap[*timer]
	order uint64
}

func newTimers() timers {
	return timers{heap: indexedHeap[*timer]{
		less: func(a, b *timer) bool {
			if a.at.Equal(b.at) {
				return a.order < b.order
			}
			return a.at.Before(b.at)
		},
		indexOf: func(t *timer) *int { return &t.index },
	}}
}

func newTimer(fire func(now time.Time, fx *Effects)) timer {
	return timer{index: notInHeap, fire: fire}
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

// fireDue stops and fires the timers whose time has come, in the order of their times.
func (t *timers) fireDue(now time.Time, fx *Effects) {
	for !t.heap.empty() && !t.heap.first().at.After(now) {
		due := t.heap.first()
		t.heap.remove(due)
		due.fire(now, fx)
	}
}

// next returns the time of the earliest timer; ok is false when none is set.
func (t *timers) next() (at time.Time, ok bool) {
	if t.heap.empty() {
		return time.Time{}, false
	}
	return t.heap.first().at, true
}
