// Package group runs several entry VMs and stand-in endpoints inside one process, connected over loopback, for
// the demonstration and for experiments.
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
	"redwingpulley/kernel/settings"
	"redwingpulley/plugins/record/file"
)

const (
	workersPerRack = 6
	maxRecordMB    = 64 // Size limit of one entry VM's record, in MB.
)

// Config describes the entry VMs and endpoints of a group.
type Config struct {
	Region      string
	DataCentres []DataCentre
	Services    []string      // Services, to which the endpoints are assigned in turn.
	Slots       int           // Slots of each endpoint.
	Seed        uint64        // Seed of the first endpoint's random numbers; the next ones count up from it.
	DataDir     string        // Parent of the entry VMs' data folders; "" for entry VMs without disks.
	Delay       time.Duration // One-way delay between data centres; 0 connects entry VMs directly.
	Record      string        // Folder for a record of each entry VM's decisions; "" for none.
	Log         *slog.Logger
}

// DataCentre holds the numbers of entry VMs and endpoints in one data centre.
type DataCentre struct {
	Name      string
	VMs       int
	Endpoints int
}

// Group is a set of running entry VMs and endpoints. Create one with Start.
type Group struct {
	Hosts     []*plugin.Host // Hosts of the entry VMs, in the order of Settings.
	Endpoints []*standin.Endpoint

	members  []settings.Settings
	reserved ports.Reserved
	relays   []*relay.Relay
}

// Start starts the entry VMs, then the endpoints. It returns when each entry VM has learned the profiles and each
// endpoint has announced itself.
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

// start starts the members and endpoints, and waits for them.
func (g *Group) start(ctx context.Context, c Config) error {
	for _, own := range g.members {
		if err := g.startMember(c, own); err != nil {
			return err
		}
	}
	for i, spec := range c.endpointConfigs(g.members) {
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

// startMember starts an entry VM with its relays and its record.
func (g *Group) startMember(c Config, own settings.Settings) error {
	own.Plugins = make(map[string]json.RawMessage)
	if err := g.startRelays(c, own); err != nil {
		return err
	}
	if err := c.enableRecord(own); err != nil {
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

// startRelays starts a relay from this member to each member in another data centre, and sets the member to
// connect through them. The relays add the delay between data centres.
func (g *Group) startRelays(c Config, own settings.Settings) error {
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

// enableRecord adds the settings of an entry VM's record, if there is to be one.
func (c Config) enableRecord(own settings.Settings) error {
	if c.Record == "" {
		return nil
	}
	raw, err := json.Marshal(file.Settings{File: c.RecordFile(own.Node), MaxMB: maxRecordMB})
	own.Plugins["record.file"] = raw
	return errors.Wrap(err, "record")
}

// RecordFile returns the file that an entry VM's decisions are recorded in.
func (c Config) RecordFile(node model.NodeID) string {
	return filepath.Join(c.Record, string(node)+".events.jsonl")
}

// members returns the settings of all entry VMs, with reserved free ports. The first entry VM of each data
// centre has a disk if DataDir is set.
func (c Config) members(reserved ports.Reserved) ([]settings.Settings, error) {
	var all []settings.Settings
	var known []settings.Member
	for _, dc := range c.DataCentres {
		for i := range dc.VMs {
			addresses, err := reserved.Reserve(4)
			if err != nil {
				return nil, err
			}
			s := settings.Settings{
				Node:       model.NodeID(dc.Name + "-" + string(rune('a'+i))),
				Region:     c.Region,
				DataCentre: model.DataCentre(dc.Name),
				Listen:     settings.Listen{Callers: addresses[0], Endpoints: addresses[1], Operators: addresses[2], Peers: addresses[3]},
			}
			hasDisk := c.DataDir != "" && i == 0
			if hasDisk {
				s.DataDir = c.DataDir + "/" + string(s.Node)
			}
			known = append(known, settings.Member{
				Node: s.Node, DataCentre: s.DataCentre, Peers: addresses[3], Endpoints: addresses[1], Disk: hasDisk,
			})
			all = append(all, s)
		}
	}
	for i := range all {
		all[i].Members = known
	}
	return all, nil
}

// endpointConfigs returns the configurations of the endpoints, without their seeds.
func (c Config) endpointConfigs(members []settings.Settings) []standin.Config {
	var all []standin.Config
	for _, dc := range c.DataCentres {
		for range dc.Endpoints {
			number := len(all)
			all = append(all, standin.Config{
				Endpoint:   fmt.Sprintf("%s-e%d", dc.Name, number+1),
				Service:    c.Services[number%len(c.Services)],
				Worker:     "worker-" + strconv.Itoa(number+1),
				Rack:       "rack-" + strconv.Itoa(number/workersPerRack+1),
				DataCentre: dc.Name, Listen: "127.0.0.1:0", Slots: c.Slots,
				Entries: entriesIn(members, dc.Name),
			})
		}
	}
	return all
}

// entriesIn returns the addresses at which the data centre's entry VMs listen for endpoints.
func entriesIn(members []settings.Settings, dataCentre string) []string {
	var addresses []string
	for _, m := range members {
		if string(m.DataCentre) == dataCentre {
			addresses = append(addresses, m.Listen.Endpoints)
		}
	}
	return addresses
}

// Entries returns the addresses (ip:port) of the entry VMs' listeners for callers.
func (g *Group) Entries() []string {
	var entries []string
	for _, m := range g.members {
		entries = append(entries, m.Listen.Callers)
	}
	return entries
}

// Settings returns the settings of the entry VMs.
func (g *Group) Settings() []settings.Settings { return g.members }

// Logs returns the endpoints' logs of the requests that they received.
func (g *Group) Logs() []standin.Log {
	var logs []standin.Log
	for _, e := range g.Endpoints {
		logs = append(logs, e.Log())
	}
	return logs
}

// Slots returns the total of the endpoints' slots by service.
func (g *Group) Slots() map[string]int {
	slots := make(map[string]int)
	for _, e := range g.Endpoints {
		slots[e.Service()] += e.Slots()
	}
	return slots
}

// Counters returns the entry VMs' counters by name, summed over the entry VMs.
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

// Kill stops an entry VM without a drain.
func (g *Group) Kill(number int) error { return g.Hosts[number].Stop() }

// Stop stops the entry VMs without a drain, then the endpoints. No drain is needed, because an experiment itself
// waits for its answers.
func (g *Group) Stop() error {
	var errs error
	for _, host := range g.Hosts {
		errs = errors.Join(errs, host.Stop())
	}
	for _, e := range g.Endpoints {
		e.Close()
	}
	for _, r := range g.relays {
		r.Close()
	}
	return errs
}
