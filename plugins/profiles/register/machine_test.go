package register

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"redwingpulley/kernel/invariant"
	"redwingpulley/kernel/model"
)

func TestServingALowerRevisionBreaksTheInvariant(t *testing.T) {
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

func TestARestartNeverUsesABallotAgain(t *testing.T) {
	is := is.New(t)
	start := func(run uint64) Ballot {
		m := New(Config{Self: "a", Replicas: []model.NodeID{"a"}, Seed: run}, nil)
		m.Step(time.Unix(0, 0), Woken{})
		edit := model.ProfileEdit{ID: "x", Kind: model.PutProfile, Name: "p"}
		return ballotOf(m.Step(time.Unix(1, 0), Submitted{1, edit, time.Unix(9, 0)}))
	}
	first, second := start(1), start(2)
	is.True(first != Ballot{})
	is.True(first != second)
	is.Equal(first.Round, second.Round) // Nothing but the run tells them apart.
}

// applied returns the state after the edit.
func applied(s State, edit model.ProfileEdit, now time.Time) (State, model.EditResult) {
	delta, result := s.apply(edit, now)
	if delta == nil {
		return s, result
	}
	return s.with(*delta), result
}

func TestEditsAreCheckedAgainstTheState(t *testing.T) {
	put := model.ProfileEdit{ID: "1", Kind: model.PutProfile, Name: "finder"}
	state, _ := applied(Initial(), put, time.Unix(1, 0))
	choose := model.ProfileEdit{ID: "2", Expect: 1, Kind: model.SetService, Name: "finder", Service: "s"}
	state, _ = applied(state, choose, time.Unix(2, 0))
	cases := []struct {
		name string
		edit model.ProfileEdit
		want model.EditResult
	}{
		{"resend", put, model.EditResult{Status: model.EditDone, Revision: 1}},
		{"key of another edit", model.ProfileEdit{ID: "1", Digest: 9}, refused(model.EditKeyReused, model.NotRun, 2)},
		{"lost race", model.ProfileEdit{ID: "3", Expect: 1}, refused(model.EditStale, model.NotRun, 2)},
		{"revision to come", model.ProfileEdit{ID: "3", Expect: 3}, refused(model.EditStale, model.NotRun, 2)},
		{"unknown profile", model.ProfileEdit{ID: "3", Expect: 2, Kind: model.SetService, Name: "x"}, refused(model.EditNotFound, model.NotRun, 2)},
		{"profile in use", model.ProfileEdit{ID: "3", Expect: 2, Kind: model.DeleteProfile, Name: "finder"}, refused(model.EditInUse, model.NotRun, 2)},
		{"default profile", model.ProfileEdit{ID: "3", Expect: 2, Kind: model.DeleteProfile, Name: "default"}, refused(model.EditInUse, model.NotRun, 2)},
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

func TestAForgottenEditIsNotCalledNotRun(t *testing.T) {
	is := is.New(t)
	state := Initial()
	for i := range KeptChanges + 10 {
		edit := model.ProfileEdit{ID: string(rune('a' + i)), Expect: model.Revision(i), Kind: model.PutProfile, Name: "p"}
		state, _ = applied(state, edit, time.Unix(int64(i), 0))
	}
	is.Equal(len(state.History), KeptChanges)
	_, result := state.apply(model.ProfileEdit{ID: "a", Expect: 0}, time.Unix(0, 0))
	is.Equal(result.Run, model.MayHaveRun)
	_, result = state.apply(model.ProfileEdit{ID: "other", Expect: 10}, time.Unix(0, 0))
	is.Equal(result.Run, model.NotRun)
}

// TestASecondLossRightAfterARepair has each replica lose its disk right after the other's return.
func TestASecondLossRightAfterARepair(t *testing.T) {
	runFixed(t, func(w *world) {
		w.submit("n0", model.ProfileEdit{ID: "c", Kind: model.PutProfile, Name: "p"})
		w.run(time.Second)
		for round := range 6 {
			id := w.replica[round%len(w.replica)]
			w.forget(id)
			w.nodes[id].disk = nil
			w.start(id)
			for !w.nodes[id].machine.Votes() {
				w.run(time.Millisecond)
			}
		}
		if w.first["c"].Revision != 1 {
			w.t.Fatalf("the change was not done")
		}
	})
}

func TestALostDiskHasNoVoteWithOneOther(t *testing.T) {
	runFixed(t, func(w *world) {
		w.submit("n0", model.ProfileEdit{ID: "c", Kind: model.PutProfile, Name: "p"})
		w.run(time.Second)
		w.crash("n2")
		w.nodes["n1"].disk = nil
		w.start("n1")
		w.run(20 * time.Second)
		if w.nodes["n1"].machine.Votes() {
			w.t.Fatalf("a replica with an empty disk votes although a majority of the others has not answered")
		}
	})
}

func TestTwoOfThreeDisksLostNeedAnOperator(t *testing.T) {
	runFixed(t, func(w *world) {
		w.submit("n0", model.ProfileEdit{ID: "c", Kind: model.PutProfile, Name: "p"})
		w.run(time.Second)
		for _, id := range []model.NodeID{"n0", "n1"} {
			w.crash(id)
			w.nodes[id].disk = nil
		}
		w.start("n0")
		w.start("n1")
		w.run(20 * time.Second)
		if w.nodes["n0"].machine.Votes() || w.nodes["n1"].machine.Votes() {
			w.t.Fatalf("a replica votes although the disks of a majority are lost")
		}
		w.reform = true
		w.start("n0")
		w.start("n1")
		w.run(3 * time.Second)
		if !w.nodes["n0"].machine.Votes() || !w.nodes["n1"].machine.Votes() {
			w.t.Fatalf("the replicas do not vote although the operator says that the disks are lost")
		}
	})
}

// TestAFirstStartServesWithAReplicaMissing starts two of three replicas on empty disks.
func TestAFirstStartServesWithAReplicaMissing(t *testing.T) {
	w := newWorld(t, 3, 1, 1)
	w.alone = 5 * time.Second
	w.nodes["n2"].down = true
	w.pending = nil
	for _, id := range []model.NodeID{"n0", "n1", "n3"} {
		w.start(id)
	}
	w.run(4 * time.Second)
	for _, id := range []model.NodeID{"n0", "n1", "n3"} {
		if w.nodes[id].machine.serving {
			t.Fatalf("%s serves before the wait for the missing replica is over", id)
		}
	}
	w.run(4 * time.Second)
	for _, id := range []model.NodeID{"n0", "n1", "n3"} {
		if m := w.nodes[id].machine; !m.serving || m.Votes() {
			t.Fatalf("%s: serving %t, voting %t", id, m.serving, m.Votes())
		}
	}
	w.settle() // All come, and a change is done.
}

func TestRestartOfAllAfterHundredsOfChanges(t *testing.T) {
	runFixed(t, func(w *world) {
		for i := range 300 {
			w.submit(w.replica[i%3], model.ProfileEdit{
				ID: string(rune(1000 + i)), Expect: model.Revision(i), Kind: model.PutProfile, Name: "p",
			})
			w.run(100 * time.Millisecond)
		}
		for _, id := range w.order {
			w.crash(id)
			w.start(id)
		}
		w.run(3 * time.Second)
		for _, id := range w.order {
			if got := w.nodes[id].machine.served.Revision(); got != 300 {
				w.t.Fatalf("%s serves %d after the restart", id, got)
			}
		}
	})
}

// TestAMemberAloneServesAfterItsWait restarts a member without a disk where a cut leaves it only
// another such member.
func TestAMemberAloneServesAfterItsWait(t *testing.T) {
	runFixed(t, func(w *world) {
		w.submit("n0", model.ProfileEdit{ID: "c", Kind: model.PutProfile, Name: "p"})
		w.run(time.Second)
		w.cut = map[model.NodeID]int{"n3": 1, "n4": 1}
		w.crash("n3")
		w.alone = 5 * time.Second
		w.start("n3")
		w.run(4 * time.Second)
		if w.nodes["n3"].machine.serving {
			w.t.Fatalf("a member serves before its wait for a majority is over")
		}
		w.run(4 * time.Second)
		if m := w.nodes["n3"].machine; !m.serving || m.served.Revision() != 1 {
			w.t.Fatalf("a member does not serve the newest revision on its side of a cut")
		}
	})
}
