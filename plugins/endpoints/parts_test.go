package endpoints

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/matryer/is"

	"redwingpulley/kernel/model"
	"redwingpulley/kernel/port"
	"redwingpulley/plugins/endpoints/poolstate"
)

var (
	testGroup = poolGroup{pool1.Service, pool1.DataCentre}
	second1   = port.Node{ID: "second", Incarnation: "s1", DataCentre: "sj1"} // Can own pools of the test group, too.
)

// raiseParts tells members that the test group has the given number of pools.
func raiseParts(parts int, members ...*Pools) {
	for _, p := range members {
		p.raiseParts(testGroup, parts)
	}
}

// leasedEndpoints returns the given number of leased endpoints with one slot each.
func leasedEndpoints(count int) (all []model.Endpoint) {
	for i := range count {
		e := leasedEvent(1, model.EndpointServing).Endpoint
		e.ID, e.Address, e.Slots = model.EndpointID(fmt.Sprintf("l%d", i)), fmt.Sprintf("l%d", i), 1
		all = append(all, e)
	}
	return all
}

// servingByPart returns the number of serving endpoints in each pool of a member, by the pool's part.
func (p *Pools) servingByPart() map[int]int {
	counts := make(map[int]int)
	for _, id := range p.poolIDs() {
		if n := p.servingEndpoints(id); n > 0 {
			counts[id.Part] = n
		}
	}
	return counts
}

func total(counts map[int]int) (sum int) {
	for _, n := range counts {
		sum += n
	}
	return sum
}

func TestLargePoolIsSplitWithoutLosingEndpoints(t *testing.T) {
	withVirtualClock(t, func(t *testing.T, is *is.I) {
		_, _, owner, _ := newPair(t)
		owner.settings.SplitAbove = 5
		for _, e := range leasedEndpoints(24) {
			is.True(owner.Announce(t.Context(), e).Recorded)
		}
		time.Sleep(2 * splitDelay) // On the virtual clock: until the split has been made.
		synctest.Wait()
		counts := owner.servingByPart()
		counts[0]-- // The endpoint without a lease stays in its pool.
		is.Equal(total(counts), 24)
		is.True(owner.partsIn(testGroup) >= 8) // 24 endpoints, at most five each.
		for _, e := range leasedEndpoints(24) {
			e.Sequence = 2
			is.True(owner.Announce(t.Context(), e).Recorded) // In the pool that it belongs to after the split.
		}
		counts = owner.servingByPart()
		counts[0]--
		is.Equal(total(counts), 24)
	})
}

// Guards against work for an incarnation that has gone, and against two owners that take the lease from each other: the incarnations
// of an endpoint came to different pools, so that the pool of the earlier one did not learn of the next one.
func TestIncarnationsOfAnEndpointBelongToOnePool(t *testing.T) {
	withVirtualClock(t, func(t *testing.T, is *is.I) {
		_, _, owner, _ := newPair(t)
		owner.raiseParts(testGroup, 8)
		for _, e := range leasedEndpoints(12) {
			for born := range int64(3) {
				e.ID, e.Born = model.EndpointID(fmt.Sprintf("%s@%d", e.Address, born+1)), born+1
				is.True(owner.Announce(t.Context(), e).Recorded)
			}
		}
		counts := owner.servingByPart()
		counts[0]-- // The endpoint without a lease.
		is.Equal(total(counts), 12)
	})
}

func TestSmallPoolIsNotSplit(t *testing.T) {
	withVirtualClock(t, func(t *testing.T, is *is.I) {
		_, _, owner, _ := newPair(t)
		owner.settings.SplitAbove = 12
		for _, e := range leasedEndpoints(11) {
			owner.Announce(t.Context(), e)
		}
		time.Sleep(2 * splitDelay) // On the virtual clock: as long as a split would take.
		synctest.Wait()
		is.Equal(owner.partsIn(testGroup), 1)
	})
}

// TestMemberUsesTheLargestNumberOfPools receives several numbers in any order. Numbers out of range are
// ignored.
func TestMemberUsesTheLargestNumberOfPools(t *testing.T) {
	withVirtualClock(t, func(t *testing.T, is *is.I) {
		_, _, owner, _ := newPair(t)
		publish := func(parts int) {
			owner.handleGossipedParts("x", fmt.Appendf(nil, `[{"s":%q,"d":%q,"n":%d}]`, testGroup.service, testGroup.dataCentre, parts))
		}
		for _, update := range []struct{ parts, want int }{{4, 4}, {2, 4}, {8, 8}, {maxParts + 1, 8}, {-1, 8}} {
			publish(update.parts)
			synctest.Wait()
			is.Equal(owner.partsIn(testGroup), update.want)
		}
		owner.handleGossipedParts("x", []byte("{")) // As from another version of this program.
		is.Equal(owner.partsIn(testGroup), 8)
	})
}

