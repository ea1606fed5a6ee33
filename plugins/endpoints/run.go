package endpoints

import (
	"context"
	"time"

	"redwingpulley/kernel/event"
	"redwingpulley/kernel/model"
	"redwingpulley/kernel/port"
	"redwingpulley/kernel/wait"
	"redwingpulley/plugins/endpoints/ledger"
	"redwingpulley/plugins/endpoints/poolstate"
)

const (
	askPause  = 50 * time.Millisecond  // Before a batch whose reply did not come is asked for.
	lateReply = 100 * time.Millisecond // For a reply, after the deadline at which its batch ended.
	lostGrace = 200 * time.Millisecond // For the last replies of an owner that has just left.
)

// line is this member's side of the batches that it sends to one incarnation of an owner. Its
// numbers are never used twice, so lines are kept.
type line struct {
	outbox ledger.Outbox
	alive  context.Context // Ends when the owner is no longer thought alive.
	lose   context.CancelFunc
}

// sending is one batch on a line.
type sending struct {
	owner    port.Node
	sequence uint64
	alive    context.Context
}

// Run has the pool's owner run the batch.
func (p *Pools) Run(ctx context.Context, owner model.NodeID, batch model.Batch) model.BatchResult {
	if ctx.Err() != nil {
		return model.RefusedBatch(batch.ID, model.ReasonCancelled)
	}
	if owner == p.membership.Self().ID {
		return p.runOwned(ctx, batch)
	}
	node, alive := p.member(owner)
	if !alive {
		return model.RefusedBatch(batch.ID, model.ReasonUnreachable)
	}
	return p.runAtOwner(ctx, node, batch)
}

func (p *Pools) runOwned(ctx context.Context, batch model.Batch) model.BatchResult {
	w := newWaiter()
	p.submit(batch, w)
	stop := context.AfterFunc(ctx, func() { p.step(batch.Pool, poolstate.Cancelled{Batch: batch.ID}) })
	defer stop()
	select {
	case <-w.ended:
		return w.result
	case <-p.life.Done():
		return unknownResult(batch, model.ReasonOwnerLost)
	}
}

// runAtOwner sends the batch once. While no reply comes it asks for the batch over new connections,
// until the deadline or until the owner is no longer thought alive.
func (p *Pools) runAtOwner(ctx context.Context, node port.Node, batch model.Batch) model.BatchResult {
	s := p.open(node)
	defer p.close(s)
	live, cancel := context.WithDeadline(s.alive, batch.Deadline.Add(lateReply))
	defer cancel()
	stop := context.AfterFunc(ctx, func() { p.cancelAt(live, s, batch) })
	defer stop()

	p.noteSent(batch.Pool, len(batch.Tasks))
	var reply runReply
	begun := time.Now()
	delivery := p.peers.Call(live, node.ID, methodRun, encodeBatch(p.envelope(s), batch), &reply)
	if delivery == port.NotSent {
		if live.Err() == nil {
			p.lostContact(node.ID)
		}
		return model.RefusedBatch(batch.ID, model.ReasonUnreachable)
	}
	if delivery != port.Delivered {
		event.BatchUnanswered.Log(p.log, event.Text(event.Job, batch.ID.Job), event.Text(event.JobKey, batch.Key),
			event.Count(event.Part, batch.ID.Part), event.Text(event.Pool, batch.Pool.String()),
			event.Text(event.Owner, node.ID), event.MS(event.TookMS, time.Since(begun)))
	}
	for delivery != port.Delivered {
		p.meters.wasted.Inc(1)
		if live.Err() == nil {
			p.lostContact(node.ID)
		}
		if _, alive := p.member(node.ID); !alive || !wait.For(live, askPause) {
			return unknownResult(batch, model.ReasonOwnerLost)
		}
		fresh := port.FreshConnection(live, begun)
		begun = time.Now()
		delivery = p.peers.Call(fresh, node.ID, methodResume, askRequest{p.envelope(s), batch.ID, batch.Pool}, &reply)
	}
	return p.received(batch, reply)
}

func (p *Pools) received(batch model.Batch, reply runReply) model.BatchResult {
	if reply.Lost {
		return unknownResult(batch, model.ReasonOwnerLost)
	}
	if reply.Refused {
		p.meters.wasted.Inc(2) // The request and the reply.
	}
	if reply.Load.Owner != "" {
		p.learnLoad(reply.Load)
	}
	return decodeResult(batch.ID, reply)
}

func (p *Pools) cancelAt(ctx context.Context, s sending, batch model.Batch) {
	var ignored empty
	p.peers.Call(ctx, s.owner.ID, methodCancel, askRequest{p.envelope(s), batch.ID, batch.Pool}, &ignored)
}

// unknownResult says of every task that it may have run.
func unknownResult(batch model.Batch, reason model.Reason) model.BatchResult {
	result := model.BatchResult{ID: batch.ID}
	for _, task := range batch.Tasks {
		result.Results = append(result.Results, model.TaskResult{Index: task.Index, Run: model.MayHaveRun, Reason: reason})
	}
	return result
}

// member returns the incarnation of the node that is thought alive.
func (p *Pools) member(id model.NodeID) (port.Node, bool) {
	for _, node := range p.membership.Alive() {
		if node.ID == id {
			return node, true
		}
	}
	return port.Node{}, false
}

// open takes a number for a batch to node.
func (p *Pools) open(node port.Node) sending {
	s := sending{owner: node}
	key := originKey{node.ID, node.Incarnation}
	p.lines.Do(key, func(lines map[originKey]*line) {
		l, ok := lines[key]
		if !ok {
			l = &line{}
			l.alive, l.lose = context.WithCancel(p.life)
			lines[key] = l
		}
		s.sequence, s.alive = l.outbox.Open(), l.alive
	})
	return s
}

func (p *Pools) close(s sending) {
	key := originKey{s.owner.ID, s.owner.Incarnation}
	p.lines.Do(key, func(lines map[originKey]*line) { lines[key].outbox.Close(s.sequence) })
}

func (p *Pools) envelope(s sending) envelope {
	e := envelope{Origin: p.membership.Self().Incarnation, Target: s.owner.Incarnation, Sequence: s.sequence}
	key := originKey{s.owner.ID, s.owner.Incarnation}
	p.lines.Do(key, func(lines map[originKey]*line) { e.Settled = lines[key].outbox.Settled() })
	return e
}

// watchMembers ends the waits for owners that are no longer thought alive, or that restarted.
func (p *Pools) watchMembers() {
	for {
		changed := p.membership.Changed()
		p.dropLost()
		select {
		case <-changed:
		case <-p.life.Done():
			return
		}
	}
}

func (p *Pools) dropLost() {
	alive := make(map[originKey]bool)
	for _, node := range p.membership.Alive() {
		alive[originKey{node.ID, node.Incarnation}] = true
	}
	var lost []context.CancelFunc
	p.lines.Each(func(lines map[originKey]*line) {
		for key, l := range lines {
			if !alive[key] {
				if l.outbox.Empty() {
					continue
				}
				lost = append(lost, l.lose)
				l.alive, l.lose = context.WithCancel(p.life)
			}
		}
	})
	for _, lose := range lost {
		time.AfterFunc(lostGrace, lose)
	}
}
