package membership

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"redwingpulley/kernel/model"
	"redwingpulley/kernel/plugin"
	"redwingpulley/kernel/port"
	"redwingpulley/kernel/settings"
)

// network carries calls between members within the test's process, each with a delay of one
// millisecond.
type network struct {
	mu      sync.Mutex
	nodes   map[model.NodeID]*fakePeers
	blocked map[[2]model.NodeID]bool       // Pairs of nodes between which calls are lost.
	busy    map[model.NodeID]time.Duration // Further delay of the replies of nodes.
	bytes   int
	calls   int
}

// fakePeers is the port.Peers of one node of the network.
type fakePeers struct {
	network  *network
	self     model.NodeID
	handlers map[string]port.Handler
}

func (p *fakePeers) Handle(method string, h port.Handler) { p.handlers[method] = h }
func (p *fakePeers) SetAddress(model.NodeID, string)      {}

func (*fakePeers) Encode(request any) (port.EncodedRequest, error) {
	plain, err := json.Marshal(request)
	return port.EncodedRequest{Plain: plain}, err
}

func (p *fakePeers) Call(ctx context.Context, to model.NodeID, method string, request, reply any) port.Delivery {
	body, _ := json.Marshal(request) // Never fails for the types of this package.
	p.network.mu.Lock()
	target := p.network.nodes[to]
	lost := p.network.blocked[[2]model.NodeID{p.self, to}] || p.network.blocked[[2]model.NodeID{to, p.self}]
	p.network.mu.Unlock()
	if target == nil {
		return port.NotSent
	}
	if lost {
		<-ctx.Done()
		return port.Unknown
	}
	select {
	case <-time.After(time.Millisecond + p.network.delayOf(to)): // On the virtual clock of the test's bubble.
	case <-ctx.Done():
		return port.Unknown
	}
	out, err := target.handlers[method](ctx, p.self, func(v any) error { return json.Unmarshal(body, v) })
	if err != nil {
		return port.Unknown
	}
	answer, _ := json.Marshal(out) // Never fails either.
	p.network.mu.Lock()
	p.network.bytes += len(body) + len(answer)
	p.network.calls++
	p.network.mu.Unlock()
	if json.Unmarshal(answer, reply) != nil {
		return port.Unknown
	}
	return port.Delivered
}

func (n *network) attach(id model.NodeID, p *fakePeers) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.nodes[id] = p
}

// isolate puts a partition between a node and all others.
func (n *network) isolate(id model.NodeID, all []*process) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, p := range all {
		n.blocked[[2]model.NodeID{id, p.id}] = true
	}
}

func (n *network) delayOf(id model.NodeID) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.busy[id]
}

func (n *network) heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.blocked)
}

// process is a node's membership plug-in with the host that runs it.
type process struct {
	id         model.NodeID
	membership *Membership
	health     *plugin.Health
	host       *plugin.Host
}

// start starts a node whose settings list count members.
func (n *network) start(is *is.I, id model.NodeID, count int, pluginSettings string) *process {
	is.Helper()
	s := settings.Settings{Node: id}
	for i := range count {
		s.Members = append(s.Members, settings.Member{
			Node: nodeID(i), DataCentre: "dc", Peers: fmt.Sprintf("10.0.0.%d:1", i), Endpoints: fmt.Sprintf("10.0.0.%d:2", i),
		})
	}
	return n.startNode(is, s, pluginSettings)
}

// startNode starts a node with the given settings.
func (n *network) startNode(is *is.I, s settings.Settings, pluginSettings string) *process {
	is.Helper()
	id := s.Node
	if pluginSettings != "" {
		s.Plugins = map[string]json.RawMessage{"membership": json.RawMessage(pluginSettings)}
	}
	p := &process{id: id, membership: &Membership{}}
	peers := &fakePeers{network: n, self: id, handlers: make(map[string]port.Handler)}
	host, err := plugin.NewHost(s, slog.New(slog.DiscardHandler), []plugin.Definition{
		{ID: "peer.fake", Provides: []plugin.Port{plugin.PortOf[port.Peers]()}, New: func() plugin.Plugin { return &peersPlugin{peers} }},
		{ID: "membership", Needs: []plugin.Port{plugin.PortOf[port.Peers]()}, New: func() plugin.Plugin { return p.membership }},
	})
	is.NoErr(err)
	p.host, p.health = host, host.Health
	n.attach(id, peers)
	is.NoErr(host.Start())
	return p
}

