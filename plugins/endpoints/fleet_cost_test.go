package endpoints

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"redwingpulley/kernel/model"
	"redwingpulley/kernel/port"
)

const (
	endpointsPerMember = 7 // As on a deployment of 153 members and 1,100 endpoints.
	fleetSplitAbove    = 20
)

// fleet is a group of members with leased endpoints in six data centres.
type fleet struct {
	network   *network
	members   []*Pools
	fakes     []*fakeMember
	nodes     []port.Node
	endpoints []model.Endpoint
}

func newFleet(t *testing.T, members int) *fleet {
	f := &fleet{network: newNetwork()}
	for _, node := range largeView(members) {
		node.Incarnation = model.Incarnation(node.ID)
		f.nodes = append(f.nodes, node)
	}
	f.network.setAlive(f.nodes...)
	for _, node := range f.nodes {
		p, m := newPools(t, f.network, node)
		p.settings.SplitAbove = fleetSplitAbove
		go p.watchOwnership()
		go p.watchOrigins()
		f.members, f.fakes = append(f.members, p), append(f.fakes, m)
	}
	for i := range endpointsPerMember * members {
		address := fmt.Sprint("10.0.0.1:", i)
		f.endpoints = append(f.endpoints, model.Endpoint{
			ID: model.EndpointID(address), Address: address, Service: "finder", DataCentre: largeCentre(i),
			Slots: 8, State: model.EndpointServing, Leased: true,
		})
	}
	return f
}

// announceAll has each endpoint announce itself, at the member that reach names.
func (f *fleet) announceAll(t *testing.T, reach func(i int, e model.Endpoint) *Pools) {
	for i, e := range f.endpoints {
		e.Sequence = uint64(time.Now().UnixNano())
		reach(i, e).Announce(t.Context(), e)
	}
}

// anyMember returns a member that mostly forwards the announcement.
func (f *fleet) anyMember(i int, _ model.Endpoint) *Pools { return f.members[(i*31+1)%len(f.members)] }

// owner returns the owner of the endpoint's pool.
func (f *fleet) owner(_ int, e model.Endpoint) *Pools {
	owner := f.members[0].ownerOf(f.members[0].poolOf(e)).ID
	return f.members[slices.IndexFunc(f.nodes, func(n port.Node) bool { return n.ID == owner })]
}

// fenced returns how many endpoints were to be fenced so far.
func (f *fleet) fenced() (count int) {
	f.network.mu.Lock()
	defer f.network.mu.Unlock()
	for _, m := range f.fakes {
		count += len(m.fences)
	}
	return count
}

// spend logs the messages, fences and processor time of an action and a second after it, for each of its parts.
func (f *fleet) spend(t *testing.T, name string, parts int, action func()) {
	f.network.mu.Lock()
	before := maps.Clone(f.network.calls)
	f.network.mu.Unlock()
	fenced, used := f.fenced(), processorTime(t)
	action()
	time.Sleep(time.Second) // On the virtual clock.
	used = processorTime(t) - used
	f.network.mu.Lock()
	calls := 0
	for method, count := range f.network.calls {
		calls += count - before[method]
	}
	f.network.mu.Unlock()
	per := float64(parts)
	t.Logf("%3d members, %-38s %7.2f messages, %7.2f fences, %9.1f µs of a processor", len(f.members), name,
		float64(calls)/per, float64(f.fenced()-fenced)/per, float64(used.Microseconds())/per)
}

// TestCostsOfAFleetBySize logs what announcements, splits, a departure and a lost run cost groups of several sizes. The encoding of
// messages is included, their connections are not.
func TestCostsOfAFleetBySize(t *testing.T) {
	for _, members := range fleetSizes {
		withVirtualClock(t, func(t *testing.T, is *is.I) {
			f := newFleet(t, members)
			count := len(f.endpoints)
			time.Sleep(time.Second) // On the virtual clock.
			f.spend(t, "first announcement, with the splits", count, func() { f.announceAll(t, f.anyMember) })
			for range 5 {
				f.announceAll(t, f.anyMember)
				time.Sleep(time.Second) // On the virtual clock.
			}
			f.spend(t, "announcement at any member", count, func() { f.announceAll(t, f.anyMember) })
			f.spend(t, "announcement at the pool's owner", count, func() { f.announceAll(t, f.owner) })
			owner := f.owner(0, f.endpoints[0]).membership.Self().ID
			f.spend(t, "departure of an owner", 1, func() {
				f.network.setAlive(slices.DeleteFunc(slices.Clone(f.nodes), func(n port.Node) bool { return n.ID == owner })...)
			})
			f.spend(t, "change of the view, for each member", members, func() { f.network.setAlive(slices.Clone(f.nodes)...) })
			f.spend(t, "lost run", 1, func() { f.members[0].recordLoss(taskRef{"job", 0}, "e", port.LossCrashed) })
			is.Equal(knowing(f.members, taskRef{"job", 0}), members)
		})
	}
}
