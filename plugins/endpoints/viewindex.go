package endpoints

import (
	"redwingpulley/kernel/model"
	"redwingpulley/kernel/port"
	"redwingpulley/plugins/endpoints/poolstate"
)

// viewIndex finds members in one membership view. It is built once for each view and shared by all that look members up, since building
// it costs as much as the group is large. It does not change.
type viewIndex struct {
	alive   []port.Node                             // The view.
	at      map[model.NodeID]int                    // Index of each member in alive.
	origins []poolstate.Origin                      // All members.
	holders map[model.DataCentre][]poolstate.Origin // Members of each data centre.
}

func newViewIndex(alive []port.Node) *viewIndex {
	v := &viewIndex{
		alive:   alive,
		at:      make(map[model.NodeID]int, len(alive)),
		origins: make([]poolstate.Origin, 0, len(alive)),
		holders: make(map[model.DataCentre][]poolstate.Origin),
	}
	for i, node := range alive {
		origin := poolstate.Origin{Node: node.ID, Incarnation: node.Incarnation}
		v.at[node.ID] = i
		v.origins = append(v.origins, origin)
		v.holders[node.DataCentre] = append(v.holders[node.DataCentre], origin)
	}
	return v
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

// possibleHolders returns the members that may hold leases on endpoints of a data centre: those there, or all when there are none. Members
// that drain count, too.
func (v *viewIndex) possibleHolders(dataCentre model.DataCentre) []poolstate.Origin {
	if there := v.holders[dataCentre]; len(there) > 0 {
		return there
	}
	return v.origins
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
