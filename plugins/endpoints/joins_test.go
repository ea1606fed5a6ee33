package endpoints

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"redwingpulley/kernel/model"
	"redwingpulley/kernel/port"
)

// updateMessages returns the number of messages with updates that were sent so far.
func (n *network) updateMessages() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.calls[methodUpdates]
}

// startGroup starts so many members, one after the other; each learns of those that joined before and after it.
func startGroup(t *testing.T, n *network, members int) (all []*Pools, nodes []port.Node) {
	for i := range members {
		id := fmt.Sprintf("m%03d", i)
		node := port.Node{ID: model.NodeID(id), Incarnation: model.Incarnation(id), DataCentre: model.DataCentre(fmt.Sprintf("sj%d", i%6))}
		nodes = append(nodes, node)
		n.setAlive(nodes...)
		p, _ := newPools(t, n, node)
		all = append(all, p)
		time.Sleep(2 * smallUpdatePause) // On the virtual clock.
	}
	return all, nodes
}

// Guards against issue 39, SHORT: each member sent each member that joined a message, also while it knew of no loss. A start of 153
// members opened as many connections as there are pairs of them, and each was pinged for 15 s.
func TestJoinsWithoutLossesSendNoMessages(t *testing.T) {
	withVirtualClock(t, func(t *testing.T, is *is.I) {
		n := newNetwork()
		startGroup(t, n, 24)
		is.Equal(n.updateMessages(), 0)
	})
}

// knowing returns how many of the members know of a loss of the task.
func knowing(all []*Pools, ref taskRef) (count int) {
	for _, p := range all {
		if len(p.lossesOf(ref)) > 0 {
			count++
		}
	}
	return count
}

// Guards against issue 39, SHORT: each member that lost a run sent all others a message. When many endpoints fall silent, most members
// lose runs at once, and the messages grew with the square of their number.
func TestMessagesOfALossBurstDoNotGrowWithTheSquareOfTheGroup(t *testing.T) {
	for _, members := range []int{72, 144} {
		withVirtualClock(t, func(t *testing.T, is *is.I) {
			n := newNetwork()
			all, _ := startGroup(t, n, members)
			time.Sleep(joinedAgain) // On the virtual clock: nothing follows from the joins any more.
			for i, p := range all {
				p.recordLoss(taskRef{fmt.Sprint("job", i), 0}, model.EndpointID(fmt.Sprint("e", i)), port.LossCrashed)
			}
			time.Sleep(time.Second) // On the virtual clock: less than the time after which a caller sends its job again.
			for i := range all {
				is.Equal(knowing(all, taskRef{fmt.Sprint("job", i), 0}), members)
			}
			t.Logf("%d members: %d messages", members, n.updateMessages())
			is.True(n.updateMessages() <= (6+relaysOfCentre)*members) // To each data centre, and from its relays to each member.
		})
	}
}

// Guards against losses that a data centre does not learn of since the member that was to relay them there does not reply, and for some
// time is still considered alive.
func TestLossesAreRelayedByAnotherMemberWhenOneDoesNotReply(t *testing.T) {
	withVirtualClock(t, func(t *testing.T, is *is.I) {
		n := newNetwork()
		all, _ := startGroup(t, n, 72)
		silent := make(map[*Pools]bool)
		for centre := range 6 {
			to, _ := all[0].updateReceiver(updateTarget{centre: model.DataCentre(fmt.Sprint("sj", centre)), relay: true}, 0)
			n.mu.Lock()
			delete(n.handlers, to)
			n.mu.Unlock()
			for _, p := range all {
				silent[p] = silent[p] || p.membership.Self().ID == to
			}
		}
		ref := taskRef{"job", 0}
		all[0].recordLoss(ref, "e", port.LossCrashed)
		time.Sleep(2 * time.Second) // On the virtual clock.
		for _, p := range all {
			is.True(silent[p] || len(p.lossesOf(ref)) > 0)
		}
	})
}

// largeGroupWithALoss returns the members of a large group, all of which know that a run of one task was lost.
func largeGroupWithALoss(t *testing.T) (n *network, all []*Pools, nodes []port.Node, lost taskRef) {
	n, lost = newNetwork(), taskRef{"job", 0}
	all, nodes = startGroup(t, n, 72)
	all[0].recordLoss(lost, "e", port.LossCrashed)
	time.Sleep(joinedAgain + time.Second) // On the virtual clock: until all have been told.
	return n, all, nodes, lost
}

