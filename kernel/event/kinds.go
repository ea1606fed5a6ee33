package event

// Kinds of lines about the process itself.
var (
	ProcessStarted   = define(Change, "process_started", "the process has started and serves its listeners", DataCentre, Seeds, TookMS)
	ProcessFailed    = define(Fault, "process_failed", "the process could not start and exits", Error)
	ProcessDraining  = define(Change, "process_draining", "the process was asked to stop, by a signal or an operator, and drains", LeftMS)
	ProcessStopped   = define(Change, "process_stopped", "the process has stopped as requested; this is its last line", TookMS, Error)
	SettingsReloaded = define(Change, "settings_reloaded", "changed settings were accepted", Changed, Later, Seeds)
	SettingsRefused  = define(Fault, "settings_refused", "changed settings were refused; the previous ones stay in force", Error)
	Ready            = define(Change, "ready", "no condition keeps the process from being ready any more")
	NotReady         = define(Trouble, "not_ready", "the process is not ready, or the conditions that keep it from being ready have changed", Condition)
	Library          = define(Trouble, "library", "a library logged a line, mostly about a connection", Error)
	LinesDropped     = define(Trouble, "lines_dropped", "lines of one kind were dropped since this was last reported for that kind", Dropped, Lines)
)

// Kinds of lines about jobs, logged by the member that owns the job.
var (
	JobTaken = define(Routine, "job_taken", "a job was submitted for the first time",
		Job, JobKey, Service, Team, Tasks, LeftMS)
	JobJoined    = define(Change, "job_joined", "a submission joined a job that is already known", Job, JobKey, Outcome)
	JobForwarded = define(Change, "job_forwarded", "a submission is forwarded to the job's owner", Job, Owner)
	JobPlanned   = define(Routine, "job_planned", "the pools for a job's parts were chosen",
		Job, JobKey, Tasks, Pools, Slots, Free, Queued, AgeMS, Revision, Why)
	JobRefused = define(Trouble, "job_refused", "a job was refused before any part of it was sent to a pool",
		Job, JobKey, Tasks, Slots, Free, Queued, AgeMS, Revision, Reason, Why)
	PartReplanned = define(Trouble, "part_replanned", "a refused part of a job is sent to other pools or not sent again",
		Job, JobKey, Part, Tasks, Pools, Slots, Free, Queued, AgeMS, Reason, Why)
	JobEnded = define(Routine, "job_ended", "a job's outcome is final",
		Job, JobKey, Service, Team, Tasks, Outcome, Run, Reason, TookMS, LeftMS, RetryAfterMS)
	JobCancelled   = define(Change, "job_cancelled", "a caller has cancelled the running job with its key", Job, JobKey)
	CallerGone     = define(Trouble, "caller_gone", "a job was cancelled because no caller waits for it any more", Job, JobKey, TookMS)
	AnswerSent     = define(Trouble, "answer_sent", "a caller was sent a response that does not report its job as completed", Job, JobKey, Path, HTTP, Outcome, Run, Reason, RetryAfterMS)
	RequestRefused = define(Trouble, "request_refused", "a request was refused without submitting a job", Method, Host, Path, JobKey, HTTP, Why)
)

