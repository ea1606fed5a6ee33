package jobstate_test

import (
	"slices"

	"redwingpulley/kernel/model"
	"redwingpulley/kernel/port"
	"redwingpulley/plugins/endpoints/ledger"
	"redwingpulley/plugins/endpoints/poolstate"
	"redwingpulley/plugins/jobs/jobstate"
)

// sendBatch sends a batch to the owner of its pool.
func (sim *simulation) sendBatch(s jobstate.Send) {
	outbox := outboxKey{s.Owner, sim.poolOwners[s.Owner].incarnation}
	o := sim.owner
	if o.outboxes[outbox] == nil {
		o.outboxes[outbox] = &ledger.Outbox{}
	}
	b := &sentBatch{outbox: outbox, sequence: o.outboxes[outbox].Open(), batch: s.Batch}
	o.inFlight[s.Batch.ID] = b
	settled, remaining := o.outboxes[outbox].Settled(), s.Batch.Deadline.Sub(sim.now)
	sim.send(message{name: "run", onDrop: func() { b.replyLost = true }, deliver: func() {
		batch := s.Batch
		batch.Deadline = sim.now.Add(remaining) // The message carries the remaining time, not the deadline.
		sim.handleRun(o, b, settled, batch)
	}})
}

// handleRun handles the request to run a batch at the pool's owner.
func (sim *simulation) handleRun(o *jobOwner, b *sentBatch, settled uint64, batch model.Batch) {
	p := sim.poolOwners[b.outbox.owner]
	if p.incarnation != b.outbox.incarnation {
		sim.sendResult(o, b, lostResult(batch))
		return
	}
	verdict := p.stepLedger(sim, o, ledger.Arrived{Sequence: b.sequence, Settled: settled})
	if verdict == ledger.Start {
		p.batches[batch.ID] = &poolBatch{jobOwnerIncarnation: o.incarnation, sequence: b.sequence}
		sim.stepPool(p, poolstate.Submitted{Batch: batch, Profile: model.BuiltInProfile()})
	}
	sim.replyByVerdict(p, o, b, verdict)
}

// resume sends a request for the result of a batch again, as the job owner does when it got no reply.
func (sim *simulation) resume(b *sentBatch) {
	o, settled := sim.owner, sim.owner.outboxes[b.outbox].Settled()
	sim.send(message{name: "resume", deliver: func() { sim.handleResume(o, b, settled, false) }})
}

// cancel sends the cancellation of a batch, if it is in flight.
func (sim *simulation) cancel(id model.BatchID) {
	b, inFlight := sim.owner.inFlight[id]
	if !inFlight {
		return
	}
	o, settled := sim.owner, sim.owner.outboxes[b.outbox].Settled()
	sim.send(message{name: "cancel", deliver: func() { sim.handleResume(o, b, settled, true) }})
}

// handleResume handles a repeated request for a batch's result, or the batch's cancellation, at the
// pool's owner.
func (sim *simulation) handleResume(o *jobOwner, b *sentBatch, settled uint64, cancel bool) {
	p := sim.poolOwners[b.outbox.owner]
	if p.incarnation != b.outbox.incarnation {
		sim.sendResult(o, b, lostResult(b.batch))
		return
	}
	verdict := p.stepLedger(sim, o, ledger.Queried{Sequence: b.sequence, Settled: settled})
	if cancel && verdict == ledger.Join {
		sim.stepPool(p, poolstate.Cancelled{Batch: b.batch.ID})
	}
	sim.replyByVerdict(p, o, b, verdict)
}

// stepLedger applies an event to the ledger of the job owner's incarnation, which is created on first use.
func (p *poolOwner) stepLedger(sim *simulation, o *jobOwner, event ledger.Event) ledger.Verdict {
	l := p.ledgers[o.incarnation]
	if l == nil {
		l = &ledger.Ledger{}
		p.ledgers[o.incarnation] = l
	}
	return l.Step(sim.now, event).Verdict
}

// replyByVerdict replies as the ledger's verdict says, at once or when the batch ends.
func (sim *simulation) replyByVerdict(p *poolOwner, o *jobOwner, b *sentBatch, verdict ledger.Verdict) {
	switch verdict {
	case ledger.Refuse:
		sim.sendResult(o, b, model.RefusedBatch(b.batch.ID, model.ReasonUnreachable))
	case ledger.Lost:
		sim.sendResult(o, b, lostResult(b.batch))
	default:
		pending := p.batches[b.batch.ID]
		if pending.result != nil {
			sim.sendResult(o, b, *pending.result)
			return
		}
		pending.replies = append(pending.replies, func(r model.BatchResult) { sim.sendResult(o, b, r) })
	}
}

// lostResult is the result of a batch of which it is not known what its tasks did.
func lostResult(batch model.Batch) model.BatchResult {
	result := model.BatchResult{ID: batch.ID}
	for _, task := range batch.Tasks {
		result.Results = append(result.Results, model.TaskResult{Index: task.Index, Run: model.MayHaveRun, Reason: model.ReasonOwnerLost})
	}
	return result
}

// sendResult sends a batch's result to the job owner, which takes the first one that arrives.
func (sim *simulation) sendResult(o *jobOwner, b *sentBatch, result model.BatchResult) {
	sim.send(message{name: "result", onDrop: func() { b.replyLost = true }, deliver: func() { sim.handleResult(o, b, result) }})
}

