package register

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"redwingpulley/kernel/invariant"
	"redwingpulley/kernel/model"
)

func TestServe_LowerRevisionViolatesInvariant(t *testing.T) {
	is := is.New(t)
	m := New(Config{Self: "a"}, nil)
	m.Step(time.Unix(0, 0), Woken{})
	newer := Initial()
	newer.Set.Revision = 2
	m.serve(newer)
	defer func() {
		violation, ok := recover().(invariant.Violation)
		is.True(ok)
		is.Equal(violation.Name, "revision-never-lower")
	}()
	m.serve(Initial())
}

// ballotOf returns the ballot of the first Prepare among the effects.
func ballotOf(effects []Effect) Ballot {
	for _, effect := range effects {
		if send, ok := effect.(Send); ok && send.Message.Kind == Prepare {
			return send.Message.Ballot
		}
	}
	return Ballot{}
}

func TestBallot_UniqueAcrossRestarts(t *testing.T) {
	is := is.New(t)
	start := func(seed uint64) Ballot {
		m := New(Config{Self: "a", Replicas: []model.NodeID{"a"}, Seed: seed}, nil)
		m.Step(time.Unix(0, 0), Woken{})
		edit := model.ProfileEdit{ID: "x", Kind: model.PutProfile, Name: "p"}
		return ballotOf(m.Step(time.Unix(1, 0), Submitted{1, edit, time.Unix(9, 0)}))
	}
	first, second := start(1), start(2)
	is.True(first != Ballot{})
	is.True(first != second)
	is.Equal(first.Round, second.Round) // Only Ballot.Run distinguishes the ballots.
}

// applyEdit returns the state after the edit, and the edit's result.
func applyEdit(s State, edit model.ProfileEdit, now time.Time) (State, model.EditResult) {
	delta, result := s.apply(edit, now)
	if delta == nil {
		return s, result
	}
	return s.withDelta(*delta), result
}

func TestApply_ChecksEditAgainstState(t *testing.T) {
	put := model.ProfileEdit{ID: "1", Kind: model.PutProfile, Name: "finder"}
	state, _ := applyEdit(Initial(), put, time.Unix(1, 0))
	assign := model.ProfileEdit{ID: "2", Expect: 1, Kind: model.SetService, Name: "finder", Service: "s"}
	state, _ = applyEdit(state, assign, time.Unix(2, 0))
	cases := []struct {
		name string
		edit model.ProfileEdit
		want model.EditResult
	}{
		{"resend", put, model.EditResult{Status: model.EditDone, Revision: 1}},
		{"key of another edit", model.ProfileEdit{ID: "1", Digest: 9}, refusedResult(model.EditKeyReused, model.NotRun, 2)},
		{"lost race", model.ProfileEdit{ID: "3", Expect: 1}, refusedResult(model.EditStale, model.NotRun, 2)},
		{"revision to come", model.ProfileEdit{ID: "3", Expect: 3}, refusedResult(model.EditStale, model.NotRun, 2)},
		{"unknown profile", model.ProfileEdit{ID: "3", Expect: 2, Kind: model.SetService, Name: "x"}, refusedResult(model.EditNotFound, model.NotRun, 2)},
		{"profile in use", model.ProfileEdit{ID: "3", Expect: 2, Kind: model.DeleteProfile, Name: "finder"}, refusedResult(model.EditInUse, model.NotRun, 2)},
		{"default profile", model.ProfileEdit{ID: "3", Expect: 2, Kind: model.DeleteProfile, Name: "default"}, refusedResult(model.EditInUse, model.NotRun, 2)},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			delta, result := state.apply(c.edit, time.Unix(3, 0))
			is.Equal(result, c.want)
			is.True(delta == nil)
		})
	}
}

