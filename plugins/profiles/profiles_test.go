package profiles

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"redwingpulley/kernel/model"
	"redwingpulley/kernel/plugin"
	"redwingpulley/kernel/port"
)

func TestEdit_FromAnyMemberIsInForceEverywhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := startCluster(t, 3, 6)
		defer c.stopAll()
		for i := range 9 {
			is.Equal(c.putProfile(node(i), fmt.Sprint("k", i), model.Revision(i)), editDone(model.Revision(i+1)))
		}
		for i := range 9 {
			c.awaitRevision(node(i), 9)
			is.Equal(len(c.register(node(i)).History()), 9)
		}
		is.Equal(c.putProfile("n5", "k3", 3), editDone(4)) // An edit that is submitted again gets its first result.
	})
}

func TestEdit_OneOfConcurrentEditsWins(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := startCluster(t, 3, 0)
		defer c.stopAll()
		var results [3]model.EditResult
		var racing sync.WaitGroup
		for i := range results {
			racing.Go(func() { results[i] = c.putProfile(node(i), fmt.Sprint("k", i), 0) })
		}
		racing.Wait()
		won := 0
		for _, result := range results {
			if result == editDone(1) {
				won++
				continue
			}
			is.Equal(result, model.EditResult{Status: model.EditStale, Run: model.NotRun, Revision: 1})
		}
		is.Equal(won, 1)
	})
}

func TestEdit_NotRunInMinorityWhichCatchesUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := startCluster(t, 3, 2)
		defer c.stopAll()
		c.net.partition("n0", "n3")
		refused := model.EditResult{Status: model.EditNoMajority, Run: model.NotRun}
		is.Equal(c.putProfile("n0", "minority", 0), refused)
		is.Equal(c.putProfile("n3", "minority", 0), refused) // n3 submits it to n0, the only replica on its side.
		is.Equal(c.putProfile("n1", "majority", 0), editDone(1))
		c.net.partition()
		c.awaitRevision("n0", 1)
		c.awaitRevision("n3", 1)
		for _, change := range c.register("n3").History() {
			is.True(change.ID != "minority")
		}
	})
}

func TestDiskLoss_EachReplicaInTurn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := startCluster(t, 3, 1)
		defer c.stopAll()
		is.Equal(c.putProfile("n3", "k", 0), editDone(1))
		for i := range 3 {
			c.stop(node(i))
			is.NoErr(os.RemoveAll(filepath.Join(c.dir, string(node(i)))))
			c.start(node(i))
			c.awaitVoter(node(i))
		}
		is.Equal(c.putProfile("n3", "k", 0), editDone(1))
		is.Equal(c.putProfile("n0", "next", 1), editDone(2))
	})
}

func TestRestart_AllMembersAfterHundredsOfChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const changes = 300
		c := startCluster(t, 3, 1)
		defer c.stopAll()
		for i := range changes {
			is.Equal(c.putProfile(node(i%4), fmt.Sprint("k", i), model.Revision(i)).Status, model.EditDone)
		}
		c.stopAll()
		for i := range 4 {
			c.start(node(i))
		}
		for i := range 4 {
			c.awaitRevision(node(i), changes)
		}
		is.Equal(c.putProfile("n3", "next", changes), editDone(changes+1))
	})
}

func TestDamagedFile_ReplicaRejoinsAndVotes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := startCluster(t, 3, 0)
		defer c.stopAll()
		is.Equal(c.putProfile("n0", "k", 0), editDone(1))
		c.stop("n1")
		path := filepath.Join(c.dir, "n1", folderName, "register.json")
		is.NoErr(os.Truncate(path, 100))
		c.start("n1")
		c.awaitVoter("n1")
		c.awaitRevision("n1", 1)
	})
}

// traffic returns the number of calls so far and the bytes of their requests.
func (n *network) traffic() (calls, bytes int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.calls, n.bytes
}

