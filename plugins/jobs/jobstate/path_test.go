package jobstate_test

import (
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"redwingpulley/kernel/model"
	"redwingpulley/kernel/port"
	"redwingpulley/plugins/endpoints/ledger"
	"redwingpulley/plugins/endpoints/poolstate"
	"redwingpulley/plugins/jobs/jobstate"
)

// rounds are the sequences of actions in one run, each of about 30 with rapid's defaults.
const rounds = 6

// TestPromisesHoldUnderFaults drives the decisions of a job's owner, pools' owners and endpoints
// over messages that are delayed, dropped, doubled and reordered, with crashes of all owners.
//
// CI runs a short set. A long run: go test ./jobs/jobstate -run Promises -rapid.checks=1000000
// -timeout=0; -rapid.seed=N repeats the run that printed N.
func TestPromisesHoldUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t.Fatalf, 3, rapid.IntRange(1, 4).Draw(t, "slots"))
		actions := map[string]func(*rapid.T){"": func(*rapid.T) { w.check() }}
		for name, action := range faults(w) {
			actions[name] = action
		}
		for name, action := range progress(w) {
			actions[name] = action
			actions[name+" again"] = action // Twice as often as a fault.
		}
		for range rounds {
			t.Repeat(actions)
		}
		w.drainAll(t)
		w.check()
	})
}

// progress is what happens while nothing is wrong.
func progress(w *world) map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"submit": func(t *rapid.T) {
			var owners []model.NodeID
			for _, node := range w.nodes() {
				if rapid.Bool().Draw(t, "on "+string(node)) {
					owners = append(owners, node)
				}
			}
			if len(owners) > 0 {
				w.submit(rapid.IntRange(1, 6).Draw(t, "tasks"), time.Duration(rapid.IntRange(500, 5000).Draw(t, "deadline"))*time.Millisecond, owners)
			}
		},
		"deliver": func(t *rapid.T) {
			if m, ok := w.draw(t); ok {
				w.take(m).deliver()
			}
		},
		"finish": func(t *rapid.T) {
			e := w.endpoint(t)
			if len(e.running) > 0 {
				e.end(rapid.SampledFrom(e.running).Draw(t, "task"), port.TaskDone)
			}
		},
		"announce": func(t *rapid.T) {
			p := w.owner(t)
			w.announce(p, rapid.SampledFrom(p.endpoints).Draw(t, "endpoint"))
		},
		"time": func(t *rapid.T) {
			w.now = w.now.Add(time.Duration(rapid.IntRange(1, 1000).Draw(t, "passes")) * time.Millisecond)
			w.elapse()
		},
		"ask": func(t *rapid.T) {
			if b, ok := w.open(t, func(b *sent) bool { return b.asks }); ok {
				w.ask(b)
			}
		},
	}
}

// faults are what goes wrong.
func faults(w *world) map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"double": func(t *rapid.T) {
			if m, ok := w.draw(t); ok {
				w.wire[m].deliver() // It stays on the wire.
			}
		},
		"drop": func(t *rapid.T) {
			if m, ok := w.draw(t); ok {
				w.cut(m)
			}
		},
		"cut while it arrives late": func(t *rapid.T) {
			if m, ok := w.draw(t); ok && w.wire[m].lost != nil {
				w.wire[m].lost()
			}
		},
		"fail": func(t *rapid.T) {
			e := w.endpoint(t)
			if len(e.running) > 0 {
				e.end(rapid.SampledFrom(e.running).Draw(t, "task"), port.TaskFailed)
			}
		},
		"cancel": func(t *rapid.T) {
			if len(w.origin.jobs) > 0 {
				ids := slices.Sorted(maps.Keys(w.origin.jobs))
				w.stepJob(rapid.SampledFrom(ids).Draw(t, "job"), jobstate.Cancelled{})
			}
		},
		"membership drops an owner": func(t *rapid.T) {
			if b, ok := w.open(t, func(*sent) bool { return true }); ok {
				w.giveUp(b)
			}
		},
		"crash of a pool's owner": func(t *rapid.T) { w.restartOwner(w.owner(t).node) },
		"crash of the job owner": func(t *rapid.T) {
			if rapid.IntRange(0, 3).Draw(t, "survives") == 0 {
				w.restartOrigin()
			}
		},
	}
}

func (w *world) nodes() []model.NodeID { return slices.Sorted(maps.Keys(w.owners)) }

func (w *world) owner(t *rapid.T) *poolOwner {
	return w.owners[rapid.SampledFrom(w.nodes()).Draw(t, "owner")]
}

func (w *world) endpoint(t *rapid.T) *endpoint {
	return rapid.SampledFrom(w.owner(t).endpoints).Draw(t, "endpoint")
}

func (w *world) draw(t *rapid.T) (int, bool) {
	if len(w.wire) == 0 {
		return 0, false
	}
	return rapid.IntRange(0, len(w.wire)-1).Draw(t, "message"), true
}

func (w *world) take(i int) message {
	m := w.wire[i]
	w.wire = slices.Delete(w.wire, i, i+1)
	return m
}

// cut loses a message; its sender notices when it waits for a reply.
func (w *world) cut(i int) {
	if m := w.take(i); m.lost != nil {
		m.lost()
	}
}

func (w *world) open(t *rapid.T, wanted func(*sent) bool) (*sent, bool) {
	var open []*sent
	for _, b := range w.origin.open {
		if wanted(b) {
			open = append(open, b)
		}
	}
	if len(open) == 0 {
		return nil, false
	}
	slices.SortFunc(open, func(a, b *sent) int {
		return int(a.sequence) - int(b.sequence) + 1000*compareIDs(a.batch.ID, b.batch.ID)
	})
	return rapid.SampledFrom(open).Draw(t, "batch"), true
}

func compareIDs(a, b model.BatchID) int {
	switch {
	case a.Job < b.Job:
		return -1
	case a.Job > b.Job:
		return 1
	}
	return a.Part - b.Part
}

// elapse fires the timers that are due.
func (w *world) elapse() {
	for _, id := range slices.Sorted(maps.Keys(w.origin.jobs)) {
		if !w.origin.jobs[id].Wake().After(w.now) {
			w.stepJob(id, jobstate.Elapsed{})
		}
	}
	for _, node := range w.nodes() {
		p := w.owners[node]
		if at, ok := p.machine.Wake(); ok && !at.After(w.now) {
			w.stepPool(p, poolstate.Elapsed{})
		}
		for _, l := range p.ledgers {
			if at, ok := l.Wake(); ok && !at.After(w.now) {
				l.Step(w.now, ledger.Elapsed{})
			}
		}
	}
}

// drainAll delivers what is on the wire, lets time pass, and expects each job of the job owner to
// have ended.
func (w *world) drainAll(t *rapid.T) {
	const limit = 2000 // Messages; a pool may ask an endpoint for as long as nothing ends.
	for range limit {
		if len(w.wire) == 0 {
			break
		}
		w.take(0).deliver()
	}
	w.now = w.now.Add(time.Minute)
	w.elapse()
	for id := range w.origin.jobs {
		if _, ended := w.ended[id]; !ended {
			t.Fatalf("job %s has not ended after its deadline", id)
		}
	}
}
