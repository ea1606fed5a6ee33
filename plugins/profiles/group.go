package profiles

import (
	"encoding/json"
	"net/netip"
	"path/filepath"
	"slices"

	"github.com/cespare/xxhash/v2"

	"redwingpulley/kernel/event"
	"redwingpulley/kernel/model"
	"redwingpulley/kernel/plugin"
	"redwingpulley/kernel/port"
	"redwingpulley/plugins/profiles/disk"
)

// topicGroup is the gossip topic under which members tell who the replicas are.
const topicGroup = "profiles/group"

// replicaGroup is the replicas of the register. It does not change once it is known.
type replicaGroup struct {
	replicas []model.NodeID // Sorted.
	hash     uint64         // Of their ids.
}

func newGroup(replicas []model.NodeID) *replicaGroup {
	replicas = slices.Clone(replicas)
	slices.Sort(replicas)
	d := xxhash.New()
	for _, node := range replicas {
		d.WriteString(string(node))
		d.WriteString("\n")
	}
	return &replicaGroup{replicas, d.Sum64()}
}

// replicas returns the replicas, or nothing while they are not known.
func (p *Profiles) replicas() []model.NodeID {
	if known := p.group.Load(); known != nil {
		return known.replicas
	}
	return nil
}

// learnSettings takes the replicas from the list of members, or notes what finds them without one:
// at the very first start the VMs of the seeds, later what the disk or another member tells.
func (p *Profiles) learnSettings(c *plugin.Context) error {
	self, _ := c.Node.Self()
	if len(c.Node.Seeds) == 0 {
		p.group.Store(newGroup(replicasOf(c)))
		if slices.Contains(p.replicas(), p.self) {
			p.path = filepath.Join(c.Node.DataDir, folderName)
		}
		return nil
	}
	p.movable = true
	if self.Disk {
		p.path = filepath.Join(c.Node.DataDir, folderName)
	}
	if !c.Node.Bootstrap {
		return nil
	}
	for _, seed := range c.Node.Seeds {
		at, err := netip.ParseAddrPort(seed)
		if err != nil {
			return err
		}
		p.founders = append(p.founders, at.Addr())
	}
	return nil
}

func replicasOf(c *plugin.Context) []model.NodeID {
	var replicas []model.NodeID
	for _, m := range c.Node.Members {
		if m.Disk {
			replicas = append(replicas, m.Node)
		}
	}
	return replicas
}

// await begins to take part once the replicas are known: all founders have been met, or a member
// has told who they are.
func (p *Profiles) await(loaded disk.Loaded) {
	for {
		changed := p.membership.Changed()
		if replicas := p.metFounders(); len(replicas) > 0 {
			p.begin(loaded, replicas)
			return
		}
		select {
		case <-changed:
		case replicas := <-p.told:
			p.begin(loaded, replicas)
			return
		case <-p.ctx.Done():
			return
		}
	}
}

// metFounders returns the members on the founders' VMs once all of them are known.
func (p *Profiles) metFounders() []model.NodeID {
	var replicas []model.NodeID
	for _, founder := range p.founders {
		at := slices.IndexFunc(p.membership.Alive(), func(n port.Node) bool { return n.Disk && onVM(n, founder) })
		if at < 0 {
			return nil
		}
		replicas = append(replicas, p.membership.Alive()[at].ID)
	}
	return replicas
}

func onVM(n port.Node, vm netip.Addr) bool {
	at, err := netip.ParseAddrPort(n.Peers)
	return err == nil && at.Addr() == vm
}

// tellGroup lets other members know who the replicas are.
func (p *Profiles) tellGroup() {
	if raw, err := json.Marshal(p.replicas()); err == nil && len(p.replicas()) > 0 {
		p.gossip.Publish(topicGroup, raw)
	}
}

// hearGroup takes the replicas that another member told. It does not block.
func (p *Profiles) hearGroup(from model.NodeID, value []byte) {
	var replicas []model.NodeID
	if err := json.Unmarshal(value, &replicas); err != nil || len(replicas) == 0 {
		event.ReplicasUnreadable.Log(p.log, event.Text(event.Member, from))
		return
	}
	select {
	case p.told <- replicas:
	default: // An earlier one has yet to be taken up, or they are known.
	}
}