// TestSplitHandsEndpointsOverToTheOwnersOfTheirPools splits a group of pools of which two members own some
// each.
func TestSplitHandsEndpointsOverToTheOwnersOfTheirPools(t *testing.T) {
	withVirtualClock(t, func(t *testing.T, is *is.I) {
		n, _, owner, _ := newPair(t)
		other, _ := newPools(t, n, second1)
		for _, e := range leasedEndpoints(24) {
			owner.step(pool1, poolstate.Announced{Endpoint: e})
		}
		n.setAlive(origin1, owner1, second1)
		raiseParts(8, owner, other)
		time.Sleep(time.Second) // On the virtual clock: for the handovers.
		synctest.Wait()
		mine, theirs := owner.servingByPart(), other.servingByPart()
		is.Equal(total(mine)-1+total(theirs), 24)
		is.True(total(theirs) > 0)
		for part := range theirs {
			is.Equal(assignOwners([]port.Node{owner1, second1}, testGroup, 8)[part].ID, second1.ID)
		}
	})
}

// Pattern: a member that does not know that a group has been split, such as one that has just started, hands its pool over.
// Guards against endpoints that stay in a pool which they do not belong to: its owner gets no announcements of them, uses
// them beside the owners of their pools, and does not learn that they leave.
func TestHandoverOfUnsplitPoolBringsEndpointsToTheirPools(t *testing.T) {
	withVirtualClock(t, func(t *testing.T, is *is.I) {
		n, _, owner, _ := newPair(t)
		other, _ := newPools(t, n, second1)
		n.setAlive(origin1, owner1, second1)
		raiseParts(8, owner, other)
		receiver := owner // The owner of the first of the pools.
		if owner.ownerOf(pool1).ID == second1.ID {
			receiver = other
		}
		receiver.handleHandover(t.Context(), "started-just-now", handover{Pool: pool1, Endpoints: leasedEndpoints(24), Parts: 1})
		time.Sleep(time.Second) // On the virtual clock: until the endpoints have been passed on.
		synctest.Wait()
		for _, p := range []*Pools{owner, other} {
			expected := make(map[int]int)
			for _, e := range leasedEndpoints(24) {
				if id := p.poolOf(e); p.owns(id) {
					expected[id.Part]++
				}
			}
			if p == owner {
				expected[0]++ // The pair's endpoint without a lease, which stays where it announces itself.
			}
			is.Equal(p.servingByPart(), expected)
		}
	})
}

// Pattern: an endpoint announces itself to a member that does not know that the group has been split, such as a control VM
// that has just started. Guards against announcements that nobody records until gossip has told the member of the split.
func TestAnnouncementOverAMemberThatDoesNotKnowOfASplitIsRecorded(t *testing.T) {
	withVirtualClock(t, func(t *testing.T, is *is.I) {
		n, origin, owner, _ := newPair(t)
		other, _ := newPools(t, n, second1)
		n.setAlive(origin1, owner1, second1)
		raiseParts(8, owner, other)
		for _, e := range leasedEndpoints(24) {
			is.True(origin.Announce(t.Context(), e).Recorded)
		}
		is.Equal(origin.partsIn(testGroup), 8)
		is.True(n.calls[methodAnnounce] <= 25) // Only the first one goes to a member that does not own its pool.
	})
}

// Pattern: the receiver of a handover does not know that the group has been split. Guards against endpoints that the two
// send back and forth.
func TestHandoverTellsTheNumberOfPools(t *testing.T) {
	withVirtualClock(t, func(t *testing.T, is *is.I) {
		n, _, owner, _ := newPair(t)
		other, _ := newPools(t, n, second1)
		for _, e := range leasedEndpoints(24) {
			owner.step(pool1, poolstate.Announced{Endpoint: e})
		}
		n.setAlive(origin1, owner1, second1)
		owner.raiseParts(testGroup, 8)
		time.Sleep(time.Second) // On the virtual clock: for the handovers.
		synctest.Wait()
		is.Equal(other.partsIn(testGroup), 8)
		is.Equal(total(owner.servingByPart())-1+total(other.servingByPart()), 24)
		is.True(n.calls[methodHandover] <= 8)
	})
}

