package register

import (
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"redwingpulley/kernel/model"
)

// The tests below have the replicas a, b and c. F has taken over the place of a from A, which was away.
// A change is accepted by F and by b alone; c knows of the takeover, and A comes back with its old file.
var (
	storeOfA     = Store{Number: 1, Nonce: 11, Node: "A"}
	storeOfF     = Store{Number: 2, Nonce: 22, Node: "F"}
	storeOfC     = Store{Number: 1, Nonce: 33, Node: "C"}
	threePlaces  = []model.NodeID{"a", "b", "c"}
	olderBallot  = Ballot{Round: 1, Node: "a", Run: 1}
	latestBallot = Ballot{Round: 2, Node: "b", Run: 1}
)

// acceptedState returns the state after the change, at revision 1.
func acceptedState() State {
	state, _ := applyEdit(Initial(), model.ProfileEdit{ID: "c", Kind: model.PutProfile, Name: "p"}, time.Unix(0, 0))
	return state
}

// replyToJoin returns the reply of a replica that votes to the Join of b, with the other stores that it
// knows.
func replyToJoin(join Message, fences map[model.NodeID]Store, accepted Ballot, value State) Message {
	initial := Initial()
	fences["b"] = join.Store
	return Message{
		Kind: Joined, Run: join.Run, Store: join.Store, Fences: fences, Voting: true,
		Accepted: accepted, Value: &value, Chosen: &initial,
	}
}

// sentJoin returns the Join that the effects send, at once or after a write.
func sentJoin(effects []Effect) Message {
	for _, effect := range effects {
		if persist, ok := effect.(Persist); ok && len(persist.Then) > 0 {
			return sentJoin(persist.Then)
		}
		if send, ok := effect.(Send); ok && send.Message.Kind == Join {
			return send.Message
		}
	}
	return Message{}
}

// Guards against issue 16: a replica with a lost disk counted the reply of a member whose place another one
// had taken over, and voted without an acknowledged change.
func TestJoin_ReplyOfFormerHolderDoesNotCount(t *testing.T) {
	for _, formerFirst := range []bool{true, false} {
		is := is.New(t)
		m := New(Config{Self: "b", Node: "B", Replicas: threePlaces, Seed: 7}, nil)
		join := sentJoin(m.Step(time.Unix(0, 0), Woken{}))
		replies := []Received{
			{"a", replyToJoin(join, map[model.NodeID]Store{"a": storeOfA}, olderBallot, Initial())},
			{"c", replyToJoin(join, map[model.NodeID]Store{"a": storeOfF, "c": storeOfC}, olderBallot, Initial())},
		}
		if !formerFirst {
			slices.Reverse(replies)
		}
		for _, reply := range replies {
			m.Step(time.Unix(1, 0), reply)
		}
		is.True(!m.CanVote())
		present := replyToJoin(join, map[model.NodeID]Store{"a": storeOfF}, latestBallot, acceptedState())
		m.Step(time.Unix(2, 0), Received{"a", present})
		is.True(m.CanVote())
		is.Equal(m.durable.Value.Revision(), model.Revision(1))
	}
}

// Guards against issue 16: a process that started served an older revision when the reply of a member
// whose place another one had taken over made up the majority.
func TestLearn_ReplyOfFormerHolderDoesNotCount(t *testing.T) {
	is := is.New(t)
	m := New(Config{Self: "x", Replicas: threePlaces, Seed: 7}, nil)
	m.Step(time.Unix(0, 0), Woken{})
	reply := func(fences map[model.NodeID]Store) Message {
		return Message{Kind: Chosen, Run: 7, Voting: true, Serving: true, Fences: fences}
	}
	m.Step(time.Unix(1, 0), Received{"a", reply(map[model.NodeID]Store{"a": storeOfA})})
	m.Step(time.Unix(1, 0), Received{"c", reply(map[model.NodeID]Store{"a": storeOfF, "c": storeOfC})})
	is.True(!m.serving)
	present, state := reply(map[model.NodeID]Store{"a": storeOfF}), acceptedState()
	present.Value, present.Revision, present.Pending = &state, 1, 1
	m.Step(time.Unix(2, 0), Received{"a", present})
	is.True(m.serving)
	is.Equal(m.served.Revision(), model.Revision(1))
}

// A process that starts needs the stores of the replicas that reply, whether they have a newer state or not.
func TestFetch_ReplyToStartingMemberNamesStores(t *testing.T) {
	is := is.New(t)
	m := New(Config{Self: "c", Node: "C", Replicas: threePlaces, Seed: 7}, nil)
	m.Step(time.Unix(0, 0), Woken{})
	for _, serving := range []bool{true, false} {
		effects := m.Step(time.Unix(1, 0), Received{"x", Message{Kind: Fetch, Run: 3, Serving: serving}})
		reply := effects[0].(Send).Message
		is.Equal(reply.Value, nil)
		is.Equal(len(reply.Fences) > 0, !serving)
	}
}