// peersPlugin is a plug-in that provides the fake port.Peers.
type peersPlugin struct{ peers port.Peers }

func (p *peersPlugin) Provision(c *plugin.Context) error {
	plugin.Bind(c, p.peers)
	return nil
}

func nodeID(i int) model.NodeID { return model.NodeID(fmt.Sprintf("n%02d", i)) }

func newNetwork() *network {
	return &network{nodes: make(map[model.NodeID]*fakePeers), blocked: make(map[[2]model.NodeID]bool)}
}

// startAll starts count nodes and waits until all see each other.
func (n *network) startAll(is *is.I, count int) (all []*process) {
	is.Helper()
	for i := range count {
		all = append(all, n.start(is, nodeID(i), count, ""))
	}
	time.Sleep(time.Minute) // On the virtual clock of the test's bubble.
	synctest.Wait()
	for _, p := range all {
		is.Equal(len(p.membership.Alive()), count)
		is.True(p.membership.Fresh())
		for _, node := range p.membership.Alive() {
			is.True(node.Incarnation != "")
		}
	}
	return all
}

func stopAll(is *is.I, all []*process) {
	is.Helper()
	for _, p := range all {
		is.NoErr(p.host.Stop())
	}
}

func TestMembersDiscoverEachOtherAndGossipValues(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newNetwork()
		received := make(chan string, 100)
		var all []*process
		for i := range 3 {
			p := n.start(is, nodeID(i), 3, "")
			all = append(all, p)
		}
		all[1].membership.Subscribe("topic", func(from model.NodeID, value []byte) { received <- string(from) + "=" + string(value) })
		time.Sleep(5 * time.Second)
		all[0].membership.Publish("topic", []byte("a"))
		time.Sleep(5 * time.Second)
		is.Equal(<-received, "n00=a")
		all[0].membership.Publish("topic", []byte("b"))
		all[0].membership.Publish("topic", []byte("c"))
		time.Sleep(5 * time.Second)
		is.Equal(<-received, "n00=c") // Only the newest value is gossiped.
		is.Equal(len(received), 0)
		stopAll(is, all)
	})
}

func TestReadyOnlyAfterFirstContact(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newNetwork()
		first := n.start(is, nodeID(0), 2, "")
		time.Sleep(time.Second)
		ready, _ := first.health.Ready()
		is.True(!ready)
		is.True(!first.membership.Fresh())
		second := n.start(is, nodeID(1), 2, "")
		time.Sleep(2 * time.Second)
		synctest.Wait()
		ready, _ = first.health.Ready()
		is.True(ready)
		stopAll(is, []*process{first, second})
	})
}

func TestViewBecomesFreshWhenNoOtherMemberAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newNetwork()
		only := n.start(is, nodeID(0), 3, "")
		time.Sleep(12 * time.Second)
		synctest.Wait()
		is.True(only.membership.Fresh())
		is.Equal(only.membership.Alive(), []port.Node{only.membership.Self()})
		stopAll(is, []*process{only})
	})
}

func TestLeaveAndStopAreVisibleToOthersAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newNetwork()
		all := n.startAll(is, 5)
		changed := all[1].membership.Changed()
		left := all[0].membership.Self()
		all[0].membership.Leave(context.Background())
		<-changed
		is.True(all[1].membership.Alive()[0].Draining)
		is.True(!all[1].membership.Gone(left.ID, left.Incarnation))
		is.NoErr(all[0].host.Stop())
		is.Equal(len(all[4].membership.Alive()), 4)
		is.True(all[1].membership.Gone(left.ID, left.Incarnation))
		is.True(!all[1].membership.Gone("never-heard-of", "x"))
		stopAll(is, all[1:])
	})
}

