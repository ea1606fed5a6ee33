package quota

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"redwingpulley/kernel/model"
	"redwingpulley/kernel/plugin"
	"redwingpulley/kernel/port"
	"redwingpulley/kernel/settings"
)

// cluster is a few members connected by in-memory ports.
type cluster struct {
	nodes       []port.Node
	members     map[model.NodeID]*testMember
	partitioned atomic.Bool
	messages    atomic.Int64
}

// testMember is one member, which implements the ports that its Quotas use.
type testMember struct {
	cluster  *cluster
	node     port.Node
	quotas   port.Quotas
	host     *plugin.Host
	handlers map[string]port.Handler
}

func (m *testMember) Self() port.Node                           { return m.node }
func (m *testMember) Alive() []port.Node                        { return m.cluster.nodes }
func (m *testMember) Changed() <-chan struct{}                  { return nil }
func (m *testMember) Leave(context.Context)                     {}
func (m *testMember) Fresh() bool                               { return true }
func (m *testMember) Pauses() uint64                            { return 0 }
func (m *testMember) Gone(model.NodeID, model.Incarnation) bool { return false }
func (m *testMember) RequestProbe(model.NodeID)                 {}
func (m *testMember) Handle(method string, h port.Handler)      { m.handlers[method] = h }
func (m *testMember) SetAddress(model.NodeID, string)           {}

func (*testMember) Encode(request any) (port.EncodedRequest, error) {
	plain, err := json.Marshal(request)
	return port.EncodedRequest{Plain: plain}, err
}

func (m *testMember) Call(ctx context.Context, to model.NodeID, method string, request, reply any) port.Delivery {
	if m.cluster.partitioned.Load() {
		return port.NotSent
	}
	body, _ := json.Marshal(request) // The types of this package always encode.
	out, err := m.cluster.members[to].handlers[method](ctx, m.node.ID, func(into any) error { return json.Unmarshal(body, into) })
	if err != nil {
		return port.Unknown
	}
	m.cluster.messages.Add(2)
	answer, _ := json.Marshal(out) // The replies of this package always encode, too.
	if json.Unmarshal(answer, reply) != nil {
		return port.Unknown
	}
	return port.Delivered
}

// Provision binds the member's ports.
func (m *testMember) Provision(c *plugin.Context) error {
	plugin.Bind[port.Membership](c, m)
	plugin.Bind[port.Liveness](c, m)
	plugin.Bind[port.Peers](c, m)
	return nil
}

func newCluster(is *is.I, count int) (*cluster, []*testMember) {
	is.Helper()
	c := &cluster{members: make(map[model.NodeID]*testMember)}
	var s settings.Settings
	for i := range count {
		node := port.Node{ID: model.NodeID(fmt.Sprintf("n%d", i)), Incarnation: "1"}
		c.nodes = append(c.nodes, node)
		s.Members = append(s.Members, settings.Member{Node: node.ID})
	}
	var members []*testMember
	for _, node := range c.nodes {
		m := &testMember{cluster: c, node: node, handlers: make(map[string]port.Handler)}
		definitions := append(plugin.Registered(), plugin.Definition{
			ID: "ports", New: func() plugin.Plugin { return m },
			Provides: []plugin.Port{plugin.PortOf[port.Membership](), plugin.PortOf[port.Liveness](), plugin.PortOf[port.Peers]()},
		})
		host, err := plugin.NewHost(s, slog.New(slog.DiscardHandler), definitions)
		is.NoErr(err)
		is.NoErr(host.Start())
		m.host = host
		m.quotas, err = plugin.Lookup[port.Quotas](host)
		is.NoErr(err)
		c.members[node.ID] = m
		members = append(members, m)
	}
	return c, members
}

var testProfile = model.Profile{Name: "p", Quotas: map[model.TeamID]float64{"t": 100}}

// offerJobs offers jobs of 5 tasks to members for a duration, at a rate in jobs per second for each member,
// and returns the number of tasks that they took.
func offerJobs(d time.Duration, rates map[*testMember]int) (taken int) {
	for range int(d / time.Second) {
		for m, rate := range rates {
			for range rate {
				if ok, _ := m.quotas.Take(testProfile, "t", 5); ok {
					taken += 5
				}
			}
		}
		time.Sleep(time.Second)
		synctest.Wait()
	}
	return taken
}

func stopAll(is *is.I, members []*testMember) {
	is.Helper()
	for _, m := range members {
		is.NoErr(m.host.Stop())
	}
}

func TestMemberWithHighDemandBorrowsFromOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c, members := newCluster(is, 4)
		time.Sleep(time.Minute)
		offerJobs(time.Minute, map[*testMember]int{members[0]: 40})
		taken := offerJobs(time.Minute, map[*testMember]int{members[0]: 40})
		is.True(taken > 60*55 && taken <= 60*100) // Its own quarter plus half of each other quarter.
		c.partitioned.Store(true)
		offerJobs(time.Minute, map[*testMember]int{members[0]: 40})
		taken = offerJobs(time.Minute, map[*testMember]int{members[0]: 40})
		is.True(taken > 60*24 && taken <= 60*26) // During the partition it has its own quarter.
		stopAll(is, members)
	})
}

func TestTotalStaysWithinQuotaWhenAllMembersWantMore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c, members := newCluster(is, 4)
		time.Sleep(time.Minute)
		rates := map[*testMember]int{members[0]: 20, members[1]: 20, members[2]: 20, members[3]: 20}
		offerJobs(time.Minute, rates)
		c.messages.Store(0)
		taken := offerJobs(time.Minute, rates)
		is.True(taken > 60*95 && taken <= 60*100+20)
		is.True(c.messages.Load() < 60*4) // A saturated team costs less than one message per second and member.
		stopAll(is, members)
	})
}

func TestNoMessagesWhileDemandIsWithinEntitlement(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c, members := newCluster(is, 4)
		time.Sleep(time.Minute)
		offerJobs(time.Minute, map[*testMember]int{members[0]: 2, members[1]: 3})
		is.Equal(c.messages.Load(), int64(0))
		ok, _ := members[0].quotas.Take(testProfile, "without-quota", 1000)
		is.True(ok)
		stopAll(is, members)
	})
}
