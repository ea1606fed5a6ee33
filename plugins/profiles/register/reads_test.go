package register

import (
	"fmt"
	"testing"
	"time"

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
	before := sim.done
	for end := sim.now.Add(readBack); sim.now.Before(end); sim.advance(readInterval) {
		for _, id := range sim.replicaIDs {
			sim.read(id, readTimeout)
		}
	}
	sim.advance(2 * readTimeout)
	if sim.done == before {
		t.Fatal("no read succeeded")
	}
}

// read has a replica confirm the newest revision.
func (sim *simulation) read(id model.NodeID, timeout time.Duration) {
	sim.lastTicket++
	edit := model.ProfileEdit{ID: fmt.Sprint("read", sim.lastTicket), Kind: model.ConfirmRevision}
	sim.awaited[sim.lastTicket] = awaitedEdit{edit, id}
	sim.step(id, Submitted{sim.lastTicket, edit, sim.now.Add(timeout)})
}
