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
	if identity == sim.identity(viewer) {
		return viewer
	}
	if id, found := strings.CutSuffix(string(identity), placelessMark); found {
		return model.NodeID(id)
	}
	if !slices.Contains(sim.replicaIDs, identity) {
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

// newestStore returns the newest store of a place that any member knows.
func (sim *simulation) newestStore(place model.NodeID) (newest Store) {
	for _, id := range sim.memberIDs {
		m := sim.members[id].machine
		if known := m.durable.Fences[place]; newest.Less(known) {
			newest = known
		}
	}
	return newest
}

// memberWithNewestStore returns the member that has the newest store of a place that any member knows.
func (sim *simulation) memberWithNewestStore(place model.NodeID) model.NodeID {
	newest, at := sim.newestStore(place), place
	for _, id := range sim.memberIDs {
		if m := sim.members[id].machine; m.config.Self == place && m.durable.Store == newest {
			at = id
		}
	}
	return at
}

// notifyReplaced sends the newest stores to a sender whose place another member has.
func (sim *simulation) notifyReplaced(p delivery) {
	if p.message.Kind == Chosen || !slices.Contains(sim.replicaIDs, p.identity) || sim.memberAt(p.to, p.identity) == p.from {
		return
	}
	sim.send(p.to, sim.identity(p.to), p.from, sim.members[p.to].machine.ChosenMessage())
}

// identity returns the place that a member has, or its identity without one.
func (sim *simulation) identity(id model.NodeID) model.NodeID {
	if m := sim.members[id].machine; !m.Reclaiming() {
		return m.config.Self
	}
	return sim.placelessIdentity(id)
}

func (sim *simulation) placelessIdentity(id model.NodeID) model.NodeID {
	if slices.Contains(sim.replicaIDs, id) {
		return id + placelessMark
	}
	return id
}

// leavePlace has a member go on without a place and without its file.
func (sim *simulation) leavePlace(id model.NodeID) {
	sim.changePlace(id, sim.placelessIdentity(id), Store{})
}

// changePlace gives a member a new machine, for a place or for none. It starts without a file; where writes take time, the file of a
// place that the member reclaims stays on the disk until the first write of one that it takes over.
func (sim *simulation) changePlace(id, place model.NodeID, takes Store) {
	n := sim.members[id]
	sim.abandonAnswers(id)
	sim.lastSeed++
	config := sim.config(id, place)
	config.Takes = takes
	n.machine, n.nextPlace, n.changedPlace = New(config, nil), place, true
	n.writes.queue = nil
	if !slices.Contains(sim.replicaIDs, place) {
		n.nextPlace = ""
	}
	if sim.writeTime == 0 || takes == (Store{}) {
		n.disk, n.place = nil, n.nextPlace
	}
	sim.step(id, Woken{})
}

// placeToTake returns a place that the member may take over, and its present store.
func (sim *simulation) placeToTake(id model.NodeID) (place model.NodeID, store Store, ok bool) {
	n := sim.members[id]
	if n.down || !n.machine.serving || slices.Contains(sim.replicaIDs, sim.identity(id)) {
		return "", Store{}, false
	}
	quorum := JoinQuorum(len(sim.replicaIDs))
	var vacant []model.NodeID
	for _, replica := range sim.replicaIDs {
		holder, store := n.machine.Holder(replica)
		if store.Node == id {
			return replica, store, sim.votersFor(id, replica, store) >= quorum // Its own, held before it lost its disk.
		}
		if sim.members[holder].down {
			vacant = append(vacant, replica)
		}
	}
	if len(vacant) == 0 || len(vacant) > len(sim.replicaIDs)-quorum {
		return "", Store{}, false
	}
	_, store = n.machine.Holder(vacant[0])
	return vacant[0], store, sim.votersFor(id, vacant[0], store) >= quorum
}

// votersFor counts the replicas that a member can reach, that vote, and that know no newer store of the
// place than the member does. Those that do send it theirs.
func (sim *simulation) votersFor(id, place model.NodeID, store Store) (voters int) {
	for _, replica := range sim.replicaIDs {
		at := sim.memberAt(id, replica)
		n := sim.members[at]
		if n.down || sim.partition[at] != sim.partition[id] || n.machine.config.Self != replica || !n.votes() {
			continue
		}
		if _, known := n.machine.Holder(place); store.Less(known) {
			sim.send(at, sim.identity(at), id, n.machine.ChosenMessage())
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

// votes reports whether a member votes, by its disk as well.
func (n *member) votes() bool {
	return n.machine.CanVote() && n.disk != nil && n.disk.Voting && n.disk.Store == n.machine.durable.Store
}

// newestStoreVotes reports whether the newest store of a place has joined and is still on a disk.
func (sim *simulation) newestStoreVotes(place model.NodeID) bool {
	n := sim.members[sim.memberWithNewestStore(place)]
	return n.disk != nil && n.disk.Voting && n.disk.Store == sim.newestStore(place)
}

// takeOver has a member take over a place, which counts as the loss of a disk until the new store votes.
func (s *script) takeOver(id model.NodeID) {
	place, store, ok := s.simulation.placeToTake(id)
	if ok && s.beyondTakeovers && s.simulation.newestStoreVotes(place) {
		s.simulation.changePlace(id, place, store)
		return
	}
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
func TestRandomisedTakeovers(t *testing.T) { checkTakeovers(t, script{}) }

// The same, with as many lost disks as the replicas have to tolerate while takeovers are under way.
func TestRandomisedTakeoversBesideLostDisks(t *testing.T) {
	checkTakeovers(t, script{beyondTakeovers: true})
}

func checkTakeovers(t *testing.T, bounds script) {
	rapid.Check(t, func(t *rapid.T) {
		sim := &simulation{takeovers: true}
		sim.init(t, rapid.SampledFrom([]int{3, 5}).Draw(t, "replicas"), rapid.IntRange(1, 3).Draw(t, "others"), rapid.Uint64().Draw(t, "seed"))
		sim.advance(3 * time.Second)
		s := &script{simulation: sim, t: t, beyondTakeovers: bounds.beyondTakeovers}
		for range rapid.IntRange(5, 60).Draw(t, "steps") {
			if rapid.IntRange(0, 3).Draw(t, "takeover") == 0 {
				s.takeOver(rapid.SampledFrom(sim.memberIDs).Draw(t, "taker"))
			}
			s.performRandomAction()
		}
		sim.healAndCheck()
	})
}
