package event

// Kinds of lines about the process itself.
var (
	ProcessStarted   = define(Change, "process_started", "the process serves its listeners", DataCentre, Seeds, TookMS)
	ProcessFailed    = define(Fault, "process_failed", "the process could not start and ends", Error)
	ProcessDraining  = define(Change, "process_draining", "the process was asked to end", LeftMS)
	ProcessStopped   = define(Change, "process_stopped", "the last line of a process that ends as asked", TookMS, Error)
	SettingsReloaded = define(Change, "settings_reloaded", "changed settings were taken", Changed, Later, Seeds)
	SettingsRefused  = define(Fault, "settings_refused", "changed settings were refused; the old ones stay", Error)
	Ready            = define(Change, "ready", "nothing keeps the process from serving any more")
	NotReady         = define(Trouble, "not_ready", "the process stopped to be ready, or why has changed", Condition)
	Library          = define(Trouble, "library", "a library has something to say, mostly of connections", Error)
	LinesDropped     = define(Trouble, "lines_dropped", "lines of a kind were dropped since this was last told", Dropped, Lines)
)

// Kinds of lines about jobs, logged by the member that owns the job.
var (
	JobTaken = define(Routine, "job_taken", "a job was submitted for the first time",
		Job, JobKey, Service, Team, Tasks, LeftMS)
	JobJoined    = define(Change, "job_joined", "a submission was taken for one of a job that is known", Job, JobKey, Outcome)
	JobForwarded = define(Change, "job_forwarded", "a submission was passed on to the job's owner", Job, Owner)
	JobPlanned   = define(Routine, "job_planned", "the pools of a job's parts were chosen",
		Job, JobKey, Tasks, Pools, Slots, Free, Queued, AgeMS, Revision, Why)
	JobRefused = define(Trouble, "job_refused", "a job was refused before any pool was asked",
		Job, JobKey, Tasks, Slots, Free, Queued, AgeMS, Revision, Reason, Why)
	PartReplanned = define(Trouble, "part_replanned", "a part that a pool refused was sent to others, or not",
		Job, JobKey, Part, Tasks, Pools, Slots, Free, Queued, AgeMS, Reason, Why)
	JobEnded = define(Routine, "job_ended", "a job's outcome is final",
		Job, JobKey, Service, Team, Tasks, Outcome, Run, Reason, TookMS, LeftMS, RetryAfterMS)
	CallerGone     = define(Trouble, "caller_gone", "a job was cancelled because its last caller went away", Job, JobKey, TookMS)
	AnswerSent     = define(Trouble, "answer_sent", "a caller was answered other than with a whole answer", Job, JobKey, Path, HTTP, Outcome, Run, Reason, RetryAfterMS)
	RequestRefused = define(Trouble, "request_refused", "a request made no job", Method, Host, Path, JobKey, HTTP, Why)
)

// Kinds of lines about pools, logged by the member that owns the pool.
var (
	BatchTaken = define(Routine, "batch_taken", "a pool took a part of a job on",
		Job, JobKey, Part, Pool, Tasks, Slots, Free, Queued, AheadMS, LeftMS, ObjectiveMS)
	BatchRefused = define(Trouble, "batch_refused", "a pool refused a part of a job; nothing of it was started",
		Job, JobKey, Part, Pool, Tasks, Slots, Free, Queued, AheadMS, LeftMS, ObjectiveMS, Reason, RetryAfterMS, Why)
	BatchCut = define(Trouble, "batch_cut", "a pool gave up what had not ended of a part",
		Job, JobKey, Part, Pool, Tasks, Slots, Free, Queued, AheadMS, LeftMS, ObjectiveMS, Reason)
	BatchUnanswered = define(Trouble, "batch_unanswered", "no reply of the pool's owner came to the job's owner, which asks again until one comes",
		Job, JobKey, Part, Pool, Owner, TookMS)
	TaskSent = define(Routine, "task_sent", "an endpoint was chosen and is asked to run a task",
		Job, JobKey, Task, Attempt, Pool, Endpoint, QueuedMS, PassedOver, Free, Queued, Why)
	TaskEnded = define(Routine, "task_ended", "a start has its end: done, or what came of it instead",
		Job, JobKey, Task, Attempt, Pool, Endpoint, State, TookMS, Why)
	TaskRevoked = define(Trouble, "task_revoked", "an endpoint was asked about a start that it did not answer, or to stop a task",
		Job, JobKey, Task, Attempt, Pool, Endpoint, State, TookMS, Why)
	EndpointChanged = define(Change, "endpoint_changed", "what the pool holds an endpoint for has changed",
		Pool, Endpoint, From, To, Slots)
	PoolsSplit      = define(Change, "pools_split", "the endpoints of a service in a data centre are split into more pools", Service, DataCentre, Parts)
	PartsUnreadable = define(Trouble, "parts_unreadable", "what a member told of the numbers of pools cannot be read", Member, Error)
	OwnershipMoved  = define(Change, "ownership_moved", "this member handed a pool to its next owner", Pool, Owner)
)

