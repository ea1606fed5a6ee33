package leases

import (
	"context"
	"time"

	"redwingpulley/kernel/event"
	"redwingpulley/kernel/model"
	"redwingpulley/kernel/port"
	"redwingpulley/plugins/leases/lease"
)

// Methods of requests between members.
const (
	methodClaim = "leases/claim"
	methodEnded = "leases/ended"
)

// claimTimeout is how long a member may take to answer which runs it waits for. Forwarded ends have the
// same timeout.
const claimTimeout = 150 * time.Millisecond

// claimRequest asks which of the runs at an endpoint a member waits for.
type claimRequest struct {
	Endpoint model.EndpointID `json:"endpoint"`
	Runs     []runMessage     `json:"runs"`
}

// claimReply lists the runs that the member waits for.
type claimReply struct {
	Runs []runMessage `json:"runs,omitempty"`
}

// endsMessage forwards the ends of runs that the sender does not wait for.
type endsMessage struct {
	Endpoint model.EndpointID `json:"endpoint"`
	Ends     []endMessage     `json:"ends"`
}

// runMessage is a port.TaskRun in messages.
type runMessage struct {
	Key     string `json:"key"`
	Index   int    `json:"index"`
	Attempt int    `json:"attempt"`
}

// endMessage is a port.RunEnd in messages; its number is left out.
type endMessage struct {
	Run runMessage     `json:"run"`
	How port.TaskState `json:"how"`
}

type emptyReply struct{}

func (l *Leases) registerHandlers() {
	port.Handle(l.peers, methodClaim, l.handleClaim)
	port.Handle(l.peers, methodEnded, l.handleForwardedEnds)
}

// handleClaim returns those of the requested runs that this member waits for.
func (l *Leases) handleClaim(_ context.Context, _ model.NodeID, c claimRequest) (reply claimReply) {
	for _, run := range c.Runs {
		if l.pending(c.Endpoint, port.TaskRun(run)) {
			reply.Runs = append(reply.Runs, run)
		}
	}
	return reply
}

// handleForwardedEnds applies the ends of runs that this member waits for.
func (l *Leases) handleForwardedEnds(_ context.Context, _ model.NodeID, e endsMessage) emptyReply {
	for _, end := range e.Ends {
		run := port.TaskRun(end.Run)
		if l.pending(e.Endpoint, run) {
			l.step(port.EndpointIncarnation{ID: e.Endpoint}, lease.EndForwarded{End: port.RunEnd{Run: run, How: end.How}})
		}
	}
	return emptyReply{}
}

// otherMembers returns the ids of the other live members.
func (l *Leases) otherMembers() (otherMembers []model.NodeID) {
	self := l.membership.Self().ID
	for _, n := range l.membership.Alive() {
		if n.ID != self {
			otherMembers = append(otherMembers, n.ID)
		}
	}
	return otherMembers
}

// queryClaims asks the other live members which of the runs at the endpoint they wait for, and applies
// their replies.
func (l *Leases) queryClaims(at port.EndpointIncarnation, runs []port.TaskRun) {
	ctx, cancel := context.WithTimeout(l.baseCtx, claimTimeout)
	defer cancel()
	request := claimRequest{Endpoint: at.ID}
	for _, run := range runs {
		request.Runs = append(request.Runs, runMessage(run))
	}
	otherMembers := l.otherMembers()
	replies := make(chan claimReply, len(otherMembers))
	for _, node := range otherMembers {
		go func() {
			var reply claimReply
			l.peers.Call(ctx, node, methodClaim, request, &reply) // A member that does not reply in time claims no run.
			replies <- reply
		}()
	}
	claimed := lease.Claimed{Queried: runs}
	for range otherMembers {
		for _, run := range (<-replies).Runs {
			claimed.Claimed = append(claimed.Claimed, port.TaskRun(run))
		}
	}
	event.RunsAsked.Log(l.log, event.Text(event.Endpoint, at.ID), event.Int(event.Runs, len(runs)), event.Int(event.Claimed, len(claimed.Claimed)))
	l.step(at, claimed)
}

// forwardEnds sends the ends of runs that this member does not wait for to the other members, one of
// which may.
func (l *Leases) forwardEnds(endpoint model.EndpointID, ends []port.RunEnd) {
	message := endsMessage{Endpoint: endpoint}
	for _, end := range ends {
		message.Ends = append(message.Ends, endMessage{runMessage(end.Run), end.How})
	}
	for _, node := range l.otherMembers() {
		go func() {
			ctx, cancel := context.WithTimeout(l.baseCtx, claimTimeout)
			defer cancel()
			var ignored emptyReply
			if l.peers.Call(ctx, node, methodEnded, message, &ignored) != port.Delivered {
				event.EndsNotPassedOn.Log(l.log, event.Text(event.Endpoint, endpoint), event.Text(event.Member, node), event.Int(event.Ends, len(message.Ends)))
			}
		}()
	}
}

// evictIdle periodically removes the state of endpoints that are idle and have had no event for
// idleRetention.
func (l *Leases) evictIdle() {
	ticker := time.NewTicker(idleRetention)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-l.baseCtx.Done():
			return
		}
		l.sessions.Each(func(sessions map[model.EndpointID]*session) {
			for id, s := range sessions {
				if s.machine.Idle() && time.Since(s.lastUsed) > idleRetention {
					delete(sessions, id)
				}
			}
		})
	}
}
