package endpoints

import (
	"context"
	"fmt"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"redwingpulley/kernel/model"
	"redwingpulley/kernel/port"
	"redwingpulley/plugins/endpoints/poolstate"
)

const (
	callerPause = 1300 * time.Millisecond // Time after which a caller sends its job again.
	tellTime    = 100 * time.Millisecond  // Time within which a small group is told something.
)

// silentEndpoints are the endpoints of a member that answer no start and no stop until they are settled.
type silentEndpoints struct {
	settled chan struct{}
	starts  atomic.Int32
}

func useSilentEndpoints(m *fakeMember) *silentEndpoints {
	e := &silentEndpoints{settled: make(chan struct{})}
	m.tasks = func(ctx context.Context, _ port.TaskStart) port.TaskReply {
		e.starts.Add(1)
		select {
		case <-e.settled:
			return port.TaskReply{State: port.TaskStopped}
		case <-ctx.Done():
			return port.TaskReply{State: port.TaskUnknown}
		}
	}
	m.revokeReply = func(model.TaskID) port.RevokeReply { return port.RevokeReply{State: port.TaskUnknown} }
	return e
}

// keyedSubmission is submissionOf for a job with its own key and a later deadline.
func keyedSubmission(job model.JobID, key string, timeout time.Duration) poolstate.Submitted {
	s := submissionOf(job, pool1)
	s.Batch.Key, s.Batch.Deadline = key, time.Now().Add(timeout)
	return s
}

// announceLeased announces leased endpoints with one slot each, which stay announced for a minute, to a pool of the member.
func announceLeased(p *Pools, names ...model.EndpointID) {
	for _, name := range names {
		e := leasedEvent(1, model.EndpointServing)
		e.Endpoint.ID, e.Endpoint.Address, e.Endpoint.Slots = name, string(name), 1
		p.step(pool1, e)
	}
}

// newSilentPair returns two members of a group that own a pool each. The first has had a job with the given key, whose caller has left
// while its endpoint answers nothing.
func newSilentPair(t *testing.T, key string) (n *network, first, second *Pools, silent *silentEndpoints, atSecond *runs) {
	n = newNetwork()
	n.setAlive(origin1, owner1)
	first, firstPorts := newPools(t, n, owner1)
	second, secondPorts := newPools(t, n, origin1)
	silent, atSecond = useSilentEndpoints(firstPorts), useRuns(secondPorts)
	announceLeased(first, "e1")
	announceLeased(second, "e2", "e3")
	s := keyedSubmission("owner.w1.1.1.t", key, time.Minute)
	first.step(pool1, s)
	synctest.Wait()
	first.step(pool1, poolstate.Cancelled{Batch: s.Batch.ID})
	return n, first, second, silent, atSecond
}

// Guards against review/7, TWICE: an endpoint left a start and its stops unanswered. The job was answered 504, its caller sent it to
// another member, which asks nobody and started the task at once; the endpoint carried out the first start beside it.
func TestTaskOfAJobSentToAnotherMemberStartsOnlyWhenItsUnansweredStartIsSettled(t *testing.T) {
	withVirtualClock(t, func(t *testing.T, is *is.I) {
		_, _, second, silent, atSecond := newSilentPair(t, "key")
		is.Equal(silent.starts.Load(), int32(1))
		time.Sleep(callerPause) // On the virtual clock.
		second.step(pool1, keyedSubmission("origin.o1.1.1.t", "key", time.Minute))
		second.step(pool1, keyedSubmission("origin.o1.1.2.t", "other key", time.Minute))
		time.Sleep(time.Second / 2) // On the virtual clock: the other job is at work.
		is.Equal(atSecond.startCount(), 1)
		close(silent.settled)
		time.Sleep(2 * runTime) // On the virtual clock.
		is.Equal(atSecond.startCount(), 2)
	})
}

// Guards against the same when the first member dies after it has told the others: its order may still arrive.
func TestTaskStartsAtAnotherMemberOnceOrdersOfADeadMemberHaveArrived(t *testing.T) {
	const lastOrder = 13 * time.Second // An order may arrive 12 s late; its run lasts for a lease.
	withVirtualClock(t, func(t *testing.T, is *is.I) {
		n, first, second, _, atSecond := newSilentPair(t, "key")
		time.Sleep(callerPause) // On the virtual clock.
		first.Stop()
		n.setAlive(origin1)
		second.step(pool1, keyedSubmission("origin.o1.1.1.t", "key", time.Minute))
		time.Sleep(lastOrder) // On the virtual clock.
		is.Equal(atSecond.startCount(), 0)
		time.Sleep(keptValidity) // On the virtual clock.
		is.Equal(atSecond.startCount(), 1)
	})
}

