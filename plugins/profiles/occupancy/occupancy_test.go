package occupancy

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"redwingpulley/kernel/model"
	"redwingpulley/kernel/port"
	"redwingpulley/plugins/profiles/register"
)

var start = time.Unix(1000, 0)

// held returns the first count of the places a to e, each held by the member of its name.
func held(count int) []Place {
	var places []Place
	for _, id := range []model.NodeID{"a", "b", "c", "d", "e"}[:count] {
		places = append(places, Place{id, id})
	}
	return places
}

// live returns live members with disks in one data centre.
func live(ids ...model.NodeID) []port.Node {
	var nodes []port.Node
	for _, id := range ids {
		nodes = append(nodes, port.Node{ID: id, Disk: true})
	}
	return nodes
}

// voters returns the reports of holders that vote.
func voters(places ...model.NodeID) map[model.NodeID]Report {
	reports := make(map[model.NodeID]Report)
	for _, place := range places {
		reports[place] = Report{State: port.PlaceVoter, Since: start}
	}
	return reports
}

// viewAfter returns the view of places whose holders have been away for the given time unless they are among alive.
func viewAfter(away time.Duration, places []Place, alive []port.Node) View {
	var absences Absences
	absences.Note(start, places, alive)
	return absences.Note(start.Add(away), places, alive)
}

// Guards against a wrong wait, which would mislead an operator who replaces a VM.
func TestSnapshot_TellsWhatAPlaceOfAnAbsentHolderWaitsFor(t *testing.T) {
	due := TakeoverDelay
	cases := []struct {
		name      string
		view      View
		takeovers bool
		reports   map[model.NodeID]Report
		want      port.PlaceWait
	}{
		{"no takeovers", viewAfter(due, held(3), live("b", "c", "x")), false, voters("b", "c"), port.PlaceWait{Kind: port.WaitReturn}},
		{"two of three away", viewAfter(due, held(3), live("c", "x")), true, voters("c"), port.PlaceWait{Kind: port.WaitHolders, Have: 1, Need: 2}},
		{"three of five away", viewAfter(due, held(5), live("d", "e", "x")), true, voters("d", "e"), port.PlaceWait{Kind: port.WaitHolders, Have: 2, Need: 3}},
		{"no spare", viewAfter(due, held(3), live("b", "c")), true, voters("b", "c"), port.PlaceWait{Kind: port.WaitSpare}},
		{"no spare, just away", viewAfter(0, held(3), live("b", "c")), true, voters("b", "c"), port.PlaceWait{Kind: port.WaitSpare}},
		{"just away", viewAfter(due-400*time.Millisecond, held(3), live("b", "c", "x")), true, voters("b", "c"), port.PlaceWait{Kind: port.WaitDelay, Left: 400 * time.Millisecond}},
		{"a learner", viewAfter(due, held(3), live("b", "c", "x")), true, voters("b"), port.PlaceWait{Kind: port.WaitVoters, Have: 1, Need: 2, By: "x"}},
		{"due", viewAfter(due, held(3), live("b", "c", "x")), true, voters("b", "c"), port.PlaceWait{Kind: port.WaitTakeover, By: "x"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			snapshot := c.view.Snapshot("x", c.takeovers, c.reports)
			is.Equal(snapshot.Places[0].State, port.PlaceAway)
			is.Equal(snapshot.Places[0].Wait, c.want)
			is.Equal(snapshot.Voters, len(c.reports))
		})
	}
}

// Guards against two vacant places that are both shown as to be taken over by the one spare member.
func TestSnapshot_OneSpareForTwoPlaces(t *testing.T) {
	is := is.New(t)
	snapshot := viewAfter(TakeoverDelay, held(5), live("c", "d", "e", "x")).Snapshot("x", true, voters("c", "d", "e"))
	is.Equal(snapshot.Places[0].Wait, port.PlaceWait{Kind: port.WaitTakeover, By: "x"})
	is.Equal(snapshot.Places[1].Wait, port.PlaceWait{Kind: port.WaitSpare})
	is.Equal(snapshot.Spares, []model.NodeID{"x"})
	is.Equal(snapshot.Majority, 3)
}