// Guards against a member that joins with many others and learns of no loss: those that were to tell it had just joined themselves.
func TestMembersThatJoinALargeGroupTogetherAreToldByThoseThatWereThere(t *testing.T) {
	withVirtualClock(t, func(t *testing.T, is *is.I) {
		n, _, nodes, ref := largeGroupWithALoss(t)
		var joined []*Pools
		for i := range 72 {
			id := fmt.Sprintf("j%03d", i)
			nodes = append(nodes, port.Node{ID: model.NodeID(id), Incarnation: model.Incarnation(id), DataCentre: largeCentre(i)})
		}
		n.setAlive(nodes...)
		for _, node := range nodes[72:] {
			p, _ := newPools(t, n, node)
			joined = append(joined, p)
		}
		time.Sleep(time.Second) // On the virtual clock.
		is.Equal(knowing(joined, ref), len(joined))
	})
}

// Guards against issue 39, SHORT: all members told one that joined what they knew, each the same.
func TestAMemberThatJoinsALargeGroupIsToldByAFew(t *testing.T) {
	withVirtualClock(t, func(t *testing.T, is *is.I) {
		n, all, nodes, ref := largeGroupWithALoss(t)
		before := n.updateMessages()
		node := port.Node{ID: "new", Incarnation: "new1", DataCentre: "sj1"}
		joined, _ := newPools(t, n, node)
		n.setAlive(append(slices.Clone(nodes), node)...)
		time.Sleep(time.Second) // On the virtual clock.
		is.Equal(len(joined.lossesOf(ref)), 1)
		is.Equal(n.updateMessages()-before, joinNotifiers)
		late := taskRef{"job", 1}
		for _, p := range all { // The relays did not know of the join yet.
			p.addLoss(late, model.Loss{Endpoint: "e2", Crashed: true})
		}
		time.Sleep(joinedAgain) // On the virtual clock.
		is.Equal(len(joined.lossesOf(late)), 1)
	})
}

// Guards against a crash that a member which has joined does not learn of: the one that saw it did not know of the join yet, and those
// that tell the new one learned of the crash after they had told it.
func TestAMemberThatJoinsLearnsOfLossesThatWereReportedDuringTheJoin(t *testing.T) {
	withVirtualClock(t, func(t *testing.T, is *is.I) {
		n := newNetwork()
		all, nodes := startGroup(t, n, 12)
		node := port.Node{ID: "new", Incarnation: "new1", DataCentre: "sj1"}
		joined, _ := newPools(t, n, node)
		n.setAlive(append(slices.Clone(nodes), node)...)
		time.Sleep(2 * smallUpdatePause) // On the virtual clock.
		ref := taskRef{"job", 0}
		for _, p := range all {
			p.addLoss(ref, model.Loss{Endpoint: "e", Crashed: true})
		}
		time.Sleep(joinedAgain + time.Second) // On the virtual clock.
		is.Equal(len(joined.lossesOf(ref)), 1)
	})
}

// Guards against issue 39, SHORT: once one task had lost a run, each member told each that joined of it for ten minutes. A restart of all
// members sent as many messages, of up to 256 losses each, as there are pairs of them.
func TestLossesAreToldToAMemberThatJoinsByAFew(t *testing.T) {
	withVirtualClock(t, func(t *testing.T, is *is.I) {
		for _, members := range []int{12, 48} {
			n := newNetwork()
			all, nodes := startGroup(t, n, members)
			all[0].recordLoss(taskRef{"k", 0}, "e1", port.LossCrashed)
			time.Sleep(2 * smallUpdatePause) // On the virtual clock.
			before := n.updateMessages()
			joined := port.Node{ID: "joined", Incarnation: "j1", DataCentre: "sj0"}
			p, _ := newPools(t, n, joined)
			n.setAlive(append(nodes, joined)...)
			time.Sleep(2 * smallUpdatePause)
			is.Equal(len(p.lossesOf(taskRef{"k", 0})), 1)
			is.True(n.updateMessages()-before <= 4)
		}
	})
}