// Guards against a start that is sent although its batch ended while it waited for another member.
func TestStartThatWaitsForAnotherMemberIsNotSentWhenItsBatchIsCancelled(t *testing.T) {
	withVirtualClock(t, func(t *testing.T, is *is.I) {
		_, _, second, silent, atSecond := newSilentPair(t, "key")
		time.Sleep(callerPause) // On the virtual clock.
		again := keyedSubmission("origin.o1.1.1.t", "key", time.Minute)
		second.step(pool1, again)
		synctest.Wait()
		second.step(pool1, poolstate.Cancelled{Batch: again.Batch.ID})
		close(silent.settled)
		time.Sleep(time.Second) // On the virtual clock.
		is.Equal(atSecond.startCount(), 0)
		second.withPool(pool1, func(o *pool) { is.Equal(o.machine.Load().Free, 2) })
	})
}

// Guards against a member that joins, or comes back after it was taken for dead, and starts a task whose turn another one keeps. The
// former incarnation of the member that keeps it is one of those that are to be heeded.
func TestMemberThatJoinsHeedsTurnsThatWereKeptBefore(t *testing.T) {
	for _, joined := range []port.Node{{ID: "new", Incarnation: "n1", DataCentre: "sj1"}, restartedOwner} {
		withVirtualClock(t, func(t *testing.T, is *is.I) {
			n, first, _, _, _ := newSilentPair(t, "key")
			time.Sleep(callerPause) // On the virtual clock.
			first.Stop()
			n.setAlive(origin1)
			p, ports := newPools(t, n, joined)
			atJoined := useRuns(ports)
			announceLeased(p, "e3")
			n.setAlive(origin1, joined)
			time.Sleep(tellTime) // On the virtual clock.
			p.step(pool1, keyedSubmission("new.n1.1.1.t", "key", time.Minute))
			time.Sleep(time.Second) // On the virtual clock.
			is.Equal(atJoined.startCount(), 0)
		})
	}
}

// Guards against messages for each job that fails or whose caller leaves: mostly its runs are stopped at once.
func TestRunsThatAreStoppedInTimeCostNoMessage(t *testing.T) {
	withVirtualClock(t, func(t *testing.T, is *is.I) {
		n, _, owner, atOwner := newPair(t)
		useRuns(atOwner)
		s := submissionOf("origin.o1.1.1.t", pool1)
		owner.step(pool1, s)
		synctest.Wait()
		owner.step(pool1, poolstate.Cancelled{Batch: s.Batch.ID})
		time.Sleep(time.Second) // On the virtual clock.
		is.Equal(n.updateMessages(), 0)
		is.Equal(owner.instruments.keptTurns.Count(), int64(0))
	})
}

// Guards against a member of a large group that is not told before the caller may send the job to it.
func TestAllMembersOfALargeGroupAreToldOfAKeptTurnInTime(t *testing.T) {
	withVirtualClock(t, func(t *testing.T, is *is.I) {
		n := newNetwork()
		all, _ := startGroup(t, n, 72)
		ports := all[0].tasks.(*fakeMember)
		silent := useSilentEndpoints(ports)
		announceLeased(all[0], "e1")
		s := keyedSubmission("m000.m000.1.1.t", "key", time.Minute)
		all[0].step(pool1, s)
		synctest.Wait()
		all[0].step(pool1, poolstate.Cancelled{Batch: s.Batch.ID})
		time.Sleep(callerPause) // On the virtual clock.
		for _, p := range all[1:] {
			_, _, _, kept := p.keptBy(taskRef{"key", 0})
			is.True(kept)
		}
		close(silent.settled)
		time.Sleep(time.Second) // On the virtual clock.
		for _, p := range all[1:] {
			_, _, _, kept := p.keptBy(taskRef{"key", 0})
			is.True(!kept)
		}
	})
}

// Guards against a table that grows without bound, and against bad entries of a peer.
func TestTurnsOfOtherMembersAreBoundedAndChecked(t *testing.T) {
	is := is.New(t)
	p := newLonePools()
	defer p.Stop()
	valid := wireTurn{Job: "key", Member: "m", Incarnation: "i1", Number: 1, Kept: true, ValidMS: 1}
	bad := slices.Repeat([]wireTurn{valid}, 6)
	bad[0].Job, bad[1].Index, bad[2].Index, bad[3].Member, bad[4].ValidMS, bad[5].ValidMS = "", -1, model.MaxTasksPerJob, "", 0, keptValidity.Milliseconds()+1
	p.handleUpdates(t.Context(), "m", updateMessage{taskUpdates: taskUpdates{Turns: bad}})
	is.Equal(p.keptElsewhere.Len(), 0)
	p.handleUpdates(t.Context(), "m", updateMessage{taskUpdates: taskUpdates{Turns: []wireTurn{valid}}})
	is.Equal(p.keptElsewhere.Len(), 1)
	const far = 100 * maxKeptPerShard
	for i := range far {
		u := valid
		u.Job, u.ValidMS = fmt.Sprint("key", i), keptValidity.Milliseconds()
		p.applyTurn(u)
	}
	p.keptElsewhere.Each(func(tasks map[taskRef]*keptTask) { is.True(len(tasks) <= maxKeptPerShard) })
}
