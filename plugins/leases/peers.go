package leases

import (
	"context"
	"slices"
	"time"

	"redwingpulley/kernel/event"
	"redwingpulley/kernel/model"
	"redwingpulley/kernel/port"
	"redwingpulley/kernel/wait"
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

const (
	// claimantAttempts is how often ends are sent to the member that has claimed their runs. It waits for them for as long as a claim and a
	// lease last, 1.32 s.
	claimantAttempts = 8
	claimantPause    = 25 * time.Millisecond // Pause between two attempts.
)

// claimRequest asks which of the runs at an endpoint a member waits for.
type claimRequest struct {
	Endpoint model.EndpointID `json:"endpoint"`
	Token    uint64           `json:"token"` // Fencing token under which the sender holds the lease.
	Runs     []runMessage     `json:"runs"`
	// LateExtensionsMS is how long orders of the sender to which no answer came may still extend the lease, in milliseconds.
	LateExtensionsMS int64 `json:"late_extensions_ms,omitempty"`
}

// claimReply lists the runs that the member waits for: those that are to continue, and those that are to be stopped.
type claimReply struct {
	Runs []runMessage `json:"runs,omitempty"`
	Stop []runMessage `json:"stop,omitempty"`
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

// handleClaim returns those of the requested runs that this member waits for. The sender holds their lease from now on.
func (l *Leases) handleClaim(_ context.Context, _ model.NodeID, c claimRequest) claimReply {
	claimed := l.pendingRuns(c.Endpoint, c.Runs)
	if len(claimed) == 0 {
		return claimReply{}
	}
	l.step(port.EndpointIncarnation{ID: c.Endpoint}, lease.TakenOver{Token: c.Token, Running: claimed, LateExtensionsFor: c.lateExtensionsFor()})
	return l.claimsTo(c.Endpoint, claimed)
}

// lateExtensionsFor returns how long late orders of the sender may extend the lease: no longer than orders can be late.
func (c claimRequest) lateExtensionsFor() time.Duration {
	late := min(max(c.LateExtensionsMS, 0), lease.MaxOrderDelay.Milliseconds())
	return time.Duration(late) * time.Millisecond
}

// claimsTo returns the claims of this member to the given runs, some of which may have finished.
func (l *Leases) claimsTo(endpoint model.EndpointID, runs []port.TaskRun) (reply claimReply) {
	l.withKnownSession(endpoint, func(s *session) {
		for _, run := range runs {
			switch {
			case s.machine.Wanted(run):
				reply.Runs = append(reply.Runs, runMessage(run))
			case s.machine.Pending(run):
				reply.Stop = append(reply.Stop, runMessage(run))
			}
		}
	})
	return reply
}

// pendingRuns returns those of the runs that were requested by this member and have not finished.
func (l *Leases) pendingRuns(endpoint model.EndpointID, runs []runMessage) (pending []port.TaskRun) {
	for _, run := range runs {
		if l.pending(endpoint, port.TaskRun(run)) {
			pending = append(pending, port.TaskRun(run))
		}
	}
	return pending
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

// otherMembers returns the ids of the other live members: those of a data centre, and the others. The former mostly are the only ones that
// have ordered runs at its endpoints; the latter may have while no member there could own a pool.
func (l *Leases) otherMembers(dataCentre model.DataCentre) (there, elsewhere []model.NodeID) {
	self := l.membership.Self().ID
	for _, n := range l.membership.Alive() {
		switch {
		case n.ID == self:
		case n.DataCentre == dataCentre:
			there = append(there, n.ID)
		default:
			elsewhere = append(elsewhere, n.ID)
		}
	}
	return there, elsewhere
}

// queryClaims asks members which of the runs at the endpoint they wait for, and applies their replies once all have
// replied or each run is claimed. Members of other data centres are asked for the runs that none of the endpoint's own has claimed.
func (l *Leases) queryClaims(at port.EndpointIncarnation, query lease.ClaimQuery) {
	request := claimRequest{Endpoint: at.ID, Token: query.Token, LateExtensionsMS: query.LateExtensionsFor.Milliseconds()}
	for _, run := range query.Runs {
		request.Runs = append(request.Runs, runMessage(run))
	}
	members, elsewhere := query.Members, []model.NodeID(nil)
	if len(members) == 0 {
		members, elsewhere = l.otherMembers(at.DataCentre)
	}
	claims := l.collectClaims(members, request)
	if len(claims) < len(request.Runs) {
		claims = append(claims, l.collectClaims(elsewhere, request)...)
	}
	if renewed := len(query.Members) > 0 && len(claims) == len(query.Runs); !renewed {
		event.RunsAsked.Log(l.log, event.Text(event.Endpoint, at.ID), event.Int(event.Runs, len(query.Runs)), event.Int(event.Claimed, len(claims)))
	}
	l.step(at, lease.Claimed{Queried: query.Runs, Claims: claims})
}

// collectClaims asks members for claims at the same time, until all have replied or there are as many claims as runs.
func (l *Leases) collectClaims(members []model.NodeID, request claimRequest) (claims []lease.Claim) {
	ctx, cancel := context.WithTimeout(l.baseCtx, claimTimeout)
	defer cancel()
	replies := make(chan []lease.Claim, len(members))
	for _, node := range members {
		go func() { replies <- l.queryClaimsOf(ctx, node, request) }()
	}
	for range members {
		claims = append(claims, <-replies...)
		if len(claims) >= len(request.Runs) {
			break
		}
	}
	return claims
}

// queryClaimsOf asks one member which of the runs it waits for. A member that does not reply in time
// claims none.
func (l *Leases) queryClaimsOf(ctx context.Context, node model.NodeID, request claimRequest) (claims []lease.Claim) {
	var reply claimReply
	l.peers.Call(ctx, node, methodClaim, request, &reply)
	for _, run := range reply.Runs {
		claims = append(claims, lease.Claim{Run: port.TaskRun(run), Member: node})
	}
	for _, run := range reply.Stop {
		claims = append(claims, lease.Claim{Run: port.TaskRun(run), Member: node, Stop: true})
	}
	return claims
}

// forwardEnds sends the ends of runs that this member does not wait for to the members that have claimed
// them. Those that nobody has claimed, and those whose claimant cannot be reached, go to all other members: each may have ordered the runs.
func (l *Leases) forwardEnds(at port.EndpointIncarnation, ends []lease.ForwardedEnd) {
	byMember := make(map[model.NodeID]*endsMessage)
	for _, end := range ends {
		if byMember[end.To] == nil {
			byMember[end.To] = &endsMessage{Endpoint: at.ID}
		}
		message := byMember[end.To]
		message.Ends = append(message.Ends, endMessage{runMessage(end.End.Run), end.End.How})
	}
	for member, message := range byMember {
		if member == "" {
			l.forwardToAll(*message)
			continue
		}
		go func() {
			if !l.forwardToClaimant(member, *message) {
				l.forwardToAll(*message)
			}
		}()
	}
}

// forwardToClaimant sends ends of runs to the member that has claimed them, and repeats this while that one may still wait for them: a busy
// member answers late. It reports whether the member has acknowledged them.
func (l *Leases) forwardToClaimant(member model.NodeID, message endsMessage) bool {
	for range claimantAttempts {
		if l.forwardTo(member, message) {
			return true
		}
		if !l.isAlive(member) || !wait.For(l.baseCtx, claimantPause) {
			return false
		}
	}
	return false
}

// isAlive reports whether a member is in the current view.
func (l *Leases) isAlive(member model.NodeID) bool {
	return slices.ContainsFunc(l.membership.Alive(), func(n port.Node) bool { return n.ID == member })
}

func (l *Leases) forwardToAll(message endsMessage) {
	for _, n := range l.membership.Alive() {
		if n.ID != l.membership.Self().ID {
			go l.forwardTo(n.ID, message)
		}
	}
}

// forwardTo sends ends of runs to a member and reports whether it has acknowledged them.
func (l *Leases) forwardTo(node model.NodeID, message endsMessage) bool {
	ctx, cancel := context.WithTimeout(l.baseCtx, claimTimeout)
	defer cancel()
	var ignored emptyReply
	if l.peers.Call(ctx, node, methodEnded, message, &ignored) == port.Delivered {
		return true
	}
	event.EndsNotPassedOn.Log(l.log, event.Text(event.Endpoint, message.Endpoint), event.Text(event.Member, node), event.Int(event.Ends, len(message.Ends)))
	return false
}
