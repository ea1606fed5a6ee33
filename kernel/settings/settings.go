// Package settings reads the settings file of a process and names every fault in it by JSON path.
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

// Settings are those of one entry VM's process.
type Settings struct {
	Node       model.NodeID               `json:"node"`
	Region     string                     `json:"region"`
	DataCentre model.DataCentre           `json:"data_centre"`
	Listen     Listen                     `json:"listen"`
	Members    []Member                   `json:"members"`
	DataDir    string                     `json:"data_dir"`
	Plugins    map[string]json.RawMessage `json:"plugins"`

	// Seeds are addresses, ip:port, of entry VMs that are asked for the other members. Only the
	// address counts: the port of their listeners for peers is the same as this VM's. They stand in
	// for Members where no list of members can be given.
	Seeds []string `json:"seeds"`
	// Bootstrap says that the whole group starts for the first time, with empty disks and with the
	// same seeds everywhere.
	Bootstrap bool `json:"bootstrap"`
	// Reserve keeps this VM from owning pools while another one of its data centre can.
	Reserve bool `json:"reserve"`
	// StopWithinS is how long after SIGTERM, in seconds, the process is killed where it has not ended;
	// 0 is never.
	StopWithinS float64 `json:"stop_within_s"`
	// Without lists the ids of plug-ins that this process does not run.
	Without []string `json:"without"`
	// Log is the default where it is left out.
	Log Log `json:"log,omitzero"`
}

// Log bounds the lines that the process logs.
type Log struct {
	LinesPerSecond int  `json:"lines_per_second"` // What is above is dropped and counted; 0 logs nothing.
	Routine        bool `json:"routine"`          // Whether requests that are served as usual are logged.
}

// defaultLog lets a busy process log each decision.
var defaultLog = Log{LinesPerSecond: 4000, Routine: true}

// Listen holds the addresses of the process's listeners, each ip:port.
type Listen struct {
	Callers   string `json:"callers"`
	Endpoints string `json:"endpoints"`
	Operators string `json:"operators"`
	Peers     string `json:"peers"`
}

// Member is an entry VM that is known at the start.
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

// Parse decodes and checks settings. With an error it returns as much as could be decoded, so that
// further faults can be looked for.
func Parse(raw []byte) (Settings, error) {
	s := Settings{Log: defaultLog}
	if err := DecodeStrict(raw, "", &s); err != nil {
		json.Unmarshal(raw, &s) // What can be decoded.
		return s, errors.Join(err, s.Check())
	}
	return s, s.Check()
}

var nodeName = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

// Check returns all faults of the settings outside "plugins".
func (s Settings) Check() error {
	var f Faults
	f.Require(nodeName.MatchString(string(s.Node)), "node", "must be lower-case letters, digits and hyphens")
	f.Require(s.DataCentre != "", "data_centre", "must be set")
	f.listener("listen.callers", s.Listen.Callers, s.runs("frontend.callers"))
	f.listener("listen.endpoints", s.Listen.Endpoints, s.runs("frontend.announce"))
	f.listener("listen.operators", s.Listen.Operators, s.runs("frontend.operators"))
	f.listener("listen.peers", s.Listen.Peers, s.runs("peer.http"))
	f.Require(s.StopWithinS >= 0, "stop_within_s", "must not be negative")
	f.Require(s.Log.LinesPerSecond >= 0, "log.lines_per_second", "must not be negative")
	s.checkMembers(&f)
	return f.Joined()
}

// runs reports whether the plug-in of that id is not left out.
func (s Settings) runs(id string) bool { return !slices.Contains(s.Without, id) }

func (s Settings) checkSeeds(f *Faults) {
	for i, seed := range s.Seeds {
		f.address(pathIndex("seeds", i), seed)
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
		path := pathIndex("members", i)
		f.Require(nodeName.MatchString(string(m.Node)), path+".node", "must be lower-case letters, digits and hyphens")
		f.Require(!seen[m.Node], path+".node", "is there twice")
		f.Require(m.DataCentre != "", path+".data_centre", "must be set")
		f.address(path+".peers", m.Peers)
		f.address(path+".endpoints", m.Endpoints)
		seen[m.Node] = true
	}
	f.Require(seen[s.Node], "members", "must hold this node itself")
	self, _ := s.Self()
	f.Require(!self.Disk || s.DataDir != "", "data_dir", "must be set on a member with a disk")
}

// Self returns this process's own entry in Members, or one made of its settings where there are
// seeds instead.
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

const maxFaults = 32 // That are named together.

// Faults collects faults of settings. They are joined once: the text of joins within joins takes
// exponential time. The zero value has none.
type Faults struct {
	Prefix string // Path of the object whose keys are checked.
	all    []error
}

// Require notes that the value at path is not what it must be, unless holds is true.
func (f *Faults) Require(holds bool, path, what string) {
	if !holds && len(f.all) < maxFaults {
		f.all = append(f.all, errors.Newf("%s: %s", join(f.Prefix, path), what))
	}
}

// Joined returns all faults, or nil.
func (f *Faults) Joined() error { return errors.Join(f.all...) }

// listener checks the address of a listener; one that no plug-in opens may be left out.
func (f *Faults) listener(path, value string, opened bool) {
	if opened || value != "" {
		f.address(path, value)
	}
}

func (f *Faults) address(path, value string) {
	_, err := netip.ParseAddrPort(value)
	f.Require(err == nil, path, "must be an IP address and port")
}

// Differences returns the paths of what differs in other settings: keys, and of plug-ins their ids.
func (s Settings) Differences(other Settings) (paths []string) {
	note := func(same bool, path string) {
		if !same {
			paths = append(paths, path)
		}
	}
	note(s.Node == other.Node, "node")
	note(s.Region == other.Region, "region")
	note(s.DataCentre == other.DataCentre, "data_centre")
	note(s.Listen == other.Listen, "listen")
	note(slices.Equal(s.Members, other.Members), "members")
	note(s.DataDir == other.DataDir, "data_dir")
	note(slices.Equal(s.Seeds, other.Seeds), "seeds")
	note(s.Bootstrap == other.Bootstrap, "bootstrap")
	note(s.Reserve == other.Reserve, "reserve")
	note(s.StopWithinS == other.StopWithinS, "stop_within_s")
	note(slices.Equal(s.Without, other.Without), "without")
	note(s.Log == other.Log, "log")
	ids := slices.Sorted(maps.Keys(s.Plugins))
	ids = slices.AppendSeq(ids, maps.Keys(other.Plugins))
	slices.Sort(ids)
	for _, id := range slices.Compact(ids) {
		note(bytes.Equal(s.Plugins[id], other.Plugins[id]), "plugins."+id)
	}
	return paths
}
