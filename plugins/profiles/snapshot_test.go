package profiles

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"redwingpulley/kernel/model"
	"redwingpulley/kernel/port"
	"redwingpulley/plugins/profiles/occupancy"
)

// places returns the places as a member knows them.
func (c *cluster) places(id model.NodeID) port.ReplicaPlaces {
	return c.register(id).Places(c.t.Context())
}

// Guards against a view that does not follow a replacement: who votes, who holds the place and since when, and what a
// vacant place waits for, from the absence of its holder until the replacement votes.
func TestPlaces_FollowAReplacement(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := startBootstrapped(t)
		defer c.stopAll()
		before := c.places("n5")
		is.Equal([]any{before.Voters, before.Majority, before.Takeovers}, []any{3, 2, true})
		is.Equal(before.Spares, []model.NodeID{"n3"})
		is.Equal(before.Places[0].State, port.PlaceVoter)
		is.True(!before.Places[0].Since.IsZero())

		c.remove("n0")
		time.Sleep(100 * time.Millisecond)
		is.Equal(c.places("n3").Places[0].State, port.PlaceAway)
		is.Equal(c.places("n3").Places[0].Wait.Kind, port.WaitDelay)
		time.Sleep(takeoverTime)
		c.awaitVoter("n3")
		after := c.places("n5")
		is.Equal(after.Voters, 3)
		is.Equal([]any{after.Places[0].Place, after.Places[0].Holder, after.Places[0].State}, []any{model.NodeID("n0"), model.NodeID("n3"), port.PlaceVoter})
		is.True(after.Places[0].Since.After(before.Places[0].Since))

		c.stop("n3") // A restart with its disk keeps the time at which it took the place.
		c.start("n3")
		c.awaitVoter("n3")
		is.Equal(c.places("n5").Places[0].Since, after.Places[0].Since)
		c.rejoin("n0")
		time.Sleep(takeoverTime)
		is.Equal(c.places("n0").Places[0].Holder, model.NodeID("n3"))
		is.Equal(c.places("n0").Spares, []model.NodeID{"n0"})
	})
}

// Guards against an operator who waits for a takeover that cannot come: with two of three holders away, and with a learner
// among the others, the view says what is missing.
func TestPlaces_TellWhatATakeoverLacks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := startBootstrapped(t)
		defer c.stopAll()
		c.remove("n0")
		c.lossAndReturn("n1") // Cannot vote before n0 is back.
		time.Sleep(takeoverTime)
		view := c.places("n2")
		is.Equal(view.Voters, 1)
		is.Equal(view.Places[0].Wait, port.PlaceWait{Kind: port.WaitVoters, Have: 1, Need: 2, By: "n3"})
		is.Equal(view.Places[1].State, port.PlaceLearner)
		is.Equal(view.Places[1].Wait, port.PlaceWait{Kind: port.WaitJoin, Have: 1, Need: 2})
		c.remove("n1")
		view = c.places("n2")
		is.Equal(view.Places[0].Wait, port.PlaceWait{Kind: port.WaitHolders, Have: 1, Need: 2})
		is.True(view.Places[0].Away >= takeoverTime-occupancy.TakeoverDelay) // The fake membership reports no change, so n2 looks from time to time.
		is.True(view.Places[1].Away < occupancy.TakeoverDelay)
		c.rejoin("n0")
		c.rejoin("n1")
		time.Sleep(takeoverTime)
		is.Equal(c.places("n6").Voters, 3)
	})
}

// Guards against a view that blocks, or shows a vote that nobody has confirmed, while holders are alive and out of reach.
func TestPlaces_UnreachedHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := startBootstrapped(t)
		defer c.stopAll()
		c.net.mu.Lock()
		handlers := c.net.handlers["n1"]
		c.net.handlers["n1"] = nil // Its process hangs.
		c.net.mu.Unlock()
		startedAt := time.Now()
		view := c.places("n5")
		is.True(time.Since(startedAt) <= reportTimeout)
		is.Equal(view.Voters, 2)
		is.Equal(view.Places[1].State, port.PlaceUnreached)
		c.net.mu.Lock()
		c.net.handlers["n1"] = handlers
		c.net.mu.Unlock()
	})
}

// Guards against a takeover that is announced where the settings list the members: places are not taken over there.
func TestPlaces_ListedMembersWaitForTheirHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := startCluster(t, 3, 1)
		defer c.stopAll()
		for i := range 3 {
			c.awaitVoter(node(i))
		}
		c.remove("n0")
		time.Sleep(takeoverTime)
		view := c.places("n3")
		is.Equal([]any{view.Takeovers, view.Voters}, []any{false, 2})
		is.Equal(view.Places[0].Wait, port.PlaceWait{Kind: port.WaitReturn})
		c.rejoin("n0")
	})
}

// Guards against a holder that is shown as out of reach while it waits for the list of the replicas, after its disk was lost.
func TestPlaces_HolderThatDoesNotKnowTheReplicasYet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := startBootstrapped(t)
		defer c.stopAll()
		c.net.mu.Lock()
		gossiped := c.net.gossiped[groupTopic]
		c.net.gossiped[groupTopic] = make(map[model.NodeID][]byte) // Gossip takes its time.
		c.net.mu.Unlock()
		c.lossAndReturn("n1")
		view := c.places("n5")
		is.Equal(view.Places[1].State, port.PlaceLearner)
		is.Equal(view.Places[1].Wait, port.PlaceWait{Kind: port.WaitGroup})
		is.Equal(len(c.places("n1").Places), 0)
		c.net.mu.Lock()
		c.net.gossiped[groupTopic] = gossiped
		c.net.mu.Unlock()
		c.stop("n1")
		c.start("n1")
		c.awaitVoter("n1")
		is.Equal(c.places("n5").Voters, 3)
	})
}
