package profiles

import (
	"sync"

	"redwingpulley/kernel/model"
	"redwingpulley/kernel/port"
)

// A process that chooses the replicas of a first start may end before any other member knows its choice, and starts
// again without the setting bootstrap. It may choose again if each other live member with a disk publishes that it takes part in
// a first start and knows no replicas: had a group been founded, its replicas would know it.

// foundingTopic is the gossip topic under which members with disks publish whether they take part in a first start and
// know no replicas yet: one byte, foundingYes or foundingNo.
const foundingTopic = "profiles/founding"

const (
	foundingNo  = 0
	foundingYes = 1
)

// founders are the members that take part in a first start and know no replicas yet.
type founders struct {
	sync.Mutex
	known   map[model.NodeID]bool
	changed chan struct{} // Buffers one signal.
}

// publishFounding publishes whether this member takes part in a first start and knows no replicas yet.
func (p *Profiles) publishFounding(founding bool) {
	value := byte(foundingNo)
	if founding {
		value = foundingYes
	}
	p.gossip.Publish(foundingTopic, []byte{value})
}

// handleGossipedFounding notes what another member has published. It does not block.
func (p *Profiles) handleGossipedFounding(from model.NodeID, value []byte) {
	p.founders.Lock()
	p.founders.known[from] = len(value) == 1 && value[0] == foundingYes
	p.founders.Unlock()
	select {
	case p.founders.changed <- struct{}{}:
	default: // A signal is waiting already.
	}
}

// mayFound reports whether this member may choose the replicas from the candidates.
func (p *Profiles) mayFound(candidates []port.Node) bool {
	if p.bootstrap {
		return true
	}
	p.founders.Lock()
	defer p.founders.Unlock()
	for _, n := range candidates {
		if n.ID != p.self && !p.founders.known[n.ID] {
			return false
		}
	}
	return true
}
