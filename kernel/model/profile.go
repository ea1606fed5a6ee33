package model

import "time"

// ProfileName names a profile.
type ProfileName string

// DefaultProfile is the profile of services that have no other profile assigned.
const DefaultProfile ProfileName = "default"

// Profile sets how the jobs of the services assigned to it are handled.
type Profile struct {
	Name      ProfileName
	Placement string // Name of the placement plug-in.
	Admission string // Name of the admission plug-in.

	MessageCost time.Duration // Increase of a job's response time that is accepted to save one message.

	QueueTasks      int           // Largest number of tasks queued in one pool.
	MaxDeadline     time.Duration // Longest time until the deadline that a caller may ask for.
	DefaultDeadline time.Duration // Time until the deadline of a job whose caller sets none.

	RetryBudget float64 // Retries of work known not to have run, as a share of first attempts.

	DefaultRunTime time.Duration // Estimated run time of a task while no run time has been measured.
	LearnWeight    float64       // How fast run times are learned, 0 to 1: their weight halves after 12.8/LearnWeight further ones.

	DrainTime time.Duration // Longest wait for running tasks when a process drains.

	// Quotas are the task starts per second of each team. If there are none, no team is limited;
	// otherwise jobs of teams that are not listed are refused.
	Quotas     map[TeamID]float64
	QuotaBurst time.Duration // Time over which a team's unused quota accumulates; all of it may be used at once.
}

// BuiltInProfile returns the default profile as it is in force at revision 0.
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

// ProfileSet is the content of the profile register at one revision.
type ProfileSet struct {
	Revision Revision
	Profiles map[ProfileName]Profile
	Services map[ServiceID]ProfileName
	// Routing is the routing that operators have declared; nil while none is declared. The value is
	// never modified, only replaced.
	Routing *Routing `json:",omitempty"`
	// Evacuations are the data centres that operators have had evacuated, now or before. The map is never modified, only replaced.
	Evacuations map[DataCentre]Evacuation `json:",omitempty"`
}

// For returns the profile that applies to service.
func (s ProfileSet) For(service ServiceID) (Profile, bool) {
	name, assigned := s.Services[service]
	if !assigned {
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

// ProfileChange is one change of the profile register that a majority of the replicas accepted.
type ProfileChange struct {
	Revision Revision
	ID       string // Idempotency key of the change.
	Digest   uint64 // Hash of the request for the change.
	Operator string
	At       time.Time // Time of the change by the clock of the replica that proposed it.
	Kind     string
	Profile  ProfileName
	Service  ServiceID // Set only when the change assigned a profile to a service.
	// DataCentre is set only when the change evacuated a data centre or ended that.
	DataCentre DataCentre `json:",omitempty"`
}

// EditKind is the kind of an edit of the profile register.
type EditKind string

// Kinds of edits.
const (
	PutProfile    EditKind = "put_profile"
	DeleteProfile EditKind = "delete_profile"
	SetService    EditKind = "set_service"
	// DeclareRouting replaces the routing when its version is above that of the routing chosen by the
	// replicas; an older version is accepted and changes nothing. Expect is ignored.
	DeclareRouting EditKind = "declare_routing"
	// Evacuate and EndEvacuation order that no task starts in a data centre, and withdraw the order. Instead of the register's
	// revision, the data centre's number is compared (Evacuation.Changed): the edit is stale if the data centre has changed since
	// revision Expect. An edit whose desired state is in force is done and changes nothing.
	Evacuate      EditKind = "evacuate"
	EndEvacuation EditKind = "end_evacuation"
	// ConfirmRevision changes nothing. Its result holds the newest revision chosen by the replicas.
	ConfirmRevision EditKind = "confirm_revision"
)

// ProfileEdit is a compare-and-set on the profile register.
type ProfileEdit struct {
	ID       string   // Idempotency key; a resend carries the same one.
	Digest   uint64   // Hash of the request; distinguishes a resend from another edit under the same id.
	Expect   Revision // Revision that the register must be at for the edit to apply.
	Operator string
	Kind     EditKind
	Name     ProfileName // Name of the profile that is put, deleted or assigned to Service.
	Profile  Profile     // Set for PutProfile.
	Service  ServiceID   // Set for SetService.
	Routing  *Routing    `json:",omitempty"` // Set for DeclareRouting.
	// DataCentre is set for Evacuate and EndEvacuation.
	DataCentre DataCentre `json:",omitempty"`
}

// EditStatus is how an edit ended.
type EditStatus string

// Statuses of edits.
const (
	EditDone       EditStatus = "done"
	EditStale      EditStatus = "stale"       // The register is not at the expected revision.
	EditKeyReused  EditStatus = "key_reused"  // The id belongs to another edit.
	EditNotFound   EditStatus = "not_found"   // There is no such profile.
	EditInUse      EditStatus = "in_use"      // The profile is assigned to a service, or is the default profile.
	EditTooMany    EditStatus = "too_many"    // The register is full.
	EditNoMajority EditStatus = "no_majority" // No majority of the replicas answered in time.
	EditNotVoting  EditStatus = "not_voting"  // The member is not a voting replica; another member may accept the edit.
	EditBusy       EditStatus = "busy"        // Too many edits are pending.
)

// EditResult is the answer to an edit.
type EditResult struct {
	Status   EditStatus
	Run      RunState // Set unless the edit is done. NotRun refers only to the request being answered, not to earlier ones.
	Revision Revision // Revision that the edit created when it is done, else the register's newest known one.
}
