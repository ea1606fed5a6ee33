package quota

import (
	"cmp"
	"context"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"redwingpulley/kernel/model"
	"redwingpulley/kernel/port"
	"redwingpulley/plugins/quota/share"
)

// Methods of requests between members.
const (
	methodBorrow = "quota/borrow"
	methodLend   = "quota/lend"
)

const (
	noTimer          = time.Duration(math.MaxInt64) // No timer is armed.
	minRoundInterval = 50 * time.Millisecond        // Shortest time between two rounds of requests.
)

// borrowRequest asks a coordinator for grants; the reply lists them in the same order.
type borrowRequest struct {
	Incarnation model.Incarnation `json:"i"`
	Requests    []grantRequest    `json:"w"`
}

// grantRequest asks for a fraction of one quota.
type grantRequest struct {
	quotaKey
	Fraction float64 `json:"f"`
}

// borrowReply has no grants when the coordinator's view of the membership is stale.
type borrowReply struct {
	Incarnation model.Incarnation `json:"i"`
	Grants      []grant           `json:"g"`
}

// grant is a fraction that was granted, and the delay after which to request again.
type grant struct {
	Fraction       float64 `json:"f"`
	RequestAgainMS int64   `json:"a"`
}

// lendRequest asks a member for loans; the reply lists them in the same order.
type lendRequest struct {
	Incarnation model.Incarnation `json:"i"`
	Keys        []quotaKey        `json:"k"`
}

// lendReply lists the fractions that the member lends.
type lendReply struct {
	Incarnation model.Incarnation `json:"i"`
	Loans       []float64         `json:"l"`
}

// requestDueGrants requests grants for all quotas for which a request is due, and returns the delay until
// the next is due.
func (q *Quotas) requestDueGrants() (next time.Duration) {
	now := time.Now()
	next = noTimer
	requests := make(map[model.NodeID][]grantRequest)
	q.members.Each(func(members map[quotaKey]*share.Member) {
		for k, m := range members {
			at, ok := m.NextTimer()
			if !ok {
				continue
			}
			if at.After(now) {
				next = min(next, at.Sub(now))
				continue
			}
			if fraction := m.Step(now, share.BorrowDue{}).BorrowFraction; fraction > 0 {
				coordinator := q.coordinatorOf(k)
				requests[coordinator] = append(requests[coordinator], grantRequest{k, fraction})
				next = min(next, share.GrantDuration/2)
			}
		}
	})
	for coordinator, due := range requests {
		go q.requestGrants(coordinator, due)
	}
	return next
}

// requestGrants sends a coordinator this member's requests and applies its grants.
func (q *Quotas) requestGrants(coordinator model.NodeID, requests []grantRequest) {
	requestedAt := time.Now()
	request := borrowRequest{q.self().Incarnation, requests}
	var reply borrowReply
	if coordinator == q.self().Node {
		reply = q.handleBorrow(q.baseCtx, coordinator, request)
	} else if !q.call(coordinator, methodBorrow, request, &reply) {
		q.liveness.RequestProbe(coordinator)
		return
	}
	coordinatorID := share.MemberID{Node: coordinator, Incarnation: reply.Incarnation}
	for i, g := range reply.Grants[:min(len(reply.Grants), len(requests))] {
		q.withMember(requests[i].quotaKey, func(m *share.Member) {
			m.Step(time.Now(), share.Granted{
				Coordinator: coordinatorID, Fraction: g.Fraction, Until: requestedAt.Add(share.UsableDuration(share.GrantDuration)),
				RequestAgainAfter: time.Duration(g.RequestAgainMS) * time.Millisecond,
			})
		})
	}
	q.wake()
}

// call sends a request to another member; it returns whether the reply has arrived.
func (q *Quotas) call(to model.NodeID, method string, request, reply any) bool {
	ctx, cancel := context.WithTimeout(q.baseCtx, callTimeout)
	defer cancel()
	q.messages.Inc(2) // The request and the reply.
	return q.peers.Call(ctx, to, method, request, reply) == port.Delivered
}

