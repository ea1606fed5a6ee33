package register

import (
	"slices"
	"time"

	"redwingpulley/kernel/model"
)

// Members watch for vacant places as the plug-in has them do: each has a view of who is alive, which lags, takes a place that was vacant for
// a while when enough others support that, and takes it some time after they did.

const (
	watchInterval = 50 * time.Millisecond   // Between two looks of a member at the places.
	vacancyDelay  = 1500 * time.Millisecond // How long a place has to be vacant before a member takes it over.
)

// watchers hold what members see of one another.
type watchers struct {
	detection time.Duration // After which a member that cannot be reached is considered gone.
	comeback  time.Duration // After which a member that can be reached again is considered alive.
	decision  time.Duration // Longest time from the support for a takeover until it is carried out.
	views     map[model.NodeID]*view
}

// view is a member's view of the others and of the places.
type view struct {
	reachable map[model.NodeID]bool
	changed   map[model.NodeID]time.Time // Since when a member can or cannot be reached.
	alive     map[model.NodeID]bool
	vacant    map[model.NodeID]vacancy // By place.
	decided   *takeover                // Takeover that others have supported, nil when there is none.
}

type vacancy struct {
	holder model.NodeID
	since  time.Time
}

// takeover is a takeover of a place whose newest known store is takes.
type takeover struct {
	place model.NodeID
	takes Store
	at    time.Time // When it is carried out.
}

func newView() *view {
	return &view{
		reachable: make(map[model.NodeID]bool), changed: make(map[model.NodeID]time.Time),
		alive: make(map[model.NodeID]bool), vacant: make(map[model.NodeID]vacancy),
	}
}

// watchPlaces has each running member look at the places.
func (sim *simulation) watchPlaces() {
	for _, id := range sim.memberIDs {
		if sim.members[id].down {
			delete(sim.watchers.views, id)
			continue
		}
		if sim.watchers.views[id] == nil {
			sim.watchers.views[id] = newView()
		}
		sim.look(id, sim.watchers.views[id])
	}
}

func (sim *simulation) look(id model.NodeID, v *view) {
	sim.updateAlive(id, v)
	live := sim.updateVacancies(id, v)
	switch {
	case v.decided != nil:
		sim.carryOut(id, v)
	case sim.members[id].serves:
		if place, ok := sim.placeFor(id, v, live); ok {
			sim.decide(id, v, place)
		}
	}
}

func (sim *simulation) updateAlive(id model.NodeID, v *view) {
	for _, other := range sim.memberIDs {
		reachable := !sim.members[other].down && sim.partition[other] == sim.partition[id]
		if _, known := v.changed[other]; !known || reachable != v.reachable[other] {
			v.reachable[other], v.changed[other] = reachable, sim.now
		}
		unchanged := sim.now.Sub(v.changed[other])
		switch {
		case other == id:
			v.alive[other] = true
		case reachable && unchanged >= sim.watchers.comeback:
			v.alive[other] = true
		case !reachable && unchanged >= sim.watchers.detection:
			v.alive[other] = false
		}
	}
}

// updateVacancies notes which places are vacant, and returns the number of those that are not. A member that sees too few holders is probably
// cut off: vacancies count for it from when it sees enough of them.
func (sim *simulation) updateVacancies(id model.NodeID, v *view) (live int) {
	for _, replica := range sim.replicaIDs {
		holder, _ := sim.members[id].machine.Holder(replica)
		if v.alive[holder] {
			live++
			delete(v.vacant, replica)
			continue
		}
		if v.vacant[replica].holder != holder {
			v.vacant[replica] = vacancy{holder, sim.now}
		}
	}
	if live < JoinQuorum(len(sim.replicaIDs)) {
		for replica, vacant := range v.vacant {
			v.vacant[replica] = vacancy{vacant.holder, sim.now}
		}
	}
	return live
}

// placeFor returns the place that a member is to take: its own, held before it lost its disk, or a vacant one.
func (sim *simulation) placeFor(id model.NodeID, v *view, live int) (place model.NodeID, ok bool) {
	own := sim.identity(id)
	for _, replica := range sim.replicaIDs {
		if _, store := sim.members[id].machine.Holder(replica); store.Node == id && replica != own {
			return replica, true
		}
	}
	if live < JoinQuorum(len(sim.replicaIDs)) {
		return "", false
	}
	spares := sim.spares(id, v)
	for _, replica := range sim.replicaIDs {
		vacant, ok := v.vacant[replica]
		if !ok || sim.now.Sub(vacant.since) < vacancyDelay || len(spares) == 0 {
			continue
		}
		if spares[0] == id {
			return replica, true
		}
		spares = spares[1:]
	}
	return "", false
}

// spares returns the live members without a place, as far as a member knows.
func (sim *simulation) spares(id model.NodeID, v *view) []model.NodeID {
	return slices.DeleteFunc(slices.Clone(sim.memberIDs), func(candidate model.NodeID) bool {
		return !v.alive[candidate] || slices.ContainsFunc(sim.replicaIDs, func(replica model.NodeID) bool {
			holder, _ := sim.members[id].machine.Holder(replica)
			return holder == candidate
		})
	})
}

func (sim *simulation) decide(id model.NodeID, v *view, place model.NodeID) {
	_, store := sim.members[id].machine.Holder(place)
	if sim.votersFor(id, place, store) >= JoinQuorum(len(sim.replicaIDs)) {
		delay := time.Duration(sim.random.Int64N(int64(sim.watchers.decision) + 1))
		v.decided = &takeover{place, store, sim.now.Add(delay)}
	}
}

// carryOut carries out the takeover that the others have supported, if it is due.
func (sim *simulation) carryOut(id model.NodeID, v *view) {
	if sim.now.Before(v.decided.at) {
		return
	}
	place := v.decided.place
	v.decided = nil
	_, takes := sim.members[id].machine.Holder(place)
	sim.changePlace(id, place, takes)
}
