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

func leased(sequence uint64, state model.EndpointState) poolstate.Announced {
	a := announced()
	a.Endpoint.ID, a.Endpoint.Leased, a.Endpoint.Sequence, a.Endpoint.State = "l1", true, sequence, state
	a.Endpoint.Lease = time.Minute
	return a
}

// slotsOf returns the slots of the pool as its machine counts them.
func slotsOf(p *Pools) (slots int) {
	p.withPool(pool1, func(o *pool) { slots = o.machine.Load().Slots })
	return slots
}

func TestAFormerOwnerTrustsNoLeasedEndpointUntilItIsAnnounced(t *testing.T) {
	inBubble(t, func(t *testing.T, is *is.I) {
		n, _, owner, _ := pair(t)
		owner.step(pool1, leased(1, model.EndpointServing))
		is.Equal(slotsOf(owner), 4)
		// Another member of the data centre takes the pool over, and is gone again.
		rival := port.Node{ID: rivalOf("owner"), Incarnation: "r1", DataCentre: "sj1"}
		go owner.watchOwnership()
		n.setAlive(origin1, owner1, rival)
		time.Sleep(time.Second) // On the virtual clock: longer than a handover may take.
		synctest.Wait()
		n.setAlive(origin1, owner1)
		time.Sleep(time.Second) // On the virtual clock: the same for the way back.
		synctest.Wait()
		is.Equal(slotsOf(owner), 2) // The one that lists its tasks, not the leased one.
		owner.step(pool1, leased(2, model.EndpointServing))
		is.Equal(slotsOf(owner), 4)
	})
}

// rivalOf returns the id of a member that wins the pool against the given one.
func rivalOf(id model.NodeID) model.NodeID {
	for c := 'a'; ; c++ {
		rival := model.NodeID("rival-" + string(c))
		if compareWeight(pool1.String(), rival, id) > 0 {
			return rival
		}
	}
}

func TestAMemberThatStoodStillTrustsNoLeasedEndpointUntilItIsAnnounced(t *testing.T) {
	inBubble(t, func(t *testing.T, is *is.I) {
		n, _, owner, atOwner := pair(t)
		owner.step(pool1, leased(1, model.EndpointServing))
		frozen := &standstill{fakeMember: atOwner}
		owner.liveness = frozen
		go owner.watchOwnership()
		synctest.Wait()
		is.Equal(slotsOf(owner), 2)
		frozen.thawed.Store(true)
		n.setAlive(origin1, owner1)
		synctest.Wait()
		is.Equal(slotsOf(owner), 2)
		owner.step(pool1, leased(2, model.EndpointLeaving)) // As it told another member meanwhile.
		is.Equal(slotsOf(owner), 2)
	})
}
