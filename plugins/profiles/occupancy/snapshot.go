package occupancy

import (
	"slices"
	"time"

	"redwingpulley/kernel/model"
	"redwingpulley/kernel/port"
	"redwingpulley/plugins/profiles/register"
)

// Report is what the holder of a place reports about it.
type Report struct {
	State port.PlaceState
	Since time.Time // When the holder took the place; zero where that is not known.
	Wait  port.PlaceWait
}

// OwnReport returns the report of a holder: synced tells whether its right to vote is on the disk.
func OwnReport(standing register.Standing, since time.Time, synced bool) Report {
	switch {
	case standing.Voting && synced:
		return Report{State: port.PlaceVoter, Since: since}
	case standing.Voting:
		return Report{State: port.PlaceLearner, Since: since, Wait: port.PlaceWait{Kind: port.WaitSync}}
	}
	wait := port.PlaceWait{Kind: port.WaitJoin, Have: standing.Counted, Need: standing.Needed}
	if standing.Intact {
		wait.Kind = port.WaitConfirm
	}
	return Report{State: port.PlaceLearner, Since: since, Wait: wait}
}

// Snapshot returns the places as they are shown to operators, with the reports of their holders by place. takeovers tells
// whether places are taken over.
func (v View) Snapshot(node model.NodeID, takeovers bool, reports map[model.NodeID]Report) port.ReplicaPlaces {
	shown := port.ReplicaPlaces{Node: node, At: v.at, Takeovers: takeovers}
	if len(v.places) > 0 {
		shown.Majority = register.MajorityOf(len(v.places))
	}
	for _, n := range v.Spares() {
		shown.Spares = append(shown.Spares, n.ID)
	}
	slices.Sort(shown.Spares)
	for _, place := range v.places {
		shown.Places = append(shown.Places, v.show(place, reports))
	}
	shown.Voters = countVoters(shown.Places)
	v.showWaits(&shown)
	return shown
}

// show returns a place. What it waits for is left out while its holder is away; showWaits adds it.
func (v View) show(place Place, reports map[model.NodeID]Report) port.ReplicaPlace {
	shown := port.ReplicaPlace{Place: place.Replica, Holder: place.Holder, State: port.PlaceUnreached}
	if absent, away := v.absences[place.Replica]; away {
		shown.State, shown.Away = port.PlaceAway, v.at.Sub(absent.since)
		return shown
	}
	if report, ok := reports[place.Replica]; ok {
		shown.State, shown.Since, shown.Wait = report.State, report.Since, report.Wait
	}
	return shown
}

func countVoters(places []port.ReplicaPlace) (voters int) {
	for _, place := range places {
		if place.State == port.PlaceVoter {
			voters++
		}
	}
	return voters
}

// showWaits adds what the places whose holders are away wait for.
func (v View) showWaits(shown *port.ReplicaPlaces) {
	takers := v.Takers()
	for i := range shown.Places {
		if place := &shown.Places[i]; place.State == port.PlaceAway {
			place.Wait = v.waitOf(*place, takers[place.Place], *shown)
		}
	}
}

// waitOf returns what a place whose holder is away waits for. taker is the member that is to take it over now, "" when
// there is none.
func (v View) waitOf(place port.ReplicaPlace, taker model.NodeID, shown port.ReplicaPlaces) port.PlaceWait {
	quorum := register.JoinQuorum(len(v.places))
	switch {
	case !shown.Takeovers:
		return port.PlaceWait{Kind: port.WaitReturn}
	case !v.EnoughHolders():
		return port.PlaceWait{Kind: port.WaitHolders, Have: v.liveHolders(), Need: quorum}
	case len(shown.Spares) > 0 && v.vacantFor(place.Place) < TakeoverDelay:
		return port.PlaceWait{Kind: port.WaitDelay, Left: TakeoverDelay - v.vacantFor(place.Place)}
	case taker == "":
		return port.PlaceWait{Kind: port.WaitSpare}
	case shown.Voters < quorum:
		return port.PlaceWait{Kind: port.WaitVoters, Have: shown.Voters, Need: quorum, By: taker}
	}
	return port.PlaceWait{Kind: port.WaitTakeover, By: taker}
}
