package register

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"redwingpulley/kernel/model"
)

// Guards against issue 16: operators read at all replicas at the same time while messages are slow, as with a
// large routing on busy VMs, and the rounds of the replicas outbid one another, so that none of the
// reads succeeds.
func TestConfirm_ConcurrentReadsAtAllReplicas(t *testing.T) {
	sim := newSimulation(t, 5, 0, 1)
	sim.advance(3 * time.Second)
	sim.submit("n0", model.ProfileEdit{ID: "c", Kind: model.PutProfile, Name: "p"})
	sim.advance(time.Second)
	const (
		slowDelay    = 150 * time.Millisecond // Longest time in which a message with the whole state is encoded, carried and decoded.
		readInterval = 300 * time.Millisecond // Between two reads at one replica.
		readTimeout  = time.Second
		readBack     = 4 * time.Second // Operators read for this long and need one answer.
	)
	sim.delay = slowDelay
	before := sim.readsDone
	for end := sim.now.Add(readBack); sim.now.Before(end); sim.advance(readInterval) {
		for _, id := range sim.replicaIDs {
			sim.read(id, readTimeout)
		}
	}
	sim.advance(2 * readTimeout)
	if sim.readsDone == before {
		t.Fatal("no read succeeded")
	}
}

// read has a replica confirm the newest revision.
func (sim *simulation) read(id model.NodeID, timeout time.Duration) {
	sim.lastTicket++
	edit := model.ProfileEdit{ID: fmt.Sprint("read", sim.lastTicket), Kind: model.ConfirmRevision}
	sim.awaited[sim.lastTicket] = awaitedEdit{edit, id, sim.newestDone}
	sim.step(id, Submitted{sim.lastTicket, edit, sim.now.Add(timeout)})
}

// checkRead checks that a read returns no older revision than any that was answered before it was submitted.
func (sim *simulation) checkRead(submission awaitedEdit, result model.EditResult) {
	if result.Status != model.EditDone {
		return
	}
	sim.readsDone++
	if result.Revision < submission.atLeast {
		sim.t.Fatalf("%s returned revision %d after %d had been answered", submission.edit.ID, result.Revision, submission.atLeast)
	}
	sim.newestDone = max(sim.newestDone, result.Revision)
}

// doneRevision returns the revision of an edit that was answered as done, else 0.
func doneRevision(result model.EditResult) model.Revision {
	if result.Status != model.EditDone {
		return 0
	}
	return result.Revision
}

// Reads among edits, restarts, partitions and lost disks, with slow messages in some runs: no read returns an
// older revision than one that was answered before.
func TestRandomisedReads(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(t, rapid.SampledFrom([]int{3, 5}).Draw(t, "replicas"), 1, rapid.Uint64().Draw(t, "seed"))
		sim.advance(3 * time.Second)
		sim.delay = time.Duration(rapid.SampledFrom([]int{5, 50, 150}).Draw(t, "delay")) * time.Millisecond
		s := &script{simulation: sim, t: t}
		for range rapid.IntRange(5, 60).Draw(t, "steps") {
			for range rapid.IntRange(0, 3).Draw(t, "reads") {
				if id := rapid.SampledFrom(sim.memberIDs).Draw(t, "reader"); !sim.members[id].down {
					sim.read(id, time.Second)
				}
			}
			s.performRandomAction()
		}
		sim.delay = 5 * time.Millisecond
		sim.healAndCheck()
	})
}

// The reads of a replica that proposes nothing are answered by the rounds of the one that does.
func TestConfirm_ReadsOfAllReplicasShareRounds(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, 5, 0, 1)
	sim.advance(3 * time.Second)
	const rounds = 10
	for range rounds {
		for _, id := range sim.replicaIDs {
			sim.read(id, time.Second)
		}
		sim.advance(200 * time.Millisecond)
	}
	is.Equal(sim.readsDone, rounds*len(sim.replicaIDs))
	votes := sim.members["n0"].machine.durable.Votes
	is.True(votes <= 5*rounds) // A promise and an accepted value for two or three rounds each time.
}