// TestEdit_TrafficIndependentOfRegisterSize measures the traffic of an edit in a cluster of nine
// members once the register is large: the traffic must not grow with the register.
func TestEdit_TrafficIndependentOfRegisterSize(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const warmUp, changes = 100, 20
		c := startCluster(t, 3, 6)
		defer c.stopAll()
		var bytesBefore, messagesBefore int
		for i := range warmUp + changes {
			if i == warmUp {
				messagesBefore, bytesBefore = c.net.traffic()
			}
			is.Equal(c.putProfile(node(i%9), fmt.Sprint("k", i), model.Revision(i)).Status, model.EditDone)
			for j := range 9 {
				c.awaitRevision(node(j), model.Revision(i+1))
			}
		}
		messages, bytes := c.net.traffic()
		perChange := (bytes - bytesBefore) / changes
		t.Logf("a change: %d messages and %d bytes over all members", (messages-messagesBefore)/changes, perChange)
		is.True(perChange < 40_000) // At 700 edits a day, this is 5% of the 7 KB a second that one member's control traffic may take.
	})
}

// TestIdle_TrafficPerMemberIsBounded measures the traffic of an idle cluster of nine members in a
// minute.
func TestIdle_TrafficPerMemberIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const members, seconds = 9, 60
		c := startCluster(t, 3, members-3)
		defer c.stopAll()
		time.Sleep(seconds * time.Second)
		calls, bytes := c.net.traffic()
		perNode := float64(bytes) / members / seconds
		t.Logf("idle: %.2f messages and %.0f bytes a second for each member", float64(calls)/members/seconds, perNode)
		is.True(perNode < 700) // A tenth of the 7 KB a second that one member's control traffic may take.
	})
}

// order has a member order the evacuation of sj1 or its end, within a second.
func (c *cluster) order(id model.NodeID, evacuate bool) model.EditStatus {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	evacuations, err := plugin.Lookup[port.Evacuations](c.hosts[id])
	if err != nil {
		c.t.Fatal(err)
	}
	return evacuations.Order(ctx, "sj1", evacuate)
}

// Guards against an order that is forgotten when all members restart and a replica loses its disk, one that a member without a majority
// answers as done, and one that is refused because it is sent twice or to two members.
func TestOrder_SurvivesRestartsAndNeedsAMajority(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := startCluster(t, 3, 1)
		defer c.stopAll()
		is.Equal(c.order("n3", true), model.EditDone)
		is.Equal(c.order("n0", true), model.EditDone)
		c.stopAll()
		is.NoErr(os.RemoveAll(filepath.Join(c.dir, "n0")))
		for i := range 4 {
			c.start(node(i))
		}
		for i := range 4 {
			c.awaitRevision(node(i), 1)
			set, _ := c.current(node(i))
			is.True(set.Evacuated("sj1"))
		}
		c.awaitVoter("n0")
		c.net.partition("n0")
		is.Equal(c.order("n1", false), model.EditDone)
		is.Equal(c.order("n0", true), model.EditNoMajority) // In force here, but withdrawn by the others.
		c.net.partition()
		c.awaitRevision("n0", 2)
		is.Equal(c.order("n0", true), model.EditDone)
	})
}

// Guards against an order that takes effect after it was answered as not in force: its withdrawal may have been answered meanwhile.
func TestOrder_DoesNotOutliveItsAnswer(t *testing.T) {
	for _, at := range []model.NodeID{"n0", "n3"} { // A replica, and a member that is none.
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			c := startCluster(t, 3, 1)
			defer c.stopAll()
			c.net.partition("n0", "n3") // With one of three replicas.
			is.Equal(c.order(at, true), model.EditNoMajority)
			c.net.partition()
			is.Equal(c.order("n1", false), model.EditDone)
			time.Sleep(3 * time.Second)
			set, _ := c.current("n1")
			is.True(!set.Evacuated("sj1"))
		})
	}
}
