package endpoints

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"redwingpulley/kernel/model"
	"redwingpulley/kernel/port"
)

// forwarders returns the two members of a data centre, of which the first owns its pool while both are alive, and a member of
// another data centre, which has forwarded the announcement of a leased endpoint to the first.
func forwarders(t *testing.T, is *is.I) (n *network, first, next port.Node, atNext *fakeMember, forwarder *Pools) {
	n = newNetwork()
	next = owner1
	first = port.Node{ID: rivalOf(next.ID), Incarnation: "r1", DataCentre: "sj1"}
	n.setAlive(origin1, first, next)
	newPools(t, n, first)
	_, atNext = newPools(t, n, next)
	forwarder, _ = newPools(t, n, origin1)
	is.True(forwarder.Announce(t.Context(), leasedEvent(1, model.EndpointServing).Endpoint).Recorded)
	go forwarder.watchOwnership()
	synctest.Wait()
	return n, first, next, atNext, forwarder
}

// Guards against late starts of a lost owner: its endpoints came to the pool's next owner, which has them refuse such starts, only by
// their next announcements.
func TestNextOwnerLearnsOfTheEndpointsOfALostOneAtOnce(t *testing.T) {
	withVirtualClock(t, func(t *testing.T, is *is.I) {
		n, _, next, atNext, forwarder := forwarders(t, is)
		is.Equal(len(atNext.fences), 0)
		n.setAlive(origin1, next)
		synctest.Wait()
		is.Equal(atNext.fences, []model.EndpointID{"l1"})
		is.Equal(forwarder.forwarded.Len(), 0)
	})
}

// Guards against the same where the owner is silent for a while before it is given up: the endpoint's newest announcement went to it then.
func TestNextOwnerLearnsOfEndpointsWhoseAnnouncementsASilentOwnerHasNotAnswered(t *testing.T) {
	withVirtualClock(t, func(t *testing.T, is *is.I) {
		n, _, next, atNext, forwarder := forwarders(t, is)
		time.Sleep(forwardedExpiry - time.Millisecond) // On the virtual clock: the recorded announcement is about to expire.
		n.faults[methodAnnounce] = []fault{dropRequest}
		is.True(!forwarder.Announce(t.Context(), leasedEvent(2, model.EndpointServing).Endpoint).Recorded)
		time.Sleep(time.Second) // On the virtual clock: only the one without an answer has not expired.
		n.setAlive(origin1, next)
		synctest.Wait()
		is.Equal(atNext.fences, []model.EndpointID{"l1"})
	})
}

// Guards against endpoints that have left long ago and come back with the loss of their owner.
func TestOldAnnouncementsAreNotPassedOn(t *testing.T) {
	withVirtualClock(t, func(t *testing.T, is *is.I) {
		n, _, next, atNext, forwarder := forwarders(t, is)
		time.Sleep(forwardedExpiry + time.Millisecond) // On the virtual clock: the announcement has expired.
		n.setAlive(origin1, next)
		synctest.Wait()
		is.Equal(len(atNext.fences), 0)
		is.Equal(forwarder.forwarded.Len(), 0)
	})
}