// Guards against a member that comes back to a place that another one has taken over meanwhile, with a file that may not
// vote or with none: the store that it started got the same number as the new holder's, and where its nonce was the
// higher one the new holder lost its vote, beside another lost disk the majority.
func TestTakeover_ReturningMembersStoreIsOlderThanNewHolders(t *testing.T) {
	joining := Durable{Store: storeOfA, Value: Initial(), Chosen: Initial()}
	takeover := New(Config{Self: "a", Node: "F", Replicas: threePlaces, Seed: 1, Takes: storeOfA}, nil)
	storeOfNewHolder := sentJoin(takeover.Step(time.Unix(0, 0), Woken{})).Store
	for seed := range uint64(16) {
		is := is.New(t)
		withFile := New(Config{Self: "a", Node: "A", Replicas: threePlaces, Seed: seed}, &joining)
		is.True(sentJoin(withFile.Step(time.Unix(0, 0), Woken{})).Store.Less(storeOfNewHolder))
		withoutFile := New(Config{Self: "a", Node: "A", Replicas: threePlaces, Seed: seed}, nil)
		join := sentJoin(withoutFile.Step(time.Unix(0, 0), Woken{}))
		uninformed := replyToJoin(join, map[model.NodeID]Store{"a": storeOfA}, Ballot{}, Initial()) // Of a replica that has not heard of F.
		again := sentJoin(withoutFile.Step(time.Unix(1, 0), Received{"b", uninformed}))
		is.True(again.Store.Less(storeOfNewHolder))
	}
}

// Guards against the loss of an acknowledged change: a replica with a lost disk and a member that has taken over a place
// and not joined yet each voted with nothing, since all others seemed to have accepted no value.
func TestJoin_MemberThatHasNotJoinedMayFollowOneThatHasVoted(t *testing.T) {
	stores := map[model.NodeID]Store{"a": storeOfF, "c": storeOfC}
	withLostDisk := New(Config{Self: "b", Node: "B", Replicas: threePlaces, Seed: 7}, nil)
	withTakenPlace := New(Config{Self: "b", Node: "B", Replicas: threePlaces, Seed: 7, Takes: Store{Number: 1, Node: "G"}}, nil)
	for _, m := range []*Machine{withLostDisk, withTakenPlace} {
		is := is.New(t)
		join := sentJoin(m.Step(time.Unix(0, 0), Woken{}))
		unjoined := replyToJoin(join, maps.Clone(stores), Ballot{}, Initial())
		unjoined.Voting = false
		if m == withLostDisk {
			unjoined.Takes = storeOfA
		}
		m.Step(time.Unix(1, 0), Received{"a", unjoined})
		m.Step(time.Unix(1, 0), Received{"c", replyToJoin(join, maps.Clone(stores), Ballot{}, Initial())})
		is.True(!m.CanVote())
	}
}

// Guards against the loss of an accepted change: a replica with a lost disk took the reply of a member that had lost its place for that of
// one more replica that votes, and left out what that member had accepted.
func TestJoin_ReplyOfMemberWithoutAPlaceDoesNotCount(t *testing.T) {
	is := is.New(t)
	m := New(Config{Self: "b", Node: "B", Replicas: threePlaces, Seed: 7}, nil)
	join := sentJoin(m.Step(time.Unix(0, 0), Woken{}))
	m.Step(time.Unix(1, 0), Received{"c", replyToJoin(join, map[model.NodeID]Store{"a": storeOfF, "c": storeOfC}, olderBallot, Initial())})
	m.Step(time.Unix(1, 0), Received{"a~", replyToJoin(join, map[model.NodeID]Store{"a": storeOfA}, latestBallot, acceptedState())})
	is.True(!m.CanVote())
	is.Equal(m.Standing().Counted, 1)
}

// Guards against stores recorded for members that have no place: they were kept on the disk and sent on.
func TestJoin_OfMemberWithoutAPlaceIsIgnored(t *testing.T) {
	is := is.New(t)
	m := New(Config{Self: "b", Node: "B", Replicas: threePlaces, Seed: 7}, nil)
	m.Step(time.Unix(0, 0), Woken{})
	for _, effect := range m.Step(time.Unix(0, 0), Received{"a~", Message{Kind: Join, Store: storeOfA}}) {
		_, persists := effect.(Persist)
		is.True(!persists) // Nothing to record, and no reply that waits for the write.
	}
	_, known := m.durable.Fences["a~"]
	is.True(!known)
}

// Guards against a group without a majority after one more lost disk: a member that kept its file for a place that another one had taken over
// started a store above that one's when a late reply to its Join arrived. It asked itself for the place from then on, and the present holder's
// votes did not count any more.
func TestReclaim_LateReplyToJoinStartsNoStore(t *testing.T) {
	is := is.New(t)
	file := &Durable{Store: storeOfA, Voting: true, Value: Initial(), Chosen: Initial(), Fences: map[model.NodeID]Store{"a": storeOfA}}
	m := New(Config{Self: "a", Node: "A", Replicas: threePlaces, Seed: 7}, file)
	join := sentJoin(m.Step(time.Unix(0, 0), Woken{}))
	m.Step(time.Unix(0, 0), Received{"b", Message{Kind: Chosen, Fences: map[model.NodeID]Store{"a": storeOfF}}})
	is.True(m.Reclaiming())
	late := replyToJoin(join, map[model.NodeID]Store{"a": storeOfF}, olderBallot, Initial())
	effects := m.Step(time.Unix(1, 0), Received{"c", late})
	is.Equal(m.durable.Store, storeOfA)
	is.Equal(reclaimedFrom(effects), model.NodeID("F"))
}

// reclaimedFrom returns the member that effects ask for a place, "" if they ask none.
func reclaimedFrom(effects []Effect) model.NodeID {
	for _, effect := range effects {
		if e, ok := effect.(SendMember); ok && e.Message.Kind == Reclaim {
			return e.To
		}
	}
	return ""
}
