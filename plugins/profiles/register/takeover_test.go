package register

import (
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"redwingpulley/kernel/model"
)

// The simulation's members take over places as the plug-in has them do: a member without a place takes that
// of one that is gone while enough others vote, and a member that finds its place taken goes on without.

const placelessMark = "~" // Ends the identity of a member without a place that is named like one.

// memberAt returns the member that an identity stands for in the view of a member.
func (sim *simulation) memberAt(viewer, identity model.NodeID) model.NodeID {
	m := sim.members[viewer].machine
	if identity == m.config.Self {
		return viewer
	}
	if id, found := strings.CutSuffix(string(identity), placelessMark); found {
		return model.NodeID(id)
	}
	if !slices.Contains(m.config.Replicas, identity) {
		return identity
	}
	holder, _ := m.Holder(identity)
	return holder
}

// memberWithPlace returns the running member whose machine votes with a place, else the place's namesake.
func (sim *simulation) memberWithPlace(place model.NodeID) model.NodeID {
	for _, id := range sim.memberIDs {
		if n := sim.members[id]; !n.down && n.machine.config.Self == place && n.machine.CanVote() {
			return id
		}
	}
	return place
}

// memberWithNewestStore returns the member that has the newest store of a place that any member knows.
func (sim *simulation) memberWithNewestStore(place model.NodeID) model.NodeID {
	newest, at := Store{}, place
	for _, id := range sim.memberIDs {
		m := sim.members[id].machine
		if known := m.durable.Fences[place]; newest.Less(known) {
			newest = known
		}
	}
	for _, id := range sim.memberIDs {
		if m := sim.members[id].machine; m.config.Self == place && m.durable.Store == newest {
			at = id
		}
	}
	return at
}

// notifyReplaced sends the newest stores to a sender whose place another member has.
func (sim *simulation) notifyReplaced(p delivery) {
	if p.message.Kind == Chosen || !slices.Contains(sim.members[p.to].replicas, p.identity) || sim.memberAt(p.to, p.identity) == p.from {
		return
	}
	sim.send(p.to, p.from, sim.members[p.to].machine.ChosenMessage())
}

// leavePlace has a member go on without a place and without its file.
func (sim *simulation) leavePlace(id model.NodeID) {
	identity := id
	if slices.Contains(sim.members[id].replicas, id) {
		identity += placelessMark
	}
	sim.changePlace(id, identity, Store{})
}

// changePlace gives a member a new machine with an empty disk, for a place or for none.
func (sim *simulation) changePlace(id, place model.NodeID, takes Store) {
	n := sim.members[id]
	sim.abandonAnswers(id)
	sim.lastSeed++
	config := sim.config(id, place)
	config.Takes = takes
	n.machine, n.disk, n.place, n.changedPlace = New(config, nil), nil, place, true
	if !slices.Contains(n.replicas, place) {
		n.place = ""
	}
	sim.step(id, Woken{})
}

// placeToTake returns a place that the member may take over, and its present store.
func (sim *simulation) placeToTake(id model.NodeID) (place model.NodeID, store Store, ok bool) {
	n := sim.members[id]
	if n.down || !n.machine.serving || slices.Contains(n.replicas, n.machine.config.Self) {
		return "", Store{}, false
	}
	var vacant []model.NodeID
	for _, replica := range n.replicas {
		holder, store := n.machine.Holder(replica)
		if store.Node == id {
			return replica, store, true // Its own, held before it lost its disk.
		}
		if sim.members[holder].down || sim.heldElsewhere(id, replica) {
			vacant = append(vacant, replica)
		}
	}
	quorum := JoinQuorum(len(n.replicas))
	if len(vacant) == 0 || len(vacant) > len(n.replicas)-quorum {
		return "", Store{}, false
	}
	holder, store := n.machine.Holder(vacant[0])
	supported := sim.votersFor(id, vacant[0], store) >= quorum
	if store == (Store{}) {
		store.Node = holder
	}
	return vacant[0], store, supported
}

// heldElsewhere reports whether the member that stands for a place has another one, as far as the viewer knows: the place is new
// and nobody has had it yet, or the member has got the new place that is named after it.
func (sim *simulation) heldElsewhere(viewer, place model.NodeID) bool {
	n := sim.members[viewer]
	holder, store := n.machine.Holder(place)
	return slices.ContainsFunc(n.replicas, func(other model.NodeID) bool {
		_, held := n.machine.Holder(other)
		return other != place && held.Node == holder && (store == (Store{}) || other == holder)
	})
}

// votersFor counts the replicas that a member can reach, that vote, and that know no newer store of the
// place than the member does. Those that do send it theirs.
func (sim *simulation) votersFor(id, place model.NodeID, store Store) (voters int) {
	for _, replica := range sim.members[id].replicas {
		at := sim.memberAt(id, replica)
		n := sim.members[at]
		if n.down || sim.partition[at] != sim.partition[id] || n.machine.config.Self != replica || !n.machine.CanVote() {
			continue
		}
		if _, known := n.machine.Holder(place); store.Less(known) {
			sim.send(at, id, n.machine.ChosenMessage())
			continue
		}
		voters++
	}
	return voters
}

// rejoinLostPlaces has members take back the places that they held before they lost their disks.
func (sim *simulation) rejoinLostPlaces() {
	for range sim.replicaIDs {
		for _, id := range sim.memberIDs {
			if place, store, ok := sim.placeToTake(id); ok {
				sim.changePlace(id, place, store)
			}
		}
		sim.advance(3 * time.Second)
	}
}

// takeOver has a member take over a place, which counts as the loss of a disk until the new store votes.
func (s *script) takeOver(id model.NodeID) {
	place, store, ok := s.simulation.placeToTake(id)
	if !ok || !slices.Contains(s.recovering, place) && !s.mayLoseMore() {
		return
	}
	if !slices.Contains(s.recovering, place) {
		s.recovering = append(s.recovering, place)
	}
	s.simulation.changePlace(id, place, store)
}

// Takeovers among restarts, partitions and lost disks: no accepted change is lost and no member serves an older
// revision, even when former holders come back with their files.
func TestRandomisedTakeovers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := &simulation{takeovers: true}
		sim.init(t, rapid.SampledFrom([]int{3, 5}).Draw(t, "replicas"), rapid.IntRange(1, 3).Draw(t, "others"), rapid.Uint64().Draw(t, "seed"))
		sim.advance(3 * time.Second)
		s := &script{simulation: sim, t: t}
		for range rapid.IntRange(5, 60).Draw(t, "steps") {
			if rapid.IntRange(0, 3).Draw(t, "takeover") == 0 {
				s.takeOver(rapid.SampledFrom(sim.memberIDs).Draw(t, "taker"))
			}
			s.performRandomAction()
		}
		sim.healAndCheck()
	})
}
