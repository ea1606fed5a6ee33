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

// takeoverTime is long enough, on the virtual clock, for a vacant place to be taken over and for its new
// store to vote.
const takeoverTime = 5 * time.Second

// remove stops a member; the others consider it dead.
func (c *cluster) remove(id model.NodeID) {
	c.stop(id)
	c.net.mu.Lock()
	c.net.dead[id] = true
	c.net.mu.Unlock()
}

// add starts a new member with an empty disk, on the VM with the given index.
func (c *cluster) add(id model.NodeID, index int) {
	c.net.mu.Lock()
	c.net.members = append(c.net.members, settings.Member{Node: id, Disk: true, Peers: address(index)})
	c.net.mu.Unlock()
	c.start(id)
}

// rejoin starts a removed member again; the others consider it alive.
func (c *cluster) rejoin(id model.NodeID) {
	c.net.mu.Lock()
	delete(c.net.dead, id)
	c.net.mu.Unlock()
	c.start(id)
}

// TestTakeover_AllReplicasReplacedInTurn removes the members that had disks at the bootstrap one after
// the other, and adds a new one for each.
func TestTakeover_AllReplicasReplacedInTurn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := startBootstrapped(t)
		version := uint64(1)
		is.Equal(c.declare("n5", version), port.DeclareDone)
		for i := range 4 {
			c.remove(node(i))
			next := model.NodeID(fmt.Sprintf("m%d", i))
			c.add(next, 20+i)
			time.Sleep(takeoverTime)
			version++
			is.Equal(c.declare("n5", version), port.DeclareDone)
			is.Equal(c.confirmedVersion(next), version)
		}
		voters := 0
		for i := range 4 {
			if c.register(model.NodeID(fmt.Sprintf("m%d", i))).Replica() == port.ReplicaVoter {
				voters++
			}
		}
		is.Equal(voters, 3)
		for _, id := range []model.NodeID{"m0", "m1", "m2", "m3", "n4", "n5", "n6"} {
			c.stop(id)
		}
	})
}

// TestTakeover_ReturningReplicaHasNoPlace covers a replica that returns with its disk, and one that
// returns with an empty disk.
func TestTakeover_ReturningReplicaHasNoPlace(t *testing.T) {
	for _, wiped := range []bool{false, true} {
		t.Run(fmt.Sprint("wiped ", wiped), func(t *testing.T) {
			withBootstrapped(t, func(t *testing.T, is *is.I, c *cluster) {
				is.Equal(c.declare("n5", 1), port.DeclareDone)
				c.remove("n0")
				time.Sleep(takeoverTime)
				c.awaitVoter("n3")
				is.Equal(c.declare("n5", 2), port.DeclareDone)
				if wiped {
					is.NoErr(os.RemoveAll(filepath.Join(c.dir, "n0")))
				}
				c.rejoin("n0")
				time.Sleep(takeoverTime)
				is.Equal(c.register("n0").Replica(), port.ReplicaNone)
				is.Equal(c.register("n3").Replica(), port.ReplicaVoter)
				is.Equal(c.confirmedVersion("n0"), uint64(2))
				is.Equal(c.declare("n0", 3), port.DeclareDone)

				c.remove("n1") // The replica that came back takes the next vacant place.
				time.Sleep(takeoverTime)
				is.Equal(c.register("n0").Replica(), port.ReplicaVoter)
				is.Equal(c.confirmedVersion("n6"), uint64(3))
				c.rejoin("n1")
			})
		})
	}
}

// TestTakeover_NoneByPartitionedMember partitions the member n3, which has a disk and no place, from
// the replicas, so that it considers all of them dead.
func TestTakeover_NoneByPartitionedMember(t *testing.T) {
	withBootstrapped(t, func(t *testing.T, is *is.I, c *cluster) {
		is.Equal(c.declare("n5", 1), port.DeclareDone)
		c.awaitVersion("n3", 1)
		c.net.partition("n3", "n4")
		time.Sleep(2 * takeoverTime)
		c.net.partition()
		time.Sleep(takeoverTime)
		is.Equal(c.register("n3").Replica(), port.ReplicaNone)
		for i := range 3 {
			is.Equal(c.register(node(i)).Replica(), port.ReplicaVoter)
		}
	})
}

// lossAndReturn stops a member, loses its disk and starts it again before the others consider it dead.
func (c *cluster) lossAndReturn(id model.NodeID) {
	c.stop(id)
	c.loseDisk(id)
	c.start(id)
}

// Guards against issue 16: a member that had taken over a place and then lost its disk went on without a
// place, and nobody else could take the place since its holder was alive.
func TestTakeover_HolderWithLostDiskRejoinsItsPlace(t *testing.T) {
	withBootstrapped(t, func(t *testing.T, is *is.I, c *cluster) {
		is.Equal(c.declare("n5", 1), port.DeclareDone)
		c.remove("n0")
		time.Sleep(takeoverTime)
		c.awaitVoter("n3")
		c.rejoin("n0")
		is.Equal(c.declare("n5", 2), port.DeclareDone)
		c.lossAndReturn("n3")
		time.Sleep(takeoverTime)
		is.Equal(c.register("n3").Replica(), port.ReplicaVoter)
		is.Equal(c.register("n0").Replica(), port.ReplicaNone)
		c.remove("n1") // Without the place of n3 there is no majority now.
		is.Equal(c.declare("n5", 3), port.DeclareDone)
		c.rejoin("n1")
	})
}

// startToleratingTwo starts eight members, the first seven with disks, of which five are replicas.
func startToleratingTwo(t *testing.T) *cluster {
	c := startCustomCluster(t, 7, 1, toleratingTwo(true))
	for i := range 5 {
		c.awaitVoter(node(i))
	}
	c.customize = toleratingTwo(false)
	return c
}

// Guards against issue 16: no place was taken over while two were vacant, although five replicas have
// enough others for both.
func TestTakeover_TwoPlacesAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := startToleratingTwo(t)
		defer c.stopAll()
		is.Equal(c.declare("n7", 1), port.DeclareDone)
		c.remove("n0")
		c.remove("n3")
		time.Sleep(takeoverTime)
		is.Equal(c.register("n5").Replica(), port.ReplicaVoter)
		is.Equal(c.register("n6").Replica(), port.ReplicaVoter)
		is.Equal(c.declare("n7", 2), port.DeclareDone)
		c.remove("n1") // The majority holds without the members that had the places first.
		c.remove("n2")
		is.Equal(c.declare("n7", 3), port.DeclareDone)
		for _, id := range []model.NodeID{"n0", "n1", "n2", "n3"} {
			c.rejoin(id)
		}
	})
}

// Guards against the loss of an acknowledged change: taking over a place makes its former member give up
// its file, so it must not happen while the new one cannot join, as here with another replica's disk lost.
func TestTakeover_NotWhileTooFewOthersVote(t *testing.T) {
	withBootstrapped(t, func(t *testing.T, is *is.I, c *cluster) {
		is.Equal(c.declare("n5", 1), port.DeclareDone)
		c.remove("n0")
		c.lossAndReturn("n1") // Cannot vote before n0 is back.
		time.Sleep(takeoverTime)
		is.Equal(c.register("n3").Replica(), port.ReplicaNone)
		c.rejoin("n0")
		time.Sleep(takeoverTime)
		for i := range 3 {
			is.Equal(c.register(node(i)).Replica(), port.ReplicaVoter)
		}
		is.Equal(c.declare("n5", 2), port.DeclareDone)
	})
}
