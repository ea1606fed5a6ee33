package endpoints

import (
	"encoding/json"
	"slices"
	"time"

	"redwingpulley/kernel/model"
	"redwingpulley/plugins/endpoints/crashes"
	"redwingpulley/plugins/endpoints/transit"
)

// maxRemaining is the longest remaining time that a valid request may give its batch. It is longer than
// any deadline that callers may ask for.
const maxRemaining = 2 * time.Hour

// envelope identifies the batch that a message is about, and acknowledges results; see package ledger.
type envelope struct {
	Origin   model.Incarnation `json:"origin"`           // Incarnation of the sender.
	Target   model.Incarnation `json:"target,omitempty"` // Incarnation of the owner that the batch was sent to.
	Sequence uint64            `json:"sequence"`         // Number of the batch.
	Settled  uint64            `json:"settled"`          // Cumulative acknowledgement.
}

// runRequest is the request to run a batch. Its deadline is sent as the remaining time, since the clocks
// of members differ.
type runRequest struct {
	envelope
	ID          model.BatchID `json:"id"`
	Pool        model.PoolID  `json:"pool"`
	Team        model.TeamID  `json:"team"`
	RemainingMS int64         `json:"remaining_ms"`
	MaxWaitMS   int64         `json:"max_wait_ms,omitempty"`
	Key         string        `json:"key,omitempty"`
	MaxFailures int           `json:"max_failures,omitempty"`
	Objective   wireObjective `json:"objective,omitzero"`
	Whole       bool          `json:"whole,omitempty"`
	Priority    int           `json:"priority,omitempty"`
	AgeMS       int64         `json:"age_ms,omitempty"` // Time since the job was submitted; 0 if that is not known.
	JobTasks    int           `json:"job_tasks,omitempty"`
	Tasks       []wireTask    `json:"tasks"`
	SentAt      *transit.Time `json:"sent_at,omitempty"` // Time of the receiver's clock that had certainly passed when this was sent.
}

// batchRef is the request to resume or to cancel a batch.
type batchRef struct {
	envelope
	ID   model.BatchID `json:"id"`
	Pool model.PoolID  `json:"pool"`
}

type wireObjective struct {
	Stretch float64       `json:"stretch"`
	Slack   time.Duration `json:"slack_ns"`
	Useful  float64       `json:"useful"`
}

type wireTask struct {
	Index      int             `json:"index"`
	Payload    json.RawMessage `json:"payload,omitempty"`
	DeclaredMS int64           `json:"declared_ms,omitempty"`
	Needs      model.Needs     `json:"needs"`
	Losses     []wireLoss      `json:"losses,omitempty"`
}

// wireLoss is the encoding of a model.Loss.
type wireLoss struct {
	Endpoint model.EndpointID `json:"endpoint"`
	Crashed  bool             `json:"crashed,omitempty"`
}

func validLosses(losses []wireLoss) bool {
	return len(losses) <= crashes.MaxRecorded && !slices.ContainsFunc(losses, func(l wireLoss) bool {
		return l.Endpoint == "" || len(l.Endpoint) > maxLossTextLength
	})
}

func encodeLosses(losses []model.Loss) (encoded []wireLoss) {
	for _, l := range losses {
		encoded = append(encoded, wireLoss(l))
	}
	return encoded
}

func decodeLosses(encoded []wireLoss) (losses []model.Loss) {
	for _, l := range encoded {
		losses = append(losses, model.Loss(l))
	}
	return losses
}

// runReply is the reply to the request to run or to resume a batch.
type runReply struct {
	Lost         bool           `json:"lost,omitempty"` // The outcome of the batch is not known.
	Refused      bool           `json:"refused,omitempty"`
	Reason       model.Reason   `json:"reason,omitempty"`
	RetryAfterMS int64          `json:"retry_after_ms,omitempty"`
	Results      []wireResult   `json:"results,omitempty"`
	Load         model.PoolLoad `json:"load"`
	Clock        *transit.Time  `json:"clock,omitempty"` // Set where the batch was refused since it was outdated.
}

type wireResult struct {
	Index  int             `json:"index"`
	Answer json.RawMessage `json:"answer,omitempty"`
	Done   bool            `json:"done,omitempty"`
	Run    model.RunState  `json:"run,omitempty"`
	Reason model.Reason    `json:"reason,omitempty"`
	Losses []wireLoss      `json:"losses,omitempty"`
}

