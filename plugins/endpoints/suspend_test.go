package endpoints

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"redwingpulley/kernel/model"
	"redwingpulley/kernel/port"
	"redwingpulley/plugins/endpoints/poolstate"
)

// leasedEvent returns the announcement of a leased endpoint.
func leasedEvent(sequence uint64, state model.EndpointState) poolstate.Announced {
	a := announcedEvent()
	a.Endpoint.ID, a.Endpoint.Leased, a.Endpoint.Sequence, a.Endpoint.State = "l1", true, sequence, state
	a.Endpoint.Lease = time.Minute
	return a
}

// slotsOf returns the number of slots that the pool's machine counts.
func slotsOf(p *Pools) (slots int) {
	p.withPool(pool1, func(o *pool) { slots = o.machine.Load().Slots })
	return slots
}

func TestLeasedEndpointIsSuspendedUntilAnnouncedWhenOwnershipReturns(t *testing.T) {
	withVirtualClock(t, func(t *testing.T, is *is.I) {
		n, _, owner, _ := newPair(t)
		owner.step(pool1, leasedEvent(1, model.EndpointServing))
		is.Equal(slotsOf(owner), 4)
		// Another member of the data centre becomes the pool's owner, and leaves again.
		rival := port.Node{ID: rivalOf("owner"), Incarnation: "r1", DataCentre: "sj1"}
		go owner.watchOwnership()
		n.setAlive(origin1, owner1, rival)
		time.Sleep(time.Second) // On the virtual clock: longer than a handover may take.
		synctest.Wait()
		n.setAlive(origin1, owner1)
		time.Sleep(time.Second) // On the virtual clock: long enough for the handover back.
		synctest.Wait()
		is.Equal(slotsOf(owner), 2) // Those of the endpoint that lists its tasks, not of the leased one.
		owner.step(pool1, leasedEvent(2, model.EndpointServing))
		is.Equal(slotsOf(owner), 4)
	})
}

// rivalOf returns the ID of a member that owns the pool when it is alive together with the given one.
func rivalOf(id model.NodeID) model.NodeID {
	for c := 'a'; ; c++ {
		rival := model.NodeID("rival-" + string(c))
		if compareScore(pool1, rival, id) > 0 {
			return rival
		}
	}
}

func TestLeasedEndpointIsSuspendedUntilAnnouncedAfterAPause(t *testing.T) {
	withVirtualClock(t, func(t *testing.T, is *is.I) {
		n, _, owner, atOwner := newPair(t)
		owner.step(pool1, leasedEvent(1, model.EndpointServing))
		paused := &pausedMember{fakeMember: atOwner}
		owner.liveness = paused
		go owner.watchOwnership()
		synctest.Wait()
		is.Equal(slotsOf(owner), 2)
		paused.resumed.Store(true)
		n.setAlive(origin1, owner1)
		synctest.Wait()
		is.Equal(slotsOf(owner), 2)
		owner.step(pool1, leasedEvent(2, model.EndpointLeaving)) // As it has announced to another member meanwhile.
		is.Equal(slotsOf(owner), 2)
	})
}
