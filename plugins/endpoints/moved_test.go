package endpoints

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"redwingpulley/kernel/model"
)

// TestQueuedBatchIsRefusedAsMovedWhenItsPoolMoves has a pool with one leased endpoint, which the former
// owner may no longer use after the move. A batch that is queued there must be refused in time for its
// origin to send it to the next owner, and a running one must finish.
func TestQueuedBatchIsRefusedAsMovedWhenItsPoolMoves(t *testing.T) {
	withCluster(t, 1, func(t *testing.T, is *is.I, c *cluster, members []*testMember) {
		e := c.endpoint()
		e.Leased, e.Lease = true, time.Minute
		members[0].announce(e)
		running, waiting := members[2].runBatch(members[0], 1, 1), members[2].runBatch(members[0], 2, 1)
		is.Equal(len(c.started), 1)
		c.setDraining(members[0].node.ID)
		time.Sleep(2 * moveGrace) // On the virtual clock: until the senders of batches know the next owner.
		synctest.Wait()
		select {
		case result := <-waiting:
			is.True(result.Refused)
			is.Equal(result.Reason, model.ReasonMoved)
		default:
			t.Error("the queued batch was not refused after the move")
		}
		c.finish()
		synctest.Wait()
		is.Equal(countDone(<-running), 1)
	})
}

// TestBatchInTransitIsRefusedAsMovedWhenItsPoolMoves sends a batch to the former owner right after the move.
// The former owner has no endpoint left, but must not refuse the batch for that reason: the pool may have
// endpoints at its next owner.
func TestBatchInTransitIsRefusedAsMovedWhenItsPoolMoves(t *testing.T) {
	withCluster(t, 1, func(t *testing.T, is *is.I, c *cluster, members []*testMember) {
		e := c.endpoint()
		e.Leased, e.Lease = true, time.Minute
		members[0].announce(e)
		c.setDraining(members[0].node.ID)
		synctest.Wait() // Until the former owner has handed the pool over; without it the batch may arrive before the move.
		result := <-members[2].runBatch(members[0], 1, 1)
		is.True(result.Refused)
		is.Equal(result.Reason, model.ReasonMoved)
	})
}
