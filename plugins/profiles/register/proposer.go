package register

import (
	"maps"
	"slices"
	"time"

	"redwingpulley/kernel/model"
)

// proposal is the change that this replica tries to have agreed.
type proposal struct {
	Submitted
	ballot  Ballot
	phase   MessageKind // The votes that it waits for, Promise or Accepted; "" before a new ballot.
	votes   map[model.NodeID]Message
	until   time.Time // End of the round, or of the wait before a new ballot.
	lost    int       // Ballots that were lost.
	exposed bool      // Whether a value that holds the change was sent to be accepted.
	own     Message   // What this replica had accepted as the round began.
	value   State
	delta   *Delta // From the value of ballot base; nil when there is no difference.
	base    Ballot
	whole   bool // The value has to be sent whole.
	result  model.EditResult
}

func (p *proposal) wakeAt() time.Time {
	if p.Deadline.Before(p.until) {
		return p.Deadline
	}
	return p.until
}

func (m *Machine) submit(s Submitted) {
	if m.settled(s.Edit) {
		_, result := m.served.apply(s.Edit, m.now) // Makes no difference.
		m.do(Answer{s.Ticket, result})
		return
	}
	if !m.votes() {
		m.do(Answer{s.Ticket, m.unfinished(model.EditNotVoting, s.Edit)})
		return
	}
	if len(m.queue) >= queueLimit {
		m.do(Answer{s.Ticket, m.unfinished(model.EditBusy, s.Edit)})
		return
	}
	m.queue = append(m.queue, s)
	m.nextProposal()
}

// settled reports whether what is known to be agreed is enough to answer the change.
func (m *Machine) settled(c model.ProfileEdit) bool {
	switch c.Kind {
	case settle, model.ConfirmRevision:
		return false
	case model.DeclareRouting:
		return m.served.declared(c)
	}
	_, found := m.served.find(c.ID)
	return found || c.Expect < m.served.Revision()
}

func (m *Machine) expireQueue() {
	m.queue = slices.DeleteFunc(m.queue, func(s Submitted) bool {
		expired := !m.now.Before(s.Deadline)
		if expired {
			m.do(Answer{s.Ticket, m.unfinished(model.EditNoMajority, s.Edit)})
		}
		return expired
	})
}

// unfinished returns the answer to a change that was not tried now. An earlier sending of it may
// still take effect.
func (m *Machine) unfinished(status model.EditStatus, c model.ProfileEdit) model.EditResult {
	_, open := m.open[c.ID]
	_, accepted := m.durable.Value.find(c.ID)
	if open || accepted {
		return refused(status, model.MayHaveRun, m.served.Revision())
	}
	return refused(status, model.NotRun, m.served.Revision())
}

func (m *Machine) nextProposal() {
	if m.proposal != nil || len(m.queue) == 0 {
		return
	}
	m.proposal = &proposal{Submitted: m.queue[0]}
	m.queue = m.queue[1:]
	m.startRound()
}

// startRound asks the replicas to promise a new ballot.
func (m *Machine) startRound() {
	p := m.proposal
	m.highest++
	p.ballot = Ballot{m.highest, m.config.Self, m.config.Seed}
	p.phase = Promise
	p.votes = make(map[model.NodeID]Message)
	p.until = m.now.Add(roundTimeout)
	value := m.durable.Value
	p.own = Message{Accepted: m.durable.Accepted, Value: &value}
	for _, node := range m.config.Replicas {
		m.send(node, Message{Kind: Prepare, Ballot: p.ballot, Accepted: p.own.Accepted})
	}
}

func (m *Machine) wakeProposal() {
	p := m.proposal
	switch {
	case p == nil:
	case !m.now.Before(p.Deadline):
		m.giveUp()
	case m.now.Before(p.until):
	case p.phase == "":
		m.startRound()
	default:
		m.loseRound()
	}
}

// giveUp answers at the deadline. The change has certainly not run only when no value that holds it
// was sent.
func (m *Machine) giveUp() {
	p := m.proposal
	if p.exposed {
		m.open[p.Edit.ID] = p.Edit.Expect
	}
	m.finish(m.unfinished(model.EditNoMajority, p.Edit))
}

func (m *Machine) finish(result model.EditResult) {
	if m.proposal.Edit.Kind != settle {
		m.do(Answer{m.proposal.Ticket, result})
	}
	m.proposal = nil
	m.nextProposal()
}

