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

// group is a few members over in-memory ports.
type group struct {
	nodes    []port.Node
	all      map[model.NodeID]*vm
	cut      atomic.Bool
	messages atomic.Int64
}

// vm is one member with the ports that its Quotas use.
type vm struct {
	group    *group
	node     port.Node
	quotas   port.Quotas
	host     *plugin.Host
	handlers map[string]port.Handler
}

func (v *vm) Self() port.Node                           { return v.node }
func (v *vm) Alive() []port.Node                        { return v.group.nodes }
func (v *vm) Changed() <-chan struct{}                  { return nil }
func (v *vm) Leave(context.Context)                     {}
func (v *vm) Fresh() bool                               { return true }
func (v *vm) Gone(model.NodeID, model.Incarnation) bool { return false }
func (v *vm) Doubt(model.NodeID)                        {}
func (v *vm) Handle(method string, h port.Handler)      { v.handlers[method] = h }
func (v *vm) Learn(model.NodeID, string)                {}

func (v *vm) Call(ctx context.Context, to model.NodeID, method string, request, reply any) port.Delivery {
	if v.group.cut.Load() {
		return port.NotSent
	}
	body, _ := json.Marshal(request) // The types of this package always encode.
	out, err := v.group.all[to].handlers[method](ctx, v.node.ID, func(into any) error { return json.Unmarshal(body, into) })
	if err != nil {
		return port.Unknown
	}
	v.group.messages.Add(2)
	answer, _ := json.Marshal(out) // As above.
	if json.Unmarshal(answer, reply) != nil {
		return port.Unknown
	}
	return port.Delivered
}

// Provision binds the member's ports.
func (v *vm) Provision(c *plugin.Context) error {
	plugin.Bind[port.Membership](c, v)
	plugin.Bind[port.Liveness](c, v)
	plugin.Bind[port.Peers](c, v)
	return nil
}

func newGroup(is *is.I, count int) (*group, []*vm) {
	is.Helper()
	g := &group{all: make(map[model.NodeID]*vm)}
	var s settings.Settings
	for i := range count {
		node := port.Node{ID: model.NodeID(fmt.Sprintf("n%d", i)), Incarnation: "1"}
		g.nodes = append(g.nodes, node)
		s.Members = append(s.Members, settings.Member{Node: node.ID})
	}
	var all []*vm
	for _, node := range g.nodes {
		v := &vm{group: g, node: node, handlers: make(map[string]port.Handler)}
		definitions := append(plugin.Registered(), plugin.Definition{
			ID: "ports", New: func() plugin.Plugin { return v },
			Provides: []plugin.Port{plugin.PortOf[port.Membership](), plugin.PortOf[port.Liveness](), plugin.PortOf[port.Peers]()},
		})
		host, err := plugin.NewHost(s, slog.New(slog.DiscardHandler), definitions)
		is.NoErr(err)
		is.NoErr(host.Start())
		v.host = host
		v.quotas, err = plugin.Lookup[port.Quotas](host)
		is.NoErr(err)
		g.all[node.ID] = v
		all = append(all, v)
	}
	return g, all
}

var profile = model.Profile{Name: "p", Quotas: map[model.TeamID]float64{"t": 100}}

// offer has the VMs take jobs of 5 tasks for a while, each at a rate in jobs a second, and returns
// the tasks that they took.
func offer(d time.Duration, rates map[*vm]int) (taken int) {
	for range int(d / time.Second) {
		for v, rate := range rates {
			for range rate {
				if ok, _ := v.quotas.Take(profile, "t", 5); ok {
					taken += 5
				}
			}
		}
		time.Sleep(time.Second)
		synctest.Wait()
	}
	return taken
}

func stop(is *is.I, all []*vm) {
	is.Helper()
	for _, v := range all {
		is.NoErr(v.host.Stop())
	}
}

func TestDemandAtOneMemberBorrowsFromTheOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g, all := newGroup(is, 4)
		time.Sleep(time.Minute)
		offer(time.Minute, map[*vm]int{all[0]: 40})
		taken := offer(time.Minute, map[*vm]int{all[0]: 40})
		is.True(taken > 60*55 && taken <= 60*100) // Its quarter, and half of each other quarter.
		g.cut.Store(true)
		offer(time.Minute, map[*vm]int{all[0]: 40})
		taken = offer(time.Minute, map[*vm]int{all[0]: 40})
		is.True(taken > 60*24 && taken <= 60*26) // Cut off, it serves its quarter.
		stop(is, all)
	})
}

func TestSumStaysWithinTheQuotaWhenAllWantMore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g, all := newGroup(is, 4)
		time.Sleep(time.Minute)
		rates := map[*vm]int{all[0]: 20, all[1]: 20, all[2]: 20, all[3]: 20}
		offer(time.Minute, rates)
		g.messages.Store(0)
		taken := offer(time.Minute, rates)
		is.True(taken > 60*95 && taken <= 60*100+20)
		is.True(g.messages.Load() < 60*4) // A saturated team costs less than a message a second and VM.
		stop(is, all)
	})
}

func TestNoMessageWhileDemandIsWithinTheEntitlement(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g, all := newGroup(is, 4)
		time.Sleep(time.Minute)
		offer(time.Minute, map[*vm]int{all[0]: 2, all[1]: 3})
		is.Equal(g.messages.Load(), int64(0))
		ok, _ := all[0].quotas.Take(profile, "without-quota", 1000)
		is.True(ok)
		stop(is, all)
	})
}
