package endpoints

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"redwingpulley/kernel/model"
)

// Guards against jobs that are refused with no_endpoint for ten seconds beside free endpoints: a member that considered itself the
// pool's owner for a moment had reported that the pool has none, and the owner, whose load had not changed, said nothing.
func TestOwnerPublishesItsLoadAgainWhenAnotherMemberReportsOne(t *testing.T) {
	withCluster(t, 4, func(t *testing.T, is *is.I, c *cluster, members []*testMember) {
		owner, other, reader := members[0], members[1], members[2]
		slotsAtReader := func() (slots int) {
			for _, load := range reader.pools.Loads("finder") {
				slots += load.Slots
			}
			return slots
		}
		owner.announce(c.endpoint())
		time.Sleep(time.Second) // On the virtual clock.
		is.Equal(slotsAtReader(), 4)
		report := encodeLoads([]model.PoolLoad{{Pool: testPool, Owner: other.node.ID, Version: 1}})
		for _, m := range []*testMember{owner, reader} {
			m.pools.handleLoads(context.Background(), other.node.ID, report)
		}
		owner.announce(c.endpoint())
		time.Sleep(time.Second) // On the virtual clock.
		is.Equal(slotsAtReader(), 4)
	})
}

// Guards against the same refusals: the reply to a batch said that the pool has no slots, as was true for some milliseconds, and the
// owner's load had not changed since it was published before.
func TestOwnerPublishesItsLoadAgainAfterAReplyWithoutSlots(t *testing.T) {
	withCluster(t, 4, func(t *testing.T, is *is.I, c *cluster, members []*testMember) {
		owner, reader := members[0], members[2]
		owner.announce(c.endpoint())
		time.Sleep(time.Second) // On the virtual clock.
		leaving := c.endpoint()
		leaving.State = model.EndpointLeaving
		owner.announce(leaving)
		result := <-reader.runBatch(owner, 1, 1)
		is.True(result.Refused)
		owner.announce(c.endpoint())
		time.Sleep(time.Second) // On the virtual clock.
		is.Equal(reader.pools.Loads("finder")[0].Slots, 4)
	})
}
