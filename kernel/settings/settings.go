// Package settings reads and checks the settings file of a process. It reports all faults, each with
// its JSON path.
package settings

import (
	"bytes"
	"encoding/json"
	"maps"
	"net/netip"
	"os"
	"regexp"
	"slices"

	"github.com/cockroachdb/errors"

	"redwingpulley/kernel/model"
)

// Settings are the settings of the process of one entry VM.
type Settings struct {
	Node       model.NodeID               `json:"node"`
	Region     string                     `json:"region"`
	DataCentre model.DataCentre           `json:"data_centre"`
	Listen     Listen                     `json:"listen"`
	Members    []Member                   `json:"members"`
	DataDir    string                     `json:"data_dir"`
	Plugins    map[string]json.RawMessage `json:"plugins"`

	// Seeds are addresses (ip:port) of entry VMs from which this process learns the other members.
	// Only the IP address is used: their listeners for peers have the same port as this VM's. Seeds
	// are given instead of Members where the list of members is not known in advance.
	Seeds []string `json:"seeds"`
	// Bootstrap is set when the whole cluster starts for the first time: all disks are empty and all
	// members have the same seeds.
	Bootstrap bool `json:"bootstrap"`
	// Reserve keeps this VM from owning pools while another VM of its data centre can own them.
	Reserve bool `json:"reserve"`
	// Weight is this VM's part of the pools of its data centre, relative to the weights of the other VMs there, such as its
	// processor share; 0 counts as 1.
	Weight float64 `json:"weight"`
	// StopWithinS is the time in seconds after SIGTERM at which the process is killed from outside if
	// it has not ended; 0 means never.
	StopWithinS float64 `json:"stop_within_s"`
	// Without lists the ids of plug-ins that this process does not run.
	Without []string `json:"without"`
	// Log is defaultLog unless the settings contain it.
	Log Log `json:"log,omitzero"`
}

// Log limits the lines that the process logs.
type Log struct {
	LinesPerSecond int  `json:"lines_per_second"` // Lines above this rate are dropped and counted; 0 logs nothing.
	Routine        bool `json:"routine"`          // Whether requests that are served normally are logged.
}

// defaultLog is high enough for a busy process to log each of its decisions.
var defaultLog = Log{LinesPerSecond: 4000, Routine: true}

// Listen holds the addresses of the process's listeners, each ip:port.
type Listen struct {
	Callers   string `json:"callers"`
	Endpoints string `json:"endpoints"`
	Operators string `json:"operators"`
	Peers     string `json:"peers"`
}

// Member is an entry VM that is listed in the settings.
type Member struct {
	Node       model.NodeID     `json:"node"`
	DataCentre model.DataCentre `json:"data_centre"`
	Peers      string           `json:"peers"`
	Endpoints  string           `json:"endpoints"`
	Disk       bool             `json:"disk"`
}

// Read reads and checks the settings file at path. The error joins all faults.
func Read(path string) (Settings, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, errors.Wrap(err, "read settings")
	}
	return Parse(raw)
}

// Parse decodes and checks settings. Along with an error it returns the settings as far as they could
// be decoded, so that the caller can check them for further faults.
func Parse(raw []byte) (Settings, error) {
	s := Settings{Log: defaultLog}
	if err := DecodeStrict(raw, "", &s); err != nil {
		json.Unmarshal(raw, &s) // Decodes as much as possible; err already holds the faults.
		return s, errors.Join(err, s.Check())
	}
	return s, s.Check()
}

var nodeName = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

// Check returns all faults of the settings, except for those under "plugins".
func (s Settings) Check() error {
	var f Faults
	f.Require(nodeName.MatchString(string(s.Node)), "node", "must be lower-case letters, digits and hyphens")
	f.Require(s.DataCentre != "", "data_centre", "must be set")
	f.checkListener("listen.callers", s.Listen.Callers, s.runsPlugin("frontend.callers"))
	f.checkListener("listen.endpoints", s.Listen.Endpoints, s.runsPlugin("frontend.announce"))
	f.checkListener("listen.operators", s.Listen.Operators, s.runsPlugin("frontend.operators"))
	f.checkListener("listen.peers", s.Listen.Peers, s.runsPlugin("peer.http"))
	f.Require(s.StopWithinS >= 0, "stop_within_s", "must not be negative")
	f.Require(s.Weight >= 0 && s.Weight <= model.MaxWeight, "weight", "must be 0 to 1000000")
	f.Require(s.Log.LinesPerSecond >= 0, "log.lines_per_second", "must not be negative")
	s.checkMembers(&f)
	return f.Err()
}

