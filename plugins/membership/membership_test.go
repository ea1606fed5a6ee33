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

// network carries calls between shells in one process, each after a millisecond.
type network struct {
	mu    sync.Mutex
	nodes map[model.NodeID]*endpoint
	cut   map[[2]model.NodeID]bool
	bytes int
	calls int
}

// endpoint is the network's port.Peers of one node.
type endpoint struct {
	network  *network
	self     model.NodeID
	handlers map[string]port.Handler
}

func (e *endpoint) Handle(method string, h port.Handler) { e.handlers[method] = h }
func (e *endpoint) Learn(model.NodeID, string)           {}

func (e *endpoint) Call(ctx context.Context, to model.NodeID, method string, request, reply any) port.Delivery {
	body, _ := json.Marshal(request) // The types of this package always encode.
	e.network.mu.Lock()
	target := e.network.nodes[to]
	lost := e.network.cut[[2]model.NodeID{e.self, to}] || e.network.cut[[2]model.NodeID{to, e.self}]
	e.network.mu.Unlock()
	if target == nil {
		return port.NotSent
	}
	if lost {
		<-ctx.Done()
		return port.Unknown
	}
	time.Sleep(time.Millisecond) // On the virtual clock of the test's bubble.
	out, err := target.handlers[method](ctx, e.self, func(v any) error { return json.Unmarshal(body, v) })
	if err != nil {
		return port.Unknown
	}
	answer, _ := json.Marshal(out) // As above.
	e.network.mu.Lock()
	e.network.bytes += len(body) + len(answer)
	e.network.calls++
	e.network.mu.Unlock()
	if json.Unmarshal(answer, reply) != nil {
		return port.Unknown
	}
	return port.Delivered
}

func (n *network) set(id model.NodeID, e *endpoint) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.nodes[id] = e
}

func (n *network) cutOff(id model.NodeID, all []*process) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, p := range all {
		n.cut[[2]model.NodeID{id, p.id}] = true
	}
}

func (n *network) heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.cut)
}

// process is one node's plug-in with the host that runs it.
type process struct {
	id     model.NodeID
	shell  *Membership
	health *plugin.Health
	host   *plugin.Host
}

func (n *network) start(is *is.I, id model.NodeID, count int, raw string) *process {
	is.Helper()
	s := settings.Settings{Node: id, Plugins: map[string]json.RawMessage{}}
	if raw != "" {
		s.Plugins["membership"] = json.RawMessage(raw)
	}
	for i := range count {
		s.Members = append(s.Members, settings.Member{
			Node: nodeID(i), DataCentre: "dc", Peers: fmt.Sprintf("10.0.0.%d:1", i), Endpoints: fmt.Sprintf("10.0.0.%d:2", i),
		})
	}
	p := &process{id: id, shell: &Membership{}}
	e := &endpoint{network: n, self: id, handlers: make(map[string]port.Handler)}
	host, err := plugin.NewHost(s, slog.New(slog.DiscardHandler), []plugin.Definition{
		{ID: "peer.fake", Provides: []plugin.Port{plugin.PortOf[port.Peers]()}, New: func() plugin.Plugin { return &binder{e} }},
		{ID: "membership", Needs: []plugin.Port{plugin.PortOf[port.Peers]()}, New: func() plugin.Plugin { return p.shell }},
	})
	is.NoErr(err)
	p.host, p.health = host, host.Health
	n.set(id, e)
	is.NoErr(host.Start())
	return p
}

type binder struct{ peers port.Peers }

func (b *binder) Provision(c *plugin.Context) error {
	plugin.Bind(c, b.peers)
	return nil
}

func nodeID(i int) model.NodeID { return model.NodeID(fmt.Sprintf("n%02d", i)) }

func newNetwork() *network {
	return &network{nodes: make(map[model.NodeID]*endpoint), cut: make(map[[2]model.NodeID]bool)}
}

