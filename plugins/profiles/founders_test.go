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

// seeded returns settings that name three seeds and no members. Members 0 to 3 have disks.
func seeded(bootstrap bool) func(settings.Settings) settings.Settings {
	return func(s settings.Settings) settings.Settings {
		at := slices.IndexFunc(s.Members, func(m settings.Member) bool { return m.Node == s.Node })
		s.Listen.Peers = s.Members[at].Peers
		if !s.Members[at].Disk {
			s.DataDir = ""
		}
		s.Members = nil
		s.Seeds = []string{"10.0.0.1:99", "10.0.0.2:99", "10.0.0.3:99"} // Their listeners for peers have another port.
		s.Bootstrap = bootstrap
		s.Plugins = map[string]json.RawMessage{"profiles": json.RawMessage(`{"detect_copies": false}`)}
		return s
	}
}

func (g *group) routing(id model.NodeID) port.Routing {
	routing, err := plugin.Lookup[port.Routing](g.hosts[id])
	if err != nil {
		g.t.Fatal(err)
	}
	return routing
}

func (g *group) declare(id model.NodeID, version uint64) port.DeclareStatus {
	return g.routing(id).Declare(g.t.Context(), declaration(version, "x")).Status
}

func declaration(version uint64, document string) model.Routing {
	return model.Routing{
		Version: version, Document: []byte(document),
		Services: []model.ServiceID{"finder"},
		Routes:   []model.Route{{Name: "r", Host: "h", PathPrefix: "/p/", Service: "finder", Timeout: time.Second}},
	}
}

// confirmed returns the version that a member confirms, 0 when it cannot.
func (g *group) confirmed(id model.NodeID) uint64 {
	routing, ok := g.routing(id).Confirmed(g.t.Context())
	if !ok || routing == nil {
		return 0
	}
	return routing.Version
}

// awaitVersion waits until the member has the version in force.
func (g *group) awaitVersion(id model.NodeID, version uint64) {
	for {
		changed := g.register(id).Changed()
		if r := g.routing(id).Declared(); r != nil && r.Version >= version {
			return
		}
		<-changed
	}
}

func founded(t *testing.T) *group {
	g := startChanged(t, 4, 3, seeded(true))
	for i := range 3 {
		g.awaitVote(node(i))
	}
	g.change = seeded(false)
	return g
}

func TestTheSeedsOfTheFirstStartBecomeTheReplicas(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := founded(t)
		defer g.stopAll()
		is.Equal(g.register("n3").Replica(), port.ReplicaNone)
		is.Equal(g.declare("n5", 4), port.DeclareDone)
		for i := range 7 {
			g.awaitVersion(node(i), 4)
			is.Equal(g.confirmed(node(i)), uint64(4))
		}
	})
}

func TestTheHighestVersionWinsWhateverOrderTheyComeIn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := founded(t)
		defer g.stopAll()
		is.Equal(g.declare("n0", 9), port.DeclareDone)
		is.Equal(g.declare("n1", 7), port.DeclareDone) // Accepted, and changes nothing.
		other := declaration(9, "other content")
		is.Equal(g.routing("n2").Declare(t.Context(), other).Status, port.DeclareDone)
		routing, ok := g.routing("n4").Confirmed(t.Context())
		is.True(ok)
		is.Equal(string(routing.Document), "x")
		invalid := declaration(12, "x")
		invalid.Routes[0].Timeout = 0
		is.Equal(g.routing("n0").Declare(t.Context(), invalid).Status, port.DeclareInvalid)
		is.Equal(g.confirmed("n1"), uint64(9))
	})
}

func TestAMemberWithoutAMajorityConfirmsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := founded(t)
		defer g.stopAll()
		is.Equal(g.declare("n0", 2), port.DeclareDone)
		g.awaitVersion("n4", 2)
		g.net.cut("n0", "n4")
		is.Equal(g.confirmed("n0"), uint64(0))
		is.Equal(g.confirmed("n4"), uint64(0))
		is.Equal(g.declare("n4", 3), port.DeclareUnsure)
		is.Equal(g.declare("n5", 4), port.DeclareDone)
		is.Equal(g.confirmed("n2"), uint64(4))
	})
}

// TestALostDiskAndAPowerFailureLoseNoDeclaration has files come back under other inodes, as after a
// power failure of VMs whose file systems do not keep them.
func TestALostDiskAndAPowerFailureLoseNoDeclaration(t *testing.T) {
	for lost := range 3 {
		t.Run(string(node(lost)), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				g := founded(t)
				defer g.stopAll()
				is.Equal(g.declare("n4", 5), port.DeclareDone)
				for i := range 7 {
					g.stop(node(i))
				}
				g.net.gossip = make(map[string]map[model.NodeID][]byte) // Nobody remembers what was told.
				for i := range 3 {
					path := filepath.Join(g.dir, string(node(i)), folderName, "register.json")
					content, err := os.ReadFile(path)
					is.NoErr(err)
					is.NoErr(os.RemoveAll(filepath.Join(g.dir, string(node(i)))))
					if i != lost {
						is.NoErr(os.MkdirAll(filepath.Dir(path), 0o700))
						is.NoErr(os.WriteFile(path, content, 0o600))
					}
				}
				for i := range 7 {
					g.start(node(i))
				}
				for i := range 7 {
					g.awaitVersion(node(i), 5)
				}
				for i := range 3 {
					g.awaitVote(node(i))
				}
				is.Equal(g.confirmed("n6"), uint64(5))
				is.Equal(g.declare("n6", 6), port.DeclareDone)
			})
		})
	}
}

func TestAMemberThatIsNotToldOfTheFirstStartFoundsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := startUnknown(t, 4, 3, seeded(false))
		defer g.stopAll()
		time.Sleep(time.Minute) // On the fake clock: far longer than any founding takes.
		for i := range 4 {
			is.Equal(g.declare(node(i), 1), port.DeclareUnsure)
			_, known := g.current(node(i))
			is.True(!known)
		}
	})
}