// Kinds of lines about pools, logged by the member that owns the pool.
var (
	BatchTaken = define(Routine, "batch_taken", "a pool accepted a part of a job",
		Job, JobKey, Part, Pool, Tasks, Slots, Free, Queued, AheadMS, LeftMS, ObjectiveMS, Priority, InTime)
	BatchRefused = define(Trouble, "batch_refused", "a pool refused a part of a job and started none of its tasks",
		Job, JobKey, Part, Pool, Tasks, Slots, Free, Queued, AheadMS, LeftMS, ObjectiveMS, Priority, InTime, Reason, RetryAfterMS, Why)
	BatchCut = define(Trouble, "batch_cut", "a pool ended a part of a job before all of its tasks had results",
		Job, JobKey, Part, Pool, Tasks, Slots, Free, Queued, AheadMS, LeftMS, ObjectiveMS, Priority, InTime, Reason)
	BatchUnanswered = define(Trouble, "batch_unanswered", "the pool's owner did not reply to a part of a job; the job's owner asks again until it gets a reply, the deadline has passed or the pool's owner is no longer considered alive",
		Job, JobKey, Part, Pool, Owner, TookMS)
	BatchOutdated = define(Trouble, "batch_outdated", "a part of a job may have been under way for too long when this member read it, and was refused; a sender that still waits sends it again",
		Job, JobKey, Part, Pool, Member, AgeMS)
	TaskSent = define(Routine, "task_sent", "an endpoint was chosen for a task and is asked to run it",
		Job, JobKey, Task, Attempt, Pool, Endpoint, QueuedMS, PassedOver, Free, Queued, Factor, Why)
	StartWaits = define(Change, "start_waits", "a start waits until the end of an earlier run of its task is known, which another submission of the job or another pool has started, here or at the member named",
		Job, JobKey, Task, Attempt, Pool, Endpoint, Earlier, Member)
	TurnKept = define(Trouble, "turn_kept", "a run of a task may still be carried out although its part of the job has ended, or the member named, which has ordered it, is silent; the other members are told not to start the task",
		JobKey, Task, Attempt, Pool, Member)
	TurnReturned = define(Change, "turn_returned", "the end of a run is known of which the other members were told by turn_kept; they may start its task again",
		JobKey, Task)
	TaskEnded = define(Routine, "task_ended", "a start of a task has ended, with the task's result or with the state that tells why there is none",
		Job, JobKey, Task, Attempt, Pool, Endpoint, State, Cause, TookMS, Why)
	TaskExhausted = define(Trouble, "task_exhausted", "endpoints have crashed, or may have, under so many runs of a task that it is not started again",
		JobKey, Task, Crashes, Endpoint)
	TaskRevoked = define(Trouble, "task_revoked", "an endpoint was asked to prevent a start that it did not answer, or to stop a task",
		Job, JobKey, Task, Attempt, Pool, Endpoint, State, TookMS, Why)
	EndpointChanged = define(Change, "endpoint_changed", "the status of an endpoint in its pool has changed",
		Pool, Endpoint, From, To, Slots)
	TeamConfined = define(Trouble, "team_confined", "endpoints go down with tasks of a team: the team gets a bounded part of the pool, until that ceases",
		Pool, Team, Endpoints)
	TeamReleased      = define(Change, "team_released", "a team is no longer confined to a part of the pool", Pool, Team, Endpoints)
	InterferenceFound = define(Change, "interference_found", "tasks of a team run slower beside tasks of another on one endpoint: they are kept apart where there is room",
		Pool, Team, Beside, SlowDownPct, Runs)
	InterferenceGone = define(Change, "interference_gone", "tasks of a team no longer run slower beside those of another, or have not run beside them for minutes",
		Pool, Team, Beside, SlowDownPct, Runs)
	PoolsSplit        = define(Change, "pools_split", "the endpoints of a service in a data centre are divided among more pools", Service, DataCentre, Parts)
	PartsUnreadable   = define(Trouble, "parts_unreadable", "the numbers of pools that a member published cannot be decoded", Member, Error)
	EndpointsPassedOn = define(Change, "endpoints_passed_on", "the owner of a pool is gone; its next owner is told of its endpoints", Pool, Owner, Endpoints)
	OwnershipMoved    = define(Change, "ownership_moved", "this member hands a pool over to its new owner", Pool, Owner)
)

// Kinds of lines about leases on endpoints.
var (
	LeaseTaken      = define(Change, "lease_taken", "an endpoint accepted a new fencing token of this member", Endpoint)
	LeaseLost       = define(Trouble, "lease_lost", "this member lost the lease on an endpoint before the runs under it had ended", Endpoint, Reason, Successor, Runs)
	StartUnanswered = define(Trouble, "start_unanswered", "an endpoint did not answer a start; the run is stopped there before its task may start elsewhere",
		Endpoint, JobKey, Task, Attempt, TookMS, Why)
	RunsAsked = define(Change, "runs_asked", "the other members were asked whether they wait for runs that an endpoint's former lease holder started; not logged when all claims were renewed",
		Endpoint, Runs, Claimed)
	EndsNotPassedOn = define(Trouble, "ends_not_passed_on", "another member did not acknowledge ends of runs that it may wait for", Endpoint, Member, Ends)
)

// Kinds of lines about other members and the exchange of messages with them.
var (
	MemberChanged     = define(Change, "member_changed", "a member is now considered alive, suspect, dead or left", Member, From, To, Why)
	MemberUnreached   = define(Trouble, "member_unreached", "a member did not reply; no job is planned to its pools until it does", Member)
	MemberReached     = define(Change, "member_reached", "a member that did not reply has replied again or is no longer considered alive, or this process stops", Member, TookMS)
	ViewStale         = define(Trouble, "view_stale", "this member was paused; it starts no task until its view of the other members is recent again")
	ViewFresh         = define(Change, "view_fresh", "this member's view of the other members is recent enough to act on")
	SeedsRefused      = define(Fault, "seeds_refused", "the seeds in changed settings cannot be parsed; the previous ones stay in use", Error)
	ValueTooLarge     = define(Fault, "value_too_large", "a value was too large to be published to the other members", Topic, Bytes)
	ReplyNotSent      = define(Trouble, "reply_not_sent", "a request of another member was handled, but the reply could not be sent", Method, Error)
	RequestNotEncoded = define(Fault, "request_not_encoded", "a request to another member could not be encoded and was not sent", Method, Error)
	PeersCutOff       = define(Trouble, "peers_cut_off", "requests of other members were aborted when the process stopped")
)