// Guards against a live holder that is shown as voting because it did not say what it does.
func TestSnapshot_ShowsReportsOfLiveHoldersOnly(t *testing.T) {
	is := is.New(t)
	reports := voters("a") // A late report of a holder that is not considered alive any more.
	reports["b"] = Report{State: port.PlaceLearner, Since: start, Wait: port.PlaceWait{Kind: port.WaitJoin, Have: 1, Need: 2}}
	snapshot := viewAfter(2*time.Second, held(3), live("b", "c")).Snapshot("c", true, reports)
	is.Equal(snapshot.Voters, 0)
	is.Equal(snapshot.Places[0].Away, 2*time.Second)
	is.Equal(snapshot.Places[1], port.ReplicaPlace{Place: "b", Holder: "b", State: port.PlaceLearner, Since: start, Wait: reports["b"].Wait})
	is.Equal(snapshot.Places[2].State, port.PlaceUnreached)
	is.Equal(View{}.Snapshot("x", true, nil).Majority, 0) // No replicas are known yet.
}

// Guards against a place that is taken from a holder which has only just gone, because the one before it was away for long.
func TestAbsences_CountFromTheAbsenceOfThePresentHolder(t *testing.T) {
	is := is.New(t)
	var absences Absences
	alive := live("b", "c", "x")
	absences.Note(start, held(3), alive)
	is.Equal(absences.Note(start.Add(time.Hour), held(3), alive).Takers(), map[model.NodeID]model.NodeID{"a": "x"})
	next := []Place{{"a", "y"}, {"b", "b"}, {"c", "c"}}
	is.Equal(len(absences.Note(start.Add(time.Hour), next, alive).Takers()), 0)
	absences.Note(start.Add(2*time.Hour), next, live("b", "c", "x", "y"))
	is.Equal(len(absences.Note(start.Add(3*time.Hour), next, alive).Takers()), 0) // Alive in between.
}

// Guards against a replacement in a data centre that holds more places than another one with a spare member.
func TestTakers_FromTheDataCentreWithFewestPlaces(t *testing.T) {
	is := is.New(t)
	alive := live("b", "c", "x", "y", "z")
	for i, dataCentre := range []model.DataCentre{"1", "2", "1", "2", "3"} {
		alive[i].DataCentre = dataCentre
	}
	alive[4].Disk = false
	is.Equal(viewAfter(TakeoverDelay, held(3), alive).Takers(), map[model.NodeID]model.NodeID{"a": "x"})
	alive[4].Disk = true
	is.Equal(viewAfter(TakeoverDelay, held(3), alive).Takers(), map[model.NodeID]model.NodeID{"a": "z"})
}

// Guards against a holder that is shown as a voter before that is synced.
func TestOwnReport(t *testing.T) {
	is := is.New(t)
	is.Equal(OwnReport(register.Standing{Voting: true}, start, true), Report{State: port.PlaceVoter, Since: start})
	is.Equal(OwnReport(register.Standing{Voting: true}, start, false).Wait, port.PlaceWait{Kind: port.WaitSync})
	is.Equal(OwnReport(register.Standing{Counted: 1, Needed: 2}, start, true).Wait, port.PlaceWait{Kind: port.WaitJoin, Have: 1, Need: 2})
	is.Equal(OwnReport(register.Standing{Intact: true, Needed: 1}, start, true), Report{State: port.PlaceLearner, Since: start, Wait: port.PlaceWait{Kind: port.WaitConfirm, Need: 1}})
}

// Guards against issue 36: a member that had been cut off from all holders took over the place of a live one as soon as it saw
// enough of the others again, since its own absence counted as theirs.
func TestTakers_NoneRightAfterTheMemberWasCutOff(t *testing.T) {
	is := is.New(t)
	var absences Absences
	absences.Note(start, held(3), live("x"))
	absences.Note(start.Add(5*time.Second), held(3), live("x"))
	back := start.Add(6 * time.Second)
	is.Equal(absences.Note(back, held(3), live("b", "c", "x")).Takers(), map[model.NodeID]model.NodeID{})
	stillAway := absences.Note(back.Add(TakeoverDelay), held(3), live("b", "c", "x"))
	is.Equal(stillAway.Takers(), map[model.NodeID]model.NodeID{"a": "x"})
}
