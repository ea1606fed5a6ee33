package membership

import (
	"context"
	"fmt"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"redwingpulley/kernel/model"
	"redwingpulley/kernel/settings"
)

const (
	fleetSeeds       = 3
	fleetDataCentres = 6
	fleetPeriod      = `{"period_ms": 250}`
)

// startFleet starts so many members that know three seeds, all at once.
func (n *network) startFleet(is *is.I, count int) (all []*process) {
	for i := range count {
		all = append(all, n.startWithSeeds(is, i))
	}
	return all
}

// startWithSeeds starts a member that knows the seeds only.
func (n *network) startWithSeeds(is *is.I, i int) *process {
	address := fleetAddress(i)
	s := settings.Settings{Node: model.NodeID(fmt.Sprintf("n%03d", i)), DataCentre: model.DataCentre(fmt.Sprint("dc", i%fleetDataCentres))}
	s.Listen.Peers = address
	for seed := range fleetSeeds {
		s.Seeds = append(s.Seeds, fleetAddress(seed))
	}
	p := n.startNode(is, s, fleetPeriod)
	n.mu.Lock()
	n.nodes[model.NodeID(address)] = n.nodes[p.id] // A seed is called by its address.
	n.mu.Unlock()
	return p
}

func fleetAddress(i int) string { return fmt.Sprintf("10.0.%d.%d:1", i/200, i%200+1) }

// cost is what a group has used.
type cost struct {
	calls, bytes, changes int
	processor             time.Duration
}

// spend returns what the group uses for an action and the time after it.
func (n *network) spend(t *testing.T, all []*process, d time.Duration, action func()) cost {
	n.mu.Lock()
	n.bytes, n.calls = 0, 0
	n.mu.Unlock()
	before := processorTime(t)
	var changes int
	ctx, stop := context.WithCancel(t.Context())
	counted := make(chan int)
	for _, p := range all {
		go func() { counted <- countChanges(ctx, p.membership) }()
	}
	action()
	time.Sleep(d) // On the virtual clock.
	stop()
	for range all {
		changes += <-counted
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return cost{n.calls, n.bytes, changes, processorTime(t) - before}
}

// countChanges returns how often a member's view has changed until the context ends.
func countChanges(ctx context.Context, m *Membership) (changes int) {
	for {
		select {
		case <-m.Changed():
			changes++
		case <-ctx.Done():
			return changes
		}
	}
}

func processorTime(t testing.TB) time.Duration {
	var used syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &used); err != nil {
		t.Fatal(err)
	}
	return time.Duration(used.Utime.Nano() + used.Stime.Nano())
}

// TestCostsOfAGroupBySize logs what a start of all members, an idle second, a planned restart and the end of a process cost groups of
// several sizes.
func TestCostsOfAGroupBySize(t *testing.T) {
	for _, count := range []int{8, 48, 153} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			n := newNetwork()
			var all []*process
			log := func(name string, c cost, per float64) {
				t.Logf("%3d members, %-15s for each member: %6.2f calls, %8.0f B, %5.2f changes of the view, %7.3f ms of a processor", count, name,
					float64(c.calls)/per, float64(c.bytes)/per, float64(c.changes)/per, c.processor.Seconds()*1000/per)
			}
			started := n.spend(t, nil, 5*time.Second, func() { all = n.startFleet(is, count) })
			log("start, 5 s", started, float64(count))
			for _, p := range all {
				is.Equal(len(p.membership.Alive()), count)
			}
			const idle = 4
			log("idle second", n.spend(t, all, idle*time.Second, func() {}), float64(count)*idle)
			restarted := n.spend(t, all[:count-1], 3*time.Second, func() {
				all[count-1].membership.Leave(t.Context())
				is.NoErr(all[count-1].host.Stop())
				all[count-1] = n.startWithSeeds(is, count-1)
			})
			log("restart, 3 s", restarted, float64(count))
			stopAll(is, all)
		})
	}
}

// Guards against issue 39, SHORT: each change of the view built a map of the records of all members, at each member.
func TestPublishingAViewAllocatesNothingForEachMember(t *testing.T) {
	allocations := func(count int) (allocations float64) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			n := newNetwork()
			all := n.startFleet(is, count)
			time.Sleep(5 * time.Second) // On the virtual clock.
			m := all[0].membership
			allocations = testing.AllocsPerRun(10, func() {
				m.mu.Lock()
				defer m.mu.Unlock()
				m.publishView(true)
			})
			stopAll(is, all)
		})
		return allocations
	}
	is := is.New(t)
	is.Equal(allocations(48), allocations(8))
}
