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

// sequencesPerRun is the number of sequences of actions in one run; with rapid's defaults each has
// about 30 actions.
const sequencesPerRun = 6

// TestGuaranteesHoldUnderFaults runs the decisions of a job owner, pool owners and endpoints over
// messages that are delayed, dropped, duplicated and reordered, with crashes of all owners.
//
// CI runs a short set. A long run: go test ./plugins/jobs/jobstate -run Guarantees
// -rapid.checks=1000000 -timeout=0; -rapid.seed=N repeats the run that printed N.
func TestGuaranteesHoldUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(t.Fatalf, 3, rapid.IntRange(1, 4).Draw(t, "slots"))
		actions := map[string]func(*rapid.T){"": func(*rapid.T) { sim.checkInvariants() }}
		for name, action := range faultActions(sim) {
			actions[name] = action
		}
		for name, action := range normalActions(sim) {
			actions[name] = action
			actions[name+" again"] = action // Twice as often as a fault.
		}
		for range sequencesPerRun {
			t.Repeat(actions)
		}
		sim.drain(t)
		sim.checkInvariants()
	})
}

// normalActions are the actions of a system without faults, by name.
func normalActions(sim *simulation) map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"submit": func(t *rapid.T) {
			var owners []model.NodeID
			for _, node := range sim.nodes() {
				if rapid.Bool().Draw(t, "on "+string(node)) {
					owners = append(owners, node)
				}
			}
			if len(owners) > 0 {
				sim.submit(rapid.IntRange(1, 6).Draw(t, "tasks"), time.Duration(rapid.IntRange(500, 5000).Draw(t, "deadline"))*time.Millisecond, owners)
			}
		},
		"deliver message": func(t *rapid.T) {
			if m, ok := sim.drawMessage(t); ok {
				sim.takeMessage(m).deliver()
			}
		},
		"finish task": func(t *rapid.T) {
			e := sim.endpoint(t)
			if len(e.running) > 0 {
				e.finish(rapid.SampledFrom(e.running).Draw(t, "task"), port.TaskDone)
			}
		},
		"announce": func(t *rapid.T) {
			p := sim.drawPoolOwner(t)
			sim.announce(p, rapid.SampledFrom(p.endpoints).Draw(t, "endpoint"))
		},
		"advance clock": func(t *rapid.T) {
			sim.now = sim.now.Add(time.Duration(rapid.IntRange(1, 1000).Draw(t, "milliseconds")) * time.Millisecond)
			sim.fireDueTimers()
		},
		"resume batch": func(t *rapid.T) {
			if b, ok := sim.inFlight(t, func(b *sentBatch) bool { return b.replyLost }); ok {
				sim.resume(b)
			}
		},
	}
}

// faultActions are the faults that are injected, by name.
func faultActions(sim *simulation) map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"duplicate message": func(t *rapid.T) {
			if m, ok := sim.drawMessage(t); ok {
				sim.messages[m].deliver() // The message stays in flight.
			}
		},
		"drop message": func(t *rapid.T) {
			if m, ok := sim.drawMessage(t); ok {
				sim.dropMessage(m)
			}
		},
		"connection breaks but its message still arrives": func(t *rapid.T) {
			if m, ok := sim.drawMessage(t); ok && sim.messages[m].onDrop != nil {
				sim.messages[m].onDrop()
			}
		},
		"fail task": func(t *rapid.T) {
			e := sim.endpoint(t)
			if len(e.running) > 0 {
				e.finish(rapid.SampledFrom(e.running).Draw(t, "task"), port.TaskFailed)
			}
		},
		"cancel job": func(t *rapid.T) {
			if len(sim.owner.jobs) > 0 {
				ids := slices.Sorted(maps.Keys(sim.owner.jobs))
				sim.stepJob(rapid.SampledFrom(ids).Draw(t, "job"), jobstate.Cancelled{})
			}
		},
		"membership removes a pool owner": func(t *rapid.T) {
			if b, ok := sim.inFlight(t, func(*sentBatch) bool { return true }); ok {
				sim.declareLost(b)
			}
		},
		"pool owner restarts": func(t *rapid.T) { sim.restartPoolOwner(sim.drawPoolOwner(t).node) },
		"job owner restarts": func(t *rapid.T) {
			if rapid.IntRange(0, 3).Draw(t, "restart if 0") == 0 {
				sim.restartJobOwner()
			}
		},
	}
}

