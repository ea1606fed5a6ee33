package leases

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	"redwingpulley/kernel/model"
	"redwingpulley/kernel/port"
	"redwingpulley/plugins/leases/lease"
)

// fleet is the membership and the peers of the first of many members, in six data centres. It counts the calls to each.
type fleet struct {
	soleMember
	members []port.Node
	mu      sync.Mutex
	calls   map[model.NodeID]int
}

func newFleet(size int) *fleet {
	f := &fleet{calls: make(map[model.NodeID]int)}
	for i := range size {
		f.members = append(f.members, port.Node{ID: model.NodeID(fmt.Sprint("n", i)), DataCentre: model.DataCentre(fmt.Sprint("sj", i%6))})
	}
	return f
}

func (f *fleet) Self() port.Node    { return f.members[0] }
func (f *fleet) Alive() []port.Node { return f.members }

func (f *fleet) Call(_ context.Context, to model.NodeID, _ string, _, _ any) port.Delivery {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls[to]++
	return port.Delivered
}

// called returns the number of calls, and of those to members outside a data centre, since the last time.
func (f *fleet) called(dataCentre model.DataCentre) (all, outside int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, n := range f.members {
		all += f.calls[n.ID]
		if n.DataCentre != dataCentre {
			outside += f.calls[n.ID]
		}
	}
	clear(f.calls)
	return all, outside
}

// claimingFleet is a fleet of which one member claims all runs that it is asked for.
type claimingFleet struct {
	*fleet
	claimant model.NodeID
}

func (f *claimingFleet) Call(ctx context.Context, to model.NodeID, method string, request, reply any) port.Delivery {
	if claim, asked := request.(claimRequest); asked && to == f.claimant {
		reply.(*claimReply).Runs = claim.Runs
	}
	return f.fleet.Call(ctx, to, method, request, reply)
}

// newFleetLeases returns the plug-in of the first of 153 members, of which the given one claims all runs.
func newFleetLeases(t *testing.T, claimant model.NodeID) (*Leases, *fleet) {
	f := &claimingFleet{newFleet(153), claimant}
	l := &Leases{settings: defaultSettings, client: &unreachableEndpoint{}, peers: f, membership: f}
	l.init(slog.New(slog.DiscardHandler), metrics.NewRegistry())
	t.Cleanup(func() { l.Stop() })
	return l, f.fleet
}

// Guards against messages that grow with the number of endpoints times that of all members: after each handover of a pool the next owner
// asked all members of the group, for each endpoint, which runs they wait for.
func TestMembersOfOtherDataCentresAreNotAskedForRunsThatOneOfItsOwnClaims(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l, f := newFleetLeases(t, "n6")
		l.queryClaims(port.EndpointIncarnation{ID: "e", DataCentre: "sj0"}, lease.ClaimQuery{Runs: []port.TaskRun{{Key: "k", Attempt: 1}}})
		synctest.Wait()
		asked, outside := f.called("sj0")
		is.Equal(asked, 25)
		is.Equal(outside, 0)
	})
}

// Guards against a task that starts again although its run has ended: while no member of the endpoint's data centre could own the pool, one
// of another did and ordered runs there, was not asked for them, and did not get their ends.
func TestMembersOfOtherDataCentresAreAskedForRunsThatNoneOfItsOwnClaims(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l, f := newFleetLeases(t, "n7")
		at, run := port.EndpointIncarnation{ID: "e", DataCentre: "sj0"}, port.TaskRun{Key: "k", Attempt: 1}
		l.queryClaims(at, lease.ClaimQuery{Runs: []port.TaskRun{run}})
		synctest.Wait()
		asked, _ := f.called("sj0")
		is.Equal(asked, 152)
		l.forwardEnds(at, []lease.ForwardedEnd{{End: port.RunEnd{Number: 1, Run: run, How: port.TaskDone}}})
		synctest.Wait()
		told, _ := f.called("sj0")
		is.Equal(told, 152)
	})
}

// busyMember is one of two members of a data centre, which answers no call before a time.
type busyMember struct {
	*fleet
	until time.Time
}

func (b *busyMember) Call(ctx context.Context, to model.NodeID, method string, request, reply any) port.Delivery {
	if time.Now().Before(b.until) {
		<-ctx.Done()
		return port.Unknown
	}
	return b.fleet.Call(ctx, to, method, request, reply)
}

// Guards against a task that starts again although its run has ended: the end was sent twice within 0.3 s to the member that waits for it,
// which was busy for longer, and never again. It takes its run for lost 1.3 s after its last claim.
func TestEndOfAClaimedRunReachesAClaimantThatIsBusyForAWhile(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := &busyMember{newFleet(12), time.Now().Add(time.Second)}
		l := &Leases{settings: defaultSettings, client: &unreachableEndpoint{}, peers: b, membership: b}
		l.init(slog.New(slog.DiscardHandler), metrics.NewRegistry())
		t.Cleanup(func() { l.Stop() })
		at := port.EndpointIncarnation{ID: "e", DataCentre: "sj0"}
		end := port.RunEnd{Number: 1, Run: port.TaskRun{Key: "k", Attempt: 1}, How: port.TaskDone}
		l.forwardEnds(at, []lease.ForwardedEnd{{End: end, To: "n6"}})
		time.Sleep(1300 * time.Millisecond) // On the virtual clock.
		b.mu.Lock()
		defer b.mu.Unlock()
		is.Equal(b.calls["n6"], 1)
	})
}
