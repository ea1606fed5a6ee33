package endpoints

import (
	"sync"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"

	"redwingpulley/kernel/model"
)

// orders is a fake of port.Profiles that tells of evacuations.
type orders struct {
	mu      sync.Mutex
	active  bool
	changed chan struct{}
}

func (o *orders) Current() (model.ProfileSet, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	set := model.BuiltInProfiles()
	set.Evacuations = map[model.DataCentre]model.Evacuation{"sj1": {Active: o.active}}
	return set, true
}

func (o *orders) Changed() <-chan struct{} {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.changed
}

func (o *orders) set(active bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.active = active
	close(o.changed)
	o.changed = make(chan struct{})
}

// Guards against a pool that learns of an order only with its next message, and against a next owner that starts tasks since it did
// not own the pool when the order came.
func TestPoolsLearnOfEvacuationsAtOnceAndNextOwnersToo(t *testing.T) {
	withCluster(t, 1, func(t *testing.T, is *is.I, c *cluster, members []*testMember) {
		all := &orders{changed: make(chan struct{})}
		for _, m := range members {
			m.pools.profiles = all
			go m.pools.watchEvacuations()
		}
		members[0].announce(c.endpoint())
		running, waiting := members[2].runBatch(members[0], 1, 1), members[2].runBatch(members[0], 2, 1)
		all.set(true)
		synctest.Wait()
		result := <-waiting
		is.True(result.Refused)
		is.Equal(result.Reason, model.ReasonEvacuated)
		c.finish()
		synctest.Wait()
		is.Equal(countDone(<-running), 1)

		c.setDraining(members[0].node.ID)
		synctest.Wait()
		members[1].announce(c.endpoint())
		is.Equal((<-members[2].runBatch(members[1], 3, 1)).Reason, model.ReasonEvacuated)
		is.Equal(len(c.started), 1)
		all.set(false)
		synctest.Wait()
		again := members[2].runBatch(members[1], 4, 1)
		c.finish()
		is.Equal(countDone(<-again), 1)
	})
}
