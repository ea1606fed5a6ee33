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

// Kind tells what a change does.
type Kind string

// Kinds of changes.
const (
	PutProfile    Kind = "put_profile"
	DeleteProfile Kind = "delete_profile"
	SetService    Kind = "set_service"
	Settle        Kind = "settle" // Changes nothing; finds out what is agreed.
)

// Change is a compare-and-set on the register.
type Change struct {
	ID       string         // Idempotency key; a resend carries the same one.
	Digest   uint64         // Hash of the request; tells a resend from another change under the same id.
	Expect   model.Revision // The revision that the change was made for.
	Operator string
	Kind     Kind
	Name     model.ProfileName // Of the profile that is put, deleted or chosen.
	Profile  model.Profile     // When it is put.
	Service  model.ServiceID   // When a service chooses.
}

// Status is how a change ended.
type Status string

// Statuses of changes.
const (
	Done       Status = "done"
	Stale      Status = "stale"       // Another change took the revision that was expected.
	KeyReused  Status = "key_reused"  // The id belongs to another change.
	NotFound   Status = "not_found"   // There is no such profile.
	InUse      Status = "in_use"      // The profile is still chosen, or is the default one.
	TooMany    Status = "too_many"    // The register is full.
	NoMajority Status = "no_majority" // No majority of the replicas answered in time.
	NotVoting  Status = "not_voting"  // This member is no replica that may vote; another may do.
	Busy       Status = "busy"        // Too many changes wait.
)

// Result is the answer to a change. Run is set unless the change is done.
type Result struct {
	Status   Status
	Run      model.RunState
	Revision model.Revision // Of the change when it is done, else of the register.
}

// apply returns the state after the change and the answer to it. The state is the same one unless
// the change takes effect now.
func (s State) apply(c Change, now time.Time) (State, Result) {
	if c.Kind == Settle {
		return s, Result{Status: Done, Revision: s.Revision()}
	}
	if first, found := s.find(c.ID); found {
		return s, s.repeated(c, first)
	}
	if c.Expect != s.Revision() {
		return s, Result{Stale, s.staleRun(c), s.Revision()}
	}
	if refusal := s.check(c); refusal != "" {
		return s, Result{refusal, model.NotRun, s.Revision()}
	}
	next := s.changed(c, now)
	return next, Result{Status: Done, Revision: next.Revision()}
}

func (s State) find(id string) (model.ProfileChange, bool) {
	i := slices.IndexFunc(s.History, func(c model.ProfileChange) bool { return c.ID == id })
	if i < 0 {
		return model.ProfileChange{}, false
	}
	return s.History[i], true
}

func (s State) repeated(c Change, first model.ProfileChange) Result {
	if first.Digest != c.Digest {
		return Result{KeyReused, model.NotRun, s.Revision()}
	}
	return Result{Status: Done, Revision: first.Revision}
}

// staleRun tells whether the change is known not to have taken the revision after the expected
// one. Once that revision is out of the history, this is not known any more.
func (s State) staleRun(c Change) model.RunState {
	forgotten := s.Revision() - model.Revision(len(s.History))
	if c.Expect < forgotten {
		return model.MayHaveRun
	}
	return model.NotRun
}

func (s State) check(c Change) Status {
	_, exists := s.Set.Profiles[c.Name]
	_, chosen := s.Set.Services[c.Service]
	switch {
	case c.Kind == PutProfile && !exists && len(s.Set.Profiles) >= maxProfiles:
		return TooMany
	case c.Kind == SetService && !chosen && len(s.Set.Services) >= maxServices:
		return TooMany
	case c.Kind != PutProfile && !exists:
		return NotFound
	case c.Kind == DeleteProfile && s.uses(c.Name):
		return InUse
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

func (s State) changed(c Change, now time.Time) State {
	next := State{Set: model.ProfileSet{
		Revision: s.Revision() + 1,
		Profiles: maps.Clone(s.Set.Profiles),
		Services: maps.Clone(s.Set.Services),
	}}
	record := model.ProfileChange{
		Revision: next.Revision(), ID: c.ID, Digest: c.Digest, Operator: c.Operator, At: now,
		Kind: string(c.Kind), Profile: c.Name, Service: c.Service,
	}
	kept := s.History[max(0, len(s.History)-KeptChanges+1):]
	next.History = append(slices.Clone(kept), record)
	switch c.Kind {
	case PutProfile:
		next.Set.Profiles[c.Name] = c.Profile
	case DeleteProfile:
		delete(next.Set.Profiles, c.Name)
	case SetService:
		next.Set.Services[c.Service] = c.Name
	}
	return next
}
