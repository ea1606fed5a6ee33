package endpoints

import (
	"context"
	"encoding/json"
	"time"

	"redwingpulley/kernel/model"
	"redwingpulley/kernel/port"
	"redwingpulley/plugins/endpoints/poolstate"
)

// Methods between members.
const (
	methodRun      = "pools/run"
	methodCancel   = "pools/cancel"
	methodAnnounce = "pools/announce"
	methodLoads    = "pools/loads"
)

const reportInterval = 250 * time.Millisecond // Between reports of the owned pools' loads.

type empty struct{}

type announcement struct {
	Endpoint model.Endpoint `json:"endpoint"`
}

type cancellation struct {
	Pool  model.PoolID  `json:"pool"`
	Batch model.BatchID `json:"batch"`
}

// runRequest is a batch on the wire. Deadlines travel as the time that is left, since the clocks
// of members differ.
type runRequest struct {
	ID          model.BatchID `json:"id"`
	Pool        model.PoolID  `json:"pool"`
	Team        model.TeamID  `json:"team"`
	RemainingMS int64         `json:"remaining_ms"`
	Tasks       []wireTask    `json:"tasks"`
}

type wireTask struct {
	Index      int             `json:"index"`
	Payload    json.RawMessage `json:"payload,omitempty"`
	DeclaredMS int64           `json:"declared_ms,omitempty"`
	Needs      model.Needs     `json:"needs"`
}

type runReply struct {
	Refused      bool           `json:"refused,omitempty"`
	Reason       model.Reason   `json:"reason,omitempty"`
	RetryAfterMS int64          `json:"retry_after_ms,omitempty"`
	Results      []wireResult   `json:"results,omitempty"`
	Load         model.PoolLoad `json:"load"`
}

type wireResult struct {
	Index  int             `json:"index"`
	Answer json.RawMessage `json:"answer,omitempty"`
	Done   bool            `json:"done,omitempty"`
	Run    model.RunState  `json:"run,omitempty"`
	Reason model.Reason    `json:"reason,omitempty"`
}

func (p *Pools) handlePeers() {
	port.Handle(p.peers, methodRun, p.serveRun)
	port.Handle(p.peers, methodCancel, p.serveCancel)
	port.Handle(p.peers, methodAnnounce, p.serveAnnounce)
	port.Handle(p.peers, methodLoads, p.serveLoads)
}

func (p *Pools) serveRun(ctx context.Context, from model.NodeID, r runRequest) runReply {
	batch := model.Batch{
		ID: r.ID, Pool: r.Pool, Origin: from, Team: r.Team,
		Deadline: time.Now().Add(time.Duration(r.RemainingMS) * time.Millisecond),
	}
	for _, t := range r.Tasks {
		batch.Tasks = append(batch.Tasks, model.Task{
			Index: t.Index, Payload: t.Payload, Needs: t.Needs,
			Declared: time.Duration(t.DeclaredMS) * time.Millisecond,
		})
	}
	return encodeResult(p.runOwned(ctx, batch))
}

func (p *Pools) serveCancel(_ context.Context, _ model.NodeID, c cancellation) empty {
	p.step(c.Pool, poolstate.Cancelled{Batch: c.Batch})
	return empty{}
}

func (p *Pools) serveAnnounce(_ context.Context, _ model.NodeID, a announcement) empty {
	p.step(p.poolOf(a.Endpoint), poolstate.Announced{Endpoint: a.Endpoint})
	return empty{}
}

func (p *Pools) runAtOwner(ctx context.Context, owner model.NodeID, batch model.Batch) model.BatchResult {
	var reply runReply
	switch p.peers.Call(ctx, owner, methodRun, encodeBatch(batch), &reply) {
	case port.Delivered:
		p.learnLoad(reply.Load)
		return decodeResult(batch.ID, reply)
	case port.NotSent:
		return model.RefusedBatch(batch.ID, model.ReasonUnreachable)
	default:
		return unknownResult(batch, model.ReasonOwnerLost)
	}
}

// learnLoad keeps the newest load of a pool that another member owns.
func (p *Pools) learnLoad(load model.PoolLoad) {
	p.loads.Do(load.Pool, func(known map[model.PoolID]model.PoolLoad) {
		old, ok := known[load.Pool]
		if !ok || old.Owner != load.Owner || old.Version < load.Version {
			known[load.Pool] = load
		}
	})
}

func encodeBatch(batch model.Batch) runRequest {
	r := runRequest{
		ID: batch.ID, Pool: batch.Pool, Team: batch.Team,
		RemainingMS: time.Until(batch.Deadline).Milliseconds(),
		Tasks:       make([]wireTask, 0, len(batch.Tasks)),
	}
	for _, t := range batch.Tasks {
		r.Tasks = append(r.Tasks, wireTask{t.Index, t.Payload, t.Declared.Milliseconds(), t.Needs})
	}
	return r
}

func encodeResult(result model.BatchResult) runReply {
	reply := runReply{
		Refused: result.Refused, Reason: result.Reason,
		RetryAfterMS: result.RetryAfter.Milliseconds(), Load: result.Load,
	}
	for _, r := range result.Results {
		reply.Results = append(reply.Results, wireResult{r.Index, r.Answer, r.Done, r.Run, r.Reason})
	}
	return reply
}

func decodeResult(id model.BatchID, reply runReply) model.BatchResult {
	result := model.BatchResult{
		ID: id, Refused: reply.Refused, Reason: reply.Reason,
		RetryAfter: time.Duration(reply.RetryAfterMS) * time.Millisecond, Load: reply.Load,
	}
	for _, r := range reply.Results {
		result.Results = append(result.Results, model.TaskResult{Index: r.Index, Done: r.Done, Answer: r.Answer, Run: r.Run, Reason: r.Reason})
	}
	return result
}

// loadReport tells the loads of the pools that the sender owns.
type loadReport struct {
	Loads []model.PoolLoad `json:"loads"`
}

func (p *Pools) serveLoads(_ context.Context, _ model.NodeID, r loadReport) empty {
	for _, load := range r.Loads {
		p.learnLoad(load)
	}
	return empty{}
}

// reportLoads tells the other members the loads of owned pools at an interval.
func (p *Pools) reportLoads() {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			p.sendLoads()
		case <-p.life.Done():
			return
		}
	}
}

func (p *Pools) sendLoads() {
	report := loadReport{Loads: p.ownedLoads()}
	if len(report.Loads) == 0 {
		return
	}
	for _, node := range p.membership.Alive() {
		if node.ID != p.membership.Self().ID {
			go p.sendReport(node.ID, report)
		}
	}
}

func (p *Pools) sendReport(to model.NodeID, report loadReport) {
	ctx, cancel := context.WithTimeout(p.life, reportInterval)
	defer cancel()
	var ignored empty
	p.peers.Call(ctx, to, methodLoads, report, &ignored)
}
