package register

import (
	"maps"
	"slices"

	"redwingpulley/kernel/model"
)

// The group of replicas grows by one place at a time. The change that adds a place is the last one of the former group: the
// state that it makes names the next group, and no replica of the former group applies a further edit to it. Each member
// goes on with a new machine of the next group once it knows that this state is chosen. From then on it casts no vote in
// the former one.
//
// A replica enters the next group with the state that it knows, and without a promise. It may vote there like a replica with an
// intact file only if it still has the store that the change names for its place. Otherwise its place may have voted
// in the next group under an earlier store, and it joins as one that has lost its disk, as the new replica does.
//
// Once the change is chosen, no replica can join the former group any more as one that has lost its disk: a replica that has
// accepted the change does not reply before it knows what was chosen, and each join quorum holds one.
//
// Groups only grow, so of two groups of one register the larger one is the later.

// MaxReplicas is the most replicas that a group grows to.
const MaxReplicas = 9

// Group is a group of replicas that goes on from a state.
type Group struct {
	Replicas []model.NodeID         // Sorted.
	Stores   map[model.NodeID]Store // Newest stores of the former group's replicas, as the proposer of the change knew them.
}

// Regrouped reports that a later group of replicas goes on. The caller installs a new machine with these replicas, restored
// from Durable.
type Regrouped struct {
	Run      uint64 // Seed of the machine that reports it.
	Replicas []model.NodeID
	Durable  Durable
}

func (Regrouped) effect() {}

// superseded reports whether a state belongs to a later group than this machine's.
func (m *Machine) superseded(s State) bool { return len(s.Group.Replicas) > len(m.config.Replicas) }

// mayBeSuperseded reports whether this replica has accepted a state of a later group and does not know whether it is chosen. It
// then finds out at once.
func (m *Machine) mayBeSuperseded() bool {
	if !m.superseded(m.durable.Value) || m.durable.Value.Revision() <= m.served.Revision() {
		return false // Another state was chosen at this revision, or this one is known to be.
	}
	m.resolveAt = m.now
	return true
}

// regroup reports, once, that a chosen state names a later group.
func (m *Machine) regroup() {
	if m.regrouped || !m.superseded(m.served) {
		return
	}
	m.regrouped = true
	m.emit(Regrouped{m.config.Seed, m.served.Group.Replicas, m.entering()})
}

// entering returns what this member enters the next group with.
func (m *Machine) entering() Durable {
	d := m.durable
	d.Fences, d.Seen = maps.Clone(d.Fences), maps.Clone(d.Seen)
	d.Promised, d.Accepted = Ballot{}, Ballot{}
	d.Value, d.Chosen = m.served, m.served
	for place, store := range m.served.Group.Stores {
		if d.Fences[place].Less(store) {
			d.Fences[place], d.Seen[place] = store, 0
		}
	}
	if d.Store == (Store{}) || d.Store != m.served.Group.Stores[m.config.Self] {
		d.Voting, d.Copied = false, false
	}
	return d
}

// mayAddReplica reports whether an edit adds a place that the group lacks and has room for.
func (m *Machine) mayAddReplica(edit model.ProfileEdit) bool {
	return edit.Replica != "" && !slices.Contains(m.config.Replicas, edit.Replica) && len(m.config.Replicas) < MaxReplicas
}

// groupWith returns the next group, with one more place.
func (m *Machine) groupWith(replica model.NodeID) *Group {
	stores := make(map[model.NodeID]Store)
	for _, place := range m.config.Replicas {
		stores[place] = m.durable.Fences[place]
	}
	replicas := append(slices.Clone(m.config.Replicas), replica)
	slices.Sort(replicas)
	return &Group{Replicas: replicas, Stores: stores}
}

// supersededResult returns the result of an edit that finds a state of a later group, to which this group applies nothing.
func (m *Machine) supersededResult(s State, edit model.ProfileEdit) model.EditResult {
	if change, found := s.findChange(edit.ID); found && edit.ID != "" {
		return s.repeatedResult(edit, change)
	}
	return refusedResult(model.EditNotVoting, model.NotRun, s.Revision())
}
