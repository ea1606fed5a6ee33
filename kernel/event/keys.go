package event

// Names of fields. A name has the same meaning in every line. Times are in milliseconds.
const (
	Node   Key = "node"   // Name of the process that wrote the line; in every line.
	Plugin Key = "plugin" // Plug-in that wrote the line; in every line of a plug-in.

	Job       Key = "job"     // The product's id of a job.
	JobKey    Key = "key"     // The caller's own id of a job.
	Part      Key = "part"    // Number of the part of a job that goes to one pool.
	Task      Key = "task"    // Index of a task in its job.
	Attempt   Key = "attempt" // Number of the attempt at a task.
	Service   Key = "service"
	Team      Key = "team"
	Beside    Key = "beside"  // Team whose tasks slow down those of the other team.
	Earlier   Key = "earlier" // Attempt whose end is not known yet: the id of its task.
	Tasks     Key = "tasks"
	Pool      Key = "pool"
	Pools     Key = "pools" // Pools to which a job's parts are sent.
	Parts     Key = "parts" // Number of pools into which a service's endpoints in a data centre are split.
	Endpoint  Key = "endpoint"
	Successor Key = "successor" // Incarnation that has replaced an endpoint; empty when it is not known.
	Member    Key = "member"    // Another process of the product.
	Owner     Key = "owner"     // Member that owns the job or pool; when a pool moves, its new owner.

	Outcome Key = "outcome"
	Run     Key = "run"    // Whether the job may have run.
	Reason  Key = "reason" // A code of the product.
	State   Key = "state"  // Outcome of a start, a revoke or a run.
	Cause   Key = "cause"  // Why a run was lost; see port.LossCause. Empty for other ends.
	Status  Key = "status" // Outcome of a configuration change.
	HTTP    Key = "http_status"
	Why     Key = "why"   // Explanation for people; programs use the other fields.
	Error   Key = "error" // Text of an error, for people.

	LeftMS       Key = "left_ms"        // Time until the deadline.
	RetryAfterMS Key = "retry_after_ms" // Time after which the caller was advised to retry.
	TookMS       Key = "took_ms"        // Duration of what the line reports.
	ObjectiveMS  Key = "objective_ms"   // Latency objective of a job, based on the pool's estimate of its run time.
	Priority     Key = "priority"       // Priority of a job's route; 0 is the most urgent.
	InTime       Key = "in_time"        // Whether a part of a job can still meet the job's latency objective.
	QueuedMS     Key = "queued_ms"      // Time from when the pool accepted a part until a task of it was sent.
	AheadMS      Key = "ahead_ms"       // Estimated run time of the queued tasks divided by the pool's slots.
	AgeMS        Key = "age_ms"         // Age of the oldest load report that a plan is based on, or of a configuration change.

	SlowDownPct Key = "slow_down_pct" // By how many percent a run takes longer.

	Slots      Key = "slots"
	Endpoints  Key = "endpoints"   // Number of endpoints of a pool.
	Free       Key = "free"        // Free slots.
	Queued     Key = "queued"      // Number of queued tasks.
	PassedOver Key = "passed_over" // Number of candidate endpoints that were not chosen.
	Factor     Key = "factor"      // Expected run time at the endpoint over that at a typical one of the pool; 0 when speeds are not learned.
	Revision   Key = "revision"    // Revision of the configuration.
	Version    Key = "version"     // Version of a declared routing.
	Edit       Key = "edit"        // Id of a configuration change.
	From       Key = "from"        // State before a change.
	To         Key = "to"          // State after a change.
	Runs       Key = "runs"        // Number of task runs.
	Crashes    Key = "crashes"     // Number of endpoints that have crashed, or may have, under runs of a task.
	Claimed    Key = "claimed"     // Number of those runs that a member waits for.
	Ends       Key = "ends"        // Number of ends of runs.

	Method     Key = "method"
	Host       Key = "host"
	Path       Key = "path"
	Condition  Key = "condition" // Conditions that keep the process from serving, with their reasons.
	Cluster    Key = "cluster"   // Name of the cluster that the sender of a message belongs to.
	Replicas   Key = "replicas"
	Place      Key = "place"   // Identity of a member among the replicas.
	Replica    Key = "replica" // Whether the member is a replica.
	Voting     Key = "voting"  // Whether the replica votes.
	Phase      Key = "phase"   // What a replica does about its vote, or on what ground it votes; see register.Phase.
	Replied    Key = "replied" // Replicas whose replies count for a replica that joins the group.
	Seeds      Key = "seeds"   // Addresses from which the process learns the other members.
	Changed    Key = "changed" // Paths of changed settings that take effect at once.
	Later      Key = "later"   // Paths of changed settings that take effect at the next start.
	DataCentre Key = "data_centre"
	Topic      Key = "topic" // Topic of a gossiped value.
	Bytes      Key = "bytes"
	File       Key = "file"
	Dropped    Key = "dropped" // Kind of the lines that were dropped.
	Lines      Key = "lines"   // Number of the lines that were dropped.
)
