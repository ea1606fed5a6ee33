package plan

import (
	"redwingpulley/kernel/model"
	"redwingpulley/kernel/port"
)

// EndpointList lists the endpoints that accept tasks, for policies that assign a task to one of them
// at once.
type EndpointList struct {
	positions map[model.EndpointID]int
	loads     []port.EndpointLoad
}

// NewEndpointList returns an empty list.
func NewEndpointList() *EndpointList { return &EndpointList{positions: make(map[model.EndpointID]int)} }

// Update adds an endpoint or replaces its load. An endpoint without slots is removed.
func (l *EndpointList) Update(load port.EndpointLoad) {
	if load.Slots == 0 {
		l.Remove(load.ID)
		return
	}
	if i, ok := l.positions[load.ID]; ok {
		l.loads[i] = load
		return
	}
	l.positions[load.ID] = len(l.loads)
	l.loads = append(l.loads, load)
}

// Remove removes an endpoint.
func (l *EndpointList) Remove(id model.EndpointID) {
	i, ok := l.positions[id]
	if !ok {
		return
	}
	last := len(l.loads) - 1
	l.loads[i] = l.loads[last]
	l.positions[l.loads[i].ID] = i
	l.loads = l.loads[:last]
	delete(l.positions, id)
}

// Loads returns the endpoints' loads. Their order depends only on the sequence of changes, and the
// slice is valid until the next change.
func (l *EndpointList) Loads() []port.EndpointLoad { return l.loads }

// FirstFrom returns the first endpoint that can run the task, searching from position on and wrapping
// around at the end. ok is false when there is none.
func (l *EndpointList) FirstFrom(position int, request port.PickRequest) (id model.EndpointID, ok bool) {
	for i := range l.loads {
		load := &l.loads[(position+i)%len(l.loads)]
		if request.Needs.FitsIn(load.Left) && load.ID != request.Avoid {
			return load.ID, true
		}
	}
	return "", false
}
