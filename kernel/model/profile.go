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

	Quotas map[TeamID]float64 // Task starts a second; a team that is not listed has none.
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
	}
}

// Revision numbers the states of the profile register.
type Revision uint64

// ProfileSet is the whole of the profile register at one revision.
type ProfileSet struct {
	Revision Revision
	Profiles map[ProfileName]Profile
	Services map[ServiceID]ProfileName
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
