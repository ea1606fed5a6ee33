package profiles

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"redwingpulley/kernel/model"
	"redwingpulley/kernel/port"
	"redwingpulley/kernel/settings"
)

// settled is a time on the fake clock in which a vacant place is taken and its new store votes.
const settled = 5 * time.Second

// leave stops a member for good and has the others take it for dead.
func (g *group) leave(id model.NodeID) {
	g.stop(id)
	g.net.mu.Lock()
	g.net.gone[id] = true
	g.net.mu.Unlock()
}

// join starts a member with an empty disk that was not there before.
func (g *group) join(id model.NodeID, index int) {
	g.net.mu.Lock()
	g.net.members = append(g.net.members, settings.Member{Node: id, Disk: true, Peers: address(index)})
	g.net.mu.Unlock()
	g.start(id)
}

func (g *group) back(id model.NodeID) {
	g.net.mu.Lock()
	delete(g.net.gone, id)
	g.net.mu.Unlock()
	g.start(id)
}

// TestReplicasAreReplacedOneAfterTheOther has every member of the first start with a disk go for good.
func TestReplicasAreReplacedOneAfterTheOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := founded(t)
		version := uint64(1)
		is.Equal(g.declare("n5", version), port.DeclareDone)
		for i := range 4 {
			g.leave(node(i))
			next := model.NodeID(fmt.Sprintf("m%d", i))
			g.join(next, 20+i)
			time.Sleep(settled)
			version++
			is.Equal(g.declare("n5", version), port.DeclareDone)
			is.Equal(g.confirmed(next), version)
		}
		voters := 0
		for i := range 4 {
			if g.register(model.NodeID(fmt.Sprintf("m%d", i))).Replica() == port.ReplicaVoter {
				voters++
			}
		}
		is.Equal(voters, 3)
		for _, id := range []model.NodeID{"m0", "m1", "m2", "m3", "n4", "n5", "n6"} {
			g.stop(id)
		}
	})
}

// TestAReplicaThatComesBackFindsItsPlaceTaken covers one with its disk and one without.
func TestAReplicaThatComesBackFindsItsPlaceTaken(t *testing.T) {
	for _, wiped := range []bool{false, true} {
		t.Run(fmt.Sprint("wiped ", wiped), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				g := founded(t)
				defer g.stopAll()
				is.Equal(g.declare("n5", 1), port.DeclareDone)
				g.leave("n0")
				time.Sleep(settled)
				g.awaitVote("n3")
				is.Equal(g.declare("n5", 2), port.DeclareDone)
				if wiped {
					is.NoErr(os.RemoveAll(filepath.Join(g.dir, "n0")))
				}
				g.back("n0")
				time.Sleep(settled)
				is.Equal(g.register("n0").Replica(), port.ReplicaNone)
				is.Equal(g.register("n3").Replica(), port.ReplicaVoter)
				is.Equal(g.confirmed("n0"), uint64(2))
				is.Equal(g.declare("n0", 3), port.DeclareDone)

				g.leave("n1") // The one that came back takes the next place.
				time.Sleep(settled)
				is.Equal(g.register("n0").Replica(), port.ReplicaVoter)
				is.Equal(g.confirmed("n6"), uint64(3))
				g.back("n1")
			})
		})
	}
}

// TestAMemberThatIsCutOffTakesNoPlace has the member without a place think that all others are gone.
func TestAMemberThatIsCutOffTakesNoPlace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := founded(t)
		defer g.stopAll()
		is.Equal(g.declare("n5", 1), port.DeclareDone)
		g.awaitVersion("n3", 1)
		g.net.cut("n3", "n4")
		time.Sleep(2 * settled)
		g.net.cut()
		time.Sleep(settled)
		is.Equal(g.register("n3").Replica(), port.ReplicaNone)
		for i := range 3 {
			is.Equal(g.register(node(i)).Replica(), port.ReplicaVoter)
		}
	})
}