// handleBorrow handles a borrowRequest as the coordinator. A coordinator whose view of the membership is
// stale grants nothing.
func (q *Quotas) handleBorrow(_ context.Context, from model.NodeID, r borrowRequest) borrowReply {
	reply := borrowReply{Incarnation: q.self().Incarnation}
	if !q.liveness.Fresh() {
		return reply
	}
	borrower := share.MemberID{Node: from, Incarnation: r.Incarnation}
	for _, request := range r.Requests {
		var fx share.CoordinatorEffects
		q.withCoordinator(request.quotaKey, func(c *share.Coordinator) {
			fx = c.Step(time.Now(), share.BorrowRequested{Borrower: borrower, Fraction: min(max(request.Fraction, 0), 1)})
		})
		reply.Grants = append(reply.Grants, grant{fx.Fraction, fx.RequestAgainAfter.Milliseconds()})
	}
	q.wake()
	return reply
}

// requestDueLoans asks members for loans for all quotas for which a poll is due, and returns the delay
// until the next is due.
func (q *Quotas) requestDueLoans() (next time.Duration) {
	now := time.Now()
	next = noTimer
	var keys []quotaKey
	lenders := make(map[model.NodeID]bool)
	q.coordinators.Each(func(coordinators map[quotaKey]*share.Coordinator) {
		for k, c := range coordinators {
			at, ok := c.NextTimer()
			if ok && at.After(now) {
				next = min(next, at.Sub(now))
			}
			if !ok || at.After(now) || !c.Step(now, share.Poll{}).Poll {
				continue
			}
			keys = append(keys, k)
			for _, lender := range c.Lenders() {
				lenders[lender.Node] = true
			}
			at, _ = c.NextTimer()
			next = min(next, at.Sub(now))
		}
	})
	if len(keys) > 0 {
		for _, node := range q.pickLenders(lenders) {
			go q.requestLoans(node, keys)
		}
	}
	return next
}

// pickLenders picks the members to ask for loans: first those that already lend, then others at random.
func (q *Quotas) pickLenders(lenders map[model.NodeID]bool) []model.NodeID {
	var members []model.NodeID
	for _, n := range q.membership.Alive() {
		members = append(members, n.ID)
	}
	rand.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	slices.SortStableFunc(members, func(a, b model.NodeID) int { return cmp.Compare(rank(lenders[a]), rank(lenders[b])) })
	return members[:min(len(members), maxPolledMembers)]
}

// rank orders members that already lend before the others.
func rank(lends bool) int {
	if lends {
		return 0
	}
	return 1
}

// requestLoans asks a member for loans and applies them.
func (q *Quotas) requestLoans(node model.NodeID, keys []quotaKey) {
	requestedAt := time.Now()
	request := lendRequest{q.self().Incarnation, keys}
	var reply lendReply
	if node == q.self().Node {
		reply = q.handleLend(q.baseCtx, node, request)
	} else if !q.call(node, methodLend, request, &reply) {
		return
	}
	lender := share.MemberID{Node: node, Incarnation: reply.Incarnation}
	for i, fraction := range reply.Loans[:min(len(reply.Loans), len(keys))] {
		q.withCoordinator(keys[i], func(c *share.Coordinator) {
			c.Step(time.Now(), share.Loan{Lender: lender, Fraction: fraction, RequestedAt: requestedAt})
		})
	}
}

// handleLend handles a lendRequest: it lends what this VM does not need.
func (q *Quotas) handleLend(_ context.Context, from model.NodeID, r lendRequest) lendReply {
	reply := lendReply{Incarnation: q.self().Incarnation}
	coordinator := share.MemberID{Node: from, Incarnation: r.Incarnation}
	for _, k := range r.Keys {
		var fx share.MemberEffects
		q.withMember(k, func(m *share.Member) { fx = m.Step(time.Now(), share.LoanRequested{Coordinator: coordinator}) })
		reply.Loans = append(reply.Loans, fx.Loan)
	}
	return reply
}
