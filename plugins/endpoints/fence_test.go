package endpoints

import (
	"slices"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"

	"redwingpulley/kernel/model"
	"redwingpulley/kernel/port"
)

// Guards against owners that take each other's leases: after a split, the former owner of an endpoint still knew it, and had it fenced with
// each departure of a member, so that its present owner lost the lease, and with it the runs there, for seconds.
func TestEndpointThatBelongsToAnotherPoolSinceASplitIsNotFenced(t *testing.T) {
	withVirtualClock(t, func(t *testing.T, is *is.I) {
		n := newNetwork()
		others := []port.Node{second1, {ID: "third", Incarnation: "t1", DataCentre: "sj1"}}
		all := append(others, owner1)
		former := ownerAmong(all, model.PoolID{Service: testGroup.service, DataCentre: testGroup.dataCentre})
		others = slices.DeleteFunc(slices.Clone(all), func(m port.Node) bool { return m.ID == former.ID })
		n.setAlive(all...)
		first, atFirst := newPools(t, n, former)
		second, atSecond := newPools(t, n, others[0])
		third, _ := newPools(t, n, others[1])
		for _, e := range leasedEndpoints(24) {
			is.True(first.Announce(t.Context(), e).Recorded)
		}
		raiseParts(8, first, second, third)
		synctest.Wait() // The endpoints have been passed on.
		first.reportOrigins()
		second.reportOrigins()
		atFirst.fences, atSecond.fences = nil, nil

		n.setAlive(former, others[0])
		first.reportOrigins()
		second.reportOrigins()
		fenced := make(map[model.EndpointID]int)
		for _, m := range []struct {
			pools  *Pools
			member *fakeMember
		}{{first, atFirst}, {second, atSecond}} {
			is.True(len(m.member.fences) > 0)
			for _, id := range m.member.fences {
				fenced[id]++
				is.Equal(fenced[id], 1)
				is.Equal(m.pools.ownerOf(m.pools.poolAt(testGroup, string(id))).ID, m.member.node.ID)
			}
		}
	})
}

// Guards against holds to all endpoints of a data centre, and jobs that wait for them, when a member in reserve is gone: it owns no pool
// while another member can, and has ordered nothing at these endpoints.
func TestEndpointsAreNotFencedForAMemberInReserve(t *testing.T) {
	withVirtualClock(t, func(t *testing.T, is *is.I) {
		n := newNetwork()
		reserve := port.Node{ID: "reserve", Incarnation: "r1", DataCentre: "sj1", Reserve: true}
		draining := second1
		draining.Draining = true
		n.setAlive(owner1, reserve, second1)
		owner, atOwner := newPools(t, n, owner1)
		id := owner.poolOf(leasedEndpoints(1)[0])
		is.Equal(owner.ownerOf(id).ID, owner1.ID)
		is.True(owner.Announce(t.Context(), leasedEndpoints(1)[0]).Recorded)
		owner.reportOrigins()
		fencesAfter := func(alive ...port.Node) int {
			atOwner.fences = nil
			n.setAlive(alive...)
			owner.reportOrigins()
			return len(atOwner.fences)
		}
		is.Equal(fencesAfter(owner1, second1), 0)
		is.Equal(fencesAfter(owner1, reserve, draining), 0)
		is.Equal(fencesAfter(owner1, reserve), 1) // The member that drained may have held leases.

		view := newViewIndex([]port.Node{draining, reserve})
		is.Equal(len(view.possibleHolders("sj1")), 2) // The one in reserve owns the pools now.
	})
}

// Guards against two runs of a task: a member in reserve, or one of another data centre, that has owned a pool while nobody else could, did
// not count as a possible holder for the next owner, so that its late starts were not fenced when it was gone.
func TestEndpointsAreFencedForAFormerOwnerThatOwnsPoolsNoMore(t *testing.T) {
	withVirtualClock(t, func(t *testing.T, is *is.I) {
		for _, former := range []port.Node{
			{ID: "reserve", Incarnation: "r1", DataCentre: "sj1", Reserve: true},
			{ID: "elsewhere", Incarnation: "e1", DataCentre: "sj2"},
		} {
			n := newNetwork()
			n.setAlive(former)
			first, _ := newPools(t, n, former)
			next, atNext := newPools(t, n, owner1)
			is.True(first.Announce(t.Context(), leasedEndpoints(1)[0]).Recorded)
			n.setAlive(former, owner1)
			first.handOver(t.Context(), first.ownerOf)
			next.reportOrigins()
			is.Equal(len(atNext.fences), 0) // The former owner may still start queued tasks there.
			n.setAlive(owner1)
			next.reportOrigins()
			is.Equal(len(atNext.fences), 1)
		}
	})
}

// Guards against orders of a dead member that are never refused: its handover was read only after its death, as one of a member that
// lives and is fenced when it departs.
func TestEndpointsThatADeadMemberHasHandedOverAreFenced(t *testing.T) {
	withVirtualClock(t, func(t *testing.T, is *is.I) {
		n := newNetwork()
		n.setAlive(owner1, second1)
		owner, atOwner := newPools(t, n, owner1)
		endpoint := leasedEndpoints(1)[0]
		message := handover{Pool: owner.poolOf(endpoint), Endpoints: []model.Endpoint{endpoint}, Incarnation: second1.Incarnation}
		owner.handleHandover(t.Context(), second1.ID, message)
		synctest.Wait()
		is.Equal(atOwner.fences, nil)

		n.setAlive(owner1)
		again, atAgain := newPools(t, n, owner1)
		again.handleHandover(t.Context(), second1.ID, message)
		synctest.Wait()
		is.Equal(atAgain.fences, []model.EndpointID{endpoint.ID})
	})
}
