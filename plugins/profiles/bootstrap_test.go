package profiles

import (
	"encoding/json"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"redwingpulley/kernel/model"
	"redwingpulley/kernel/plugin"
	"redwingpulley/kernel/port"
	"redwingpulley/kernel/settings"
)

// seededSettings returns a function that changes a member's settings: in place of the list of members
// they name the VMs of n0, n1 and n2 as seeds.
func seededSettings(bootstrap bool) func(settings.Settings) settings.Settings {
	return func(s settings.Settings) settings.Settings {
		at := slices.IndexFunc(s.Members, func(m settings.Member) bool { return m.Node == s.Node })
		s.Listen.Peers = s.Members[at].Peers
		if !s.Members[at].Disk {
			s.DataDir = ""
		}
		s.Members = nil
		s.Seeds = []string{"10.0.0.1:99", "10.0.0.2:99", "10.0.0.3:99"} // Only the addresses matter: peers listen on another port.
		s.Bootstrap = bootstrap
		s.Plugins = map[string]json.RawMessage{"profiles": json.RawMessage(`{"detect_copies": false}`)}
		return s
	}
}

func (c *cluster) routing(id model.NodeID) port.Routing {
	routing, err := plugin.Lookup[port.Routing](c.hosts[id])
	if err != nil {
		c.t.Fatal(err)
	}
	return routing
}

// declare declares a routing of the given version at a member.
func (c *cluster) declare(id model.NodeID, version uint64) port.DeclareStatus {
	return c.routing(id).Declare(c.t.Context(), newRouting(version, "x")).Status
}

// newRouting returns a valid routing with one service and one route.
func newRouting(version uint64, document string) model.Routing {
	return model.Routing{
		Version: version, Document: []byte(document),
		Services: []model.ServiceID{"finder"},
		Routes:   []model.Route{{Name: "r", Host: "h", PathPrefix: "/p/", Service: "finder", Timeout: time.Second}},
	}
}

// confirmedVersion returns the version of the routing that a member confirms, 0 when it confirms none.
func (c *cluster) confirmedVersion(id model.NodeID) uint64 {
	routing, ok := c.routing(id).Confirmed(c.t.Context())
	if !ok || routing == nil {
		return 0
	}
	return routing.Version
}

// awaitVersion waits until the member has a routing of at least this version in force.
func (c *cluster) awaitVersion(id model.NodeID, version uint64) {
	for {
		changed := c.register(id).Changed()
		if r := c.routing(id).Declared(); r != nil && r.Version >= version {
			return
		}
		<-changed
	}
}

// startBootstrapped starts seven members, the first four with disks, and bootstraps the replicas n0, n1
// and n2 from the seeds. Members started later do so without the setting bootstrap.
func startBootstrapped(t *testing.T) *cluster {
	c := startCustomCluster(t, 4, 3, seededSettings(true))
	for i := range 3 {
		c.awaitVoter(node(i))
	}
	c.customize = seededSettings(false)
	return c
}

func TestBootstrap_SeedsBecomeReplicas(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := startBootstrapped(t)
		defer c.stopAll()
		is.Equal(c.register("n3").Replica(), port.ReplicaNone)
		is.Equal(c.declare("n5", 4), port.DeclareDone)
		for i := range 7 {
			c.awaitVersion(node(i), 4)
			is.Equal(c.confirmedVersion(node(i)), uint64(4))
		}
	})
}

func TestDeclare_HighestVersionWinsInAnyOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := startBootstrapped(t)
		defer c.stopAll()
		is.Equal(c.declare("n0", 9), port.DeclareDone)
		is.Equal(c.declare("n1", 7), port.DeclareDone) // An older version is reported as done and changes nothing.
		other := newRouting(9, "other content")
		is.Equal(c.routing("n2").Declare(t.Context(), other).Status, port.DeclareDone)
		routing, ok := c.routing("n4").Confirmed(t.Context())
		is.True(ok)
		is.Equal(string(routing.Document), "x")
		invalid := newRouting(12, "x")
		invalid.Routes[0].Timeout = 0
		is.Equal(c.routing("n0").Declare(t.Context(), invalid).Status, port.DeclareInvalid)
		is.Equal(c.confirmedVersion("n1"), uint64(9))
	})
}

func TestConfirmed_FailsWithoutMajority(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := startBootstrapped(t)
		defer c.stopAll()
		is.Equal(c.declare("n0", 2), port.DeclareDone)
		c.awaitVersion("n4", 2)
		c.net.partition("n0", "n4")
		is.Equal(c.confirmedVersion("n0"), uint64(0))
		is.Equal(c.confirmedVersion("n4"), uint64(0))
		is.Equal(c.declare("n4", 3), port.DeclareUnknown)
		is.Equal(c.declare("n5", 4), port.DeclareDone)
		is.Equal(c.confirmedVersion("n2"), uint64(4))
	})
}

// TestDeclare_SurvivesPowerFailureWithOneDiskLost stops all members and loses the disk of one replica.
// The other replicas' files come back with other inode numbers, as after a power failure of VMs whose
// file systems do not keep inode numbers.
func TestDeclare_SurvivesPowerFailureWithOneDiskLost(t *testing.T) {
	for lost := range 3 {
		t.Run(string(node(lost)), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				c := startBootstrapped(t)
				defer c.stopAll()
				is.Equal(c.declare("n4", 5), port.DeclareDone)
				for i := range 7 {
					c.stop(node(i))
				}
				c.net.gossiped = make(map[string]map[model.NodeID][]byte) // No member remembers published values.
				for i := range 3 {
					path := filepath.Join(c.dir, string(node(i)), folderName, "register.json")
					content, err := os.ReadFile(path)
					is.NoErr(err)
					is.NoErr(os.RemoveAll(filepath.Join(c.dir, string(node(i)))))
					if i != lost {
						is.NoErr(os.MkdirAll(filepath.Dir(path), 0o700))
						is.NoErr(os.WriteFile(path, content, 0o600))
					}
				}
				for i := range 7 {
					c.start(node(i))
				}
				for i := range 7 {
					c.awaitVersion(node(i), 5)
				}
				for i := range 3 {
					c.awaitVoter(node(i))
				}
				is.Equal(c.confirmedVersion("n6"), uint64(5))
				is.Equal(c.declare("n6", 6), port.DeclareDone)
			})
		})
	}
}

func TestBootstrap_NoGroupWithoutBootstrapSetting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := startClusterNoWait(t, 4, 3, seededSettings(false))
		defer c.stopAll()
		time.Sleep(time.Minute) // On the virtual clock; far longer than a bootstrap takes.
		for i := range 4 {
			is.Equal(c.declare(node(i), 1), port.DeclareUnknown)
			_, known := c.current(node(i))
			is.True(!known)
		}
	})
}
