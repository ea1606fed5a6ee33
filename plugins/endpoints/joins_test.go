package endpoints

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"redwingpulley/kernel/model"
	"redwingpulley/kernel/port"
)

// lossCalls returns the number of messages with losses that were sent so far.
func (n *network) lossCalls() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.calls[methodLosses]
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
		time.Sleep(2 * lossPause) // On the virtual clock.
	}
	return all, nodes
}

// Guards against issue 39, SHORT: each member sent each member that joined a message, also while it knew of no loss. A start of 153
// members opened as many connections as there are pairs of them, and each was pinged for 15 s.
func TestJoinsWithoutLossesSendNoMessages(t *testing.T) {
	withVirtualClock(t, func(t *testing.T, is *is.I) {
		n := newNetwork()
		startGroup(t, n, 24)
		is.Equal(n.lossCalls(), 0)
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
			time.Sleep(2 * lossPause) // On the virtual clock.
			before := n.lossCalls()
			joined := port.Node{ID: "joined", Incarnation: "j1", DataCentre: "sj0"}
			p, _ := newPools(t, n, joined)
			n.setAlive(append(nodes, joined)...)
			time.Sleep(2 * lossPause)
			is.Equal(len(p.lossesOf(taskRef{"k", 0})), 1)
			is.True(n.lossCalls()-before <= 4)
		}
	})
}
