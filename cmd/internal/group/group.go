// Package group runs entry VMs and stand-in endpoints inside one process over loopback, for the
// demonstration and for experiments.
package group

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"path/filepath"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"

	"redwingpulley/bench/relay"
	"redwingpulley/bench/standin"
	"redwingpulley/cmd/internal/node"
	"redwingpulley/cmd/internal/ports"
	"redwingpulley/kernel/model"
	"redwingpulley/kernel/plugin"
	"redwingpulley/kernel/port"
	"redwingpulley/kernel/settings"
	"redwingpulley/kernel/wait"
	"redwingpulley/plugins/record/file"
)

const (
	warmUpLimit = 20 * time.Second // Until every endpoint has announced itself.
	rackSize    = 6                // Workers in a rack.
	recordMB    = 64               // Of one entry VM's record.
)

// Config describes a group.
type Config struct {
	Region      string
	DataCentres []DataCentre
	Services    []string // Endpoints are dealt out to them in turn.
	Slots       int      // Of each endpoint.
	Seed        uint64
	DataDir     string        // Parent of the entry VMs' data folders; "" for entry VMs without disks.
	Delay       time.Duration // One way between data centres; 0 connects entry VMs directly.
	Record      string        // Folder for a record of each entry VM's decisions; "" for none.
	Log         *slog.Logger
}

// DataCentre is the entry VMs and endpoints of one data centre.
type DataCentre struct {
	Name      string
	VMs       int
	Endpoints int
}

// Group is a running group.
type Group struct {
	Hosts     []*plugin.Host
	Endpoints []*standin.Endpoint

	members  []settings.Settings
	reserved ports.Reserved
	relays   []*relay.Relay
}

// Start starts the entry VMs, then the endpoints, and returns when all of them have announced
// themselves.
func Start(ctx context.Context, c Config) (*Group, error) {
	g := &Group{reserved: make(ports.Reserved)}
	defer g.reserved.ReleaseAll()
	var err error
	if g.members, err = c.members(g.reserved); err != nil {
		return nil, err
	}
	if err := g.start(ctx, c); err != nil {
		g.Stop()
		return nil, err
	}
	return g, nil
}

func (g *Group) start(ctx context.Context, c Config) error {
	for _, own := range g.members {
		if err := g.startMember(c, own); err != nil {
			return err
		}
	}
	for i, spec := range c.endpoints(g.members) {
		spec.Seed = c.Seed + uint64(i)
		e, err := standin.Start(spec)
		if err != nil {
			return err
		}
		g.Endpoints = append(g.Endpoints, e)
	}
	if err := g.awaitProfiles(ctx); err != nil {
		return err
	}
	return g.awaitEndpoints(ctx)
}

// awaitProfiles waits until every entry VM has learned a revision of the profiles.
func (g *Group) awaitProfiles(ctx context.Context) error {
	for _, host := range g.Hosts {
		profiles, err := plugin.Lookup[port.Profiles](host)
		if err != nil {
			return err
		}
		register, err := plugin.Lookup[port.ProfileRegister](host)
		if err != nil {
			return err
		}
		if err := awaitRevision(ctx, profiles, register); err != nil {
			return err
		}
	}
	return nil
}

func awaitRevision(ctx context.Context, profiles port.Profiles, register port.ProfileRegister) error {
	for {
		changed := register.Changed()
		if _, ok := profiles.Current(); ok {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return errors.Newf("no revision of the profiles was learned: %v", ctx.Err())
		}
	}
}

func (g *Group) startMember(c Config, own settings.Settings) error {
	own.Plugins = make(map[string]json.RawMessage)
	if err := g.placeRelays(c, own); err != nil {
		return err
	}
	if err := c.setRecord(own); err != nil {
		return err
	}
	g.reserved.Release(own.Listen.Callers, own.Listen.Endpoints, own.Listen.Operators, own.Listen.Peers)
	host, err := node.Start(own, c.Log)
	if err != nil {
		return err
	}
	g.Hosts = append(g.Hosts, host)
	return nil
}

// placeRelays has the member reach those of other data centres through relays of its own.
func (g *Group) placeRelays(c Config, own settings.Settings) error {
	if c.Delay == 0 {
		return nil
	}
	addresses := make(map[model.NodeID]string)
	for _, other := range own.Members {
		if other.DataCentre == own.DataCentre {
			continue
		}
		r, err := relay.Start(other.Peers, c.Delay)
		if err != nil {
			return err
		}
		g.relays = append(g.relays, r)
		addresses[other.Node] = r.Address()
	}
	raw, err := json.Marshal(map[string]any{"addresses": addresses})
	if err != nil {
		return errors.Wrap(err, "relays")
	}
	own.Plugins["peer.http"] = raw
	return nil
}

func (c Config) setRecord(own settings.Settings) error {
	if c.Record == "" {
		return nil
	}
	raw, err := json.Marshal(file.Settings{File: c.RecordFile(own.Node), MaxMB: recordMB})
	own.Plugins["record.file"] = raw
	return errors.Wrap(err, "record")
}

// RecordFile returns the file that an entry VM's decisions are recorded in.
func (c Config) RecordFile(node model.NodeID) string {
	return filepath.Join(c.Record, string(node)+".events.jsonl")
}