func TestApply_StaleEditBeyondHistoryMayHaveRun(t *testing.T) {
	is := is.New(t)
	state := Initial()
	for i := range KeptChanges + 10 {
		edit := model.ProfileEdit{ID: string(rune('a' + i)), Expect: model.Revision(i), Kind: model.PutProfile, Name: "p"}
		state, _ = applyEdit(state, edit, time.Unix(int64(i), 0))
	}
	is.Equal(len(state.History), KeptChanges)
	_, result := state.apply(model.ProfileEdit{ID: "a", Expect: 0}, time.Unix(0, 0))
	is.Equal(result.Run, model.MayHaveRun)
	_, result = state.apply(model.ProfileEdit{ID: "other", Expect: 10}, time.Unix(0, 0))
	is.Equal(result.Run, model.NotRun)
}

// Each replica in turn loses its disk as soon as the one before it votes again.
func TestDiskLoss_RepeatedRightAfterRejoin(t *testing.T) {
	runScenario(t, func(sim *simulation) {
		sim.submit("n0", model.ProfileEdit{ID: "c", Kind: model.PutProfile, Name: "p"})
		sim.advance(time.Second)
		for attempt := range 6 {
			id := sim.replicaIDs[attempt%len(sim.replicaIDs)]
			sim.abandonAnswers(id)
			sim.members[id].disk = nil
			sim.startMember(id)
			for !sim.members[id].machine.CanVote() {
				sim.advance(time.Millisecond)
			}
		}
		if sim.firstResult["c"].Revision != 1 {
			sim.t.Fatalf("the edit was not done at revision 1")
		}
	})
}

// One of three replicas is down while another loses its disk. The third may not know a state that the
// first two have chosen, so the one that lost its disk must not vote with its reply alone.
func TestDiskLoss_NoVoteWithOneVotingReplica(t *testing.T) {
	runScenario(t, func(sim *simulation) {
		sim.submit("n0", model.ProfileEdit{ID: "c", Kind: model.PutProfile, Name: "p"})
		sim.advance(time.Second)
		sim.crash("n2")
		sim.members["n1"].disk = nil
		sim.startMember("n1")
		sim.advance(20 * time.Second)
		if sim.members["n1"].machine.CanVote() {
			sim.t.Fatalf("a replica with an empty disk votes although it has a reply from only one other voting replica")
		}
	})
}

func TestDiskLoss_MajorityLostNeedsReform(t *testing.T) {
	runScenario(t, func(sim *simulation) {
		sim.submit("n0", model.ProfileEdit{ID: "c", Kind: model.PutProfile, Name: "p"})
		sim.advance(time.Second)
		for _, id := range []model.NodeID{"n0", "n1"} {
			sim.crash(id)
			sim.members[id].disk = nil
		}
		sim.startMember("n0")
		sim.startMember("n1")
		sim.advance(20 * time.Second)
		if sim.members["n0"].machine.CanVote() || sim.members["n1"].machine.CanVote() {
			sim.t.Fatalf("a replica votes although the disks of a majority are lost")
		}
		sim.reform = true
		sim.startMember("n0")
		sim.startMember("n1")
		sim.advance(3 * time.Second)
		if !sim.members["n0"].machine.CanVote() || !sim.members["n1"].machine.CanVote() {
			sim.t.Fatalf("the replicas do not vote although the operator says that the disks are lost")
		}
	})
}

// A group starts for the first time with one of three replicas missing. After the wait, the other two,
// whose disks are empty, and a member without a disk serve, but no replica votes.
func TestFirstStart_ServesWithReplicaMissing(t *testing.T) {
	sim := newSimulation(t, 3, 1, 1)
	sim.alone = 5 * time.Second
	sim.members["n2"].down = true
	sim.inFlight = nil
	for _, id := range []model.NodeID{"n0", "n1", "n3"} {
		sim.startMember(id)
	}
	sim.advance(4 * time.Second)
	for _, id := range []model.NodeID{"n0", "n1", "n3"} {
		if sim.members[id].machine.serving {
			t.Fatalf("%s serves before the wait for the missing replica is over", id)
		}
	}
	sim.advance(4 * time.Second)
	for _, id := range []model.NodeID{"n0", "n1", "n3"} {
		if m := sim.members[id].machine; !m.serving || m.CanVote() {
			t.Fatalf("%s: serving %t, voting %t", id, m.serving, m.CanVote())
		}
	}
	sim.healAndCheck() // The missing replica starts, and an edit is done.
}

