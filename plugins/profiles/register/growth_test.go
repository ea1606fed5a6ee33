package register

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"redwingpulley/kernel/model"
)

// regroup has a member go on in a later group, as the plug-in does.
func (sim *simulation) regroup(id model.NodeID, e Regrouped) {
	n := sim.members[id]
	place := n.machine.config.Self
	sim.abandonAnswers(id)
	sim.lastSeed++
	n.replicas = e.Replicas
	if len(e.Replicas) > len(sim.replicaIDs) {
		sim.replicaIDs = e.Replicas
	}
	copied := n.restoredCopy
	n.machine, n.changedPlace = New(sim.config(id, place), &e.Durable), true
	n.restoredCopy = copied
	sim.step(id, Woken{})
}

// smallestGroup returns the number of replicas of the smallest group that a member is still in.
func (sim *simulation) smallestGroup() int {
	smallest := len(sim.replicaIDs)
	for _, n := range sim.members {
		smallest = min(smallest, len(n.replicas))
	}
	return smallest
}

// newestGroups returns the largest groups in the states that members have accepted or learned, and that are on their way.
func (sim *simulation) newestGroups() (newest []Group) {
	add := func(group Group) {
		if len(newest) > 0 && len(group.Replicas) > len(newest[0].Replicas) {
			newest = nil
		}
		if len(newest) == 0 || len(group.Replicas) == len(newest[0].Replicas) {
			newest = append(newest, group)
		}
	}
	for _, n := range sim.members {
		add(n.machine.durable.Value.Group)
		add(n.machine.served.Group)
	}
	for _, p := range sim.inFlight {
		if p.message.Value != nil {
			add(p.message.Value.Group)
		}
		if p.message.Delta != nil && p.message.Delta.Group != nil {
			add(*p.message.Delta.Group)
		}
	}
	return newest
}

// nextGroupMayLoseMore reports whether one more disk may be lost in the newest group, where it is not the first one. A place counts
// as lost there until it votes in that group, unless it still has the store that the change names.
func (sim *simulation) nextGroupMayLoseMore() bool {
	return !slices.ContainsFunc(sim.newestGroups(), func(group Group) bool {
		lost := 0
		for _, place := range group.Replicas {
			if !sim.votesOrEnters(place, group) {
				lost++
			}
		}
		return len(group.Replicas) > 0 && lost >= len(group.Replicas)-JoinQuorum(len(group.Replicas))
	})
}

// votesOrEnters reports whether a place votes in a group, or will do so with the store that it has.
func (sim *simulation) votesOrEnters(place model.NodeID, group Group) bool {
	n := sim.members[sim.memberWithNewestStore(place)]
	if n.machine.config.Self != place || n.disk == nil || !n.disk.Voting || n.disk.Store != n.machine.durable.Store {
		return false
	}
	return len(n.diskReplicas) >= len(group.Replicas) || n.disk.Store == group.Stores[place]
}

// placeless returns the running members that could get a new place: they have none, and none is named after them.
func (sim *simulation) placeless() (ids []model.NodeID) {
	for _, id := range sim.memberIDs {
		n := sim.members[id]
		if !n.down && !slices.Contains(sim.replicaIDs, id) && n.machine.config.Self == id {
			ids = append(ids, id)
		}
	}
	return ids
}

// grow has a voter submit the addition of a member without a place.
func (s *script) grow(id model.NodeID, most int) {
	sim := s.simulation
	if rapid.Bool().Draw(s.t, "repaired") {
		s.repair()
	}
	n, candidates := sim.members[id], sim.placeless()
	if n.down || !n.machine.CanVote() || len(candidates) == 0 || len(n.replicas) >= most {
		return
	}
	edit := s.newEdit()
	edit.Kind, edit.Name, edit.Replica = model.AddReplica, "", rapid.SampledFrom(candidates).Draw(s.t, "added")
	s.edits[len(s.edits)-1] = edit
	sim.submit(id, edit)
	s.disturbGrowth()
}

// repair ends all faults, since a group grows only while all replicas vote.
func (s *script) repair() {
	sim := s.simulation
	sim.partition, sim.lossRate = map[model.NodeID]int{}, 0
	for _, id := range sim.memberIDs {
		sim.members[id].diskFull = false
		if sim.members[id].down {
			sim.startMember(id)
		}
	}
	sim.advance(3 * time.Second)
}

