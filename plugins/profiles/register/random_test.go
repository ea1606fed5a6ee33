package register

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"redwingpulley/kernel/model"
)

func TestRandomisedRuns(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		replicas := rapid.SampledFrom([]int{1, 2, 3, 3, 3, 5}).Draw(t, "replicas")
		sim := newSimulation(t, replicas, rapid.IntRange(0, 3).Draw(t, "others"), rapid.Uint64().Draw(t, "seed"))
		sim.advance(3 * time.Second)
		s := &script{simulation: sim, t: t}
		for range rapid.IntRange(5, 60).Draw(t, "steps") {
			s.performRandomAction()
		}
		sim.healAndCheck()
	})
}

// script performs random edits and faults. Its faults stay within what the register must tolerate: at
// any time, at most a minority of the replicas has lost its disk or runs on an older copy and does not
// vote again yet.
type script struct {
	*simulation
	t          *rapid.T
	edits      []model.ProfileEdit
	recovering []model.NodeID // Replicas whose disk was lost or replaced by an older copy, and that do not vote again yet.

	beyondTakeovers bool // Whether a takeover does not count as a lost disk.
}

func (s *script) performRandomAction() {
	sim := s.simulation
	id := rapid.SampledFrom(sim.memberIDs).Draw(s.t, "node")
	s.recovering = slices.DeleteFunc(s.recovering, func(replica model.NodeID) bool {
		if s.beyondTakeovers && !sim.newestStoreVotes(replica) {
			return false
		}
		n := sim.members[sim.memberWithNewestStore(replica)]
		return !n.down && n.machine.CanVote() && n.disk != nil && n.disk.Voting && n.disk.Store == n.machine.durable.Store
	})
	switch rapid.IntRange(0, 13).Draw(s.t, "action") {
	case 0, 1, 2, 3:
		s.submitNewEdit(id)
	case 4:
		s.submitOnAllMembers()
	case 5:
		s.resubmitEdit(id)
	case 6:
		sim.partition = map[model.NodeID]int{id: 1, rapid.SampledFrom(sim.memberIDs).Draw(s.t, "other"): 1}
	case 7:
		sim.partition = map[model.NodeID]int{}
	case 8:
		sim.lossRate = rapid.SampledFrom([]float64{0, 0.05, 0.3}).Draw(s.t, "loss")
		sim.duplicateRate = rapid.SampledFrom([]float64{0, 0.1, 0.4}).Draw(s.t, "duplicates")
	case 9:
		sim.crash(id)
		sim.abandonAnswers(id)
		sim.members[id].diskFull = false
		sim.startMember(id)
	case 10:
		sim.crash(id)
		sim.abandonAnswers(id)
	case 11:
		s.loseDisk(id)
	case 12:
		s.restoreOldCopy(id)
	case 13:
		sim.members[id].diskFull = !sim.members[id].diskFull
	}
	sim.advance(time.Duration(rapid.SampledFrom([]int{0, 1, 5, 20, 100, 1000, 3000}).Draw(s.t, "ms")) * time.Millisecond)
}

func (s *script) newEdit() model.ProfileEdit {
	expect := s.simulation.newestServed().Revision()
	edit := model.ProfileEdit{
		ID: fmt.Sprintf("c%d", len(s.edits)), Digest: uint64(len(s.edits)), Expect: expect, Kind: model.PutProfile,
		Name: model.ProfileName(fmt.Sprintf("p%d", len(s.edits)%5)),
	}
	if rapid.IntRange(0, 2).Draw(s.t, "evacuation") == 0 {
		edit.Kind = rapid.SampledFrom([]model.EditKind{model.Evacuate, model.EndEvacuation}).Draw(s.t, "order")
		edit.Name, edit.DataCentre = "", rapid.SampledFrom([]model.DataCentre{"sj1", "sj2"}).Draw(s.t, "data centre")
		edit.Expect -= min(edit.Expect, model.Revision(rapid.IntRange(0, 3).Draw(s.t, "delayed by"))) // The order was delayed.
	}
	s.edits = append(s.edits, edit)
	return edit
}

func (s *script) submitNewEdit(id model.NodeID) { s.simulation.submit(id, s.newEdit()) }

func (s *script) submitOnAllMembers() {
	for _, id := range s.simulation.memberIDs {
		s.submitNewEdit(id)
	}
}

func (s *script) resubmitEdit(id model.NodeID) {
	if len(s.edits) > 0 {
		s.simulation.submit(id, rapid.SampledFrom(s.edits).Draw(s.t, "resubmitted"))
	}
}

// mayLoseDisk reports whether the disk of the replica at a member may be lost within the bounds of script.
func (s *script) mayLoseDisk(id model.NodeID) bool {
	place := s.simulation.members[id].machine.config.Self
	return slices.Contains(s.simulation.replicaIDs, place) && !slices.Contains(s.recovering, place) && s.mayLoseMore()
}

// mayLoseMore reports whether one more disk may be lost within the bounds of script.
func (s *script) mayLoseMore() bool {
	return len(s.recovering) < (len(s.simulation.replicaIDs)-1)/2
}

func (s *script) loseDisk(id model.NodeID) {
	if !s.mayLoseDisk(id) {
		return
	}
	n := s.simulation.members[id]
	s.recovering = append(s.recovering, n.machine.config.Self)
	s.simulation.abandonAnswers(id)
	n.disk, n.diskHistory, n.restoredCopy, n.place = nil, nil, false, ""
	s.simulation.startMember(id)
}

func (s *script) restoreOldCopy(id model.NodeID) {
	n := s.simulation.members[id]
	if s.simulation.takeovers || !s.mayLoseDisk(id) || len(n.diskHistory) == 0 {
		return // Where places are taken over, copies are not told from the files that were written.
	}
	s.recovering = append(s.recovering, id)
	s.simulation.abandonAnswers(id)
	n.disk = rapid.SampledFrom(n.diskHistory).Draw(s.t, "copy")
	n.restoredCopy = true
	s.simulation.startMember(id)
}

// TestMain sets a fixed seed unless one is given, so that each CI run does the same random runs. A
// long run:
// go test ./plugins/profiles/register -run TestRandomisedRuns -rapid.checks=1000000 -rapid.seed=N -timeout=0
func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == "0" {
		seed.Value.Set("1")
	}
	os.Exit(m.Run())
}
