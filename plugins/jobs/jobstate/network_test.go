package jobstate_test

import (
	"slices"

	"redwingpulley/kernel/model"
	"redwingpulley/kernel/port"
	"redwingpulley/plugins/endpoints/ledger"
	"redwingpulley/plugins/endpoints/poolstate"
	"redwingpulley/plugins/jobs/jobstate"
)

// send posts a batch to its pool's owner.
func (w *world) send(s jobstate.Send) {
	line := lineKey{s.Owner, w.owners[s.Owner].incarnation}
	o := w.origin
	if o.lines[line] == nil {
		o.lines[line] = &ledger.Outbox{}
	}
	b := &sent{line: line, sequence: o.lines[line].Open(), batch: s.Batch}
	o.open[s.Batch.ID] = b
	settled, remaining := o.lines[line].Settled(), s.Batch.Deadline.Sub(w.now)
	w.post(message{name: "run", lost: func() { b.asks = true }, deliver: func() {
		batch := s.Batch
		batch.Deadline = w.now.Add(remaining) // The time that is left travels.
		w.arrived(o, b, settled, batch)
	}})
}

// arrived is a run request at a pool's owner.
func (w *world) arrived(o *jobOwner, b *sent, settled uint64, batch model.Batch) {
	p := w.owners[b.line.owner]
	if p.incarnation != b.line.incarnation {
		w.reply(o, b, lostResult(batch))
		return
	}
	verdict := p.receive(w, o, ledger.Arrived{Sequence: b.sequence, Settled: settled})
	if verdict == ledger.Start {
		p.results[batch.ID] = &pending{origin: o.incarnation, sequence: b.sequence}
		w.stepPool(p, poolstate.Submitted{Batch: batch, Profile: model.BuiltInProfile()})
	}
	w.answer(p, o, b, verdict)
}

// ask posts a question for a batch, as after a reply that did not come.
func (w *world) ask(b *sent) {
	o, settled := w.origin, w.origin.lines[b.line].Settled()
	w.post(message{name: "resume", deliver: func() { w.asked(o, b, settled, false) }})
}

func (w *world) cancel(id model.BatchID) {
	b, open := w.origin.open[id]
	if !open {
		return
	}
	o, settled := w.origin, w.origin.lines[b.line].Settled()
	w.post(message{name: "cancel", deliver: func() { w.asked(o, b, settled, true) }})
}

// asked is a question for a batch, or its cancellation, at a pool's owner.
func (w *world) asked(o *jobOwner, b *sent, settled uint64, cancel bool) {
	p := w.owners[b.line.owner]
	if p.incarnation != b.line.incarnation {
		w.reply(o, b, lostResult(b.batch))
		return
	}
	verdict := p.receive(w, o, ledger.Asked{Sequence: b.sequence, Settled: settled})
	if cancel && verdict == ledger.Join {
		w.stepPool(p, poolstate.Cancelled{Batch: b.batch.ID})
	}
	w.answer(p, o, b, verdict)
}

func (p *poolOwner) receive(w *world, o *jobOwner, event ledger.Event) ledger.Verdict {
	l := p.ledgers[o.incarnation]
	if l == nil {
		l = &ledger.Ledger{}
		p.ledgers[o.incarnation] = l
	}
	return l.Step(w.now, event).Verdict
}

// answer replies by the ledger's verdict, at once or when the batch ends.
func (w *world) answer(p *poolOwner, o *jobOwner, b *sent, verdict ledger.Verdict) {
	switch verdict {
	case ledger.Refuse:
		w.reply(o, b, model.RefusedBatch(b.batch.ID, model.ReasonUnreachable))
	case ledger.Lost:
		w.reply(o, b, lostResult(b.batch))
	default:
		pending := p.results[b.batch.ID]
		if pending.result != nil {
			w.reply(o, b, *pending.result)
			return
		}
		pending.waiting = append(pending.waiting, func(r model.BatchResult) { w.reply(o, b, r) })
	}
}

func lostResult(batch model.Batch) model.BatchResult {
	result := model.BatchResult{ID: batch.ID}
	for _, task := range batch.Tasks {
		result.Results = append(result.Results, model.TaskResult{Index: task.Index, Run: model.MayHaveRun, Reason: model.ReasonOwnerLost})
	}
	return result
}

// reply posts a batch's result; the job owner takes the first that comes.
func (w *world) reply(o *jobOwner, b *sent, result model.BatchResult) {
	w.post(message{name: "result", lost: func() { b.asks = true }, deliver: func() { w.settle(o, b, result) }})
}

// settle ends the wait for a batch.
func (w *world) settle(o *jobOwner, b *sent, result model.BatchResult) {
	if o != w.origin || o.open[b.batch.ID] != b {
		return
	}
	delete(o.open, b.batch.ID)
	o.lines[b.line].Close(b.sequence)
	w.stepJob(b.batch.ID.Job, jobstate.BatchEnded{Result: result})
}

