package model

import (
	"strconv"
	"strings"
)

// NodeID identifies one entry VM, which runs one process of the dispatcher. Settings restrict it to
// lower-case letters, digits and hyphens.
type NodeID string

// Incarnation identifies one run of a process; it is chosen at random at each start, so that a
// restarted process is told apart from the previous one.
type Incarnation string

// DataCentre names a data centre. Network partitions may separate data centres from each other.
type DataCentre string

// ServiceID names a service, such as "finder".
type ServiceID string

// TeamID names a customer with a quota.
type TeamID string

// EndpointID identifies an endpoint: one licensed copy of a service.
type EndpointID string

// JobID identifies a job and contains the entry VM that owns it and that VM's incarnation.
//
// The format is node.incarnation.minted.sequence.tag, where minted is the time at which the id was
// minted, in milliseconds (base 36), and tag authenticates the rest.
type JobID string

// JobIDParts are the fields of a JobID.
type JobIDParts struct {
	Owner       NodeID
	Incarnation Incarnation
	MintedMS    int64 // Unix time at which the id was minted, in milliseconds.
	Sequence    uint64
	Tag         string
}

const (
	jobIDFields = 5
	idBase      = 36
)

// NewJobID formats the fields as a job id.
func NewJobID(p JobIDParts) JobID {
	return JobID(p.Unsigned() + "." + p.Tag)
}

// Unsigned returns the part of the id that the tag authenticates.
func (p JobIDParts) Unsigned() string {
	return strings.Join([]string{
		string(p.Owner),
		string(p.Incarnation),
		strconv.FormatInt(p.MintedMS, idBase),
		strconv.FormatUint(p.Sequence, idBase),
	}, ".")
}

// Parse splits the id into its fields; ok is false when the id is not well-formed.
func (id JobID) Parse() (parts JobIDParts, ok bool) {
	fields := strings.Split(string(id), ".")
	if len(fields) != jobIDFields {
		return JobIDParts{}, false
	}
	minted, err := strconv.ParseInt(fields[2], idBase, 64)
	if err != nil || minted < 0 {
		return JobIDParts{}, false
	}
	sequence, err := strconv.ParseUint(fields[3], idBase, 64)
	if err != nil {
		return JobIDParts{}, false
	}
	parts = JobIDParts{NodeID(fields[0]), Incarnation(fields[1]), minted, sequence, fields[4]}
	return parts, parts.Owner != "" && parts.Incarnation != "" && NewJobID(parts) == id
}

// TaskID identifies a task by its job's id and its index in the job.
type TaskID string

// TaskID returns the id of the job's task at index.
func (id JobID) TaskID(index int) TaskID {
	return TaskID(string(id) + "." + strconv.Itoa(index))
}

// Index returns the task's index in its job, or -1 when id is not a task id.
func (id TaskID) Index() int {
	index, err := strconv.Atoi(string(id[strings.LastIndexByte(string(id), '.')+1:]))
	if err != nil {
		return -1
	}
	return index
}

// Job returns the id of the job that the task belongs to, or "" when id is not a task id.
func (id TaskID) Job() JobID {
	dot := strings.LastIndexByte(string(id), '.')
	if dot < 0 {
		return ""
	}
	return JobID(id[:dot])
}
