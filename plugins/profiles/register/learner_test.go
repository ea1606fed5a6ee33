package register

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"redwingpulley/kernel/model"
)

// countFetches counts the Fetch messages among the effects.
func countFetches(effects []Effect) (count int) {
	for _, effect := range effects {
		switch e := effect.(type) {
		case Send:
			if e.Message.Kind == Fetch {
				count++
			}
		case Ask:
			if e.Message.Kind == Fetch {
				count++
			}
		}
	}
	return count
}

// Guards against issue 16: a member that had been told of a newer revision fetched it once, and when that
// message was lost served the older one for up to fetchInterval more.
func TestFetch_RepeatedUntilToldRevisionIsKnown(t *testing.T) {
	is := is.New(t)
	m := New(Config{Self: "x", Seed: 7}, nil) // Without replicas it serves at once.
	now := time.Unix(0, 0)
	m.Step(now, Woken{})
	is.True(m.serving)
	now = m.NextTimer()
	m.Step(now, Woken{})
	is.Equal(m.NextTimer().Sub(now), fetchInterval)
	is.Equal(countFetches(m.Step(now, Told{From: "a", Revision: 1})), 1)
	repeated := 0
	const applyTime = 2 * time.Second // In which a change has to be in force everywhere.
	for end := now.Add(applyTime); m.NextTimer().Before(end); {
		now = m.NextTimer()
		repeated += countFetches(m.Step(now, Woken{}))
	}
	is.True(repeated >= 2)
	state := acceptedState()
	m.Step(now, Received{"a", Message{Kind: Chosen, Value: &state, Revision: 1}})
	is.Equal(m.served.Revision(), model.Revision(1))
	m.Step(m.NextTimer(), Woken{})
	is.True(m.NextTimer().Sub(m.now) >= fetchInterval) // Known: back to the usual interval.
}

// stateFetches counts the Fetch messages among the effects whose replies are to hold a state.
func stateFetches(effects []Effect) (count int) {
	for _, effect := range effects {
		var message Message
		switch e := effect.(type) {
		case Send:
			message = e.Message
		case Ask:
			message = e.Message
		case Broadcast:
			message = e.Message
		}
		if message.Kind == Fetch && !message.Brief {
			count++
		}
	}
	return count
}

// Guards against issue 16: a member that started had each replica, and then each other member, send it the
// whole state again and again, so that with a large routing none arrived in time after a power failure.
func TestFetch_StartingMemberFetchesStateFromOneMember(t *testing.T) {
	is := is.New(t)
	m := New(Config{Self: "x", Replicas: threePlaces, Seed: 7}, nil)
	is.Equal(stateFetches(m.Step(time.Unix(0, 0), Woken{})), 0)
	state, fetches := acceptedState(), 0
	for i := range 9 {
		from := model.NodeID(rune('a' + i))
		reply := Message{Kind: Chosen, Run: 7, Voting: i < 3, Revision: 1, Pending: 1}
		fetches += stateFetches(m.Step(time.Unix(0, int64(i)), Received{from, reply}))
	}
	is.Equal(fetches, 1)
	is.True(!m.serving)
	m.Step(time.Unix(0, 20), Received{"a", Message{Kind: Chosen, Run: 7, Voting: true, Value: &state, Revision: 1, Pending: 1}})
	is.True(m.serving)
	is.Equal(m.served.Revision(), model.Revision(1))
}

// Guards against issue 16: each member that published a newer revision was asked for the whole state.
func TestFetch_OneStateForRevisionToldByManyMembers(t *testing.T) {
	is := is.New(t)
	m := New(Config{Self: "x", Seed: 7}, nil)
	m.Step(time.Unix(0, 0), Woken{})
	is.True(m.serving)
	fetches := 0
	for i := range 40 {
		told := Told{From: model.NodeID(rune('a' + i)), Revision: 1}
		fetches += stateFetches(m.Step(time.Unix(0, int64(i)), told))
	}
	is.Equal(fetches, 1)
}

