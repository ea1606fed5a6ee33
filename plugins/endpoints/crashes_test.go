package endpoints

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"redwingpulley/kernel/model"
	"redwingpulley/kernel/port"
	"redwingpulley/plugins/endpoints/poolstate"
)

const crashTime = 300 * time.Millisecond // Time from the start of a run until it has crashed its endpoint.

// crashEndpoints makes the member's endpoints crash under each run, and counts the starts.
func crashEndpoints(m *fakeMember, starts *atomic.Int32) {
	m.tasks = func(ctx context.Context, s port.TaskStart) port.TaskReply {
		starts.Add(1)
		time.Sleep(crashTime) // On the virtual clock.
		return port.TaskReply{State: port.TaskLost, Cause: port.LossCrashed}
	}
	m.revokeReply = func(model.TaskID) port.RevokeReply { return port.RevokeReply{State: port.TaskRunning} }
}

// announceEndpoints announces endpoints with one slot each to a pool of the member.
func announceEndpoints(p *Pools, names ...model.EndpointID) {
	for _, name := range names {
		e := announcedEvent()
		e.Endpoint.ID, e.Endpoint.Address, e.Endpoint.Slots = name, string(name), 1
		p.step(pool1, e)
	}
}

// Guards against issue 28, BUDGET: the crashes under a task were counted anew after its caller had sent the job, under its key, to
// another member, since the one that had sent the runs was gone.
func TestCrashesAreCountedAcrossAResendToAnotherMember(t *testing.T) {
	withVirtualClock(t, func(t *testing.T, is *is.I) {
		n := newNetwork()
		n.setAlive(origin1, owner1)
		var starts atomic.Int32
		first, atFirst := newPools(t, n, owner1)
		second, atSecond := newPools(t, n, origin1)
		crashEndpoints(atFirst, &starts)
		crashEndpoints(atSecond, &starts)
		announceEndpoints(first, "e1", "e2", "e3", "e4", "e5", "e6")
		announceEndpoints(second, "e7", "e8", "e9", "e10", "e11", "e12")

		go first.submit(submissionOf("owner.w1.1.1.t", pool1).Batch, newWaiter())
		time.Sleep(crashTime + crashTime/2) // On the virtual clock: the second run is at work.
		n.setAlive(origin1)
		first.step(pool1, poolstate.Cancelled{Batch: submissionOf("owner.w1.1.1.t", pool1).Batch.ID})
		time.Sleep(crashTime) // On the virtual clock.
		w := newWaiter()
		go second.submit(submissionOf("origin.o1.1.1.t", pool1).Batch, w)
		<-w.ended
		is.True(starts.Load() < 6) // Three crashes, and fewer than three starts after them.
		is.True(!w.result.Results[0].Done)
	})
}
