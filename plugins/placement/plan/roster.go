package plan

import (
	"redwingpulley/kernel/model"
	"redwingpulley/kernel/port"
)

// Roster lists the endpoints that get work, for policies that bind a task to one of them at once.
type Roster struct {
	index map[model.EndpointID]int
	loads []port.EndpointLoad
}

// NewRoster returns an empty list.
func NewRoster() *Roster { return &Roster{index: make(map[model.EndpointID]int)} }

// Update takes the endpoint's load over; one without slots leaves the list.
func (r *Roster) Update(load port.EndpointLoad) {
	if load.Slots == 0 {
		r.Remove(load.ID)
		return
	}
	if i, ok := r.index[load.ID]; ok {
		r.loads[i] = load
		return
	}
	r.index[load.ID] = len(r.loads)
	r.loads = append(r.loads, load)
}

// Remove forgets an endpoint.
func (r *Roster) Remove(id model.EndpointID) {
	i, ok := r.index[id]
	if !ok {
		return
	}
	last := len(r.loads) - 1
	r.loads[i] = r.loads[last]
	r.index[r.loads[i].ID] = i
	r.loads = r.loads[:last]
	delete(r.index, id)
}

// Loads returns the endpoints' loads, in an order that depends on the updates alone. It is valid
// until the next change.
func (r *Roster) Loads() []port.EndpointLoad { return r.loads }

// FirstFrom returns the first endpoint at or after position, in a circle, that can run the task.
func (r *Roster) FirstFrom(position int, request port.PickRequest) (id model.EndpointID, ok bool) {
	for i := range r.loads {
		load := &r.loads[(position+i)%len(r.loads)]
		if request.Needs.Within(load.Left) && load.ID != request.Avoid {
			return load.ID, true
		}
	}
	return "", false
}
