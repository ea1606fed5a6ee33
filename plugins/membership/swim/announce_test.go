package swim

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Pattern: a restart of all VMs of a large fleet, one after the other. Guards against messages that grow with the square of
// their number: each VM announced three times a restart to all others that it drains, leaves and serves.
func TestAnnouncementsDoNotGrowWithTheGroup(t *testing.T) {
	is := is.New(t)
	pings := func(members int) int {
		c := newCluster(5, members)
		c.startAll()
		c.run(20 * period)
		sent := 0
		for _, event := range []Event{Leaving{}, Stopping{}} {
			sent += len(c.step(c.nodes[members/2], event).Pings)
		}
		return sent
	}
	small := pings(announceToAll)
	is.Equal(small, 2*(announceToAll-1)) // All of a small group.
	is.True(pings(2*announceToAll) <= small)
}

// A member that drains is known to do so by all others within two seconds, also those that it does not tell itself.
func TestAnnouncementReachesALargeGroupByGossip(t *testing.T) {
	is := is.New(t)
	c := startedCluster(is, 6, 100)
	leaving := c.nodes[50]
	c.step(leaving, Leaving{})
	known := func() bool {
		for _, n := range c.running() {
			if n != leaving && !n.machine.members[leaving.ID].Node.Draining {
				return false
			}
		}
		return true
	}
	_, ok := c.runUntil(int(2*time.Second/period), known)
	is.True(ok)
}
