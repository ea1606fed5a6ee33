package profiles

import (
	"slices"
	"sync"

	"redwingpulley/kernel/event"
	"redwingpulley/kernel/model"
	"redwingpulley/kernel/port"
	"redwingpulley/plugins/profiles/disk"
)

// A process that chooses the replicas of a first start may end before any other member knows its choice, and starts
// again without the setting bootstrap. It may choose again if each other live member with a disk publishes that it takes part in
// a first start and knows no replicas: had a group been founded, its replicas would know it. All of them may end and start again so;
// each knows from its disk, then, that it takes part.

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

// beginFounding reports whether this member takes part in a first start and knows no replicas yet: its settings say so, or its disk since an
// earlier start.
func (p *Profiles) beginFounding(loaded disk.Loaded) bool {
	if p.path == "" || !p.bootstrap {
		return loaded.Founding
	}
	if err := p.disk.BeginFounding(); err != nil {
		event.FoundingNotRecorded.Log(p.log, event.Err(err))
	}
	return true
}

// endFounding records on the disk that the replicas are known. A replica is known by its register file, once that is written.
func (p *Profiles) endFounding(replicas []model.NodeID) {
	if p.path == "" || slices.Contains(replicas, p.self) {
		return
	}
	if err := p.disk.EndFounding(); err != nil {
		event.FoundingNotRecorded.Log(p.log, event.Err(err))
	}
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