func (n *network) startAll(is *is.I, count int) (all []*process) {
	is.Helper()
	for i := range count {
		all = append(all, n.start(is, nodeID(i), count, ""))
	}
	time.Sleep(time.Minute) // On the virtual clock of the test's bubble.
	synctest.Wait()
	for _, p := range all {
		is.Equal(len(p.shell.Alive()), count)
		is.True(p.shell.Fresh())
		for _, node := range p.shell.Alive() {
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

func TestShellsFindOneAnotherAndCarryValues(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newNetwork()
		got := make(chan string, 100)
		var all []*process
		for i := range 3 {
			p := n.start(is, nodeID(i), 3, "")
			all = append(all, p)
		}
		all[1].shell.Subscribe("topic", func(from model.NodeID, value []byte) { got <- string(from) + "=" + string(value) })
		time.Sleep(5 * time.Second)
		all[0].shell.Publish("topic", []byte("a"))
		time.Sleep(5 * time.Second)
		is.Equal(<-got, "n00=a")
		all[0].shell.Publish("topic", []byte("b"))
		all[0].shell.Publish("topic", []byte("c"))
		time.Sleep(5 * time.Second)
		is.Equal(<-got, "n00=c") // Only the newest is carried.
		is.Equal(len(got), 0)
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
		is.True(!first.shell.Fresh())
		second := n.start(is, nodeID(1), 2, "")
		time.Sleep(2 * time.Second)
		synctest.Wait()
		ready, _ = first.health.Ready()
		is.True(ready)
		stopAll(is, []*process{first, second})
	})
}

func TestAloneAfterAWhile(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newNetwork()
		only := n.start(is, nodeID(0), 3, "")
		time.Sleep(12 * time.Second)
		synctest.Wait()
		is.True(only.shell.Fresh())
		is.Equal(only.shell.Alive(), []port.Node{only.shell.Self()})
		stopAll(is, []*process{only})
	})
}

func TestLeaveAndStopAreKnownWithoutSuspicion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newNetwork()
		all := n.startAll(is, 5)
		changed := all[1].shell.Changed()
		left := all[0].shell.Self()
		all[0].shell.Leave(context.Background())
		<-changed
		is.True(all[1].shell.Alive()[0].Draining)
		is.True(!all[1].shell.Gone(left.ID, left.Incarnation))
		is.NoErr(all[0].host.Stop())
		is.Equal(len(all[4].shell.Alive()), 4)
		is.True(all[1].shell.Gone(left.ID, left.Incarnation))
		is.True(!all[1].shell.Gone("never-heard-of", "x"))
		stopAll(is, all[1:])
	})
}

func TestCutOffMemberDiesAndReturns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newNetwork()
		all := n.startAll(is, 5)
		n.cutOff(nodeID(2), all)
		time.Sleep(15 * time.Second)
		synctest.Wait()
		is.Equal(len(all[0].shell.Alive()), 4)
		is.Equal(len(all[2].shell.Alive()), 1)
		n.heal()
		time.Sleep(25 * time.Second)
		synctest.Wait()
		for _, p := range all {
			is.Equal(len(p.shell.Alive()), 5)
		}
		stopAll(is, all)
	})
}

func TestWrongSettingsAreNamed(t *testing.T) {
	is := is.New(t)
	s := settings.Settings{Node: "a", Plugins: map[string]json.RawMessage{"membership": json.RawMessage(`{"period_ms":1}`)}}
	_, err := plugin.NewHost(s, slog.New(slog.DiscardHandler), []plugin.Definition{
		{ID: "membership", New: func() plugin.Plugin { return &Membership{} }},
	})
	is.Equal(err.Error(), "plugins.membership.period_ms: must be at least 10")
}

// TestCostOfANode prints what one node sends at sizes from 3 to 60; it fails when that grows.
func TestCostOfANode(t *testing.T) {
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
	is.True(cost[60] < 7*1024/2)    // Half of a node's budget for control.
}
