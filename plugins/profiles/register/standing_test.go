package register

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"redwingpulley/kernel/model"
)

// Guards against a learner that is told to have the replies it needs while it does not vote: replies of members whose
// place another one has taken over do not count.
func TestStanding_CountsRepliesThatCount(t *testing.T) {
	is := is.New(t)
	m := New(Config{Self: "b", Node: "B", Replicas: threePlaces, Seed: 7}, nil)
	join := sentJoin(m.Step(time.Unix(0, 0), Woken{}))
	standing := m.Standing()
	is.Equal([]any{standing.Intact, standing.Counted, standing.Needed}, []any{false, 0, 2})
	m.Step(time.Unix(1, 0), Received{"a", replyToJoin(join, map[model.NodeID]Store{"a": storeOfA}, olderBallot, Initial())})
	is.Equal(m.Standing().Counted, 1)
	m.Step(time.Unix(1, 0), Received{"c", replyToJoin(join, map[model.NodeID]Store{"a": storeOfF, "c": storeOfC}, latestBallot, acceptedState())})
	is.Equal(m.Standing().Counted, 1) // The reply in the place of a came from its former holder.
	is.Equal(m.Standing().Replied, []model.NodeID{"a", "c"})
	m.Step(time.Unix(2, 0), Received{"a", replyToJoin(join, map[model.NodeID]Store{"a": storeOfF}, latestBallot, acceptedState())})
	is.Equal(m.Standing(), Standing{Replica: true, Voting: true, Phase: VotesAfterJoin, Intact: true})
}

// Guards against a restarted replica that is told to need as many replies as one that has lost its disk.
func TestStanding_IntactFileNeedsAMajority(t *testing.T) {
	is := is.New(t)
	file := &Durable{Store: storeOfC, Voting: true, Value: Initial(), Chosen: Initial(), Fences: map[model.NodeID]Store{"c": storeOfC}}
	m := New(Config{Self: "c", Node: "C", Replicas: threePlaces, Seed: 7}, file)
	m.Step(time.Unix(0, 0), Woken{})
	is.Equal(m.Standing(), Standing{Replica: true, Phase: Confirming, Intact: true, Needed: 1})
	is.Equal(New(Config{Self: "x", Replicas: threePlaces}, nil).Standing(), Standing{}) // Without a place.
}
