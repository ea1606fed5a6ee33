package endpoints

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"redwingpulley/kernel/model"
)

// TestWhatWaitsMovesWithItsPool has a leased endpoint: its former owner may not use it any more, so a
// batch that waits there is given back in time for the next owner.
func TestWhatWaitsMovesWithItsPool(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w, all := newWorld(is, 1)
		e := w.endpoint()
		e.Leased, e.Lease = true, time.Minute
		all[0].announce(e)
		running, waiting := all[2].run(all[0], 1, 1), all[2].run(all[0], 2, 1)
		is.Equal(len(w.started), 1)
		w.setDraining(all[0].node.ID)
		time.Sleep(2 * moveGrace) // On the virtual clock: until those who send batches know the next owner.
		synctest.Wait()
		select {
		case result := <-waiting:
			is.True(result.Refused)
			is.Equal(result.Reason, model.ReasonMoved)
		default:
			t.Error("the batch is kept")
		}
		w.end()
		synctest.Wait()
		is.Equal(done(<-running), 1)
		stop(is, all)
	})
}

// TestABatchInTransitIsNotRefusedForGood: that no endpoint works for the former owner says nothing of
// the pool.
func TestABatchInTransitIsNotRefusedForGood(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w, all := newWorld(is, 1)
		e := w.endpoint()
		e.Leased, e.Lease = true, time.Minute
		all[0].announce(e)
		w.setDraining(all[0].node.ID)
		result := <-all[2].run(all[0], 1, 1)
		is.True(result.Refused)
		is.Equal(result.Reason, model.ReasonMoved)
		stop(is, all)
	})
}