// disturbGrowth has a fault come while the group grows, at any message of the change, and edits after it on both sides.
func (s *script) disturbGrowth() {
	sim := s.simulation
	for range rapid.IntRange(0, 3).Draw(s.t, "faults in growth") {
		sim.advance(time.Duration(rapid.IntRange(0, 12).Draw(s.t, "growing ms")) * time.Millisecond)
		id := rapid.SampledFrom(sim.memberIDs).Draw(s.t, "hit")
		switch rapid.IntRange(0, 3).Draw(s.t, "fault") {
		case 0:
			s.loseDisk(id)
		case 1:
			sim.crash(id)
			sim.abandonAnswers(id)
		case 2:
			sim.partition = map[model.NodeID]int{id: 1, rapid.SampledFrom(sim.memberIDs).Draw(s.t, "hit too"): 1}
		case 3:
			s.submitOnAllMembers()
		}
	}
}

// Growth of the group among edits, takeovers, lost disks, partitions and message loss: no accepted change is lost, no member
// serves an older revision or a second value of one, and a revision that a read confirms is the newest one.
func TestRandomisedGrowth(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := &simulation{takeovers: true}
		replicas := rapid.SampledFrom([]int{3, 3, 4}).Draw(t, "replicas")
		sim.init(t, replicas, rapid.IntRange(2, 4).Draw(t, "others"), rapid.Uint64().Draw(t, "seed"))
		sim.advance(3 * time.Second)
		s := &script{simulation: sim, t: t}
		for range rapid.IntRange(5, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 5).Draw(t, "growth") {
			case 0:
				s.takeOver(rapid.SampledFrom(sim.memberIDs).Draw(t, "taker"))
			case 1:
				s.grow(rapid.SampledFrom(sim.memberIDs).Draw(t, "grower"), 5)
			case 2:
				if id := rapid.SampledFrom(sim.memberIDs).Draw(t, "reader"); !sim.members[id].down {
					sim.read(id, time.Second)
				}
			}
			s.performRandomAction()
		}
		sim.healAndCheck()
	})
}

// Guards against a group that stays at the number of replicas with which it was founded, and against one that a member
// misses which was away.
func TestGrowth_FromThreeToFive(t *testing.T) {
	sim := &simulation{takeovers: true}
	sim.init(t, 3, 3, 1)
	sim.advance(3 * time.Second)
	sim.crash("n5")
	for _, added := range []model.NodeID{"n3", "n4"} {
		sim.addReplica("n0", added)
		sim.advance(5 * time.Second)
	}
	sim.startMember("n5")
	sim.advance(5 * time.Second)
	for _, id := range sim.memberIDs {
		if m := sim.members[id].machine; m.CanVote() != (id != "n5") || len(m.config.Replicas) != 5 {
			t.Fatalf("%s votes: %t, in a group of %v", id, m.CanVote(), m.config.Replicas)
		}
	}
	sim.crash("n0")
	sim.crash("n1")
	sim.submit("n3", model.ProfileEdit{ID: "x", Expect: sim.newestServed().Revision(), Kind: model.PutProfile, Name: "x"})
	sim.advance(3 * time.Second)
	if result, ok := sim.firstResult["x"]; !ok || result.Revision != 3 {
		t.Fatalf("three of five replicas answered %v", result)
	}
	sim.healAndCheck()
}

// addReplica has a replica submit the addition of a place.
func (sim *simulation) addReplica(id, added model.NodeID) {
	sim.submit(id, model.ProfileEdit{ID: "add-" + string(added), Expect: sim.newestServed().Revision(), Kind: model.AddReplica, Replica: added})
}

// Guards against a change that begins while a replica is away or has lost its disk: together with one more lost disk, too few would
// be left to join in the next group, or to find out whether there is one.
func TestGrowth_OnlyWhileAllReplicasVote(t *testing.T) {
	sim := &simulation{takeovers: true}
	sim.init(t, 3, 2, 1)
	sim.advance(3 * time.Second)
	sim.crash("n2")
	sim.addReplica("n0", "n3")
	sim.advance(3 * time.Second)
	if _, done := sim.firstResult["add-n3"]; done || len(sim.replicaIDs) != 3 || len(sim.awaited) > 0 {
		t.Fatalf("with a replica away the group became %v", sim.replicaIDs)
	}
	sim.startMember("n2")
	sim.advance(3 * time.Second)
	sim.addReplica("n0", "n3")
	sim.advance(3 * time.Second)
	if len(sim.replicaIDs) != 4 {
		t.Fatalf("with all replicas the group is %v", sim.replicaIDs)
	}
	sim.healAndCheck()
}