func encodeBatch(e envelope, batch model.Batch) runRequest {
	r := runRequest{
		envelope: e, ID: batch.ID, Pool: batch.Pool, Team: batch.Team,
		RemainingMS: time.Until(batch.Deadline).Milliseconds(),
		MaxWaitMS:   batch.MaxWait.Milliseconds(),
		Key:         batch.Key, MaxFailures: batch.MaxFailures,
		Objective: wireObjective(batch.Objective), Whole: batch.Whole, Priority: batch.Priority, AgeMS: ageMS(batch.Submitted), JobTasks: batch.JobTasks,
		Tasks: make([]wireTask, 0, len(batch.Tasks)),
	}
	for _, t := range batch.Tasks {
		r.Tasks = append(r.Tasks, wireTask{t.Index, t.Payload, t.Declared.Milliseconds(), t.Needs, encodeLosses(t.Losses)})
	}
	return r
}

// ageMS returns the time since a job was submitted, within the limits of a valid request. It is at least 1,
// since 0 says that the time is not known.
func ageMS(submitted time.Time) int64 {
	if submitted.IsZero() {
		return 0
	}
	return min(max(time.Since(submitted).Milliseconds(), 1), maxRemaining.Milliseconds())
}

// submittedAt returns when a job of the given age was submitted.
func submittedAt(ageMS int64) time.Time {
	if ageMS == 0 {
		return time.Time{}
	}
	return time.Now().Add(-time.Duration(ageMS) * time.Millisecond)
}

// valid reports whether a correct member could have sent the request. An invalid one, from a faulty member,
// must not violate an invariant in this process.
func (r runRequest) valid() bool {
	if _, ok := r.ID.Job.Parse(); !ok || len(r.Tasks) == 0 || len(r.Tasks) > model.MaxTasksPerJob {
		return false
	}
	seen := make(map[int]bool, len(r.Tasks))
	for _, t := range r.Tasks {
		if t.Index < 0 || t.Index >= model.MaxTasksPerJob || seen[t.Index] {
			return false
		}
		if !validLosses(t.Losses) || t.Needs.Check() != nil || t.DeclaredMS < 0 || t.DeclaredMS > maxRemaining.Milliseconds() {
			return false
		}
		seen[t.Index] = true
	}
	return r.validLimits()
}

// validLimits reports whether the numbers and names that concern the whole batch are within their limits.
func (r runRequest) validLimits() bool {
	longest := maxRemaining.Milliseconds()
	return r.RemainingMS <= longest && r.RemainingMS >= -longest && r.MaxWaitMS >= 0 && r.MaxWaitMS <= longest &&
		r.MaxFailures >= 0 && r.Objective.Stretch >= 0 && r.Objective.Useful >= 0 && r.Objective.Slack >= 0 &&
		r.Priority >= 0 && r.AgeMS >= 0 && r.AgeMS <= longest && r.JobTasks >= 0 && r.JobTasks <= model.MaxTasksPerJob &&
		len(r.Key) <= maxLossTextLength && len(r.Team) <= model.MaxName
}

func decodeBatch(from model.NodeID, r runRequest) model.Batch {
	batch := model.Batch{
		ID: r.ID, Pool: r.Pool, Origin: from, Team: r.Team,
		Deadline: time.Now().Add(time.Duration(r.RemainingMS) * time.Millisecond),
		MaxWait:  time.Duration(r.MaxWaitMS) * time.Millisecond,
		Key:      r.Key, MaxFailures: r.MaxFailures,
		Objective: model.Objective(r.Objective), Whole: r.Whole, Priority: model.ClampPriority(r.Priority), Submitted: submittedAt(r.AgeMS), JobTasks: r.JobTasks,
		Tasks: make([]model.Task, 0, len(r.Tasks)),
	}
	for _, t := range r.Tasks {
		batch.Tasks = append(batch.Tasks, model.Task{
			Index: t.Index, Payload: t.Payload, Needs: t.Needs,
			Declared: time.Duration(t.DeclaredMS) * time.Millisecond, Losses: decodeLosses(t.Losses),
		})
	}
	return batch
}

func encodeResult(result model.BatchResult) runReply {
	reply := runReply{
		Refused: result.Refused, Reason: result.Reason,
		RetryAfterMS: result.RetryAfter.Milliseconds(), Load: result.Load,
	}
	for _, r := range result.Results {
		reply.Results = append(reply.Results, wireResult{r.Index, r.Answer, r.Done, r.Run, r.Reason, encodeLosses(r.Losses)})
	}
	return reply
}

func decodeResult(id model.BatchID, reply runReply) model.BatchResult {
	result := model.BatchResult{
		ID: id, Refused: reply.Refused, Reason: reply.Reason,
		RetryAfter: time.Duration(reply.RetryAfterMS) * time.Millisecond, Load: reply.Load,
	}
	for _, r := range reply.Results {
		result.Results = append(result.Results, model.TaskResult{
			Index: r.Index, Done: r.Done, Answer: r.Answer, Run: r.Run, Reason: r.Reason, Losses: decodeLosses(r.Losses),
		})
	}
	return result
}