// Kinds of lines about configuration changes and the replicas of the profile register.
var (
	ConfigProposed      = define(Change, "config_proposed", "a configuration change was requested at this member", Edit, Revision, Version)
	ConfigAccepted      = define(Change, "config_accepted", "a majority of the replicas has accepted a configuration change", Edit, Revision, Version, TookMS)
	ConfigRefused       = define(Trouble, "config_refused", "a configuration change was refused, or is not known to be accepted", Edit, Revision, Version, Status, Run, TookMS, Why)
	ConfigInForce       = define(Change, "config_in_force", "a newer revision of the configuration is in force at this member", Revision, Version, AgeMS)
	ConfigUnconfirmed   = define(Trouble, "config_unconfirmed", "the replicas did not confirm the newest revision of the configuration", Status, TookMS)
	EvacuationInForce   = define(Change, "evacuation_in_force", "no more tasks start in a data centre, as far as this member decides on it", DataCentre, Revision)
	EvacuationEnded     = define(Change, "evacuation_ended", "tasks may start in a data centre again", DataCentre, Revision)
	EvacuationRefused   = define(Trouble, "evacuation_refused", "an order to evacuate a data centre, or to end that, is malformed or is not known to be in force; in the latter case it may be sent again", DataCentre, Edit, Status, Error)
	MessageOfOtherGroup = define(Trouble, "message_of_other_group", "a message was dropped because its sender belongs to another cluster or knows other replicas", Member, Cluster)
	ReplicaPlaced       = define(Change, "replica_placed", "this member takes part in the register, in a replica's place or without one", Replicas, Place, Replica)
	ReplicaState        = define(Change, "replica_state", "this replica has begun or ceased to vote, or another reply counts for its joining the group", Place, Voting, Phase, Replied)
	ReplicaReplaced     = define(Trouble, "replica_replaced", "another member has taken over this member's place among the replicas", Place)
	ReplicaTakesPlace   = define(Trouble, "replica_takes_place", "this member takes over the place of a replica whose member is gone", Place, Member)
	ReplicasUnreadable  = define(Trouble, "replicas_unreadable", "the list of replicas that a member published cannot be decoded or is empty", Member)
	RegisterEmpty       = define(Change, "register_empty", "the disk holds no register file; the replica joins the group before it votes")
	RegisterCopied      = define(Trouble, "register_copied", "the register's file is a copy; the replica joins the group before it votes")
	RegisterRefused     = define(Fault, "register_refused", "the register's file is damaged or belongs to another member or cluster; the replica joins the group before it votes", Error)
	RegisterNotPutAside = define(Fault, "register_not_put_aside", "the register's file could not be renamed after another member took over its place", Error)
	RegisterWriteFailed = define(Fault, "register_write_failed", "the register could not be written to disk; this replica casts no vote", Error)
	FoundingNotRecorded = define(Fault, "founding_not_recorded", "the disk could not record that this member takes part in a first start, or no longer does; if it starts again now it may be taken for one that has lost its disk", Error)
	RegisterWritten     = define(Change, "register_written", "the register was written to disk again after a failure")
)

// Kinds of lines about the platform's control plane and the recorder.
var (
	AnnouncementUnreadable  = define(Trouble, "announcement_unreadable", "an endpoint's announcement cannot be read or is invalid", Endpoint, Error)
	AnnouncementNotRecorded = define(Trouble, "announcement_not_recorded", "the owner of an endpoint's pool did not confirm that it recorded the endpoint's announcement", Endpoint, State)
	EndpointLeft            = define(Change, "endpoint_left", "an endpoint announced that it leaves", Endpoint)
	DeclarationUnreadable   = define(Trouble, "declaration_unreadable", "a declared routing cannot be read or decoded", Error)
	DeclarationNotSent      = define(Trouble, "declaration_not_sent", "the declared routing could not be sent to the client that requested it", Error)
	RecordingEnded          = define(Fault, "recording_ended", "the recording of steps has ended because its file is full or cannot be written", File, Error)
	StepNotRecorded         = define(Fault, "step_not_recorded", "a step could not be encoded and was not recorded", Error)
)
