package profiles

import (
	"encoding/json"
	"errors"
	"fmt"
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

// withBootstrapped runs a test of the members that startBootstrapped starts, on a virtual clock, and then stops them.
func withBootstrapped(t *testing.T, test func(t *testing.T, is *is.I, c *cluster)) {
	synctest.Test(t, func(t *testing.T) {
		c := startBootstrapped(t)
		defer c.stopAll()
		test(t, is.New(t), c)
	})
}

func TestBootstrap_SeedsBecomeReplicas(t *testing.T) {
	withBootstrapped(t, func(t *testing.T, is *is.I, c *cluster) {
		is.Equal(c.register("n3").Replica(), port.ReplicaNone)
		is.Equal(c.declare("n5", 4), port.DeclareDone)
		for i := range 7 {
			c.awaitVersion(node(i), 4)
			is.Equal(c.confirmedVersion(node(i)), uint64(4))
		}
	})
}

func TestDeclare_HighestVersionWinsInAnyOrder(t *testing.T) {
	withBootstrapped(t, func(t *testing.T, is *is.I, c *cluster) {
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
	withBootstrapped(t, func(t *testing.T, is *is.I, c *cluster) {
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

// losePower stops all members, loses the disks of the given ones and starts all members again. The
// files of the others come back with other inode numbers, as after a power failure of VMs whose file
// systems do not keep inode numbers.
func (c *cluster) losePower(lost ...model.NodeID) {
	for _, m := range c.net.members {
		c.stop(m.Node)
	}
	c.net.gossiped = make(map[string]map[model.NodeID][]byte) // No member remembers published values.
	for _, m := range c.net.members {
		if slices.Contains(lost, m.Node) {
			c.loseDisk(m.Node)
		} else {
			c.copyFile(m.Node)
		}
	}
	for _, m := range c.net.members {
		c.start(m.Node)
	}
}

// loseDisk empties the disk of a stopped member.
func (c *cluster) loseDisk(id model.NodeID) {
	if err := os.RemoveAll(filepath.Join(c.dir, string(id))); err != nil {
		c.t.Fatal(err)
	}
}

// copyFile replaces the register's file of a stopped member, if it has one, by a copy.
func (c *cluster) copyFile(id model.NodeID) {
	path := filepath.Join(c.dir, string(id), folderName, "register.json")
	content, err := os.ReadFile(path)
	if os.IsNotExist(err) {
		return
	}
	if err == nil {
		err = errors.Join(os.Remove(path), os.WriteFile(path, content, 0o600))
	}
	if err != nil {
		c.t.Fatal(err)
	}
}

func TestDeclare_SurvivesPowerFailureWithOneDiskLost(t *testing.T) {
	for lost := range 3 {
		t.Run(string(node(lost)), func(t *testing.T) {
			withBootstrapped(t, func(t *testing.T, is *is.I, c *cluster) {
				is.Equal(c.declare("n4", 5), port.DeclareDone)
				c.losePower(node(lost))
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

// Guards against issue 16: a first start made three replicas whatever the deployment has to tolerate, and
// an acknowledged change was gone, with the service, when two disks were lost in a power failure.
func TestDeclare_SurvivesPowerFailureWithTwoDisksLost(t *testing.T) {
	for first := range 5 {
		for second := range first {
			t.Run(fmt.Sprint(second, first), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					c := startCustomCluster(t, 5, 2, toleratingTwo(true))
					defer c.stopAll()
					c.customize = toleratingTwo(false)
					is.Equal(c.declare("n5", 5), port.DeclareDone)
					c.losePower(node(first), node(second))
					time.Sleep(takeoverTime)
					is.Equal(c.confirmedVersion("n6"), uint64(5))
					is.Equal(c.declare("n6", 6), port.DeclareDone)
					for i := range 5 {
						is.Equal(c.register(node(i)).Replica(), port.ReplicaVoter)
					}
				})
			})
		}
	}
}

// toleratingTwo is seededSettings for members that have to tolerate the loss of two disks.
func toleratingTwo(bootstrap bool) func(settings.Settings) settings.Settings {
	seeded := seededSettings(bootstrap)
	return func(s settings.Settings) settings.Settings {
		s = seeded(s)
		s.Plugins["profiles"] = json.RawMessage(`{"detect_copies": false, "tolerated_disks": 2}`)
		return s
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

// Guards against issue 36 (review/5): the process that chooses the replicas of a first start ended before any other member
// knew its choice, and started again without the setting bootstrap; then no member ever served.
func TestBootstrap_SurvivesTheEndOfAnyMember(t *testing.T) {
	for _, diskLost := range []bool{false, true} {
		for i := range 4 {
			for at := 50 * time.Millisecond; at <= time.Second; at += 150 * time.Millisecond {
				t.Run(fmt.Sprint(node(i), " disk lost ", diskLost, " at ", at), func(t *testing.T) {
					checkBootstrapAround(t, node(i), at, diskLost)
				})
			}
		}
	}
}

// Guards against review/10: all members with disks were killed during a first start and started again without the setting bootstrap; then nobody
// could choose the replicas, and no member ever served.
func TestBootstrap_SurvivesTheEndOfAllMembersWithDisks(t *testing.T) {
	for at := 50 * time.Millisecond; at <= time.Second; at += 50 * time.Millisecond {
		t.Run(at.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				c := startClusterNoWait(t, 4, 3, seededSettings(true))
				defer c.stopAll()
				c.customize = seededSettings(false)
				time.Sleep(at)
				for i := range 4 {
					c.remove(node(i))
				}
				time.Sleep(500 * time.Millisecond)
				for i := range 4 {
					c.rejoin(node(i))
				}
				time.Sleep(2 * takeoverTime)
				is.Equal(c.declare("n5", 1), port.DeclareDone)
				for i := range 7 {
					is.Equal(c.confirmedVersion(node(i)), uint64(1))
				}
				_, err := os.Stat(filepath.Join(c.dir, "n3", folderName, "founding"))
				is.True(os.IsNotExist(err)) // It is no replica, and takes part in a first start no longer.
			})
		})
	}
}

// checkBootstrapAround ends a member some time after a first start, starts it again 0.5 s later without the setting
// bootstrap, and checks that the members serve.
func checkBootstrapAround(t *testing.T, ended model.NodeID, at time.Duration, diskLost bool) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := startClusterNoWait(t, 4, 3, seededSettings(true))
		defer c.stopAll()
		c.customize = seededSettings(false)
		time.Sleep(at)
		c.remove(ended)
		if diskLost {
			c.loseDisk(ended)
		}
		time.Sleep(500 * time.Millisecond)
		c.rejoin(ended)
		time.Sleep(2 * takeoverTime)
		is.Equal(c.declare("n5", 1), port.DeclareDone)
		for i := range 7 {
			is.Equal(c.confirmedVersion(node(i)), uint64(1))
		}
	})
}

func TestSpreadReplicas_OverDataCentres(t *testing.T) {
	is := is.New(t)
	var candidates []port.Node
	for _, id := range []string{"a1", "a2", "a3", "b1", "b2", "c1"} {
		candidates = append(candidates, port.Node{ID: model.NodeID(id), DataCentre: model.DataCentre(id[:1])})
	}
	is.Equal(spreadReplicas(candidates, 3), []model.NodeID{"a1", "b1", "c1"})
	is.Equal(spreadReplicas(candidates, 5), []model.NodeID{"a1", "b1", "c1", "a2", "b2"})
	is.Equal(len(spreadReplicas(candidates, 9)), 6)
}