// handleResult ends a batch at the job owner. The result is ignored when the batch is no longer in
// flight or was sent by an earlier incarnation of the job owner.
func (sim *simulation) handleResult(o *jobOwner, b *sentBatch, result model.BatchResult) {
	if o != sim.owner || o.inFlight[b.batch.ID] != b {
		return
	}
	delete(o.inFlight, b.batch.ID)
	o.outboxes[b.outbox].Close(b.sequence)
	sim.stepJob(b.batch.ID.Job, jobstate.BatchEnded{Result: result})
}

// declareLost ends a batch as the job owner does when membership considers the pool's owner gone.
func (sim *simulation) declareLost(b *sentBatch) { sim.handleResult(sim.owner, b, lostResult(b.batch)) }

// stepPool applies an event to a pool and carries out its effects.
func (sim *simulation) stepPool(p *poolOwner, event poolstate.Event) {
	var fx poolstate.Effects
	p.machine.Step(sim.now, event, &fx)
	for _, result := range fx.Ended {
		sim.handleBatchEnd(p, result)
	}
	for _, s := range fx.Starts {
		sim.start(p, s)
	}
	for _, r := range fx.Revokes {
		sim.revoke(p, r)
	}
}

// handleBatchEnd keeps the result of a batch at the pool's owner and sends it to all who wait for it.
func (sim *simulation) handleBatchEnd(p *poolOwner, result model.BatchResult) {
	pending := p.batches[result.ID]
	pending.result = &result
	p.ledgers[pending.jobOwnerIncarnation].Step(sim.now, ledger.Ended{Sequence: pending.sequence})
	for _, reply := range pending.replies {
		reply(result)
	}
	pending.replies = nil
}

// stepPoolIfCurrent applies an event to the pool owner's incarnation that caused it, unless that one
// has been replaced.
func (sim *simulation) stepPoolIfCurrent(p *poolOwner, event poolstate.Event) {
	if sim.poolOwners[p.node] == p {
		sim.stepPool(p, event)
	}
}

// start sends a task to its endpoint. When the connection breaks, before or after the request
// arrived, the pool's owner does not know whether the task started.
func (sim *simulation) start(p *poolOwner, s poolstate.Start) {
	replied := func(r port.TaskReply) {
		sim.stepPoolIfCurrent(p, poolstate.Replied{Task: s.Task, Attempt: s.Attempt, Reply: r})
	}
	unknown := func() { replied(port.TaskReply{State: port.TaskUnknown}) }
	e := p.endpointAt(s.Address)
	sim.send(message{name: "start", onDrop: unknown, deliver: func() {
		e.start(sim, s.Task, s.Attempt, func(r port.TaskReply) {
			sim.send(message{name: "answer", onDrop: unknown, deliver: func() { replied(r) }})
		})
	}})
}

// revoke sends a revocation to an endpoint.
func (sim *simulation) revoke(p *poolOwner, r poolstate.Revoke) {
	replied := func(reply port.RevokeReply) {
		sim.stepPoolIfCurrent(p, poolstate.RevokeReplied{Task: r.Task, Attempt: r.Attempt, Reply: reply})
	}
	unknown := func() { replied(port.RevokeReply{State: port.TaskUnknown}) }
	e := p.endpointAt(r.Address)
	sim.send(message{name: "revoke", onDrop: unknown, deliver: func() {
		reply := e.revoke(r.Task, r.Stop)
		sim.send(message{name: "revoked", onDrop: unknown, deliver: func() { replied(reply) }})
	}})
}

func (p *poolOwner) endpointAt(address string) *endpoint {
	return p.endpoints[slices.IndexFunc(p.endpoints, func(e *endpoint) bool { return string(e.id) == address })]
}

// start runs a task that the endpoint does not know. A start that arrives twice, or after a revoke of
// the task, runs nothing; only after a revoke may the reply say not_run, since the task of a
// duplicate start may be running. An attempt that was refused once, or a lower one, never starts.
func (e *endpoint) start(sim *simulation, task model.TaskID, attempt int, reply func(port.TaskReply)) {
	switch state, known := e.state[task]; {
	case known && state == port.TaskRevoked:
		reply(port.TaskReply{State: port.TaskNotRun})
	case known:
		reply(port.TaskReply{State: port.TaskUnknown})
	case e.busy == e.slots || attempt <= e.highestRefused[task]:
		e.highestRefused[task] = max(attempt, e.highestRefused[task])
		reply(port.TaskReply{State: port.TaskNotRun})
	default:
		sim.executions[task]++
		e.state[task] = port.TaskRunning
		e.busy++
		e.replies[task] = reply
		e.running = append(e.running, task)
	}
}

// revoke keeps an unknown task from ever starting and, with stop, ends a running one.
func (e *endpoint) revoke(task model.TaskID, stop bool) port.RevokeReply {
	state, known := e.state[task]
	if !known {
		e.state[task] = port.TaskRevoked
		return port.RevokeReply{State: port.TaskRevoked}
	}
	if state == port.TaskRunning && stop {
		e.finish(task, port.TaskStopped)
	}
	return port.RevokeReply{State: e.state[task], Answer: []byte(task)}
}

// finish ends a running task and sends its reply.
func (e *endpoint) finish(task model.TaskID, state port.TaskState) {
	e.state[task] = state
	e.busy--
	e.running = slices.DeleteFunc(e.running, func(t model.TaskID) bool { return t == task })
	reply := port.TaskReply{State: port.TaskFailed}
	if state == port.TaskDone {
		reply = port.TaskReply{State: port.TaskDone, Answer: []byte(task)}
	}
	e.replies[task](reply)
	delete(e.replies, task)
}
