package profiles

import (
	"slices"
	"strings"
	"time"

	"redwingpulley/kernel/event"
	"redwingpulley/kernel/model"
	"redwingpulley/kernel/port"
	"redwingpulley/plugins/profiles/disk"
	"redwingpulley/plugins/profiles/register"
)

// The replicas of a group that was founded by its seeds are places, each named by the member that had
// it first. Where that member is gone, another one with a disk takes the place under a new store, as
// a replica does that has lost its disk: the other replicas fence the former store, and the new one
// votes once they have told it all that the former may have promised. A member that comes back finds
// its store fenced and goes on without a place.

const (
	// takeAfter is how long the member of a place must be gone before another one takes it.
	takeAfter = 1500 * time.Millisecond
	// placeless marks the identity of a member without a place whose own name is that of a place.
	placeless = "~"
)

// ownPlace returns the replica whose place this member has, or its identity without one.
func (p *Profiles) ownPlace() model.NodeID {
	p.core.Lock()
	defer p.core.Unlock()
	return p.place
}

// memberAt returns the member that has the place of a replica, or the member of another identity.
func (p *Profiles) memberAt(identity model.NodeID) model.NodeID {
	if node, cut := strings.CutSuffix(string(identity), placeless); cut {
		return model.NodeID(node)
	}
	if !slices.Contains(p.replicas(), identity) {
		return identity
	}
	holder, _ := p.holder(identity)
	return holder
}

func (p *Profiles) holder(replica model.NodeID) (model.NodeID, register.Store) {
	p.core.Lock()
	defer p.core.Unlock()
	if p.core.machine == nil {
		return replica, register.Store{}
	}
	return p.core.machine.Holder(replica)
}

// identityOf returns the replica whose place a member has, or the member's identity without one.
func (p *Profiles) identityOf(node model.NodeID) model.NodeID {
	for _, replica := range p.replicas() {
		if holder, _ := p.holder(replica); holder == node {
			return replica
		}
	}
	if slices.Contains(p.replicas(), node) {
		return node + placeless
	}
	return node
}

// leavePlace goes on without a vote: another member has this one's place.
func (p *Profiles) leavePlace() {
	event.ReplicaReplaced.Log(p.log, event.Text(event.Place, p.ownPlace()))
	if err := p.disk.Discard(); err != nil {
		event.RegisterNotPutAside.Log(p.log, event.Err(err))
	}
	identity := p.self
	if slices.Contains(p.replicas(), p.self) {
		identity += placeless
	}
	p.enter(identity, disk.Loaded{}, register.Store{})
	p.step(register.Woken{})
}

// watchPlaces takes the place of a replica whose member is gone while this one has none.
func (p *Profiles) watchPlaces() {
	gone := make(map[model.NodeID]time.Time) // Since when the member of each place is.
	timer := time.NewTimer(takeAfter)
	defer timer.Stop()
	for {
		changed := p.membership.Changed()
		if place, ok := p.vacant(time.Now(), gone); ok {
			p.takePlace(place)
			clear(gone)
		}
		timer.Reset(takeAfter)
		select {
		case <-changed:
		case <-timer.C:
		case <-p.ctx.Done():
			return
		}
	}
}

// vacant returns the place that this member is to take. Only one may be vacant, since the others must
// tell what its store has promised; and of the members without a place the first one takes it.
func (p *Profiles) vacant(now time.Time, gone map[model.NodeID]time.Time) (place model.NodeID, ok bool) {
	alive := p.membership.Alive()
	holders := make(map[model.NodeID]bool)
	var missing []model.NodeID
	for _, replica := range p.replicas() {
		holder, _ := p.holder(replica)
		holders[holder] = true
		if slices.ContainsFunc(alive, func(n port.Node) bool { return n.ID == holder }) {
			delete(gone, replica)
			continue
		}
		missing = append(missing, replica)
		if gone[replica].IsZero() {
			gone[replica] = now
		}
	}
	if len(missing) != 1 || holders[p.self] || p.serving.Load() == nil || now.Sub(gone[missing[0]]) < takeAfter {
		return "", false
	}
	first := slices.IndexFunc(alive, func(n port.Node) bool { return n.Disk && !holders[n.ID] })
	return missing[0], first >= 0 && alive[first].ID == p.self
}

func (p *Profiles) takePlace(place model.NodeID) {
	former, store := p.holder(place)
	event.ReplicaTakesPlace.Log(p.log, event.Text(event.Place, place), event.Text(event.Member, former))
	p.enter(place, disk.Loaded{}, store)
	p.step(register.Woken{})
}
