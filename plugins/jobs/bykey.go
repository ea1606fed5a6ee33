package jobs

import (
	"context"
	"sync"
	"time"

	"redwingpulley/kernel/event"
	"redwingpulley/kernel/model"
	"redwingpulley/kernel/port"
	"redwingpulley/plugins/jobs/jobstate"
)

// methodByKey asks a member for its running job with a caller's key, and cancels that job if it says so.
const methodByKey = "jobs/by_key"

// byKeyTimeout is how long another member may take to answer such a request.
const byKeyTimeout = 500 * time.Millisecond

// byKeyRequest names a job by the key that its caller chose.
type byKeyRequest struct {
	Key    string `json:"key"`
	Cancel bool   `json:"cancel,omitempty"`
}

// byKeyReply says whether the member had a running job with the key.
type byKeyReply struct {
	Found bool `json:"found,omitempty"`
}

// FindKey reports whether some member runs a job with the key. It asks no other member when this one does.
func (j *Jobs) FindKey(ctx context.Context, key string) port.KeyPresence {
	request := byKeyRequest{Key: key}
	if j.applyByKey(request) {
		return port.KeyFound
	}
	return j.requestByKey(ctx, request)
}

// CancelKey cancels the jobs with the key at all members. A job of one key may run at several: at each to which its caller has
// sent it.
func (j *Jobs) CancelKey(ctx context.Context, key string) port.KeyPresence {
	return j.requestByKey(ctx, byKeyRequest{Key: key, Cancel: true})
}

// requestByKey carries out a request here and at all other members, at the same time. Keys name no owner, and such requests are rare.
func (j *Jobs) requestByKey(ctx context.Context, request byKeyRequest) port.KeyPresence {
	ctx, cancel := context.WithTimeout(ctx, byKeyTimeout)
	defer cancel()
	found, unanswered := j.applyByKey(request), false
	var mu sync.Mutex // Guards found and unanswered.
	var calls sync.WaitGroup
	for _, node := range j.membership.Alive() {
		if node.ID == j.self.ID || node.Reserve {
			continue // Members in reserve take no jobs from callers.
		}
		calls.Go(func() {
			var reply byKeyReply
			delivery := j.peers.Call(ctx, node.ID, methodByKey, request, &reply)
			mu.Lock()
			defer mu.Unlock()
			found = found || delivery == port.Delivered && reply.Found
			unanswered = unanswered || delivery != port.Delivered && delivery != port.Refused
		})
	}
	calls.Wait()
	switch {
	case unanswered && (request.Cancel || !found): // A job of the key may run at a member that has not answered, too.
		return port.KeyUncertain
	case found:
		return port.KeyFound
	}
	return port.KeyUnknown
}

func (j *Jobs) handleByKey(_ context.Context, _ model.NodeID, r byKeyRequest) byKeyReply {
	return byKeyReply{Found: j.applyByKey(r)}
}

// applyByKey reports whether this member runs a job with the key, and cancels it if the request says so. The key of a cancellation counts as
// withdrawn from then on, also when there is no job yet: the request that submits it may be late, or arrive again.
func (j *Jobs) applyByKey(r byKeyRequest) (found bool) {
	if r.Key == "" {
		return false
	}
	if r.Cancel {
		j.pools.Withdraw(r.Key) // Before the job is looked up: see withdrawIfCancelled.
	}
	id, known := j.keys.Get(r.Key)
	if !known {
		return false
	}
	j.jobs.Do(id, func(jobs map[model.JobID]*entry) {
		e, known := jobs[id]
		found = known && e.state.Outcome().State == model.StateRunning
	})
	if found && r.Cancel {
		j.withdraw(id, r.Key)
	}
	return found
}

func (j *Jobs) withdraw(id model.JobID, key string) {
	event.JobCancelled.Log(j.log, event.Text(event.Job, id), event.Text(event.JobKey, key))
	j.step(id, jobstate.Withdrawn{})
}

// withdrawIfCancelled cancels a job that has just got its entry, if its caller has cancelled it before. A cancellation records the key before it
// looks for the job, so that one of the two finds the other.
func (j *Jobs) withdrawIfCancelled(job *model.Job) (cancelled bool) {
	if cancelled = j.pools.Withdrawn(job.Key); cancelled {
		j.withdraw(job.ID, job.Key)
	}
	return cancelled
}
