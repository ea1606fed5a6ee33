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

// Methods between members.
const (
	methodBorrow = "quota/borrow"
	methodLend   = "quota/lend"
)

const (
	never    = time.Duration(math.MaxInt64)
	minPause = 50 * time.Millisecond // Between two rounds of messages.
)

// borrowRequest asks a holder for parts of quotas; the reply's grants are in the same order.
type borrowRequest struct {
	Incarnation model.Incarnation `json:"i"`
	Wants       []want            `json:"w"`
}

type want struct {
	key
	Fraction float64 `json:"f"`
}

type borrowReply struct {
	Incarnation model.Incarnation `json:"i"`
	Grants      []grant           `json:"g"`
}

type grant struct {
	Fraction float64 `json:"f"`
	AgainMS  int64   `json:"a"`
}

// lendRequest asks a member for loans; the reply's are in the same order.
type lendRequest struct {
	Incarnation model.Incarnation `json:"i"`
	Keys        []key             `json:"k"`
}

type lendReply struct {
	Incarnation model.Incarnation `json:"i"`
	Loans       []float64         `json:"l"`
}

// borrow asks the holders of all quotas for which it is due, and returns when it is due next.
func (q *Quotas) borrow() (next time.Duration) {
	now := time.Now()
	next = never
	wants := make(map[model.NodeID][]want)
	q.members.Each(func(members map[key]*share.Member) {
		for k, m := range members {
			at, ok := m.Wake()
			if !ok {
				continue
			}
			if at.After(now) {
				next = min(next, at.Sub(now))
				continue
			}
			if fraction := m.Step(now, share.Ask{}).Want; fraction > 0 {
				holder := q.holderOf(k)
				wants[holder] = append(wants[holder], want{k, fraction})
				next = min(next, share.GrantTime/2)
			}
		}
	})
	for holder, list := range wants {
		go q.borrowFrom(holder, list)
	}
	return next
}

func (q *Quotas) borrowFrom(holder model.NodeID, wants []want) {
	asked := time.Now()
	request := borrowRequest{q.self().Incarnation, wants}
	var reply borrowReply
	if holder == q.self().Node {
		reply = q.serveBorrow(q.life, holder, request)
	} else if !q.call(holder, methodBorrow, request, &reply) {
		q.liveness.Doubt(holder)
		return
	}
	run := share.Run{Node: holder, Incarnation: reply.Incarnation}
	for i, g := range reply.Grants[:min(len(reply.Grants), len(wants))] {
		q.withMember(wants[i].key, func(m *share.Member) {
			m.Step(time.Now(), share.Granted{
				Holder: run, Fraction: g.Fraction, Until: asked.Add(share.Usable(share.GrantTime)),
				Again: time.Duration(g.AgainMS) * time.Millisecond,
			})
		})
	}
	q.kick()
}

func (q *Quotas) call(to model.NodeID, method string, request, reply any) bool {
	ctx, cancel := context.WithTimeout(q.life, callTimeout)
	defer cancel()
	q.messages.Inc(2) // The request and the reply.
	return q.peers.Call(ctx, to, method, request, reply) == port.Delivered
}

// serveBorrow grants parts as a holder. A holder whose view is stale grants nothing.
func (q *Quotas) serveBorrow(_ context.Context, from model.NodeID, r borrowRequest) borrowReply {
	reply := borrowReply{Incarnation: q.self().Incarnation}
	if !q.liveness.Fresh() {
		return reply
	}
	borrower := share.Run{Node: from, Incarnation: r.Incarnation}
	for _, w := range r.Wants {
		var fx share.HolderEffects
		q.withHolder(w.key, func(h *share.Holder) {
			fx = h.Step(time.Now(), share.Wanted{Borrower: borrower, Fraction: min(max(w.Fraction, 0), 1)})
		})
		reply.Grants = append(reply.Grants, grant{fx.Fraction, fx.Again.Milliseconds()})
	}
	q.kick()
	return reply
}

// poll asks members for loans of all quotas for which it is due, and returns when it is due next.
func (q *Quotas) poll() (next time.Duration) {
	now := time.Now()
	next = never
	var keys []key
	lenders := make(map[model.NodeID]bool)
	q.holders.Each(func(holders map[key]*share.Holder) {
		for k, h := range holders {
			at, ok := h.Wake()
			if ok && at.After(now) {
				next = min(next, at.Sub(now))
			}
			if !ok || at.After(now) || !h.Step(now, share.Poll{}).Poll {
				continue
			}
			keys = append(keys, k)
			for _, run := range h.Lenders() {
				lenders[run.Node] = true
			}
			at, _ = h.Wake()
			next = min(next, at.Sub(now))
		}
	})
	if len(keys) > 0 {
		for _, node := range q.polled(lenders) {
			go q.pollFrom(node, keys)
		}
	}
	return next
}

// polled picks the members to ask: those that lend already, and others at random.
func (q *Quotas) polled(lenders map[model.NodeID]bool) []model.NodeID {
	var all []model.NodeID
	for _, n := range q.membership.Alive() {
		all = append(all, n.ID)
	}
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	slices.SortStableFunc(all, func(a, b model.NodeID) int { return cmp.Compare(rank(lenders[a]), rank(lenders[b])) })
	return all[:min(len(all), maxPolled)]
}

func rank(lends bool) int {
	if lends {
		return 0
	}
	return 1
}

func (q *Quotas) pollFrom(node model.NodeID, keys []key) {
	asked := time.Now()
	request := lendRequest{q.self().Incarnation, keys}
	var reply lendReply
	if node == q.self().Node {
		reply = q.serveLend(q.life, node, request)
	} else if !q.call(node, methodLend, request, &reply) {
		return
	}
	lender := share.Run{Node: node, Incarnation: reply.Incarnation}
	for i, fraction := range reply.Loans[:min(len(reply.Loans), len(keys))] {
		q.withHolder(keys[i], func(h *share.Holder) {
			h.Step(time.Now(), share.Lent{Lender: lender, Fraction: fraction, Asked: asked})
		})
	}
}

// serveLend lends what this VM does not need.
func (q *Quotas) serveLend(_ context.Context, from model.NodeID, r lendRequest) lendReply {
	reply := lendReply{Incarnation: q.self().Incarnation}
	holder := share.Run{Node: from, Incarnation: r.Incarnation}
	for _, k := range r.Keys {
		var fx share.MemberEffects
		q.withMember(k, func(m *share.Member) { fx = m.Step(time.Now(), share.LoanAsked{Holder: holder}) })
		reply.Loans = append(reply.Loans, fx.Lent)
	}
	return reply
}
