package profiles

import (
	"encoding/json"
	"path/filepath"
	"slices"

	"github.com/cespare/xxhash/v2"

	"redwingpulley/kernel/event"
	"redwingpulley/kernel/model"
	"redwingpulley/kernel/plugin"
)

// groupTopic is the gossip topic under which members publish the ids of the replicas.
const groupTopic = "profiles/group"

// replicaGroup holds the replicas of the register. It does not change once it is known.
type replicaGroup struct {
	replicas []model.NodeID // Sorted.
	hash     uint64         // Hash of the replicas' ids; members compare it before they exchange votes.
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

// replicas returns the ids of the replicas, sorted; nil while they are not known.
func (p *Profiles) replicas() []model.NodeID {
	if known := p.group.Load(); known != nil {
		return known.replicas
	}
	return nil
}

// configureGroup takes the replicas from the list of members in the settings. Where the settings hold
// seeds instead, the replicas are found later: the disk or another member names them, or this member
// chooses them at a first start. It also sets the path of the folder on disk.
func (p *Profiles) configureGroup(c *plugin.Context) error {
	self, _ := c.Node.Self()
	if len(c.Node.Seeds) == 0 {
		p.group.Store(newGroup(configuredReplicas(c)))
		if slices.Contains(p.replicas(), p.self) {
			p.path = filepath.Join(c.Node.DataDir, folderName)
		}
		return nil
	}
	p.takeoverEnabled = true
	if self.Disk {
		p.path = filepath.Join(c.Node.DataDir, folderName)
	}
	p.bootstrap = c.Node.Bootstrap
	if err := p.configureBootstrap(c.Node); err != nil && p.bootstrap {
		return err // Without bootstrap, a member whose addresses are not numeric chooses no replicas.
	}
	return nil
}

// configuredReplicas returns the members with disks in the settings' list of members.
func configuredReplicas(c *plugin.Context) []model.NodeID {
	var replicas []model.NodeID
	for _, m := range c.Node.Members {
		if m.Disk {
			replicas = append(replicas, m.Node)
		}
	}
	return replicas
}

// publishGroup publishes the replicas by gossip, if they are known.
func (p *Profiles) publishGroup() {
	if raw, err := json.Marshal(p.replicas()); err == nil && len(p.replicas()) > 0 {
		p.gossip.Publish(groupTopic, raw)
	}
}

// handleGossipedGroup passes the replicas that another member published to awaitGroup. It does not
// block.
func (p *Profiles) handleGossipedGroup(from model.NodeID, value []byte) {
	var replicas []model.NodeID
	if err := json.Unmarshal(value, &replicas); err != nil || len(replicas) == 0 {
		event.ReplicasUnreadable.Log(p.log, event.Text(event.Member, from))
		return
	}
	select {
	case p.gossipedReplicas <- replicas:
	default: // An earlier value is not handled yet, or the replicas are already known.
	}
}
