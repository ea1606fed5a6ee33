package endpoints

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"testing"

	"github.com/matryer/is"

	"redwingpulley/kernel/model"
	"redwingpulley/kernel/port"
)

// largeView returns the members of a deployment of six data centres.
func largeView(members int) (alive []port.Node) {
	for i := range members {
		alive = append(alive, port.Node{ID: model.NodeID(fmt.Sprintf("entry-%03d", i)), DataCentre: largeCentre(i)})
	}
	return alive
}

func largeCentre(i int) model.DataCentre { return model.DataCentre(fmt.Sprint("sj", i%6)) }

// ownerAmong returns the owner of a pool that is the last one of its group.
func ownerAmong(alive []port.Node, id model.PoolID) port.Node {
	return assignOwners(alive, groupOf(id), id.Part+1)[id.Part]
}

// compareScore compares the scores of two members of equal weight for a pool.
func compareScore(pool model.PoolID, a, b model.NodeID) int {
	key := []byte(pool.String() + "|")
	return cmp.Compare(rendezvousHash(key, a), rendezvousHash(key, b))
}

// Pattern: sixteen pools of a busy service in a data centre of 25 small VMs. Guards against a VM that owns three or four
// of them, whose tasks wait for its processor, beside VMs that own none.
func TestPoolsOfAGroupAreSpreadEvenly(t *testing.T) {
	is := is.New(t)
	const pools, vms = 16, 25
	var moved, worst int
	for group := range 40 {
		id := poolGroup{model.ServiceID(fmt.Sprint("service-", group)), "sj0"}
		alive := largeView(6 * vms)
		owners := assignOwners(alive, id, pools)
		owned := make(map[model.NodeID]int)
		for _, owner := range owners {
			owned[owner.ID]++
			is.Equal(owner.DataCentre, id.dataCentre)
			is.Equal(owned[owner.ID], 1)
		}
		lost := slices.IndexFunc(alive, func(n port.Node) bool { return n.ID == owners[0].ID })
		after := assignOwners(slices.Delete(alive, lost, lost+1), id, pools)
		moves := 0
		for part := range owners {
			if owners[part].ID != after[part].ID {
				moves++
			}
		}
		moved, worst = moved+moves, max(worst, moves)
	}
	is.True(moved <= 3*40) // The lost member's pool, and those that give way to one another.
	is.True(worst < pools)
}

// Owners do not depend on the order of the members, and a member that knows fewer pools of a group agrees on these while
// there is one member for each.
func TestMembersAgreeOnOwners(t *testing.T) {
	is := is.New(t)
	alive := largeView(150)
	group := poolGroup{"finder", "sj2"}
	owners := assignOwners(alive, group, 16)
	slices.Reverse(alive)
	is.Equal(assignOwners(alive, group, 16), owners)
	is.Equal(assignOwners(alive, group, 8), owners[:8])
}

// BenchmarkOwnersAfterViewChange measures what a change of the membership view costs each member that plans jobs: the
// owners of all pools, 16 in each of six data centres, by a new view of 267 members.
func BenchmarkOwnersAfterViewChange(b *testing.B) {
	alive := largeView(267)
	b.ReportAllocs()
	for b.Loop() {
		for centre := range 6 {
			assignOwners(alive, poolGroup{"finder", largeCentre(centre)}, 16)
		}
	}
}

// membersOfWeights returns members of one data centre with the given weights.
func membersOfWeights(weights ...float64) (members []port.Node) {
	for i, w := range weights {
		members = append(members, port.Node{ID: model.NodeID(fmt.Sprint("entry-", i)), DataCentre: "sj0", Weight: w})
	}
	return members
}

// poolsOwned returns how many of the pools of many groups of eight each member owns on average.
func poolsOwned(members []port.Node) map[model.NodeID]float64 {
	const groups = 40
	owned := make(map[model.NodeID]float64)
	for group := range groups {
		for _, owner := range assignOwners(members, poolGroup{model.ServiceID(fmt.Sprint("service-", group)), "sj0"}, 8) {
			owned[owner.ID] += 1.0 / groups
		}
	}
	return owned
}

// Pattern: VMs of which one has half as much processor again as the others. Guards against equal shares: the tasks of the pools
// of a smaller VM wait for its processor while the larger one has time left.
func TestPoolsFollowTheWeightsOfTheirMembers(t *testing.T) {
	is := is.New(t)
	owned := poolsOwned(membersOfWeights(0.3, 0.2, 0.2, 0.2))
	is.True(owned["entry-0"] > 2.3 && owned["entry-0"] <= 3) // Eight pools times 0.3 of 0.9 are 2.7.
	for _, id := range []model.NodeID{"entry-1", "entry-2", "entry-3"} {
		is.True(owned[id] > 1.4 && owned[id] <= 2) // 1.8.
	}
}

// Pattern: two large VMs beside six that are hardly large enough for the callers that reach them. Guards against pools at the
// small ones, also while one of the large ones is gone.
func TestMuchLighterMembersOwnNoPools(t *testing.T) {
	is := is.New(t)
	members := membersOfWeights(0.48, 0.48, 0.144, 0.144, 0.144, 0.144, 0.144, 0.144)
	is.Equal(len(poolsOwned(members)), 2)
	is.Equal(len(poolsOwned(members[1:])), 1)
	is.Equal(len(poolsOwned(members[2:])), 6)
}

// Guards against shares that rounding makes one too large: the members would not be loaded evenly.
func TestSharesOfEqualMembersAreExact(t *testing.T) {
	is := is.New(t)
	for _, weight := range []float64{0, 0.1, 0.192, 3} {
		members := membersOfWeights(slices.Repeat([]float64{weight}, 7)...)
		is.Equal(poolShares(members, 21), []int{3, 3, 3, 3, 3, 3, 3})
		is.Equal(poolShares(members, 22)[0], 4)
	}
}

// Pattern: one large VM, which owns all pools and does not reply, beside small ones. Guards against an endpoint that is told to
// announce itself to the owner only: it would get no work until other members consider the owner dead.
func TestEndpointIsSentToALightMemberWhileTheOwnerDoesNotReply(t *testing.T) {
	withVirtualClock(t, func(t *testing.T, is *is.I) {
		n, _, owner, _ := newPair(t)
		members := membersOfWeights(0.48, 0.144)
		n.setAlive(members...)
		is.Equal(owner.otherMember(model.PoolID{Service: "finder", DataCentre: "sj0"}, members[0]).ID, members[1].ID)
	})
}

// Guards against a member whose weight is out of range, by a fault of its own, and ends all others that look for an owner.
func TestWeightOutOfRangeLeavesEachPoolAnOwner(t *testing.T) {
	is := is.New(t)
	for _, odd := range []float64{math.MaxFloat64, math.Inf(1), math.NaN(), -1, math.SmallestNonzeroFloat64} {
		is.Equal(len(assignOwners(membersOfWeights(odd, odd, 1), poolGroup{"finder", "sj0"}, 8)), 8)
	}
}