// Kinds of lines about leases on endpoints.
var (
	LeaseTaken      = define(Change, "lease_taken", "an endpoint answers this member under a new fencing token", Endpoint)
	LeaseLost       = define(Trouble, "lease_lost", "a lease has ended before its runs", Endpoint, Reason, Runs)
	StartUnanswered = define(Trouble, "start_unanswered", "an endpoint did not answer a start; the run is stopped there before anything else",
		Endpoint, JobKey, Task, Attempt, TookMS, Why)
	RunsAsked = define(Change, "runs_asked", "runs of an endpoint's former holder were asked for among the members",
		Endpoint, Runs, Claimed)
	EndsNotPassedOn = define(Trouble, "ends_not_passed_on", "another member did not hear of ends that it may wait for", Endpoint, Member, Ends)
)

// Kinds of lines about other members and the exchange of messages with them.
var (
	MemberChanged     = define(Change, "member_changed", "a member is taken for alive, suspected or gone", Member, From, To, Why)
	MemberUnreached   = define(Trouble, "member_unreached", "a member gave no reply; no job is planned to its pools", Member)
	MemberReached     = define(Change, "member_reached", "such a member has replied again, or is gone", Member, TookMS)
	ViewStale         = define(Trouble, "view_stale", "this member stood still; it starts no task until another has answered it")
	ViewFresh         = define(Change, "view_fresh", "this member knows the others again")
	SeedsRefused      = define(Fault, "seeds_refused", "seeds cannot be read", Error)
	ValueTooLarge     = define(Fault, "value_too_large", "a value was not told to the members", Topic, Bytes)
	ReplyNotSent      = define(Trouble, "reply_not_sent", "a member's request was carried out and its reply not sent", Method, Error)
	RequestNotEncoded = define(Fault, "request_not_encoded", "a request to a member was not sent", Method, Error)
	PeersCutOff       = define(Trouble, "peers_cut_off", "requests of members were cut off at the end of the process")
)

// Kinds of lines about configuration changes and the replicas of the profile register.
var (
	ConfigProposed      = define(Change, "config_proposed", "a change of configuration was asked for at this member", Edit, Revision, Version)
	ConfigAccepted      = define(Change, "config_accepted", "a majority of the replicas has accepted the change", Edit, Revision, Version, TookMS)
	ConfigRefused       = define(Trouble, "config_refused", "the change was not accepted", Edit, Revision, Version, Status, Run, TookMS, Why)
	ConfigInForce       = define(Change, "config_in_force", "this member serves by a newer revision", Revision, Version)
	ConfigUnconfirmed   = define(Trouble, "config_unconfirmed", "the replicas did not tell whether the newest revision is in force", Status, TookMS)
	MessageOfOtherGroup = define(Trouble, "message_of_other_group", "a message of replicas of other settings was dropped", Member, Cluster)
	ReplicaPlaced       = define(Change, "replica_placed", "this member takes part in the register", Replicas, Place, Replica)
	ReplicaReplaced     = define(Trouble, "replica_replaced", "another member has this one's place among the replicas", Place)
	ReplicaTakesPlace   = define(Trouble, "replica_takes_place", "this member takes the place of one that is gone", Place, Member)
	ReplicasUnreadable  = define(Trouble, "replicas_unreadable", "what a member told of the replicas cannot be read", Member)
	RegisterEmpty       = define(Change, "register_empty", "the disk holds no register; the replica joins before it votes")
	RegisterCopied      = define(Trouble, "register_copied", "the register's file is a copy; the replica joins before it votes")
	RegisterRefused     = define(Fault, "register_refused", "the register's file is damaged or foreign; the replica joins before it votes", Error)
	RegisterNotPutAside = define(Fault, "register_not_put_aside", "the file of a place that another member has cannot be moved away", Error)
	RegisterWriteFailed = define(Fault, "register_write_failed", "the disk does not take the register; this replica casts no vote", Error)
	RegisterWritten     = define(Change, "register_written", "the disk takes the register again")
)

// Kinds of lines about the platform's control plane and the recorder.
var (
	AnnouncementUnreadable  = define(Trouble, "announcement_unreadable", "what an endpoint says of itself cannot be read", Endpoint, Error)
	AnnouncementNotRecorded = define(Trouble, "announcement_not_recorded", "the owner of an endpoint's pool did not take its announcement", Endpoint, State)
	EndpointLeft            = define(Change, "endpoint_left", "an endpoint took its leave", Endpoint)
	DeclarationUnreadable   = define(Trouble, "declaration_unreadable", "a declared routing cannot be read", Error)
	DeclarationNotSent      = define(Trouble, "declaration_not_sent", "the declared routing did not reach who asked for it", Error)
	RecordingEnded          = define(Fault, "recording_ended", "the file of recorded steps is full or cannot be written", File, Error)
	StepNotRecorded         = define(Fault, "step_not_recorded", "a step cannot be encoded", Error)
)