// Pattern: a large group whose endpoints the hash spreads unevenly. Guards against all its pools being halved for one that
// is larger than the others: jobs of many tasks then fit into none of them. The others may not have learned yet that few tasks fill
// an endpoint, and report more slots than this pool.
func TestPoolThatIsLargeByChanceIsNotSplit(t *testing.T) {
	for _, c := range []struct {
		others int // Endpoints of each of the other pools.
		slots  int // Slots of each of them.
		split  bool
	}{{10, 10, false}, {10, 100, false}, {100, 100, true}, {100, 10, true}} {
		withVirtualClock(t, func(t *testing.T, is *is.I) {
			_, _, owner, _ := newPair(t)
			owner.raiseParts(testGroup, 4)
			var mine []model.Endpoint
			id := model.PoolID{Service: testGroup.service, DataCentre: testGroup.dataCentre}
			for _, e := range leasedEndpoints(60) {
				if owner.poolOf(e) == id {
					mine = append(mine, e)
				}
			}
			for part := 1; part < 4; part++ {
				other := model.PoolID{Service: id.Service, DataCentre: id.DataCentre, Part: part}
				owner.updateLoad(model.PoolLoad{Pool: other, Owner: "other", Version: 1, Endpoints: c.others, Slots: c.slots})
			}
			owner.settings.SplitAbove = len(mine) - 1
			for _, e := range mine {
				owner.step(id, poolstate.Announced{Endpoint: e})
			}
			owner.splitIfLarge(id)
			time.Sleep(2 * splitAgainDelay) // On the virtual clock.
			synctest.Wait()
			is.Equal(owner.partsIn(testGroup) > 4, c.split)
		})
	}
}

// recordingGossip keeps the newest value that was published.
type recordingGossip struct {
	noGossip
	published string
}

func (g *recordingGossip) Publish(_ string, value []byte) { g.published = string(value) }

// Each member publishes the numbers of pools in its own data centre, and those of pools elsewhere that it owns because no
// member there can; not all that it knows, since every member knows all of them.
func TestNumbersOfPoolsArePublishedByTheirOwners(t *testing.T) {
	withVirtualClock(t, func(t *testing.T, is *is.I) {
		_, _, owner, _ := newPair(t)
		gossip := &recordingGossip{}
		owner.gossip = gossip
		owner.raiseParts(testGroup, 4)
		is.True(strings.Contains(gossip.published, `"n":4`))
		elsewhere := poolGroup{testGroup.service, "sj9"}
		owner.raiseParts(elsewhere, 4)
		is.True(!strings.Contains(gossip.published, "sj9"))
		for part := range 4 {
			owner.step(model.PoolID{Service: elsewhere.service, DataCentre: elsewhere.dataCentre, Part: part}, poolstate.Elapsed{})
		}
		owner.raiseParts(elsewhere, 8)
		is.True(strings.Contains(gossip.published, "sj9"))
	})
}

// Pattern: another member splits a group just before this one's own split is due, and the reported loads are those from before
// it. Guards against a second split for endpoints that count twice: the pools would be half as large as needed for as long as
// the cluster runs, and jobs of many tasks would fit into none of them.
func TestSplitWaitsUntilTheEndpointsOfAnEarlierOneHaveMoved(t *testing.T) {
	withVirtualClock(t, func(t *testing.T, is *is.I) {
		_, _, owner, _ := newPair(t)
		owner.settings.SplitAbove = 12
		owner.raiseParts(testGroup, 2)
		poolOfPart := func(part int) model.PoolID {
			return model.PoolID{Service: testGroup.service, DataCentre: testGroup.dataCentre, Part: part}
		}
		report := func(version uint64, endpoints int, parts ...int) {
			for _, part := range parts {
				owner.updateLoad(model.PoolLoad{Pool: poolOfPart(part), Owner: "other", Version: version, Endpoints: endpoints})
			}
		}
		report(1, 40, 1)
		staying := 0
		for i := 0; staying < 14; i++ { // Endpoints that are in the member's pool before and after the split.
			e := leasedEndpoints(i + 1)[i]
			if xxhash.Sum64String(e.Address)%4 == 0 {
				owner.step(poolOfPart(0), poolstate.Announced{Endpoint: e})
				staying++
			}
		}
		owner.splitIfLarge(poolOfPart(0))
		time.Sleep(splitAgainDelay - 10*time.Millisecond) // On the virtual clock: until shortly before the member's own split.
		owner.raiseParts(testGroup, 4)
		time.Sleep(splitAgainDelay / 2) // On the virtual clock: while the endpoints may still be moving.
		report(2, 10, 1, 2, 3)
		time.Sleep(2 * splitAgainDelay) // On the virtual clock: until the group has settled.
		synctest.Wait()
		is.Equal(owner.partsIn(testGroup), 4)
	})
}

// Pattern: owners with half of the processor for which the limit is set. Guards against pools that are too large for their
// owners, and against pools that are smaller than large owners need.
func TestLimitOfASplitFollowsTheWeightsOfTheOwners(t *testing.T) {
	withVirtualClock(t, func(t *testing.T, is *is.I) {
		n, _, owner, _ := newPair(t)
		owner.settings.SplitAbove = 78
		for _, c := range []struct {
			weight, callers float64
			limit           int
		}{{0, 0, 78}, {1, 0, 78}, {0.192, 0, 15}, {0.48, 0, 37}, {0.48, 0.08, 31}, {0.192, 0.08, 9}, {0.05, 0.08, 1}} {
			self := owner1
			self.Weight, owner.settings.CallersWeight = c.weight, c.callers
			n.setAlive(origin1, self)
			is.Equal(owner.endpointsPerPool(testGroup), c.limit)
		}
	})
}
