package profiles

import (
	"context"
	"slices"
	"strings"
	"time"

	"redwingpulley/kernel/event"
	"redwingpulley/kernel/model"
	"redwingpulley/kernel/port"
	"redwingpulley/plugins/profiles/disk"
	"redwingpulley/plugins/profiles/occupancy"
	"redwingpulley/plugins/profiles/register"
	"redwingpulley/plugins/profiles/wire"
)

// In a group that was bootstrapped from seeds, each replica is a place named after the member that had
// it first. When that member is gone, another member with a disk takes over the place under a new
// store, just as a replica that has lost its disk rejoins: the other replicas fence the former store,
// and the new one votes once they have reported all that the former may have promised. A member that
// comes back finds its store fenced and goes on without a place; it keeps its file until the new one votes.

const (
	// supportTimeout is the longest wait for the other replicas' support of a takeover.
	supportTimeout = time.Second
	// placelessSuffix is appended to the identity of a member without a place when its own name is that
	// of a place, which another member has.
	placelessSuffix = "~"
)

// ownPlace returns the replica whose place this member has, or its identity without a place.
func (p *Profiles) ownPlace() model.NodeID {
	p.core.Lock()
	defer p.core.Unlock()
	return p.identityLocked()
}

// identityLocked is ownPlace for callers that hold the lock of core.
func (p *Profiles) identityLocked() model.NodeID {
	if p.core.machine != nil && p.core.machine.Reclaiming() {
		return p.placelessIdentity()
	}
	return p.place
}

// placelessIdentity returns this member's identity without a place.
func (p *Profiles) placelessIdentity() model.NodeID {
	if slices.Contains(p.replicas(), p.self) {
		return p.self + placelessSuffix
	}
	return p.self
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
	p.installMachine(p.placelessIdentity(), disk.Loaded{}, register.Store{})
	p.step(register.Woken{})
}

// watchPlaces notes since when holders of places are away, until the plug-in stops. Where this member may take over
// places, it takes vacant ones while it has none.
func (p *Profiles) watchPlaces() {
	mayTake := p.path != "" && p.takeoverEnabled
	timer := time.NewTimer(occupancy.TakeoverDelay)
	defer timer.Stop()
	for {
		changed := p.membership.Changed()
		view := p.viewPlaces(time.Now())
		if !mayTake {
			timer.Stop()
		} else {
			if place, ok := p.placeToTake(view); ok {
				p.takePlace(place)
			}
			timer.Reset(occupancy.TakeoverDelay)
		}
		select {
		case <-changed:
		case <-timer.C:
		case <-p.ctx.Done():
			return
		}
	}
}

// viewPlaces notes which holders are away now, and returns this member's view of the places.
func (p *Profiles) viewPlaces(now time.Time) occupancy.View {
	var places []occupancy.Place
	for _, replica := range p.replicas() {
		holder, _ := p.holder(replica)
		places = append(places, occupancy.Place{Replica: replica, Holder: holder})
	}
	alive := p.membership.Alive()
	p.absences.Lock()
	defer p.absences.Unlock()
	return p.absences.Note(now, places, alive)
}

// placeToTake returns the place that this member is to take over now, if enough others support that: its own
// one, when it has lost the disk with which it held it, or a vacant one.
func (p *Profiles) placeToTake(view occupancy.View) (place model.NodeID, ok bool) {
	if p.serving.Load() == nil {
		return "", false
	}
	if place, lost := p.lostPlace(); lost {
		return place, p.settings.Reform || p.enoughSupport(place)
	}
	for place, member := range view.Takers() {
		if member == p.self {
			return place, p.enoughSupport(place)
		}
	}
	return "", false
}

// lostPlace returns the place that this member had taken over, if its present machine does not know so:
// its disk was lost.
func (p *Profiles) lostPlace() (place model.NodeID, lost bool) {
	own := p.ownPlace()
	for _, replica := range p.replicas() {
		if _, store := p.holder(replica); store.Node == p.self && replica != own {
			return replica, true
		}
	}
	return "", false
}

// enoughSupport reports whether so many other replicas support taking over a place that its new store can
// join at once. A place is not taken otherwise: its former member gives up its file as soon as it learns
// of the new store, and that file may hold the only copy of a change that is left.
func (p *Profiles) enoughSupport(place model.NodeID) bool {
	ctx, cancel := context.WithTimeout(p.ctx, supportTimeout)
	defer cancel()
	_, newest := p.holder(place)
	request := wire.NewTakeover(place, newest)
	replicas := p.replicas()
	answers := make(chan bool, len(replicas))
	for _, replica := range replicas {
		if replica != place {
			p.goroutines.Go(func() { answers <- p.requestSupport(ctx, p.memberAt(replica), request) })
		}
	}
	supporters := 0
	for range len(replicas) - 1 {
		select {
		case supported := <-answers:
			if supported {
				supporters++
			}
		case <-ctx.Done():
			return false
		}
		if supporters >= register.JoinQuorum(len(replicas)) {
			return true
		}
	}
	return false
}

func (p *Profiles) requestSupport(ctx context.Context, member model.NodeID, request wire.Takeover) bool {
	var reply wire.TakeoverReply
	return p.peers.Call(ctx, member, methodTakeover, request, &reply) == port.Delivered && reply.Supported
}

// supportsTakeover reports whether this member votes and knows no newer store of the place. A sender that
// does not know the newest store gets all of them.
func (p *Profiles) supportsTakeover(from model.NodeID, request wire.Takeover) bool {
	if _, known := p.holder(request.Place); request.Newest().Less(known) {
		p.sendStores(from)
		return false
	}
	return p.Replica() == port.ReplicaVoter
}

// takePlace takes over a replica's place with a new machine, which starts a new store.
func (p *Profiles) takePlace(place model.NodeID) {
	former, store := p.holder(place)
	event.ReplicaTakesPlace.Log(p.log, event.Text(event.Place, place), event.Text(event.Member, former))
	p.installMachine(place, disk.Loaded{}, store)
	p.step(register.Woken{})
}
