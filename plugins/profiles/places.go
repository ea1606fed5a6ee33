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

// In a group that was bootstrapped from seeds, each replica is a place named after the member that had
// it first. When that member is gone, another member with a disk takes over the place under a new
// store, just as a replica that has lost its disk rejoins: the other replicas fence the former store,
// and the new one votes once they have reported all that the former may have promised. A member that
// comes back finds its store fenced and goes on without a place.

const (
	// takeoverDelay is how long a place must be vacant, its member not considered alive, before another
	// member takes it over.
	takeoverDelay = 1500 * time.Millisecond
	// placelessSuffix is appended to the identity of a member without a place when its own name is that
	// of a place, which another member has.
	placelessSuffix = "~"
)

// ownPlace returns the replica whose place this member has, or its identity without a place.
func (p *Profiles) ownPlace() model.NodeID {
	p.core.Lock()
	defer p.core.Unlock()
	return p.place
}

// memberAt returns the member that an identity stands for: the one that has the place if the identity
// is that of a replica, else the member without a place.
func (p *Profiles) memberAt(identity model.NodeID) model.NodeID {
	if node, found := strings.CutSuffix(string(identity), placelessSuffix); found {
		return model.NodeID(node)
	}
	if !slices.Contains(p.replicas(), identity) {
		return identity
	}
	holder, _ := p.holder(identity)
	return holder
}

// holder returns the member that has a replica's place, and that member's store.
func (p *Profiles) holder(replica model.NodeID) (model.NodeID, register.Store) {
	p.core.Lock()
	defer p.core.Unlock()
	if p.core.machine == nil {
		return replica, register.Store{}
	}
	return p.core.machine.Holder(replica)
}

// identityOf returns the replica whose place a member has, or the member's identity without a
// place.
func (p *Profiles) identityOf(node model.NodeID) model.NodeID {
	for _, replica := range p.replicas() {
		if holder, _ := p.holder(replica); holder == node {
			return replica
		}
	}
	if slices.Contains(p.replicas(), node) {
		return node + placelessSuffix
	}
	return node
}

// leavePlace puts the file on disk aside and goes on with a machine without a vote, after another
// member has taken this member's place.
func (p *Profiles) leavePlace() {
	event.ReplicaReplaced.Log(p.log, event.Text(event.Place, p.ownPlace()))
	if err := p.disk.Discard(); err != nil {
		event.RegisterNotPutAside.Log(p.log, event.Err(err))
	}
	identity := p.self
	if slices.Contains(p.replicas(), p.self) {
		identity += placelessSuffix
	}
	p.installMachine(identity, disk.Loaded{}, register.Store{})
	p.step(register.Woken{})
}

// watchPlaces takes over vacant places while this member has none, until the plug-in stops.
func (p *Profiles) watchPlaces() {
	goneSince := make(map[model.NodeID]time.Time) // By place: since when its member has been gone.
	timer := time.NewTimer(takeoverDelay)
	defer timer.Stop()
	for {
		changed := p.membership.Changed()
		if place, ok := p.placeToTake(time.Now(), goneSince); ok {
			p.takePlace(place)
			clear(goneSince)
		}
		timer.Reset(takeoverDelay)
		select {
		case <-changed:
		case <-timer.C:
		case <-p.ctx.Done():
			return
		}
	}
}

// placeToTake returns the place that this member is to take over now, if any. Only one place may be
// vacant, since the members of all the others have to report what its former store may have promised.
// Of the live members with a disk and without a place, the first takes it. It updates goneSince.
func (p *Profiles) placeToTake(now time.Time, goneSince map[model.NodeID]time.Time) (place model.NodeID, ok bool) {
	alive := p.membership.Alive()
	holders := make(map[model.NodeID]bool)
	var missing []model.NodeID
	for _, replica := range p.replicas() {
		holder, _ := p.holder(replica)
		holders[holder] = true
		if slices.ContainsFunc(alive, func(n port.Node) bool { return n.ID == holder }) {
			delete(goneSince, replica)
			continue
		}
		missing = append(missing, replica)
		if goneSince[replica].IsZero() {
			goneSince[replica] = now
		}
	}
	if len(missing) != 1 || holders[p.self] || p.serving.Load() == nil || now.Sub(goneSince[missing[0]]) < takeoverDelay {
		return "", false
	}
	first := slices.IndexFunc(alive, func(n port.Node) bool { return n.Disk && !holders[n.ID] })
	return missing[0], first >= 0 && alive[first].ID == p.self
}

// takePlace takes over a replica's place with a new machine, which starts a new store.
func (p *Profiles) takePlace(place model.NodeID) {
	former, store := p.holder(place)
	event.ReplicaTakesPlace.Log(p.log, event.Text(event.Place, place), event.Text(event.Member, former))
	p.installMachine(place, disk.Loaded{}, store)
	p.step(register.Woken{})
}
