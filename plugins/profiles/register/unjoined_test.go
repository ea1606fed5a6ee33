package register

import (
	"testing"
	"time"

	"redwingpulley/kernel/model"
)

// Guards against issue 36: all members lost power, and one replica its disk, while a takeover had fenced the former
// holder's store and the new one had not joined yet; no majority voted again although all members came back.
func TestTakeover_DiskLostBeforeTheNewStoreHasJoined(t *testing.T) {
	sim := &simulation{takeovers: true}
	sim.init(t, 3, 1, 1)
	sim.advance(3 * time.Second)
	sim.submit("n1", model.ProfileEdit{ID: "first", Kind: model.PutProfile, Name: "p"})
	sim.advance(time.Second)
	sim.crash("n0")
	sim.takeOverUntilFenced("n3", "n0")
	for _, id := range sim.memberIDs {
		sim.crash(id)
	}
	sim.inFlight = nil
	sim.members["n1"].disk = nil
	sim.healAndCheck()
}

// takeOverUntilFenced has a member take over a place, and stops once both other replicas have the new store on their
// disks, before their replies have arrived.
func (sim *simulation) takeOverUntilFenced(id, place model.NodeID) {
	sim.t.(*testing.T).Helper()
	_, store, ok := sim.placeToTake(id)
	if !ok {
		sim.t.Fatalf("%s may not take the place of %s", id, place)
	}
	sim.changePlace(id, place, store)
	for _, replica := range []model.NodeID{"n1", "n2"} {
		for sim.members[replica].disk.Fences[place].Node != id {
			sim.advance(time.Millisecond)
		}
	}
	if sim.members[id].machine.CanVote() {
		sim.t.Fatalf("%s votes already", id)
	}
}
