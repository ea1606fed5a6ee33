package membership

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"redwingpulley/kernel/event"
	"redwingpulley/kernel/model"
	"redwingpulley/kernel/port"
	"redwingpulley/kernel/settings"
	"redwingpulley/plugins/membership/swim"
)

// quietRetry is how often seeds that belong to no live member are asked once other members are
// known: members that started out of reach of each other meet this way.
const quietRetry = 2 * time.Second

// peerAddresses returns the seeds with the port of this member's own listener for peers, without
// this member itself.
func peerAddresses(node settings.Settings) ([]string, error) {
	own, err := netip.ParseAddrPort(node.Listen.Peers)
	if err != nil {
		return nil, err
	}
	var addresses []string
	for _, seed := range node.Seeds {
		at, err := netip.ParseAddrPort(seed)
		if err != nil {
			return nil, err
		}
		if at.Addr() != own.Addr() {
			addresses = append(addresses, netip.AddrPortFrom(at.Addr(), own.Port()).String())
		}
	}
	return addresses, nil
}

// ownNode returns the record of a member that settings describe without a list of members.
func ownNode(node settings.Settings) port.Node {
	self, _ := node.Self()
	return port.Node{
		ID: self.Node, Incarnation: newIncarnation(), DataCentre: self.DataCentre,
		Peers: self.Peers, Endpoints: self.Endpoints, Disk: self.Disk, Reserve: node.Reserve,
		Draining: true, // Until the process is ready.
	}
}

// Reload takes other seeds.
func (m *Membership) Reload(node settings.Settings) {
	if m.seeds.Load() == nil {
		return // The process was started with a list of members.
	}
	seeds, err := peerAddresses(node)
	if err != nil {
		event.SeedsRefused.Log(m.log, event.Err(err))
		return
	}
	m.seeds.Store(&seeds)
}

// findMembers asks the seeds for the other members until each seed belongs to a live one.
func (m *Membership) findMembers() {
	for {
		pause := quietRetry
		if len(m.Alive()) == 1 {
			pause = m.period
		}
		m.askSeeds()
		if !m.pause(pause) {
			return
		}
	}
}

// askSeeds asks the seeds that belong to no live member, all at once.
func (m *Membership) askSeeds() {
	var asked sync.WaitGroup
	for _, address := range *m.seeds.Load() {
		if !slices.ContainsFunc(m.Alive(), func(n port.Node) bool { return n.Peers == address }) {
			asked.Go(func() { m.askSeed(address) })
		}
	}
	asked.Wait()
}

// askSeed asks for all that the member at address knows. The address stands in for its id, which
// the answer tells.
func (m *Membership) askSeed(address string) {
	ctx, cancel := context.WithTimeout(m.life, m.answerTimeout())
	defer cancel()
	at := model.NodeID(address)
	m.peers.Learn(at, address)
	message := m.step(swim.Composed{To: at}).Reply
	message.All = true
	var reply wireMessage
	if m.peers.Call(ctx, at, methodPing, encode(message), &reply) == port.Delivered {
		m.step(swim.Introduced{Message: reply.decode()})
	}
}
