package profiles

import (
	"net/netip"
	"slices"
	"time"

	"redwingpulley/kernel/model"
	"redwingpulley/kernel/port"
	"redwingpulley/kernel/settings"
	"redwingpulley/plugins/profiles/disk"
	"redwingpulley/plugins/profiles/occupancy"
)

// At the first start of a cluster with seeds one member chooses the replicas: the one on the VM of the
// lowest seed; founding.go tells when it may do so. The others learn them by gossip. Two lists could both be in use only if each of their
// replicas had joined the group of its list, and both lists contain the member that chose them.

const (
	minReplicas = 3 // Fewest replicas of a first start, if so many members have disks.
	// bootstrapDelay is how long the replicas of an existing group have to arrive by gossip before a first
	// start chooses new ones.
	bootstrapDelay = 300 * time.Millisecond
	// bootstrapWait is how long a first start waits for as many members with disks as it needs.
	bootstrapWait = 3 * time.Second
)

// configureBootstrap keeps the addresses of the seeds' VMs if this member chooses the replicas.
func (p *Profiles) configureBootstrap(node settings.Settings) error {
	own, err := netip.ParseAddrPort(node.Listen.Peers)
	if err != nil {
		return err
	}
	var addrs []netip.Addr
	for _, seed := range node.Seeds {
		addr, err := netip.ParseAddrPort(seed)
		if err != nil {
			return err
		}
		addrs = append(addrs, addr.Addr())
	}
	if slices.MinFunc(addrs, netip.Addr.Compare) == own.Addr() {
		p.bootstrapAddrs = addrs
	}
	return nil
}

// awaitGroup starts consensus once the replicas are known: this member has chosen them, or another one
// has published them.
func (p *Profiles) awaitGroup(loaded disk.Loaded) {
	startedAt := time.Now()
	timer := time.NewTimer(bootstrapDelay)
	defer timer.Stop()
	for {
		changed := p.membership.Changed()
		if waited := time.Since(startedAt); waited >= bootstrapDelay {
			if replicas := p.chooseReplicas(waited >= bootstrapWait); len(replicas) > 0 {
				p.startConsensus(loaded, replicas)
				return
			}
		}
		select {
		case <-changed:
		case <-p.founders.changed:
		case <-timer.C:
			timer.Reset(bootstrapWait)
		case replicas := <-p.gossipedReplicas:
			p.startConsensus(loaded, replicas)
			return
		case <-p.ctx.Done():
			return
		}
	}
}

// chooseReplicas returns the replicas of a first start, nil when this member does not choose them or not
// yet: there has to be a live member with a disk on each seed's VM, this has to be a first start, and unless the wait
// is over, there have to be as many as the tolerated number of lost disks needs.
func (p *Profiles) chooseReplicas(waitOver bool) []model.NodeID {
	if len(p.bootstrapAddrs) == 0 {
		return nil
	}
	candidates := slices.DeleteFunc(slices.Clone(p.membership.Alive()), func(n port.Node) bool { return !n.Disk })
	for _, addr := range p.bootstrapAddrs {
		if !slices.ContainsFunc(candidates, func(n port.Node) bool { return onVM(n, addr) }) {
			return nil
		}
	}
	if !p.mayFound(candidates) {
		return nil
	}
	wanted := max(minReplicas, 2*p.settings.ToleratedDisks+1)
	if len(candidates) < wanted && !waitOver {
		return nil
	}
	return spreadReplicas(candidates, wanted)
}

// onVM reports whether a member listens for peers at the address of a VM.
func onVM(n port.Node, vm netip.Addr) bool {
	addr, err := netip.ParseAddrPort(n.Peers)
	return err == nil && addr.Addr() == vm
}

// spreadReplicas returns up to count of the candidates, spread as evenly as possible over the data
// centres, so that the loss of one data centre takes as few replicas as possible.
func spreadReplicas(candidates []port.Node, count int) []model.NodeID {
	chosenIn := make(map[model.DataCentre]int)
	rest := slices.Clone(candidates)
	var replicas []model.NodeID
	for len(rest) > 0 && len(replicas) < count {
		next := occupancy.NextInSpread(rest, chosenIn)
		chosenIn[next.DataCentre]++
		replicas = append(replicas, next.ID)
		rest = slices.DeleteFunc(rest, func(n port.Node) bool { return n.ID == next.ID })
	}
	return replicas
}