func (sim *simulation) nodes() []model.NodeID { return slices.Sorted(maps.Keys(sim.poolOwners)) }

func (sim *simulation) drawPoolOwner(t *rapid.T) *poolOwner {
	return sim.poolOwners[rapid.SampledFrom(sim.nodes()).Draw(t, "owner")]
}

func (sim *simulation) endpoint(t *rapid.T) *endpoint {
	return rapid.SampledFrom(sim.drawPoolOwner(t).endpoints).Draw(t, "endpoint")
}

func (sim *simulation) drawMessage(t *rapid.T) (int, bool) {
	if len(sim.messages) == 0 {
		return 0, false
	}
	return rapid.IntRange(0, len(sim.messages)-1).Draw(t, "message"), true
}

// takeMessage removes a message from those in flight and returns it.
func (sim *simulation) takeMessage(i int) message {
	m := sim.messages[i]
	sim.messages = slices.Delete(sim.messages, i, i+1)
	return m
}

// dropMessage drops a message; a sender that waits for its reply notices.
func (sim *simulation) dropMessage(i int) {
	if m := sim.takeMessage(i); m.onDrop != nil {
		m.onDrop()
	}
}

// inFlight draws one of the job owner's batches in flight for which wanted returns true. It returns
// false when there is none.
func (sim *simulation) inFlight(t *rapid.T, wanted func(*sentBatch) bool) (*sentBatch, bool) {
	var inFlight []*sentBatch
	for _, b := range sim.owner.inFlight {
		if wanted(b) {
			inFlight = append(inFlight, b)
		}
	}
	if len(inFlight) == 0 {
		return nil, false
	}
	slices.SortFunc(inFlight, func(a, b *sentBatch) int {
		return int(a.sequence) - int(b.sequence) + 1000*compareIDs(a.batch.ID, b.batch.ID)
	})
	return rapid.SampledFrom(inFlight).Draw(t, "batch"), true
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

// fireDueTimers sends Elapsed to all state machines whose timer is due.
func (sim *simulation) fireDueTimers() {
	for _, id := range slices.Sorted(maps.Keys(sim.owner.jobs)) {
		if !sim.owner.jobs[id].NextTimer().After(sim.now) {
			sim.stepJob(id, jobstate.Elapsed{})
		}
	}
	for _, node := range sim.nodes() {
		p := sim.poolOwners[node]
		if at, ok := p.machine.NextTimer(); ok && !at.After(sim.now) {
			sim.stepPool(p, poolstate.Elapsed{})
		}
		for _, l := range p.ledgers {
			if at, ok := l.NextTimer(); ok && !at.After(sim.now) {
				l.Step(sim.now, ledger.Elapsed{})
			}
		}
	}
}

// drain delivers the messages in flight, advances the clock by a minute, and expects each job of the
// job owner to have ended.
func (sim *simulation) drain(t *rapid.T) {
	const limit = 2000 // Messages delivered; a pool sends revokes for as long as a task does not end.
	for range limit {
		if len(sim.messages) == 0 {
			break
		}
		sim.takeMessage(0).deliver()
	}
	sim.now = sim.now.Add(time.Minute)
	sim.fireDueTimers()
	for id := range sim.owner.jobs {
		if _, ended := sim.ended[id]; !ended {
			t.Fatalf("job %s has not ended after its deadline", id)
		}
	}
}