// loseRound waits a random time before the next ballot, so that proposers do not go on to outbid
// one another.
func (m *Machine) loseRound() {
	p := m.proposal
	p.lost++
	p.phase = ""
	jitter := time.Duration(m.random.Int64N(int64(backoffUnit))) * time.Duration(min(p.lost, backoffLimit))
	p.until = m.now.Add(jitter)
}

// counted takes in a vote.
func (m *Machine) counted(from model.NodeID, message Message) {
	p := m.proposal
	if p == nil || p.phase == "" {
		return
	}
	switch {
	case message.Kind == Rejected:
		if p.ballot.Less(message.Ballot) {
			m.loseRound()
		}
		return
	case message.Kind == Need && message.Ballot == p.ballot && p.phase == Accepted:
		m.sendAccept(from, true)
		return
	}
	if message.Kind != p.phase || message.Ballot != p.ballot {
		return
	}
	p.votes[from] = message
	if m.valid(p.votes) < m.majority() {
		return
	}
	if p.phase == Promise {
		m.propose()
		return
	}
	m.chosen()
}

// valid counts the votes that come from the newest known store of their replica.
func (m *Machine) valid(votes map[model.NodeID]Message) int {
	count := 0
	for _, node := range m.config.Replicas {
		vote, ok := votes[node]
		if ok && vote.Store == m.durable.Fences[node] {
			count++
		}
	}
	return count
}

// propose applies the change to the state of the highest accepted ballot and asks the replicas to
// accept the result.
func (m *Machine) propose() {
	p := m.proposal
	var base State
	base, p.base, p.whole = m.base(p.votes)
	p.delta, p.result = base.apply(p.Edit, m.now)
	p.value = base
	if p.delta != nil {
		p.value = base.with(*p.delta)
	}
	p.exposed = p.exposed || p.result.Status == model.EditDone && p.Edit.Kind != settle && p.Edit.Kind != model.ConfirmRevision
	p.phase = Accepted
	p.votes = make(map[model.NodeID]Message)
	p.until = m.now.Add(roundTimeout)
	for _, node := range m.config.Replicas {
		m.sendAccept(node, p.whole)
	}
}

// sendAccept asks a replica to accept the value, sent whole or as a difference.
func (m *Machine) sendAccept(to model.NodeID, whole bool) {
	p := m.proposal
	message := Message{
		Kind: Accept, Ballot: p.ballot, Base: p.base, Delta: p.delta,
		Fences: maps.Clone(m.durable.Fences), Seen: maps.Clone(m.durable.Seen),
	}
	if whole {
		value := p.value
		message.Value, message.Delta = &value, nil
	}
	m.send(to, message)
}

// base returns the state of the highest ballot among the promises, and the ballot. A newer agreed
// state can only be known here after more disks were lost than the register can bear; it is taken
// then, and has no ballot.
func (m *Machine) base(votes map[model.NodeID]Message) (base State, highest Ballot, unknown bool) {
	base = Initial()
	for _, node := range m.config.Replicas {
		vote, ok := votes[node]
		if !ok || vote.Store != m.durable.Fences[node] || vote.Accepted.Less(highest) {
			continue
		}
		if vote.Value == nil {
			vote.Value = m.proposal.own.Value // The voter has the same.
		}
		highest, base = vote.Accepted, *vote.Value
	}
	if m.served.Revision() > base.Revision() {
		return m.served, Ballot{}, true
	}
	return base, highest, false
}

// chosen answers the change and tells all members of the agreed state.
func (m *Machine) chosen() {
	p := m.proposal
	if p.value.Revision() > m.served.Revision() || !m.serving {
		m.serve(p.value)
		m.do(Broadcast{m.newsOf(p)})
	}
	delete(m.open, p.Edit.ID)
	m.finish(p.result)
}

// settles reports whether this replica accepted a state of which it does not know whether it is
// agreed, and is free to find out.
func (m *Machine) settles() bool {
	return m.votes() && m.proposal == nil && m.durable.Value.Revision() > m.served.Revision()
}

// settleOpen finds out what is agreed, so that a change whose proposer is gone does not take effect
// only with the next one.
func (m *Machine) settleOpen() {
	m.settleAt = m.now.Add(settleDelay)
	m.submit(Submitted{Edit: model.ProfileEdit{Kind: settle}, Deadline: m.settleAt})
}
