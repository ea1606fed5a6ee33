package endpoints

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"redwingpulley/kernel/model"
	"redwingpulley/kernel/port"
	"redwingpulley/plugins/endpoints/poolstate"
)

var testPlace = poolGroup{pool1.Service, pool1.DataCentre}

// crowd returns leased endpoints of one slot.
func crowd(count int) (all []model.Endpoint) {
	for i := range count {
		e := leased(1, model.EndpointServing).Endpoint
		e.ID, e.Address, e.Slots = model.EndpointID(fmt.Sprintf("l%d", i)), fmt.Sprintf("l%d", i), 1
		all = append(all, e)
	}
	return all
}

// serving returns how many endpoints each pool of a member gives work.
func (p *Pools) serving() map[int]int {
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

func TestALargePoolIsSplitAndNoEndpointIsLost(t *testing.T) {
	inBubble(t, func(t *testing.T, is *is.I) {
		_, _, owner, _ := pair(t)
		owner.settings.SplitAbove = 5
		for _, e := range crowd(24) {
			is.True(owner.Announce(t.Context(), e).Recorded)
		}
		time.Sleep(2 * splitDelay) // On the virtual clock: until the split has been made.
		synctest.Wait()
		counts := owner.serving()
		counts[0]-- // The endpoint without a lease stays where it is.
		is.Equal(total(counts), 24)
		is.True(owner.partsAt(testPlace) >= 8) // 24 endpoints, at most five each.
		for _, e := range crowd(24) {
			e.Sequence = 2
			is.True(owner.Announce(t.Context(), e).Recorded) // To the pool that has it by now.
		}
		counts = owner.serving()
		counts[0]--
		is.Equal(total(counts), 24)
	})
}

func TestASmallPoolStaysWhole(t *testing.T) {
	inBubble(t, func(t *testing.T, is *is.I) {
		_, _, owner, _ := pair(t)
		owner.settings.SplitAbove = 12
		for _, e := range crowd(11) {
			owner.Announce(t.Context(), e)
		}
		time.Sleep(2 * splitDelay) // On the virtual clock: as long as a split would take.
		synctest.Wait()
		is.Equal(owner.partsAt(testPlace), 1)
	})
}

// TestMembersTakeTheLargestNumberOfPools, whatever the order in which they hear of several.
func TestMembersTakeTheLargestNumberOfPools(t *testing.T) {
	inBubble(t, func(t *testing.T, is *is.I) {
		_, _, owner, _ := pair(t)
		tell := func(parts int) {
			owner.handleGossipedParts("x", fmt.Appendf(nil, `[{"s":%q,"d":%q,"n":%d}]`, testPlace.service, testPlace.dataCentre, parts))
		}
		for _, told := range []struct{ parts, want int }{{4, 4}, {2, 4}, {8, 8}, {maxParts + 1, 8}, {-1, 8}} {
			tell(told.parts)
			synctest.Wait()
			is.Equal(owner.partsAt(testPlace), told.want)
		}
		owner.handleGossipedParts("x", []byte("{")) // Of another version of this program.
		is.Equal(owner.partsAt(testPlace), 8)
	})
}

// TestASplitHandsEndpointsToTheOwnersOfTheirPools has two members, of which each owns some of the pools.
func TestASplitHandsEndpointsToTheOwnersOfTheirPools(t *testing.T) {
	inBubble(t, func(t *testing.T, is *is.I) {
		n, _, owner, _ := pair(t)
		second := port.Node{ID: "second", Incarnation: "s1", DataCentre: "sj1"}
		other, _ := newPools(t, n, second)
		for _, e := range crowd(24) {
			owner.step(pool1, poolstate.Announced{Endpoint: e})
		}
		n.setAlive(origin1, owner1, second)
		for _, p := range []*Pools{owner, other} {
			p.raiseParts(testPlace, 8)
		}
		time.Sleep(time.Second) // On the virtual clock: for the handovers.
		synctest.Wait()
		mine, theirs := owner.serving(), other.serving()
		is.Equal(total(mine)-1+total(theirs), 24)
		is.True(total(theirs) > 0)
		for part := range theirs {
			is.Equal(ownerAmong([]port.Node{owner1, second}, model.PoolID{Service: pool1.Service, DataCentre: pool1.DataCentre, Part: part}).ID, second.ID)
		}
	})
}
