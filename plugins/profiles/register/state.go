package register

import (
	"maps"
	"slices"
	"time"

	"redwingpulley/kernel/model"
)

const (
	// KeptChanges is how many of the newest changes the state remembers: their ids make a resend
	// get its first answer.
	KeptChanges = 256
	maxProfiles = 256
	maxServices = 256
)

// State is the whole of the register at one revision. It is immutable: a change copies it.
type State struct {
	Set     model.ProfileSet
	History []model.ProfileChange // The newest last.
}

// Revision returns the state's revision.
func (s State) Revision() model.Revision { return s.Set.Revision }

// Initial returns the state at revision 0.
func Initial() State { return State{Set: model.BuiltInProfiles()} }

// settle is the kind of an edit that changes nothing; it finds out what is agreed.
const settle model.EditKind = "settle"

// apply returns the answer to an edit, and the difference that it makes; nil when it makes none.
func (s State) apply(c model.ProfileEdit, now time.Time) (*Delta, model.EditResult) {
	if c.Kind == settle || c.Kind == model.ConfirmRevision || s.declared(c) {
		return nil, model.EditResult{Status: model.EditDone, Revision: s.Revision()}
	}
	if first, found := s.find(c.ID); found {
		return nil, s.repeated(c, first)
	}
	if c.Kind != model.DeclareRouting && c.Expect != s.Revision() {
		return nil, refused(model.EditStale, s.staleRun(c), s.Revision())
	}
	if refusal := s.check(c); refusal != "" {
		return nil, refused(refusal, model.NotRun, s.Revision())
	}
	delta := s.delta(c, now)
	return &delta, model.EditResult{Status: model.EditDone, Revision: delta.Change.Revision}
}

// declared reports whether the state holds a declaration at least as new.
func (s State) declared(c model.ProfileEdit) bool {
	return c.Kind == model.DeclareRouting && s.Set.Routing != nil && c.Routing.Version <= s.Set.Routing.Version
}

func (s State) find(id string) (model.ProfileChange, bool) {
	i := slices.IndexFunc(s.History, func(c model.ProfileChange) bool { return c.ID == id })
	if i < 0 {
		return model.ProfileChange{}, false
	}
	return s.History[i], true
}

func (s State) repeated(c model.ProfileEdit, first model.ProfileChange) model.EditResult {
	if first.Digest != c.Digest {
		return refused(model.EditKeyReused, model.NotRun, s.Revision())
	}
	return model.EditResult{Status: model.EditDone, Revision: first.Revision}
}

// staleRun tells whether the change is known not to have taken the revision after the expected
// one. Once that revision is out of the history, this is not known any more.
func (s State) staleRun(c model.ProfileEdit) model.RunState {
	forgotten := s.Revision() - model.Revision(len(s.History))
	if c.Expect < forgotten {
		return model.MayHaveRun
	}
	return model.NotRun
}

func (s State) check(c model.ProfileEdit) model.EditStatus {
	_, exists := s.Set.Profiles[c.Name]
	_, chosen := s.Set.Services[c.Service]
	switch {
	case c.Kind == model.PutProfile && !exists && len(s.Set.Profiles) >= maxProfiles:
		return model.EditTooMany
	case c.Kind == model.SetService && !chosen && len(s.Set.Services) >= maxServices:
		return model.EditTooMany
	case c.Kind == model.DeclareRouting:
		return ""
	case c.Kind != model.PutProfile && !exists:
		return model.EditNotFound
	case c.Kind == model.DeleteProfile && s.uses(c.Name):
		return model.EditInUse
	}
	return ""
}

func (s State) uses(name model.ProfileName) bool {
	if name == model.DefaultProfile {
		return true
	}
	for _, chosen := range s.Set.Services {
		if chosen == name {
			return true
		}
	}
	return false
}

// Delta is what one change makes of a state.
type Delta struct {
	Change  model.ProfileChange
	Profile model.Profile  // When it is put.
	Routing *model.Routing `json:",omitempty"` // When it is declared.
}

func (s State) delta(c model.ProfileEdit, now time.Time) Delta {
	return Delta{
		Change: model.ProfileChange{
			Revision: s.Revision() + 1, ID: c.ID, Digest: c.Digest, Operator: c.Operator, At: now,
			Kind: string(c.Kind), Profile: c.Name, Service: c.Service,
		},
		Profile: c.Profile,
		Routing: c.Routing,
	}
}

// with returns the state after the change.
func (s State) with(d Delta) State {
	next := State{Set: model.ProfileSet{
		Revision: s.Revision() + 1,
		Profiles: maps.Clone(s.Set.Profiles),
		Services: maps.Clone(s.Set.Services),
		Routing:  s.Set.Routing,
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
	}
	return next
}

func refused(status model.EditStatus, run model.RunState, revision model.Revision) model.EditResult {
	return model.EditResult{Status: status, Run: run, Revision: revision}
}