func TestPartitionedMemberIsRemovedAndRejoins(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newNetwork()
		all := n.startAll(is, 5)
		n.isolate(nodeID(2), all)
		time.Sleep(15 * time.Second)
		synctest.Wait()
		is.Equal(len(all[0].membership.Alive()), 4)
		is.Equal(len(all[2].membership.Alive()), 1)
		n.heal()
		time.Sleep(25 * time.Second)
		synctest.Wait()
		for _, p := range all {
			is.Equal(len(p.membership.Alive()), 5)
		}
		stopAll(is, all)
	})
}

// Guards against a member that is taken for dead while it is busy: a ping that was not answered within half a period was broken off, and
// the answers to the relayed pings were late as well.
func TestMemberThatAnswersLateIsNotSuspected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newNetwork()
		all := n.startAll(is, 5)
		defer stopAll(is, all)
		changes := func() (sum int64) {
			for _, p := range all {
				sum += p.membership.metrics.changes.Count()
			}
			return sum
		}
		before := changes()
		n.mu.Lock()
		n.busy = map[model.NodeID]time.Duration{nodeID(3): all[0].membership.period * 3 / 4}
		n.mu.Unlock()
		time.Sleep(40 * all[0].membership.period)
		is.Equal(changes(), before)
	})
}

func TestSettingsAreRejectedWhenPeriodIsTooShort(t *testing.T) {
	is := is.New(t)
	s := settings.Settings{Node: "a", Plugins: map[string]json.RawMessage{"membership": json.RawMessage(`{"period_ms":1}`)}}
	_, err := plugin.NewHost(s, slog.New(slog.DiscardHandler), []plugin.Definition{
		{ID: "membership", New: func() plugin.Plugin { return &Membership{} }},
	})
	is.Equal(err.Error(), "plugins.membership.period_ms: must be at least 10")
}

// TestTrafficPerNodeDoesNotGrowWithClusterSize logs the calls and bytes that a node sends per second
// in clusters of 3 to 60 nodes, and fails when the bytes grow with the size of the cluster.
func TestTrafficPerNodeDoesNotGrowWithClusterSize(t *testing.T) {
	cost := make(map[int]float64)
	for _, count := range []int{3, 9, 60} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			n := newNetwork()
			all := n.startAll(is, count)
			n.mu.Lock()
			n.bytes, n.calls = 0, 0
			n.mu.Unlock()
			time.Sleep(time.Minute)
			n.mu.Lock()
			bytes, calls := n.bytes, n.calls
			n.mu.Unlock()
			seconds := float64(count) * time.Minute.Seconds()
			cost[count] = float64(bytes) / seconds
			t.Logf("%d nodes: %.2f calls and %.0f bytes of JSON a second for each node", count, float64(calls)/seconds, cost[count])
			stopAll(is, all)
		})
	}
	is := is.New(t)
	is.True(cost[60] < 1.5*cost[9]) // The cost does not grow with the number of nodes.
	is.True(cost[60] < 7*1024/2)    // Half of a node's budget for control traffic, 7 KiB a second.
}

// Guards against an overloaded process that cannot be told from a slow network: what is late shows whether the process or what it waits
// for is at fault.
func TestLatenessOfTheProcessIsMeasured(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		all := newNetwork().startAll(is, 2)
		m := all[0].membership
		is.Equal(m.metrics.late.Max(), int64(0)) // The virtual clock is never late.
		m.mu.Lock()
		m.recordLateness(m.machine.NextTimer().Add(40 * time.Millisecond))
		m.mu.Unlock()
		is.Equal(m.metrics.late.Max(), int64(40))
		stopAll(is, all)
	})
}
