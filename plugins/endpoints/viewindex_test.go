package endpoints

import (
	"testing"

	"github.com/matryer/is"

	"redwingpulley/kernel/port"
)

// Guards against issue 39, SHORT: each goroutine that reacts to a change of the membership view listed all members anew, so that a
// restart of one member cost each of 153 the work of the whole group several times.
func TestAViewIsIndexedOnce(t *testing.T) {
	is := is.New(t)
	p, m := fleetMember(153)
	defer p.Stop()
	first := p.currentView()
	react := func() {
		p.dropLoadsOfLostOwners()
		p.passOnEndpointsOfLostOwners()
		p.reportOrigins()
		p.cancelLostSessions()
	}
	react()
	is.True(p.currentView() == first)
	size := len(p.membership.Alive())
	is.True(testing.AllocsPerRun(10, react) < float64(size)/2) // None for each member.
	m.setAlive(departed(1, m.Alive())...)
	is.True(p.currentView() != first)
	is.Equal(len(p.currentView().origins), size-1)
}

// Guards against issue 39, SHORT: the owners of all pools were worked out again after each change of the view, also of those in other
// data centres than that of the member that came or went.
func TestOwnersAreKeptWhenOtherDataCentresChange(t *testing.T) {
	is := is.New(t)
	alive := largeView(153)
	group := poolGroup{"finder", largeCentre(0)}
	var cached groupOwners
	cached = cached.update(alive, group, 16)
	for i, node := range alive {
		without := append(append([]port.Node{}, alive[:i]...), alive[i+1:]...)
		next := cached.update(without, group, 16)
		is.Equal(next.owners, assignOwners(without, group, 16))
		is.Equal(&next.owners[0] == &cached.owners[0], node.DataCentre != group.dataCentre)
	}
	is.Equal(len(cached.update(alive, group, 32).owners), 32)
}
