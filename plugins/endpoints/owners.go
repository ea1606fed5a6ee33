package endpoints

import (
	"math"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"redwingpulley/kernel/model"
	"redwingpulley/kernel/port"
)

const (
	// shareTolerance keeps rounding errors of sums of weights from raising a share that is a whole number.
	shareTolerance = 1e-9

	// lightFraction is the part of the greatest weight below which a member owns no pools. Callers are spread evenly over members of
	// all sizes, so that a small one has little time left for tasks of other members' callers.
	lightFraction = 0.5
)

// groupOwners holds the owners of a group's pools, by part, by one membership view.
type groupOwners struct {
	view    *port.Node  // First element of the view's slice, which identifies the view.
	members []port.Node // The members that could own a pool of the group by that view.
	owners  []port.Node
}

// ownerOf returns the pool's owner by the current membership view.
func (p *Pools) ownerOf(id model.PoolID) (owner port.Node) {
	alive := p.membership.Alive()
	parts := p.partsFor(id)
	p.ownerCache.Do(groupOf(id), func(known map[poolGroup]groupOwners) {
		cached := known[groupOf(id)]
		if cached.view != &alive[0] || len(cached.owners) != parts {
			cached = cached.update(alive, groupOf(id), parts)
			known[groupOf(id)] = cached
		}
		owner = cached.owners[id.Part]
	})
	return owner
}

// update returns the owners by another view or number of pools. Most changes of a view concern members of other data centres and leave
// the owners as they are.
func (g groupOwners) update(alive []port.Node, group poolGroup, parts int) groupOwners {
	members := eligibleOwners(alive, group.dataCentre)
	if len(g.owners) == parts && slices.Equal(g.members, members) {
		return groupOwners{&alive[0], g.members, g.owners}
	}
	return groupOwners{&alive[0], members, ownersAmong(members, group, parts)}
}

// partsFor returns the number of pools in the pool's group, this one among them.
func (p *Pools) partsFor(id model.PoolID) int { return max(p.partsIn(groupOf(id)), id.Part+1) }

// assignOwners returns the owners of a group's pools among the given members, by part. A pool goes to the member with
// the highest score by weighted rendezvous hashing that does not have its share of the pools yet: otherwise some members
// would own several pools of a group while others own none, and a pool is served as fast as its owner.
func assignOwners(alive []port.Node, group poolGroup, parts int) []port.Node {
	return ownersAmong(eligibleOwners(alive, group.dataCentre), group, parts)
}

// ownersAmong returns the same where the members that can own a pool of the group are known.
func ownersAmong(members []port.Node, group poolGroup, parts int) []port.Node {
	shares := poolShares(members, parts)
	owned := make([]int, len(members))
	owners := make([]port.Node, 0, parts)
	var key []byte
	for part := range parts {
		id := model.PoolID{Service: group.service, DataCentre: group.dataCentre, Part: part}
		key = append(append(key[:0], id.String()...), '|')
		best, highest := -1, 0.0
		for i, member := range members {
			if owned[i] >= shares[i] {
				continue
			}
			if s := score(key, member); best < 0 || s >= highest { // Members are sorted; the last of equal ones wins.
				best, highest = i, s
			}
		}
		owned[best]++
		owners = append(owners, members[best])
	}
	return owners
}

// poolShares returns the greatest number of pools of each member: its part of them by weight, rounded up.
func poolShares(members []port.Node, pools int) []int {
	total := totalWeight(members)
	shares := make([]int, len(members))
	for i, member := range members {
		shares[i] = int(math.Ceil(float64(pools)*weightOf(member)/total - shareTolerance))
	}
	return shares
}

func totalWeight(members []port.Node) (total float64) {
	for _, member := range members {
		total += weightOf(member)
	}
	return total
}

// weightOf returns a member's part of the pools relative to others. One that gives none, or one out of range, counts as 1.
func weightOf(member port.Node) float64 {
	if member.Weight > 0 && member.Weight <= model.MaxWeight {
		return member.Weight
	}
	return 1
}

// score returns a member's score for a pool, by weighted rendezvous hashing: a member has the highest one among several with a
// probability in proportion to its weight. key ends the pool's name with a separator.
func score(key []byte, member port.Node) float64 {
	uniform := (float64(rendezvousHash(key, member.ID)>>11) + 0.5) / (1 << 53) // Above 0 and below 1.
	return -weightOf(member) / math.Log(uniform)
}

// rendezvousHash returns the hash of a pool and a member.
func rendezvousHash(key []byte, member model.NodeID) uint64 {
	var buffer [128]byte
	return xxhash.Sum64(append(append(buffer[:0], key...), member...))
}

// eligibleOwners returns the members that can own a pool of the data centre, sorted by id: the preferred ones but for those
// that are much lighter than the heaviest.
func eligibleOwners(alive []port.Node, dataCentre model.DataCentre) []port.Node {
	return withoutLight(preferredMembers(alive, dataCentre))
}

// preferredMembers returns the members of a data centre that do not drain, or those of all data centres when there are none. When all
// members drain, they count as if they did not. Members in reserve are returned only when there are no others. They are sorted by id.
func preferredMembers(alive []port.Node, dataCentre model.DataCentre) []port.Node {
	preferences := []func(port.Node) bool{
		func(n port.Node) bool { return !n.Draining && n.DataCentre == dataCentre && !n.Reserve },
		func(n port.Node) bool { return !n.Draining && n.DataCentre == dataCentre },
		func(n port.Node) bool { return !n.Draining && !n.Reserve },
		func(n port.Node) bool { return !n.Draining },
		func(n port.Node) bool { return n.DataCentre == dataCentre && !n.Reserve },
		func(n port.Node) bool { return n.DataCentre == dataCentre },
		func(n port.Node) bool { return !n.Reserve },
	}
	for _, preferred := range preferences {
		if eligible := filter(alive, preferred); len(eligible) > 0 {
			return eligible
		}
	}
	return alive
}

// withoutLight returns the members that are not much lighter than the heaviest one.
func withoutLight(members []port.Node) []port.Node {
	heaviest := 0.0
	for _, member := range members {
		heaviest = max(heaviest, weightOf(member))
	}
	return filter(members, func(n port.Node) bool { return weightOf(n) >= lightFraction*heaviest })
}

func filter(nodes []port.Node, keep func(port.Node) bool) (kept []port.Node) {
	for _, n := range nodes {
		if keep(n) {
			kept = append(kept, n)
		}
	}
	slices.SortFunc(kept, func(a, b port.Node) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return kept
}
