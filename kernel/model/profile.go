package model

import "time"

// ProfileName names a profile.
type ProfileName string

// DefaultProfile is the profile of each service that has chosen none.
const DefaultProfile ProfileName = "default"

// Profile says how the work of the services that chose it is handled.
type Profile struct {
	Name      ProfileName
	Placement string // Name of the placement plug-in.
	Admission string // Name of the admission plug-in.

	MessageCost time.Duration // Response time that one message fewer is worth.

	QueueTasks      int           // Tasks that may wait in one pool.
	MaxDeadline     time.Duration // Longest deadline a caller may ask for.
	DefaultDeadline time.Duration // Deadline of a job that names none.

	RetryBudget float64 // Retries after a true not_run, as a share of first tries.

	DefaultRunTime time.Duration // Estimate while nothing is learned.
	LearnWeight    float64       // Weight of the newest run time in the estimate, 0 to 1.

	DrainTime time.Duration // Longest wait for running tasks when a process drains.

	Quotas     map[TeamID]float64 // Task starts a second; a team that is not listed has no limit.
	QuotaBurst time.Duration      // How long a team's rate may be saved up and started at once.
}

// BuiltInProfile returns the profile that is in force at revision 0.
func BuiltInProfile() Profile {
	return Profile{
		Name:            DefaultProfile,
		Placement:       "least_wait",
		Admission:       "deadline",
		MessageCost:     time.Millisecond,
		QueueTasks:      4096,
		MaxDeadline:     time.Minute,
		DefaultDeadline: 10 * time.Second,
		RetryBudget:     0.1,
		DefaultRunTime:  300 * time.Millisecond,
		LearnWeight:     0.1,
		DrainTime:       30 * time.Second,
		QuotaBurst:      time.Second,
	}
}

// Revision numbers the states of the profile register.
type Revision uint64

// ProfileSet is the whole of the profile register at one revision.
type ProfileSet struct {
	Revision Revision
	Profiles map[ProfileName]Profile
	Services map[ServiceID]ProfileName
	// Routing is what operators have declared; nil while that is nothing. It is not changed, only
	// replaced.
	Routing *Routing `json:",omitempty"`
}

// For returns the profile that service runs under.
func (s ProfileSet) For(service ServiceID) (Profile, bool) {
	name, chosen := s.Services[service]
	if !chosen {
		name = DefaultProfile
	}
	profile, ok := s.Profiles[name]
	return profile, ok
}

// BuiltInProfiles returns the register's state at revision 0.
func BuiltInProfiles() ProfileSet {
	return ProfileSet{
		Profiles: map[ProfileName]Profile{DefaultProfile: BuiltInProfile()},
		Services: map[ServiceID]ProfileName{},
	}
}

// ProfileChange is one accepted change of the profile register.
type ProfileChange struct {
	Revision Revision
	ID       string // Idempotency key of the change.
	Digest   uint64 // Hash of the change's request.
	Operator string
	At       time.Time // By the clock of the replica that had it accepted.
	Kind     string
	Profile  ProfileName
	Service  ServiceID // "" unless the change was a service's choice.
}

// EditKind tells what an edit of the profile register does.
type EditKind string

// Kinds of edits.
const (
	PutProfile    EditKind = "put_profile"
	DeleteProfile EditKind = "delete_profile"
	SetService    EditKind = "set_service"
	// DeclareRouting takes effect when its version is above the one that is agreed; an older one is
	// accepted and changes nothing. Expect is not looked at.
	DeclareRouting EditKind = "declare_routing"
	// ConfirmRevision changes nothing. Its answer tells the newest agreed revision.
	ConfirmRevision EditKind = "confirm_revision"
)

// ProfileEdit is a compare-and-set on the profile register.
type ProfileEdit struct {
	ID       string   // Idempotency key; a resend carries the same one.
	Digest   uint64   // Hash of the request; tells a resend from another edit under the same id.
	Expect   Revision // The revision that the edit was made for.
	Operator string
	Kind     EditKind
	Name     ProfileName // Of the profile that is put, deleted or chosen.
	Profile  Profile     // When it is put.
	Service  ServiceID   // When a service chooses.
	Routing  *Routing    `json:",omitempty"` // When it is declared.
}

// EditStatus is how an edit ended.
type EditStatus string

// Statuses of edits.
const (
	EditDone       EditStatus = "done"
	EditStale      EditStatus = "stale"       // Another edit took the revision that was expected.
	EditKeyReused  EditStatus = "key_reused"  // The id belongs to another edit.
	EditNotFound   EditStatus = "not_found"   // There is no such profile.
	EditInUse      EditStatus = "in_use"      // The profile is still chosen, or is the default one.
	EditTooMany    EditStatus = "too_many"    // The register is full.
	EditNoMajority EditStatus = "no_majority" // No majority of the replicas answered in time.
	EditNotVoting  EditStatus = "not_voting"  // The member is no replica that may vote; another may do.
	EditBusy       EditStatus = "busy"        // Too many edits wait.
)

// EditResult is the answer to an edit.
type EditResult struct {
	Status   EditStatus
	Run      RunState // Unless the edit is done. NotRun speaks of the sending that it answers.
	Revision Revision // Of the edit when it is done, else of the register.
}