// runsPlugin reports whether the settings do not exclude the plug-in with the given id.
func (s Settings) runsPlugin(id string) bool { return !slices.Contains(s.Without, id) }

func (s Settings) checkSeeds(f *Faults) {
	for i, seed := range s.Seeds {
		f.checkAddress(indexPath("seeds", i), seed)
	}
	f.Require(len(s.Members) == 0, "seeds", "must not be given together with members")
}

func (s Settings) checkMembers(f *Faults) {
	if len(s.Seeds) > 0 {
		s.checkSeeds(f)
		return
	}
	f.Require(!s.Bootstrap, "bootstrap", "must come with seeds")
	seen := make(map[model.NodeID]bool)
	for i, m := range s.Members {
		path := indexPath("members", i)
		f.Require(nodeName.MatchString(string(m.Node)), path+".node", "must be lower-case letters, digits and hyphens")
		f.Require(!seen[m.Node], path+".node", "is a duplicate")
		f.Require(m.DataCentre != "", path+".data_centre", "must be set")
		f.checkAddress(path+".peers", m.Peers)
		f.checkAddress(path+".endpoints", m.Endpoints)
		seen[m.Node] = true
	}
	f.Require(seen[s.Node], "members", "must include this node")
	self, _ := s.Self()
	f.Require(!self.Disk || s.DataDir != "", "data_dir", "must be set on a member with a disk")
}

// Self returns this process's own entry in Members. If seeds are given instead of members, it returns
// an entry made from the process's other settings.
func (s Settings) Self() (Member, bool) {
	if len(s.Seeds) > 0 {
		return Member{
			Node: s.Node, DataCentre: s.DataCentre, Peers: s.Listen.Peers, Endpoints: s.Listen.Endpoints,
			Disk: s.DataDir != "",
		}, true
	}
	for _, m := range s.Members {
		if m.Node == s.Node {
			return m, true
		}
	}
	return Member{}, false
}

const maxFaults = 32 // Faults that are reported together; further ones are left out.

// Faults collects the faults of settings. They are kept in a list and joined once, since formatting
// nested joined errors takes exponential time. The zero value is an empty list.
type Faults struct {
	Prefix string // JSON path of the object whose keys are checked.
	all    []error
}

// Require records a fault of the value at path, described by problem, unless holds is true.
func (f *Faults) Require(holds bool, path, problem string) {
	if !holds && len(f.all) < maxFaults {
		f.all = append(f.all, errors.Newf("%s: %s", joinPath(f.Prefix, path), problem))
	}
}

// Err returns an error that joins all faults, or nil if there are none.
func (f *Faults) Err() error { return errors.Join(f.all...) }

// checkListener checks the address of a listener. A listener that no plug-in opens needs no address.
func (f *Faults) checkListener(path, value string, opened bool) {
	if opened || value != "" {
		f.checkAddress(path, value)
	}
}

func (f *Faults) checkAddress(path, value string) {
	_, err := netip.ParseAddrPort(value)
	f.Require(err == nil, path, "must be an IP address and port")
}

// Differences returns the paths of the settings that differ from those in other: top-level keys, and
// for plug-ins "plugins." with the plug-in's id.
func (s Settings) Differences(other Settings) (paths []string) {
	compare := func(same bool, path string) {
		if !same {
			paths = append(paths, path)
		}
	}
	compare(s.Node == other.Node, "node")
	compare(s.Region == other.Region, "region")
	compare(s.DataCentre == other.DataCentre, "data_centre")
	compare(s.Listen == other.Listen, "listen")
	compare(slices.Equal(s.Members, other.Members), "members")
	compare(s.DataDir == other.DataDir, "data_dir")
	compare(slices.Equal(s.Seeds, other.Seeds), "seeds")
	compare(s.Bootstrap == other.Bootstrap, "bootstrap")
	compare(s.Reserve == other.Reserve, "reserve")
	compare(s.Weight == other.Weight, "weight")
	compare(s.StopWithinS == other.StopWithinS, "stop_within_s")
	compare(slices.Equal(s.Without, other.Without), "without")
	compare(s.Log == other.Log, "log")
	ids := slices.Sorted(maps.Keys(s.Plugins))
	ids = slices.AppendSeq(ids, maps.Keys(other.Plugins))
	slices.Sort(ids)
	for _, id := range slices.Compact(ids) {
		compare(bytes.Equal(s.Plugins[id], other.Plugins[id]), "plugins."+id)
	}
	return paths
}
