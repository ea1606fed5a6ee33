package endpoints

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"redwingpulley/kernel/model"
	"redwingpulley/kernel/port"
)

func TestAnnouncementIsForwardedToTheOwner(t *testing.T) {
	withCluster(t, 2, func(t *testing.T, is *is.I, c *cluster, members []*testMember) {
		ownership := members[2].announce(c.endpoint())
		is.Equal(ownership.Owner, members[0].node.Endpoints)
		is.Equal(len(members[0].pools.Endpoints()), 1)
		is.Equal(len(members[2].pools.Endpoints()), 0)
	})
}

func TestForwardedAnnouncementIsNotForwardedAgain(t *testing.T) {
	withCluster(t, 2, func(t *testing.T, is *is.I, c *cluster, members []*testMember) {
		members[0].setView(members[1]) // By its view, the owner is another member.
		ownership := members[2].announce(c.endpoint())
		is.Equal(ownership.Owner, members[1].node.Endpoints)
		is.Equal(len(members[1].pools.Endpoints()), 0)
	})
}

func TestDrainingOwnerHandsItsEndpointsOver(t *testing.T) {
	withCluster(t, 2, func(t *testing.T, is *is.I, c *cluster, members []*testMember) {
		members[0].announce(c.endpoint())
		first := members[2].runBatch(members[0], 1, 1)
		go members[0].pools.Drain(context.Background())
		synctest.Wait()
		is.Equal(len(members[1].pools.Endpoints()), 1) // Before any announcement.
		is.Equal(members[1].pools.Endpoints()[0].Busy, 1)
		time.Sleep(time.Second)
		is.Equal((<-members[2].runBatch(members[0], 2, 1)).Refused, true)
		second := members[2].runBatch(members[1], 3, 1)
		c.finishAll()
		is.Equal(countDone(<-first), 1)
		is.Equal(countDone(<-second), 1)
		is.Equal(c.refused, 0)
	})
}

func TestFormerOwnerFinishesAcceptedBatches(t *testing.T) {
	withCluster(t, 1, func(t *testing.T, is *is.I, c *cluster, members []*testMember) {
		members[0].announce(c.endpoint())
		batch := members[2].runBatch(members[0], 1, 2)
		c.setDraining(members[0].node.ID)
		for range 10 { // Longer than an endpoint's lease.
			time.Sleep(time.Second)
			members[1].announce(c.endpoint())
		}
		c.finish()
		synctest.Wait()
		c.finish()
		is.Equal(countDone(<-batch), 2)
	})
}

func TestFormerOwnerRefusesNewBatches(t *testing.T) {
	withCluster(t, 1, func(t *testing.T, is *is.I, c *cluster, members []*testMember) {
		members[0].announce(c.endpoint())
		c.setDraining(members[0].node.ID)
		time.Sleep(time.Second)
		result := <-members[2].runBatch(members[0], 1, 1)
		is.True(result.Refused)
		is.Equal(result.Reason, model.ReasonMoved)
		is.Equal(len(c.started), 0)
	})
}

func TestOwnerWithStaleViewRefusesBatchesAndAnnouncements(t *testing.T) {
	withCluster(t, 1, func(t *testing.T, is *is.I, c *cluster, members []*testMember) {
		members[0].announce(c.endpoint())
		members[0].setStale()
		result := <-members[2].runBatch(members[0], 1, 1)
		is.True(result.Refused)
		is.Equal(len(c.started), 0)
		time.Sleep(4 * time.Second)
		members[0].announce(c.endpoint())
		is.Equal(len(members[0].pools.Endpoints()), 0) // The lease has ended, and no announcement was recorded.
	})
}

func TestTwoOwnersNeverExceedTheSlotsDuringAPartition(t *testing.T) {
	withCluster(t, 3, func(t *testing.T, is *is.I, c *cluster, members []*testMember) {
		members[1].setView(members[1], members[2]) // A network partition: by its view, this member is the owner.
		members[0].announce(c.endpoint())
		members[1].announce(c.endpoint())
		one := members[0].runBatch(members[0], 1, 8)
		two := members[1].runBatch(members[1], 2, 8)
		for range 100 {
			time.Sleep(50 * time.Millisecond)
			c.finish()
			synctest.Wait()
			members[0].announce(c.endpoint())
			members[1].announce(c.endpoint())
		}
		c.checkNotRun(is, <-one)
		c.checkNotRun(is, <-two)
		is.True(c.maxRunning <= c.slots)
		is.Equal(len(slices.Compact(slices.Sorted(slices.Values(c.started)))), len(c.started)) // Each task started at most once.
	})
}

func TestEndpointWithoutAnnouncementsGetsNoWorkAfterItsLease(t *testing.T) {
	withCluster(t, 2, func(t *testing.T, is *is.I, c *cluster, members []*testMember) {
		members[0].announce(c.endpoint())
		time.Sleep(4 * time.Second) // Without announcements, longer than the lease.
		result := <-members[0].runBatch(members[0], 1, 1)
		is.True(result.Refused)
		is.Equal(len(c.started), 0)
	})
}

func TestOnlyPoolsOfALostMemberMoveAndOwnersAreBalanced(t *testing.T) {
	is := is.New(t)
	var nodes []port.Node
	for i := range 9 {
		nodes = append(nodes, port.Node{ID: model.NodeID(fmt.Sprintf("n%d", i)), DataCentre: "sj1"})
	}
	moved, owned := 0, make(map[model.NodeID]int)
	for service := range 900 {
		id := model.PoolID{Service: model.ServiceID(fmt.Sprint("service-", service)), DataCentre: "sj1"}
		owner := ownerAmong(nodes, id)
		owned[owner.ID]++
		if ownerAmong(nodes[1:], id).ID != owner.ID {
			moved++
		}
	}
	is.Equal(moved, owned["n0"]) // Only the pools of the lost member move.
	for _, count := range owned {
		is.True(count > 60 && count < 140)
	}
}

func TestOwnerIsInThePoolsDataCentreWhileAMemberServesThere(t *testing.T) {
	is := is.New(t)
	near := port.Node{ID: "near", DataCentre: "sj1"}
	far := port.Node{ID: "far", DataCentre: "sj2"}
	is.Equal(ownerAmong([]port.Node{near, far}, testPool), near)
	near.Draining = true
	is.Equal(ownerAmong([]port.Node{near, far}, testPool), far)
	is.Equal(ownerAmong([]port.Node{near}, testPool), near) // A draining owner is better than none.
}
