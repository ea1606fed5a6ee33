// Package occupancy decides which member takes over the place of a replica whose holder is away, and reports what each
// place waits for. It does no I/O: the plug-in profiles supplies what this member knows.
package occupancy

import (
	"cmp"
	"slices"
	"time"

	"redwingpulley/kernel/model"
	"redwingpulley/kernel/port"
	"redwingpulley/plugins/profiles/register"
)

// TakeoverDelay is how long a place must be vacant, its holder not considered alive, before another member takes it
// over.
const TakeoverDelay = 1500 * time.Millisecond

// Place is a replica's place and the member that has it.
type Place struct {
	Replica model.NodeID
	Holder  model.NodeID
}

// absence is the absence of a place's holder.
type absence struct {
	holder model.NodeID
	since  time.Time
	vacant time.Time // Since when the place counts as vacant: not before this member sees enough other holders.
}

// Absences are the absences of holders, by place. The zero value is ready for use.
type Absences struct{ byPlace map[model.NodeID]absence }

// Note records which holders are away now, and returns the view of the places at that time.
func (a *Absences) Note(now time.Time, places []Place, alive []port.Node) View {
	noted := make(map[model.NodeID]absence)
	for _, place := range places {
		if isAlive(alive, place.Holder) {
			continue
		}
		noted[place.Replica] = absence{place.Holder, now, now}
		if former, ok := a.byPlace[place.Replica]; ok && former.holder == place.Holder {
			noted[place.Replica] = former
		}
	}
	view := View{at: now, places: places, alive: alive, absences: noted}
	if !view.EnoughHolders() {
		restartVacancies(noted, now)
	}
	a.byPlace = noted
	return view
}

// restartVacancies has all absences count from now on. A member that sees too few holders is probably cut off itself;
// when it is back, it has to see for TakeoverDelay that a holder is away.
func restartVacancies(noted map[model.NodeID]absence, now time.Time) {
	for replica, absent := range noted {
		absent.vacant = now
		noted[replica] = absent
	}
}

func isAlive(alive []port.Node, id model.NodeID) bool {
	return slices.ContainsFunc(alive, func(n port.Node) bool { return n.ID == id })
}

// View is what a member knows of the places at one time. It does not change.
type View struct {
	at       time.Time
	places   []Place
	alive    []port.Node
	absences map[model.NodeID]absence // By place, of the holders that are not alive.
}

// EnoughHolders reports whether so many holders are alive that a new store could join. A member that sees fewer is
// probably in the smaller part of a partition.
func (v View) EnoughHolders() bool { return v.liveHolders() >= register.JoinQuorum(len(v.places)) }

func (v View) liveHolders() int { return len(v.places) - len(v.absences) }

// Takers returns the members that are to take over places now, by place. Members of the data centres with the fewest
// places come first.
func (v View) Takers() map[model.NodeID]model.NodeID {
	takers := make(map[model.NodeID]model.NodeID)
	if !v.EnoughHolders() {
		return takers
	}
	spares, placesIn := v.Spares(), v.placesByDataCentre()
	for _, place := range v.places {
		if !v.due(place) || len(spares) == 0 {
			continue
		}
		next := NextInSpread(spares, placesIn)
		placesIn[next.DataCentre]++
		takers[place.Replica] = next.ID
		spares = slices.DeleteFunc(spares, func(n port.Node) bool { return n.ID == next.ID })
	}
	return takers
}

// due reports whether a place has been vacant for TakeoverDelay.
func (v View) due(place Place) bool {
	_, away := v.absences[place.Replica]
	return away && v.vacantFor(place.Replica) >= TakeoverDelay
}

// vacantFor returns for how long a place whose holder is away has counted as vacant.
func (v View) vacantFor(replica model.NodeID) time.Duration {
	return v.at.Sub(v.absences[replica].vacant)
}

// Spares returns the live members that have a disk and no place.
func (v View) Spares() []port.Node {
	return slices.DeleteFunc(slices.Clone(v.alive), func(n port.Node) bool {
		return !n.Disk || slices.ContainsFunc(v.places, func(p Place) bool { return p.Holder == n.ID })
	})
}

// placesByDataCentre returns the number of places that live members have in each data centre.
func (v View) placesByDataCentre() map[model.DataCentre]int {
	places := make(map[model.DataCentre]int)
	for _, n := range v.alive {
		for _, place := range v.places {
			if place.Holder == n.ID {
				places[n.DataCentre]++
			}
		}
	}
	return places
}

// NextInSpread returns the candidate in the data centre with the fewest replicas; the lowest id decides
// between equal ones.
func NextInSpread(candidates []port.Node, replicasIn map[model.DataCentre]int) port.Node {
	return slices.MinFunc(candidates, func(a, b port.Node) int {
		return cmp.Or(cmp.Compare(replicasIn[a.DataCentre], replicasIn[b.DataCentre]), cmp.Compare(a.ID, b.ID))
	})
}