// giveUp is what Membership causes when it takes a pool's owner for gone.
func (w *world) giveUp(b *sent) { w.settle(w.origin, b, lostResult(b.batch)) }

// stepPool applies an event to a pool and posts what it causes.
func (w *world) stepPool(p *poolOwner, event poolstate.Event) {
	var fx poolstate.Effects
	p.machine.Step(w.now, event, &fx)
	for _, result := range fx.Ended {
		w.batchEnded(p, result)
	}
	for _, s := range fx.Starts {
		w.start(p, s)
	}
	for _, r := range fx.Revokes {
		w.revoke(p, r)
	}
}

func (w *world) batchEnded(p *poolOwner, result model.BatchResult) {
	pending := p.results[result.ID]
	pending.result = &result
	p.ledgers[pending.origin].Step(w.now, ledger.Ended{Sequence: pending.sequence})
	for _, reply := range pending.waiting {
		reply(result)
	}
	pending.waiting = nil
}

// ifAlive applies an event to the incarnation that caused it, unless it is gone.
func (w *world) ifAlive(p *poolOwner, event poolstate.Event) {
	if w.owners[p.node] == p {
		w.stepPool(p, event)
	}
}

// start posts a task to its endpoint. When its connection breaks, before or after the endpoint got
// it, the pool's owner knows nothing.
func (w *world) start(p *poolOwner, s poolstate.Start) {
	replied := func(r port.TaskReply) {
		w.ifAlive(p, poolstate.Replied{Task: s.Task, Attempt: s.Attempt, Reply: r})
	}
	unknown := func() { replied(port.TaskReply{State: port.TaskUnknown}) }
	e := p.endpointAt(s.Address)
	w.post(message{name: "start", lost: unknown, deliver: func() {
		e.start(w, s.Task, s.Attempt, func(r port.TaskReply) {
			w.post(message{name: "answer", lost: unknown, deliver: func() { replied(r) }})
		})
	}})
}

func (w *world) revoke(p *poolOwner, r poolstate.Revoke) {
	replied := func(reply port.RevokeReply) {
		w.ifAlive(p, poolstate.RevokeReplied{Task: r.Task, Attempt: r.Attempt, Reply: reply})
	}
	unknown := func() { replied(port.RevokeReply{State: port.TaskUnknown}) }
	e := p.endpointAt(r.Address)
	w.post(message{name: "revoke", lost: unknown, deliver: func() {
		reply := e.revoke(r.Task, r.Stop)
		w.post(message{name: "revoked", lost: unknown, deliver: func() { replied(reply) }})
	}})
}

func (p *poolOwner) endpointAt(address string) *endpoint {
	return p.endpoints[slices.IndexFunc(p.endpoints, func(e *endpoint) bool { return string(e.id) == address })]
}

// start runs a task that the endpoint does not know. A start that arrives twice, or behind a
// revoke, runs nothing; only the latter may say so, since the former's task may be running. Nor
// does an attempt start that was refused before.
func (e *endpoint) start(w *world, task model.TaskID, attempt int, answer func(port.TaskReply)) {
	switch state, known := e.state[task]; {
	case known && state == port.TaskRevoked:
		answer(port.TaskReply{State: port.TaskNotRun})
	case known:
		answer(port.TaskReply{State: port.TaskUnknown})
	case e.busy == e.slots || attempt <= e.refused[task]:
		e.refused[task] = max(attempt, e.refused[task])
		answer(port.TaskReply{State: port.TaskNotRun})
	default:
		w.executed[task]++
		e.state[task] = port.TaskRunning
		e.busy++
		e.answers[task] = answer
		e.running = append(e.running, task)
	}
}

func (e *endpoint) revoke(task model.TaskID, stop bool) port.RevokeReply {
	state, known := e.state[task]
	if !known {
		e.state[task] = port.TaskRevoked
		return port.RevokeReply{State: port.TaskRevoked}
	}
	if state == port.TaskRunning && stop {
		e.end(task, port.TaskStopped)
	}
	return port.RevokeReply{State: e.state[task], Answer: []byte(task)}
}

// end ends a running task and posts its answer.
func (e *endpoint) end(task model.TaskID, state port.TaskState) {
	e.state[task] = state
	e.busy--
	e.running = slices.DeleteFunc(e.running, func(t model.TaskID) bool { return t == task })
	reply := port.TaskReply{State: port.TaskFailed}
	if state == port.TaskDone {
		reply = port.TaskReply{State: port.TaskDone, Answer: []byte(task)}
	}
	e.answers[task](reply)
	delete(e.answers, task)
}