func TestRestart_AllMembersAfterHundredsOfChanges(t *testing.T) {
	runScenario(t, func(sim *simulation) {
		for i := range 300 {
			sim.submit(sim.replicaIDs[i%3], model.ProfileEdit{
				ID: string(rune(1000 + i)), Expect: model.Revision(i), Kind: model.PutProfile, Name: "p",
			})
			sim.advance(100 * time.Millisecond)
		}
		for _, id := range sim.memberIDs {
			sim.crash(id)
			sim.startMember(id)
		}
		sim.advance(3 * time.Second)
		for _, id := range sim.memberIDs {
			if got := sim.members[id].machine.served.Revision(); got != 300 {
				sim.t.Fatalf("%s serves revision %d after the restart, want 300", id, got)
			}
		}
	})
}

// A member without a disk restarts on the side of a partition that holds no replica and only one
// other member.
func TestLearn_ServesAfterWaitWithoutMajority(t *testing.T) {
	runScenario(t, func(sim *simulation) {
		sim.submit("n0", model.ProfileEdit{ID: "c", Kind: model.PutProfile, Name: "p"})
		sim.advance(time.Second)
		sim.partition = map[model.NodeID]int{"n3": 1, "n4": 1}
		sim.crash("n3")
		sim.alone = 5 * time.Second
		sim.startMember("n3")
		sim.advance(4 * time.Second)
		if sim.members["n3"].machine.serving {
			sim.t.Fatalf("a member serves before its wait for a majority is over")
		}
		sim.advance(4 * time.Second)
		if m := sim.members["n3"].machine; !m.serving || m.served.Revision() != 1 {
			sim.t.Fatalf("a member does not serve the newest revision on its side of a partition")
		}
	})
}

// Guards against an order that takes effect after its withdrawal has overtaken it, also where its data centre was evicted meanwhile,
// against a change when an order is repeated, and against a register that grows without bound.
func TestEvacuation_OvertakenOrderIsStaleAndRepeatedOneChangesNothing(t *testing.T) {
	is := is.New(t)
	state := Initial()
	order := func(kind model.EditKind, dc model.DataCentre, known model.Revision) string {
		edit := model.ProfileEdit{ID: fmt.Sprint(kind, dc, known, state.Revision()), Kind: kind, DataCentre: dc, Expect: known}
		next, result := applyEdit(state, edit, time.Unix(1, 0))
		state = next
		return fmt.Sprint(result.Status, result.Run, result.Revision)
	}
	is.Equal(order(model.Evacuate, "sj1", 0), "done1")
	is.Equal(order(model.Evacuate, "sj1", 0), "done1") // Of another member.
	is.Equal(order(model.Evacuate, "sj2", 0), "done2") // sj2 has not changed.
	is.Equal(order(model.EndEvacuation, "sj1", 2), "done3")
	is.Equal(order(model.Evacuate, "sj1", 2), "stalenot_run3")
	is.Equal(order(model.EndEvacuation, "sj2", 1), "stalenot_run3")
	for i := range model.MaxEvacuations - 1 { // The last one evicts sj1.
		is.Equal(order(model.Evacuate, model.DataCentre(fmt.Sprint(i)), state.Revision()), fmt.Sprint("done", 4+i))
	}
	is.Equal(order(model.Evacuate, "sj1", state.Revision()), "too_manynot_run66")
	is.Equal(order(model.EndEvacuation, "0", state.Revision()), "done67")
	is.Equal(order(model.Evacuate, "sj1", 2), "stalenot_run67")
	is.Equal(order(model.Evacuate, "sj1", state.Revision()), "done68")
	is.Equal(len(state.Set.Evacuations), model.MaxEvacuations)
}
