package endpoints

import (
	"redwingpulley/kernel/model"
	"redwingpulley/kernel/port"
	"redwingpulley/plugins/endpoints/poolstate"
)

// viewIndex finds members in one membership view. It is built once for each view and shared by all that look members up, since building
// it costs as much as the group is large. It does not change.
type viewIndex struct {
	alive   []port.Node          // The view.
	at      map[model.NodeID]int // Index of each member in alive.
	origins []poolstate.Origin   // All members.
	centres map[model.DataCentre]*centreIndex
}

// centreIndex holds the members of one data centre.
type centreIndex struct {
	members         []poolstate.Origin
	regular         []poolstate.Origin // Those that are not in reserve.
	hasRegularOwner bool               // One of them, which is neither draining nor in reserve, can own a pool.
}

func newViewIndex(alive []port.Node) *viewIndex {
	v := &viewIndex{
		alive:   alive,
		at:      make(map[model.NodeID]int, len(alive)),
		origins: make([]poolstate.Origin, 0, len(alive)),
		centres: make(map[model.DataCentre]*centreIndex),
	}
	for i, node := range alive {
		origin := poolstate.Origin{Node: node.ID, Incarnation: node.Incarnation}
		v.at[node.ID] = i
		v.origins = append(v.origins, origin)
		v.centre(node.DataCentre).add(node, origin)
	}
	return v
}

// centre returns the index of a data centre, which it creates if there is none.
func (v *viewIndex) centre(id model.DataCentre) *centreIndex {
	c, known := v.centres[id]
	if !known {
		c = &centreIndex{}
		v.centres[id] = c
	}
	return c
}

func (c *centreIndex) add(node port.Node, origin poolstate.Origin) {
	c.members = append(c.members, origin)
	if !node.Reserve {
		c.regular = append(c.regular, origin)
		c.hasRegularOwner = c.hasRegularOwner || !node.Draining
	}
}

// isOf reports whether the index is that of a view. A view's slice is not changed, so that its first element identifies it.
func (v *viewIndex) isOf(alive []port.Node) bool {
	return len(v.alive) == len(alive) && (len(alive) == 0 || &v.alive[0] == &alive[0])
}

// member returns the member with the given id.
func (v *viewIndex) member(id model.NodeID) (node port.Node, alive bool) {
	at, alive := v.at[id]
	if !alive {
		return port.Node{}, false
	}
	return v.alive[at], true
}

// has reports whether that incarnation of a member is alive.
func (v *viewIndex) has(key incarnationKey) bool {
	at, alive := v.at[key.node]
	return alive && v.alive[at].Incarnation == key.incarnation
}

// membersOf returns the members of a data centre.
func (v *viewIndex) membersOf(dataCentre model.DataCentre) []poolstate.Origin {
	if c, known := v.centres[dataCentre]; known {
		return c.members
	}
	return nil
}

// possibleHolders returns the members that may hold leases on endpoints of a data centre: those there, or all when there are none. Members
// that drain count, too; those in reserve count only while no other can own a pool there.
func (v *viewIndex) possibleHolders(dataCentre model.DataCentre) []poolstate.Origin {
	c, known := v.centres[dataCentre]
	switch {
	case !known:
		return v.origins
	case c.hasRegularOwner:
		return c.regular
	}
	return c.members
}

// currentView returns the index of the current membership view.
func (p *Pools) currentView() *viewIndex {
	alive := p.membership.Alive()
	view := p.view.Load()
	if view == nil || !view.isOf(alive) {
		view = newViewIndex(alive)
		p.view.Store(view)
	}
	return view
}
