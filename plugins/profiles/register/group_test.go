package register

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"redwingpulley/kernel/model"
)

// grownState returns the state, at revision 1, that adds the place d to those of a, b and c.
func grownState() State {
	group := Group{Replicas: []model.NodeID{"a", "b", "c", "d"}, Stores: map[model.NodeID]Store{"a": storeOfA, "c": storeOfC}}
	delta := Initial().delta(model.ProfileEdit{ID: "g", Kind: model.AddReplica, Replica: "d"}, time.Unix(0, 0))
	delta.Group = &group
	return Initial().withDelta(delta)
}

// voterC returns a machine of the place c that votes, with an intact file of the given store.
func voterC(store Store) *Machine {
	file := &Durable{Store: store, Voting: true, Value: Initial(), Chosen: Initial(), Fences: map[model.NodeID]Store{"c": store}}
	m := New(Config{Self: "c", Node: "C", Replicas: threePlaces, Seed: 7}, file)
	join := sentJoin(m.Step(time.Unix(0, 0), Woken{}))
	reply := Message{Kind: Joined, Run: join.Run, Store: join.Store, Fences: map[model.NodeID]Store{"c": store}}
	m.Step(time.Unix(0, 0), Received{"a", reply})
	return m
}

// regrouped returns the Regrouped among the effects.
func regrouped(effects []Effect) (found Regrouped, ok bool) {
	for _, effect := range effects {
		if e, isRegrouped := effect.(Regrouped); isRegrouped {
			return e, true
		}
	}
	return Regrouped{}, false
}

// sends counts the messages of a kind that the effects send, at once or after a write.
func sends(effects []Effect, kind MessageKind) (count int) {
	for _, effect := range effects {
		switch e := effect.(type) {
		case Send:
			if e.Message.Kind == kind {
				count++
			}
		case Persist:
			count += sends(e.Then, kind)
		}
	}
	return count
}

// Guards against two groups that accept changes at the same time: a replica that knows of the next group promises and accepts nothing
// more in the former one, and replies to no join there.
func TestGroup_FormerOneEndsWithTheChange(t *testing.T) {
	is := is.New(t)
	m, state := voterC(storeOfC), grownState()
	is.True(m.CanVote())
	e, ok := regrouped(m.Step(time.Unix(1, 0), Received{"a", Message{Kind: Chosen, Value: &state, Revision: 1}}))
	is.True(ok)
	is.Equal(e.Replicas, state.Group.Replicas)
	is.True(!m.CanVote())
	for _, message := range []Message{{Kind: Prepare, Ballot: latestBallot}, {Kind: Accept, Ballot: latestBallot, Value: &state}, {Kind: Join, Store: storeOfF}} {
		is.Equal(len(m.Step(time.Unix(1, 0), Received{"a", message})), 0)
	}
}

// Guards against a place that forgets, with a disk that was lost after it had voted in the next group, what it promised there: only a
// replica with the store that the change names may vote at once.
func TestGroup_EntersWithTheNamedStoreOnly(t *testing.T) {
	is := is.New(t)
	state := grownState()
	for _, c := range []struct {
		store  Store
		intact bool
	}{{storeOfC, true}, {Store{Number: 2, Nonce: 44, Node: "C"}, false}} {
		e, ok := regrouped(voterC(c.store).Step(time.Unix(1, 0), Received{"a", Message{Kind: Chosen, Value: &state, Revision: 1}}))
		is.True(ok)
		is.Equal(e.Durable.Voting, c.intact)
		is.Equal([]Ballot{e.Durable.Promised, e.Durable.Accepted}, []Ballot{{}, {}})
		is.Equal(e.Durable.Value.Revision(), model.Revision(1))
		is.Equal(e.Durable.Fences["a"], storeOfA)
		next := New(Config{Self: "c", Node: "C", Replicas: e.Replicas, Seed: 8}, &e.Durable)
		join := sentJoin(next.Step(time.Unix(1, 0), Woken{}))
		is.Equal(join.Brief, c.intact)
		is.Equal(join.Store == c.store, c.intact) // A new store otherwise.
	}
}

// Guards against a lost disk that rejoins the former group after the change was chosen: a replica that has accepted the change replies only
// once it knows what was chosen, and finds that out at once.
func TestGroup_NoJoinWhileTheChangeMayBeChosen(t *testing.T) {
	is := is.New(t)
	m, state := voterC(storeOfC), grownState()
	m.Step(time.Unix(1, 0), Received{"a", Message{Kind: Accept, Ballot: latestBallot, Value: &state}})
	is.True(m.CanVote()) // It is not known to be chosen.
	effects := m.Step(time.Unix(1, 0), Received{"b", Message{Kind: Join, Run: 9, Store: Store{Number: 2, Nonce: 55, Node: "B"}}})
	is.Equal(sends(effects, Joined), 0)
	is.Equal(sends(effects, Prepare), 3) // To find out.
	effects = m.Step(time.Unix(1, 0), Received{"b", Message{Kind: Join, Run: 9, Store: storeOfF, Brief: true}})
	is.Equal(sends(effects, Joined), 1) // A restart with an intact file has lost nothing.
}

// Guards against a lost disk that never joins again: another change was chosen at the revision of the one that adds a place, and a replica
// that had accepted that one waited for ever to learn what was chosen.
func TestGroup_JoinAfterAnotherChangeWasChosen(t *testing.T) {
	is := is.New(t)
	m, state, other := voterC(storeOfC), grownState(), acceptedState()
	m.Step(time.Unix(1, 0), Received{"a", Message{Kind: Accept, Ballot: olderBallot, Value: &state}})
	m.Step(time.Unix(1, 0), Received{"a", Message{Kind: Chosen, Value: &other, Revision: 1}})
	effects := m.Step(time.Unix(1, 0), Received{"b", Message{Kind: Join, Run: 9, Store: Store{Number: 2, Nonce: 55, Node: "B"}}})
	is.Equal(sends(effects, Joined), 1)
}

// Guards against a change that adds a place twice, or one without a name.
func TestGroup_RefusesPlacesThatItHas(t *testing.T) {
	is := is.New(t)
	for _, replica := range []model.NodeID{"", "a"} {
		m := voterC(storeOfC)
		effects := m.Step(time.Unix(1, 0), Submitted{1, model.ProfileEdit{ID: "g", Kind: model.AddReplica, Replica: replica}, time.Unix(9, 0)})
		is.Equal(effects[0], Answer{1, model.EditResult{Status: model.EditTooMany, Run: model.NotRun}})
	}
	state := Initial().withDelta(Delta{Change: model.ProfileChange{Kind: string(model.AddReplica)}}) // Malformed.
	is.Equal(len(state.Group.Replicas), 0)
}
