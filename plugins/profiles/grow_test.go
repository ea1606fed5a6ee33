package profiles

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"redwingpulley/kernel/model"
	"redwingpulley/kernel/port"
)

// growthTime is long enough, on the virtual clock, for a group of three to become one of five.
const growthTime = 4*growthInterval + takeoverTime

// restartToleratingTwo restarts all members one after the other, with settings that tolerate two lost disks.
func (c *cluster) restartToleratingTwo() {
	c.customize = toleratingTwo(false)
	for _, m := range c.net.members {
		c.stop(m.Node)
		c.start(m.Node)
		time.Sleep(time.Second)
	}
}

// startGrown starts six members with disks and two without, founded with three replicas, and has the group grow to five.
func startGrown(t *testing.T) *cluster {
	c := startCustomCluster(t, 6, 2, seededSettings(true))
	for i := range 3 {
		c.awaitVoter(node(i))
	}
	if status := c.declare("n7", 1); status != port.DeclareDone {
		t.Fatal(status)
	}
	c.restartToleratingTwo()
	time.Sleep(growthTime)
	return c
}

// setHandler replaces the handler of a method at a member; nil removes it.
func (c *cluster) setHandler(id model.NodeID, method string, handler port.Handler) {
	c.net.mu.Lock()
	defer c.net.mu.Unlock()
	c.net.handlers[id][method] = handler
}

// voters returns the places whose holders vote, in a member's view.
func (c *cluster) voters(id model.NodeID) (places []model.NodeID) {
	for _, place := range c.places(id).Places {
		if place.State == port.PlaceVoter {
			places = append(places, place.Place)
		}
	}
	return places
}

// Guards against a group that keeps the three replicas with which it was founded where two lost disks are to be tolerated: any
// two disks are lost in a power failure, and what was acknowledged before and after the growth is there.
func TestGrowth_ToleratesTwoLostDisks(t *testing.T) {
	for first := range 5 {
		for second := range first {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				c := startGrown(t)
				defer c.stopAll()
				for i := range 8 {
					is.Equal(c.voters(node(i)), []model.NodeID{"n0", "n1", "n2", "n3", "n4"})
				}
				is.Equal(c.places("n7").Spares, []model.NodeID{"n5"})
				is.Equal(c.confirmedVersion("n6"), uint64(1))
				is.Equal(c.declare("n6", 2), port.DeclareDone)
				c.losePower(node(first), node(second))
				time.Sleep(takeoverTime)
				is.Equal(c.confirmedVersion("n7"), uint64(2))
				is.Equal(c.declare("n7", 3), port.DeclareDone)
				is.Equal(len(c.voters("n5")), 5)
			})
		}
	}
}

// Guards against a process that goes back to the group of the first start: all members restart at the same time, one by one, and with
// a member that was away since before the growth.
func TestGrowth_LastsOverRestarts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := startCustomCluster(t, 7, 1, seededSettings(true))
		defer c.stopAll()
		for i := range 3 {
			c.awaitVoter(node(i))
		}
		c.remove("n6") // A spare that knows three replicas only.
		is.Equal(c.declare("n7", 1), port.DeclareDone)
		c.customize = toleratingTwo(false)
		for i := range 6 {
			c.stop(node(i))
			c.start(node(i))
			time.Sleep(time.Second)
		}
		time.Sleep(growthTime)
		is.Equal(len(c.voters("n7")), 5)
		is.Equal(c.declare("n7", 2), port.DeclareDone)
		c.rejoin("n6")
		time.Sleep(takeoverTime)
		is.Equal(c.confirmedVersion("n6"), uint64(2))
		is.Equal(len(c.voters("n6")), 5)
		c.losePower()
		time.Sleep(takeoverTime)
		for i := range 8 {
			is.Equal(c.confirmedVersion(node(i)), uint64(2))
			is.Equal(len(c.voters(node(i))), 5)
		}
		c.remove("n3") // The places that were added are taken over as the others are.
		time.Sleep(takeoverTime)
		is.Equal(c.places("n7").Places[3].Holder, model.NodeID("n5"))
		is.Equal(len(c.voters("n7")), 5)
		c.rejoin("n3")
	})
}

// Guards against a group that grows while that is not safe: with one spare only, with a holder away, or with a live member of an earlier
// version, which would apply the change without its group.
func TestGrowth_WaitsUntilItIsSafe(t *testing.T) {
	cases := []struct {
		name     string
		disks    int
		hinder   func(c *cluster)
		unhinder func(c *cluster)
	}{
		{"one spare", 4, func(*cluster) {}, func(c *cluster) { c.add("m0", 20) }},
		{"holder away", 4, func(c *cluster) { c.net.partition("n1", "n3") }, func(c *cluster) { c.net.partition(); c.add("m0", 20) }},
		{"earlier version", 5, func(c *cluster) { c.setHandler("n6", methodPlace, nil) }, func(c *cluster) { c.stop("n6"); c.start("n6") }},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				c := startCustomCluster(t, test.disks, 7-test.disks, seededSettings(true))
				defer func() {
					for _, id := range c.net.members {
						c.stop(id.Node)
					}
				}()
				for i := range 3 {
					c.awaitVoter(node(i))
				}
				test.hinder(c)
				c.customize = toleratingTwo(false)
				c.stop("n0") // The holder of the first place adds the others.
				c.start("n0")
				time.Sleep(growthTime)
				is.Equal(len(c.places("n0").Places), 3)
				test.unhinder(c)
				time.Sleep(followInterval + growthTime)
				is.Equal(len(c.voters("n0")), 5)
				is.Equal(c.declare("n0", 1), port.DeclareDone)
			})
		})
	}
}