// members returns the settings of all entry VMs, with free ports. The first of each data centre
// has a disk.
func (c Config) members(reserved ports.Reserved) ([]settings.Settings, error) {
	var all []settings.Settings
	var known []settings.Member
	for _, dc := range c.DataCentres {
		for i := range dc.VMs {
			free, err := reserved.Take(4)
			if err != nil {
				return nil, err
			}
			s := settings.Settings{
				Node:       model.NodeID(dc.Name + "-" + string(rune('a'+i))),
				Region:     c.Region,
				DataCentre: model.DataCentre(dc.Name),
				Listen:     settings.Listen{Callers: free[0], Endpoints: free[1], Operators: free[2], Peers: free[3]},
			}
			disk := c.DataDir != "" && i == 0
			if disk {
				s.DataDir = c.DataDir + "/" + string(s.Node)
			}
			known = append(known, settings.Member{
				Node: s.Node, DataCentre: s.DataCentre, Peers: free[3], Endpoints: free[1], Disk: disk,
			})
			all = append(all, s)
		}
	}
	for i := range all {
		all[i].Members = known
	}
	return all, nil
}

func (c Config) endpoints(members []settings.Settings) []standin.Config {
	var all []standin.Config
	for _, dc := range c.DataCentres {
		for range dc.Endpoints {
			number := len(all)
			all = append(all, standin.Config{
				Endpoint:   fmt.Sprintf("%s-e%d", dc.Name, number+1),
				Service:    c.Services[number%len(c.Services)],
				Worker:     "worker-" + strconv.Itoa(number+1),
				Rack:       "rack-" + strconv.Itoa(number/rackSize+1),
				DataCentre: dc.Name, Listen: "127.0.0.1:0", Slots: c.Slots,
				Entries: entriesNear(members, dc.Name),
			})
		}
	}
	return all
}

func entriesNear(members []settings.Settings, dataCentre string) []string {
	var near []string
	for _, m := range members {
		if string(m.DataCentre) == dataCentre {
			near = append(near, m.Listen.Endpoints)
		}
	}
	return near
}

func (g *Group) awaitEndpoints(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, warmUpLimit)
	defer cancel()
	for _, e := range g.Endpoints {
		select {
		case <-e.Announced():
		case <-ctx.Done():
			return errors.Newf("endpoint %s was not taken on: %v", e.ID(), ctx.Err())
		}
	}
	return nil
}

// lookPause is how long AwaitLoads waits before it looks again; members do not tell that a load has come.
const lookPause = 20 * time.Millisecond

// AwaitLoads waits until each entry VM is ready and counts with the slots of all endpoints. Before that a
// job may be refused for want of endpoints.
func (g *Group) AwaitLoads(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, warmUpLimit)
	defer cancel()
	for _, host := range g.Hosts {
		pools, err := plugin.Lookup[port.Pools](host)
		if err != nil {
			return err
		}
		for !g.settled(host, pools) {
			if !wait.For(ctx, lookPause) {
				return errors.Newf("the entry VMs do not know all pools: %v", ctx.Err())
			}
		}
	}
	return nil
}

func (g *Group) settled(host *plugin.Host, pools port.Pools) bool {
	if ready, _ := host.Health.Ready(); !ready {
		return false
	}
	for service, slots := range g.Slots() {
		known := 0
		for _, load := range pools.Loads(model.ServiceID(service)) {
			known += load.Slots
		}
		if known < slots {
			return false
		}
	}
	return true
}

// Entries returns the callers' listeners of the entry VMs, ip:port.
func (g *Group) Entries() []string {
	var entries []string
	for _, m := range g.members {
		entries = append(entries, m.Listen.Callers)
	}
	return entries
}

// Settings returns the settings of the entry VMs.
func (g *Group) Settings() []settings.Settings { return g.members }

// Logs returns what the endpoints have seen.
func (g *Group) Logs() []standin.Log {
	var logs []standin.Log
	for _, e := range g.Endpoints {
		logs = append(logs, e.Log())
	}
	return logs
}

// Slots returns the slots of the endpoints by service.
func (g *Group) Slots() map[string]int {
	slots := make(map[string]int)
	for _, e := range g.Endpoints {
		slots[e.Service()] += e.Slots()
	}
	return slots
}

// Counters returns the entry VMs' counters summed by name.
func (g *Group) Counters() map[string]int64 {
	sums := make(map[string]int64)
	for _, host := range g.Hosts {
		host.Metrics.Each(func(name string, metric any) {
			if counter, ok := metric.(metrics.Counter); ok {
				sums[name] += counter.Count()
			}
		})
	}
	return sums
}

// Lose stops an entry VM without a drain.
func (g *Group) Lose(number int) error { return g.Hosts[number].Stop() }

// Stop ends the entry VMs without a drain, then the endpoints: an experiment waits for its answers
// itself.
func (g *Group) Stop() error {
	var faults error
	for _, host := range g.Hosts {
		faults = errors.Join(faults, host.Stop())
	}
	for _, e := range g.Endpoints {
		e.Close()
	}
	for _, r := range g.relays {
		r.Close()
	}
	return faults
}
