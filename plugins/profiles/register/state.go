package register

import (
	"maps"
	"slices"
	"time"

	"redwingpulley/kernel/model"
)

const (
	// KeptChanges is the number of newest changes that the state's history keeps: by their IDs, an edit
	// that is submitted again gets its first result.
	KeptChanges = 256
	maxProfiles = 256
	maxServices = 256 // Limit of services that have a profile assigned.
)

// State is the whole value of the register at one revision. It is immutable: a change copies it.
type State struct {
	Set     model.ProfileSet
	History []model.ProfileChange // The newest KeptChanges changes, newest last.
}

// Revision returns the state's revision.
func (s State) Revision() model.Revision { return s.Set.Revision }

// Initial returns the state at revision 0, with the built-in profiles.
func Initial() State { return State{Set: model.BuiltInProfiles()} }

// resolveKind is the kind of an edit that changes nothing; proposing it finds out which value is chosen.
const resolveKind model.EditKind = "settle"

// apply returns the difference that an edit makes, nil when it makes none, and the edit's result.
func (s State) apply(edit model.ProfileEdit, now time.Time) (*Delta, model.EditResult) {
	if edit.Kind == resolveKind || edit.Kind == model.ConfirmRevision || s.hasDeclaration(edit) {
		return nil, s.unchangedResult()
	}
	if firstChange, found := s.findChange(edit.ID); found {
		return nil, s.repeatedResult(edit, firstChange)
	}
	if s.hasEvacuation(edit) {
		return nil, s.unchangedResult()
	}
	if s.isStale(edit) {
		return nil, refusedResult(model.EditStale, s.staleRunState(edit), s.Revision())
	}
	if refusal := s.validate(edit); refusal != "" {
		return nil, refusedResult(refusal, model.NotRun, s.Revision())
	}
	delta := s.delta(edit, now)
	return &delta, model.EditResult{Status: model.EditDone, Revision: delta.Change.Revision}
}

// isStale reports whether the edit was made for an older state. A routing is ordered by its version instead.
func (s State) isStale(edit model.ProfileEdit) bool {
	switch {
	case edit.Kind == model.DeclareRouting:
		return false
	case isEvacuation(edit.Kind):
		return s.evacuationIsStale(edit)
	}
	return edit.Expect != s.Revision()
}

// unchangedResult returns the result of an edit that is done and changes nothing.
func (s State) unchangedResult() model.EditResult {
	return model.EditResult{Status: model.EditDone, Revision: s.Revision()}
}

// hasDeclaration reports whether the edit declares a routing and the state holds one that is at least
// as new.
func (s State) hasDeclaration(edit model.ProfileEdit) bool {
	return edit.Kind == model.DeclareRouting && s.Set.Routing != nil && edit.Routing.Version <= s.Set.Routing.Version
}

func (s State) findChange(id string) (model.ProfileChange, bool) {
	i := slices.IndexFunc(s.History, func(c model.ProfileChange) bool { return c.ID == id })
	if i < 0 {
		return model.ProfileChange{}, false
	}
	return s.History[i], true
}

func (s State) repeatedResult(edit model.ProfileEdit, firstChange model.ProfileChange) model.EditResult {
	if firstChange.Digest != edit.Digest {
		return refusedResult(model.EditKeyReused, model.NotRun, s.Revision())
	}
	return model.EditResult{Status: model.EditDone, Revision: firstChange.Revision}
}

// staleRunState returns NotRun when the edit is known not to have made the revision after the one it
// expected. Once that revision is no longer in the history, this is not known, and it returns MayHaveRun.
func (s State) staleRunState(edit model.ProfileEdit) model.RunState {
	lastForgotten := s.Revision() - model.Revision(len(s.History))
	if edit.Expect < lastForgotten {
		return model.MayHaveRun
	}
	return model.NotRun
}

// validate returns the status with which the edit is refused, "" when it is not.
func (s State) validate(edit model.ProfileEdit) model.EditStatus {
	_, exists := s.Set.Profiles[edit.Name]
	_, assigned := s.Set.Services[edit.Service]
	switch {
	case edit.Kind == model.PutProfile && !exists && len(s.Set.Profiles) >= maxProfiles:
		return model.EditTooMany
	case edit.Kind == model.SetService && !assigned && len(s.Set.Services) >= maxServices:
		return model.EditTooMany
	case edit.Kind == model.Evacuate && !s.hasRoomForEvacuation(edit.DataCentre):
		return model.EditTooMany
	case edit.Kind == model.DeclareRouting, isEvacuation(edit.Kind):
		return ""
	case edit.Kind != model.PutProfile && !exists:
		return model.EditNotFound
	case edit.Kind == model.DeleteProfile && s.profileInUse(edit.Name):
		return model.EditInUse
	}
	return ""
}

func (s State) profileInUse(name model.ProfileName) bool {
	if name == model.DefaultProfile {
		return true
	}
	for _, assigned := range s.Set.Services {
		if assigned == name {
			return true
		}
	}
	return false
}

// Delta is the difference that one change makes to a state.
type Delta struct {
	Change  model.ProfileChange
	Profile model.Profile  // The profile that the change puts, if any.
	Routing *model.Routing `json:",omitempty"` // The routing that the change declares, if any.
}

// delta returns the difference that a valid edit makes to the state.
func (s State) delta(edit model.ProfileEdit, now time.Time) Delta {
	return Delta{
		Change: model.ProfileChange{
			Revision: s.Revision() + 1, ID: edit.ID, Digest: edit.Digest, Operator: edit.Operator, At: now,
			Kind: string(edit.Kind), Profile: edit.Name, Service: edit.Service, DataCentre: edit.DataCentre,
		},
		Profile: edit.Profile,
		Routing: edit.Routing,
	}
}

// withDelta returns the state after the change.
func (s State) withDelta(d Delta) State {
	next := State{Set: model.ProfileSet{
		Revision: s.Revision() + 1,
		Profiles: maps.Clone(s.Set.Profiles),
		Services: maps.Clone(s.Set.Services),
		Routing:  s.Set.Routing,

		Evacuations: s.Set.Evacuations,
	}}
	kept := s.History[max(0, len(s.History)-KeptChanges+1):]
	next.History = append(slices.Clone(kept), d.Change)
	switch model.EditKind(d.Change.Kind) {
	case model.PutProfile:
		next.Set.Profiles[d.Change.Profile] = d.Profile
	case model.DeleteProfile:
		delete(next.Set.Profiles, d.Change.Profile)
	case model.SetService:
		next.Set.Services[d.Change.Service] = d.Change.Profile
	case model.DeclareRouting:
		next.Set.Routing = d.Routing
	case model.Evacuate, model.EndEvacuation:
		next.Set.Evacuations = s.changedEvacuations(d.Change)
	}
	return next
}

func refusedResult(status model.EditStatus, run model.RunState, revision model.Revision) model.EditResult {
	return model.EditResult{Status: status, Run: run, Revision: revision}
}
