package register

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"redwingpulley/kernel/model"
)

// powerScript performs random edits and faults of members that take over places by themselves and whose writes take time. As many replicas may
// have lost their disks at a time as the group has to tolerate; a takeover that is under way does not count as a lost disk.
type powerScript struct{ *script }

func (p powerScript) performRandomAction() {
	sim := p.simulation
	p.recovering = slices.DeleteFunc(p.recovering, p.hasRecovered)
	id := rapid.SampledFrom(sim.memberIDs).Draw(p.t, "node")
	switch rapid.IntRange(0, 11).Draw(p.t, "action") {
	case 0, 1, 2:
		p.submitNewEdit(id)
	case 3:
		p.submitOnAllMembers()
	case 4:
		sim.partition = map[model.NodeID]int{id: 1}
	case 5:
		sim.partition = map[model.NodeID]int{}
	case 6, 7:
		p.toggle(id)
	case 8:
		p.stop(id)
		sim.startMember(id)
	case 9:
		p.loseDisk(id)
	case 10:
		sim.startAll()
	case 11:
		p.losePower()
	}
	sim.advance(time.Duration(rapid.SampledFrom([]int{0, 5, 20, 50, 100, 300, 1000, 2000, 4000}).Draw(p.t, "ms")) * time.Millisecond)
}

// hasRecovered reports whether the newest store of a place votes, by its disk.
func (p powerScript) hasRecovered(place model.NodeID) bool {
	sim := p.simulation
	return sim.newestStoreVotes(place) && !sim.members[sim.memberWithNewestStore(place)].down
}

// toggle starts a member that is down, and ends one that is not.
func (p powerScript) toggle(id model.NodeID) {
	if p.simulation.members[id].down {
		p.simulation.startMember(id)
		return
	}
	p.stop(id)
}

func (p powerScript) stop(id model.NodeID) {
	if p.simulation.members[id].down {
		return
	}
	p.simulation.abandonAnswers(id)
	p.simulation.crash(id)
}

// losePower ends all members at the same time.
func (p powerScript) losePower() {
	for _, id := range p.simulation.memberIDs {
		p.stop(id)
	}
}

// loseDisk ends a member and empties its disk.
func (p powerScript) loseDisk(id model.NodeID) {
	if !p.mayLoseDisk(id) {
		return
	}
	n := p.simulation.members[id]
	p.recovering = append(p.recovering, n.machine.config.Self)
	p.stop(id)
	n.disk, n.diskHistory, n.restoredCopy, n.place = nil, nil, false, ""
}

// startAll starts the members that are down.
func (sim *simulation) startAll() {
	for _, id := range sim.memberIDs {
		if sim.members[id].down {
			sim.startMember(id)
		}
	}
}

// drawMS draws a time in milliseconds.
func drawMS(t *rapid.T, name string, ms ...int) time.Duration {
	return time.Duration(rapid.SampledFrom(ms).Draw(t, name)) * time.Millisecond
}

// Guards against a group of which no majority votes any more, and against the loss of accepted changes, after takeovers among restarts, partitions
// and power failures of all members, the last of them together with lost disks.
func TestRandomisedPowerFailures(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := &simulation{takeovers: true}
		sim.init(t, rapid.SampledFrom([]int{3, 3, 5}).Draw(t, "replicas"), rapid.IntRange(1, 3).Draw(t, "others"), rapid.Uint64().Draw(t, "seed"))
		sim.advance(3 * time.Second)
		sim.writeTime, sim.delay = drawMS(t, "write", 20, 60, 300), drawMS(t, "delay", 5, 50)
		sim.watchers = &watchers{
			detection: drawMS(t, "detection", 250, 800, 3500), comeback: drawMS(t, "return", 100, 1000, 3000),
			decision: drawMS(t, "decision", 1, 50, 300), views: make(map[model.NodeID]*view),
		}
		p := powerScript{&script{simulation: sim, t: t, beyondTakeovers: true}}
		for range rapid.IntRange(5, 50).Draw(t, "steps") {
			p.performRandomAction()
		}
		p.losePower()
		p.recovering = slices.DeleteFunc(p.recovering, p.hasRecovered)
		for range rapid.IntRange(0, 2).Draw(t, "lost disks") {
			p.loseDisk(rapid.SampledFrom(sim.memberIDs).Draw(t, "lost"))
		}
		sim.writeTime, sim.delay = 20*time.Millisecond, 5*time.Millisecond
		sim.healAndCheck()
	})
}
