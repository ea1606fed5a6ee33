package endpoints

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"redwingpulley/kernel/model"
)

// announceUntilRecorded announces that the endpoint leaves, again and again as an endpoint does, and reports whether a
// member has recorded it.
func (m *testMember) announceUntilRecorded(from uint64) bool {
	const tries = 3
	for i := range uint64(tries) {
		if m.announce(leasedAnnouncement(from+i, model.EndpointLeaving)).Recorded {
			return true
		}
		time.Sleep(time.Second)
	}
	return false
}

// Pattern: an endpoint announces that it leaves to a member that takes itself for its pool's owner, while another member
// does so too and does not hear of it. Guards against tasks that the other one starts there afterwards: the endpoint was
// told that it gets no more.
func TestNoMemberStartsATaskAtAnEndpointWhoseLeavingAnotherHasRecorded(t *testing.T) {
	for _, idle := range []time.Duration{0, 5 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			a, b, e := newLeasedPair(t, is)
			is.True(a.announce(leasedAnnouncement(1, model.EndpointServing)).Recorded)
			is.Equal(countDone(<-a.runBatch(a, 0, 2)), 2)
			started := e.startCount()
			is.True(b.announceUntilRecorded(2))
			time.Sleep(idle)
			a.runBatch(a, 1, 2)
			time.Sleep(7 * time.Second) // Longer than a member that was refused leaves an endpoint alone.
			is.Equal(e.startCount(), started)
		})
	}
}

// Pattern: the same, while tasks that the other member has started run at the endpoint. Guards against a record of an
// endpoint's leaving that ends them.
func TestRunsContinueWhenAnotherMemberRecordsThatTheirEndpointLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		a, b, e := newLeasedPair(t, is)
		is.True(a.announce(leasedAnnouncement(1, model.EndpointServing)).Recorded)
		result := a.runBatch(a, 0, 2)
		time.Sleep(leasedRunTime / 2)
		is.Equal(e.startCount(), 2)
		is.True(b.announceUntilRecorded(2))
		is.Equal(countDone(<-result), 2)
		is.Equal(e.startCount(), 2)
	})
}

// Pattern: an endpoint has started again under its id, and an announcement of the earlier incarnation that it leaves comes
// late. Guards against the later one being taken out of use, or its runs being ended: by a member that knows it and by one
// that does not.
func TestLateAnnouncementOfAnEarlierIncarnationRetiresNothing(t *testing.T) {
	for _, known := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			a, b, e := newLeasedPair(t, is)
			later := leasedAnnouncement(1, model.EndpointServing)
			later.ID, later.Born = "e1@2", 2
			e.born = later.ID
			is.True(a.announce(later).Recorded)
			receiver := b
			if known {
				receiver = a
			}
			result := a.runBatch(a, 0, 2)
			time.Sleep(leasedRunTime / 2)
			token := e.newestToken()
			receiver.announce(leasedAnnouncement(7, model.EndpointLeaving))
			if known {
				is.Equal(e.newestToken(), token)
				is.Equal(countDone(<-result), 2)
			}
			time.Sleep(5 * time.Second)
			later.Sequence = 2
			is.True(a.announce(later).Recorded)
			is.Equal(countDone(<-a.runBatch(a, 1, 2)), 2)
		})
	}
}
