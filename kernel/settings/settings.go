// Package settings reads the settings file of a process and names every fault in it by JSON path.
package settings

import (
	"encoding/json"
	"net/netip"
	"os"
	"regexp"

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
}

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
	var s Settings
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
	f.address("listen.callers", s.Listen.Callers)
	f.address("listen.endpoints", s.Listen.Endpoints)
	f.address("listen.operators", s.Listen.Operators)
	f.address("listen.peers", s.Listen.Peers)
	s.checkMembers(&f)
	return f.Joined()
}

func (s Settings) checkMembers(f *Faults) {
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

// Self returns this process's own entry in Members.
func (s Settings) Self() (Member, bool) {
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

func (f *Faults) address(path, value string) {
	_, err := netip.ParseAddrPort(value)
	f.Require(err == nil, path, "must be an IP address and port")
}
