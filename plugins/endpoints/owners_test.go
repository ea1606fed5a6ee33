package endpoints

import (
	"cmp"
	"fmt"
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

// Pattern: a data centre of two VMs with a third of a processor each more than its six others. Guards against pools whose
// tasks wait for the processor of a small VM while the large ones have time left.
func TestPoolsFollowTheWeightsOfTheirMembers(t *testing.T) {
	is := is.New(t)
	var alive []port.Node
	for i := range 8 {
		n := port.Node{ID: model.NodeID(fmt.Sprint("entry-", i)), DataCentre: "sj0", Weight: 0.144}
		if i < 2 {
			n.Weight = 0.48
		}
		alive = append(alive, n)
	}
	large := 0
	for group := range 40 {
		owned := make(map[model.NodeID]int)
		for _, owner := range assignOwners(alive, poolGroup{model.ServiceID(fmt.Sprint("service-", group)), "sj0"}, 8) {
			owned[owner.ID]++
		}
		for _, n := range alive[2:] {
			is.True(owned[n.ID] <= 1) // Eight pools times 0.144 of 1.824, rounded up.
		}
		large += owned["entry-0"] + owned["entry-1"]
	}
	mean := float64(large) / 40
	is.True(mean > 3.5 && mean < 5) // Eight pools times 0.96 of 1.824 are 4.2.
}

// Guards against shares that rounding makes one too large: the members would not be loaded evenly.
func TestSharesOfEqualMembersAreExact(t *testing.T) {
	is := is.New(t)
	for _, weight := range []float64{0, 0.1, 0.192, 3} {
		var members []port.Node
		for range 7 {
			members = append(members, port.Node{Weight: weight})
		}
		is.Equal(poolShares(members, 21), []int{3, 3, 3, 3, 3, 3, 3})
		is.Equal(poolShares(members, 22)[0], 4)
	}
}