// A replica with an intact file needs to know whether its store may vote, and no state.
func TestJoin_IntactReplicaGetsNoState(t *testing.T) {
	is := is.New(t)
	m := New(Config{Self: "a", Replicas: threePlaces, Seed: 7}, nil)
	m.Step(time.Unix(0, 0), Woken{})
	for _, brief := range []bool{true, false} {
		effects := m.Step(time.Unix(1, 0), Received{"b", Message{Kind: Join, Store: Store{Number: 1, Nonce: 2}, Brief: brief}})
		reply := effects[0].(Persist).Then[0].(Send).Message
		is.Equal(reply.Value == nil, brief)
		is.Equal(reply.Chosen == nil, brief)
	}
	restored := New(Config{Self: "a", Replicas: threePlaces, Seed: 8}, &Durable{Store: Store{Number: 1, Nonce: 3}, Voting: true, Value: Initial(), Chosen: Initial()})
	is.True(sentJoin(restored.Step(time.Unix(0, 0), Woken{})).Brief)
}

// stepAll steps a machine with an event and with the messages that it sends to itself.
func stepAll(m *Machine, now time.Time, event Event) {
	for _, effect := range m.Step(now, event) {
		if persist, ok := effect.(Persist); ok {
			for _, then := range persist.Then {
				stepOwn(m, now, then)
			}
		}
		stepOwn(m, now, effect)
	}
}

func stepOwn(m *Machine, now time.Time, effect Effect) {
	if send, ok := effect.(Send); ok && send.To == m.config.Self {
		stepAll(m, now, Received{send.To, send.Message})
	}
}

// Guards against a process that ends by a broken invariant: a replica that does not serve yet completes a round, and
// has learned meanwhile of a newer state than the round confirmed.
func TestCompleteProposal_NewerStateLearnedMeanwhile(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	store := Store{Number: 1, Nonce: 1}
	m := New(Config{Self: "a", Replicas: threePlaces, Seed: 1}, &Durable{
		Store: store, Voting: true, Value: Initial(), Chosen: Initial(), Fences: map[model.NodeID]Store{"a": store},
	})
	stepAll(m, now, Woken{})
	stepAll(m, now, Received{"b", Message{Kind: Joined, Run: 1, Store: store, Fences: map[model.NodeID]Store{"a": store}}})
	is.True(m.CanVote())
	stepAll(m, now, Submitted{1, model.ProfileEdit{Kind: model.ConfirmRevision}, now.Add(time.Second)})
	ballot := m.proposal.ballot
	stepAll(m, now, Received{"b", Message{Kind: Promise, Ballot: ballot}})
	is.Equal(m.proposal.phase, Accepted)
	newer := acceptedState()
	stepAll(m, now, Received{"c", Message{Kind: Chosen, Value: &newer, Revision: newer.Revision()}})
	is.True(!m.serving)
	stepAll(m, now, Received{"b", Message{Kind: Accepted, Ballot: ballot}})
	is.True(m.serving)
	is.Equal(m.served.Revision(), newer.Revision())
}

// Guards against starts whose cost grows with the square of the deployment: many members start at the same time, and each
// of them asked all the others. The number of messages of a start must not depend on the number of members.
func TestFetch_MessagesOfAStartDoNotGrowWithTheMembers(t *testing.T) {
	is := is.New(t)
	messages := func(others int) int {
		sim := newSimulation(t, 3, others, 1)
		sim.advance(3 * time.Second)
		started := model.NodeID("n3")
		sim.crash(started)
		sim.advance(10 * time.Second)
		before := sim.sent[started]
		sim.startMember(started)
		for !sim.members[started].machine.serving {
			sim.advance(time.Millisecond)
		}
		return sim.sent[started] - before
	}
	is.Equal(messages(60), messages(20))
}
