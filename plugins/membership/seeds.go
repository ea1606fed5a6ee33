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

// seedRetryInterval is the time between queries to seeds that belong to no live member, once other
// members are known. Members that could not reach each other when they started find each other
// this way.
const seedRetryInterval = 2 * time.Second

// seedAddresses returns the addresses of the seeds other than this member. Their port is that of
// this member's own listener for peers.
func seedAddresses(s settings.Settings) ([]string, error) {
	own, err := netip.ParseAddrPort(s.Listen.Peers)
	if err != nil {
		return nil, err
	}
	var addresses []string
	for _, seed := range s.Seeds {
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

// selfNode returns this member's node when the settings contain seeds instead of a list of members.
func selfNode(s settings.Settings) port.Node {
	self, _ := s.Self()
	return port.Node{
		ID: self.Node, Incarnation: newIncarnation(), DataCentre: self.DataCentre,
		Peers: self.Peers, Endpoints: self.Endpoints, Disk: self.Disk, Reserve: s.Reserve, Weight: s.Weight,
		Draining: true, // Until the process is healthy.
	}
}

// Reload replaces the seeds by those of the new settings.
func (m *Membership) Reload(s settings.Settings) {
	if m.seeds.Load() == nil {
		return // The settings at the start contained a list of members instead of seeds.
	}
	seeds, err := seedAddresses(s)
	if err != nil {
		event.SeedsRefused.Log(m.log, event.Err(err))
		return
	}
	m.seeds.Store(&seeds)
}

// discoverMembers queries the seeds for other members until the plug-in stops: in each period while
// no other member is alive, and every seedRetryInterval otherwise.
func (m *Membership) discoverMembers() {
	for {
		sleep := seedRetryInterval
		if len(m.Alive()) == 1 {
			sleep = m.period
		}
		m.querySeeds()
		if !m.sleep(sleep) {
			return
		}
	}
}

// querySeeds queries all seeds that belong to no live member, concurrently.
func (m *Membership) querySeeds() {
	var queries sync.WaitGroup
	for _, address := range *m.seeds.Load() {
		if !slices.ContainsFunc(m.Alive(), func(n port.Node) bool { return n.Peers == address }) {
			queries.Go(func() { m.querySeed(address) })
		}
	}
	queries.Wait()
}

// querySeed asks the member at address for its full state. The address is used as the member's id
// in the call, because the id itself is known only from the answer.
func (m *Membership) querySeed(address string) {
	ctx, cancel := context.WithTimeout(m.baseCtx, m.answerTimeout())
	defer cancel()
	at := model.NodeID(address)
	m.peers.SetAddress(at, address)
	message := m.step(swim.MessageRequested{To: at}).Reply
	message.FullState = true
	var reply wireMessage
	if m.peers.Call(ctx, at, methodPing, encode(message), &reply) == port.Delivered {
		m.step(swim.SeedAnswered{Message: reply.decode()})
	}
}
