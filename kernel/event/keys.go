package event

// Names of fields. A name means the same in each line. Times are in milliseconds.
const (
	Node   Key = "node"   // The process's own name; in each line.
	Plugin Key = "plugin" // That wrote the line; in each line of a plug-in.

	Job      Key = "job"  // The product's id of a job.
	JobKey   Key = "key"  // The caller's own id of a job.
	Part     Key = "part" // Number of the part of a job that goes to one pool.
	Task     Key = "task" // Index in its job.
	Attempt  Key = "attempt"
	Service  Key = "service"
	Team     Key = "team"
	Tasks    Key = "tasks"
	Pool     Key = "pool"
	Pools    Key = "pools" // That a job's parts go to.
	Parts    Key = "parts" // Pools that a service's endpoints in a data centre are split into.
	Endpoint Key = "endpoint"
	Member   Key = "member" // Another process of the product.
	Owner    Key = "owner"  // The member that owns a pool from now on.

	Outcome Key = "outcome"
	Run     Key = "run"    // Whether the job may have run.
	Reason  Key = "reason" // A code of the product.
	State   Key = "state"  // What came of a start, a revoke or a run.
	Status  Key = "status" // What came of a change of configuration.
	HTTP    Key = "http_status"
	Why     Key = "why"   // For people; programs use the other fields.
	Error   Key = "error" // For people.

	LeftMS       Key = "left_ms"        // Until the deadline.
	RetryAfterMS Key = "retry_after_ms" // As the caller was told.
	TookMS       Key = "took_ms"        // From the beginning to the end of what the line tells.
	ObjectiveMS  Key = "objective_ms"   // The latency objective of a job, by the pool's estimate of its run time.
	QueuedMS     Key = "queued_ms"      // From when the pool took a part on until a start of its task.
	AheadMS      Key = "ahead_ms"       // Run time of what was waiting, for each slot of the pool.
	AgeMS        Key = "age_ms"         // Of the oldest load that a plan counted with.

	Slots      Key = "slots"
	Free       Key = "free"
	Queued     Key = "queued" // Tasks that wait.
	PassedOver Key = "passed_over"
	Revision   Key = "revision" // Of the configuration.
	Version    Key = "version"  // Of a declared routing.
	Edit       Key = "edit"     // Id of a change of configuration.
	From       Key = "from"
	To         Key = "to"
	Runs       Key = "runs"
	Claimed    Key = "claimed" // Of the runs, those that a member waits for.
	Ends       Key = "ends"

	Method     Key = "method"
	Host       Key = "host"
	Path       Key = "path"
	Condition  Key = "condition"
	Cluster    Key = "cluster"
	Replicas   Key = "replicas"
	Place      Key = "place" // Of a member among the replicas.
	Replica    Key = "replica"
	Seeds      Key = "seeds"
	Changed    Key = "changed" // Settings that take effect at once.
	Later      Key = "later"   // Settings that take effect at the next start.
	DataCentre Key = "data_centre"
	Topic      Key = "topic"
	Bytes      Key = "bytes"
	File       Key = "file"
	Dropped    Key = "dropped" // Kind of the lines that were dropped.
	Lines      Key = "lines"
)
