package endpoints

import (
	"fmt"
	"slices"
	"syscall"
	"testing"
	"time"

	"redwingpulley/kernel/model"
	"redwingpulley/kernel/port"
	"redwingpulley/plugins/endpoints/poolstate"
)

// fleetSizes are the members of the deployments whose costs are compared.
var fleetSizes = []int{8, 48, 153}

// fleetMember returns a member of a deployment of so many, with the loads of 16 pools in each of six data centres, a pool of
// 12 leased endpoints, the forwarded announcements of 180, and sessions with the others.
func fleetMember(members int) (p *Pools, m *fakeMember) {
	n := newNetwork()
	alive := largeView(members)
	n.setAlive(alive...)
	m = &fakeMember{network: n, node: alive[0]}
	p = newPoolsOn(m)
	for centre := range 6 {
		p.parts.Do(poolGroup{"finder", largeCentre(centre)}, func(all map[poolGroup]partCount) {
			all[poolGroup{"finder", largeCentre(centre)}] = partCount{count: 16}
		})
		for part := range 16 {
			id := model.PoolID{Service: "finder", DataCentre: largeCentre(centre), Part: part}
			p.updateLoad(model.PoolLoad{Pool: id, Owner: p.ownerOf(id).ID, Version: 1, Slots: 96, Free: 96})
		}
	}
	var own model.PoolID
	for part := range 16 {
		if id := (model.PoolID{Service: "finder", DataCentre: largeCentre(0), Part: part}); p.ownerOf(id).ID == m.node.ID {
			own = id
		}
	}
	for i := range 192 {
		e := model.Endpoint{ID: model.EndpointID(fmt.Sprint("e", i)), Service: "finder", DataCentre: largeCentre(0), Address: fmt.Sprint("10.0.0.1:", i), Slots: 8, State: model.EndpointServing, Leased: true}
		if i < 12 {
			p.step(own, poolstate.Announced{Endpoint: e})
			continue
		}
		p.rememberForwarded(e, alive[i%members])
	}
	for _, node := range alive[1:] {
		p.close(p.open(node))
	}
	return p, m
}

// departed returns the view without its last member and the view itself, in turn.
func departed(i int, alive []port.Node) []port.Node {
	return slices.Clone(alive[:len(alive)-i%2])
}

// processorTime returns the processor time that this process has used.
func processorTime(b testing.TB) time.Duration {
	var used syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &used); err != nil {
		b.Fatal(err)
	}
	return time.Duration(used.Utime.Nano() + used.Stime.Nano())
}

// BenchmarkViewChange measures what a change of the membership view costs each member in this plug-in.
func BenchmarkViewChange(b *testing.B) {
	reactions := []struct {
		name  string
		react func(*Pools)
	}{
		{"loads of lost owners", (*Pools).dropLoadsOfLostOwners},
		{"forwarded announcements", (*Pools).passOnEndpointsOfLostOwners},
		{"handovers", func(p *Pools) { p.handOver(p.baseCtx, p.ownerOf) }},
		{"origins", (*Pools).reportOrigins},
		{"sessions", (*Pools).cancelLostSessions},
		{"joins", func(p *Pools) { p.notifyJoined(p.currentView(), p.currentView()) }},
		{"owners of all pools", func(p *Pools) {
			for centre := range 6 {
				p.ownerOf(model.PoolID{Service: "finder", DataCentre: largeCentre(centre)})
			}
		}},
		{"all", func(p *Pools) {
			p.dropLoadsOfLostOwners()
			p.passOnEndpointsOfLostOwners()
			p.handOver(p.baseCtx, p.ownerOf)
			p.reportOrigins()
			p.cancelLostSessions()
			p.notifyJoined(p.currentView(), p.currentView())
			p.Loads("finder")
		}},
	}
	for _, r := range reactions {
		for _, members := range fleetSizes {
			b.Run(fmt.Sprintf("%s/members=%d", r.name, members), func(b *testing.B) {
				p, m := fleetMember(members)
				defer p.Stop()
				alive := m.Alive()
				b.ReportAllocs()
				start := processorTime(b)
				for i := 0; b.Loop(); i++ {
					m.setAlive(departed(i, alive)...)
					r.react(p)
				}
				b.ReportMetric(float64((processorTime(b)-start).Microseconds())/float64(b.N), "µs/change")
				b.ReportMetric(0, "ns/op")
			})
		}
	}
}
