package register

import (
	"maps"
	"slices"
	"time"

	"redwingpulley/kernel/model"
)

// proposal is an edit in progress: this replica tries to get the resulting state chosen.
type proposal struct {
	Submitted
	ballot      Ballot
	phase       MessageKind // Kind of the votes that it waits for, Promise or Accepted; "" during the wait before a new ballot.
	votes       map[model.NodeID]Message
	phaseEnds   time.Time      // End of the wait for votes, or of the wait before a new ballot.
	lostRounds  int            // Number of ballots lost so far.
	appliedTo   model.Revision // Newest revision to which the edit was applied in a value that was sent; 0 if none was.
	valueSent   bool           // Whether a value that includes the edit was sent in an Accept.
	ownAccepted Message        // What this replica had accepted when the round began.
	value       State
	delta       *Delta // Difference of value from the value of ballot base; nil when there is none.
	base        Ballot // Ballot of the accepted value that the edit is applied to.
	sendWhole   bool   // Whether the value has to be sent whole, since its base has no ballot.
	result      model.EditResult
	reads       []read // Reads that this proposal answers besides.
}

func (p *proposal) nextTimer() time.Time {
	if p.Deadline.Before(p.phaseEnds) {
		return p.Deadline
	}
	return p.phaseEnds
}

func (m *Machine) handleSubmitted(s Submitted) {
	if m.answerableFromServed(s.Edit) {
		_, result := m.served.apply(s.Edit, m.now) // The delta is always nil here.
		m.emit(Answer{s.Ticket, result})
		return
	}
	if !m.canVote() {
		m.emit(Answer{s.Ticket, m.failureResult(model.EditNotVoting, s.Edit)})
		return
	}
	if s.Edit.Kind == model.ConfirmRevision {
		m.queueRead(read{Submitted: s})
		return
	}
	if len(m.queue) >= queueLimit {
		m.emit(Answer{s.Ticket, m.failureResult(model.EditBusy, s.Edit)})
		return
	}
	m.queue = append(m.queue, s)
	m.startNextProposal()
}

// answerableFromServed reports whether the served state is enough to answer the edit.
func (m *Machine) answerableFromServed(edit model.ProfileEdit) bool {
	switch edit.Kind {
	case resolveKind, model.ConfirmRevision:
		return false
	case model.DeclareRouting:
		return m.served.hasDeclaration(edit)
	}
	_, found := m.served.findChange(edit.ID)
	if isEvacuation(edit.Kind) {
		return found // The order in force here may have been overtaken.
	}
	return found || edit.Expect < m.served.Revision()
}

func (m *Machine) expireQueue() {
	m.queue = slices.DeleteFunc(m.queue, func(s Submitted) bool {
		expired := !m.now.Before(s.Deadline)
		if expired {
			m.emit(Answer{s.Ticket, m.failureResult(model.EditNoMajority, s.Edit)})
		}
		return expired
	})
}

// failureResult returns the result of an edit that failed with the status. It says MayHaveRun when
// an earlier submission or proposal of the edit may still take effect.
func (m *Machine) failureResult(status model.EditStatus, edit model.ProfileEdit) model.EditResult {
	_, outcomeUnknown := m.outcomeUnknown[edit.ID]
	_, accepted := m.durable.Value.findChange(edit.ID)
	if outcomeUnknown || accepted {
		return refusedResult(status, model.MayHaveRun, m.served.Revision())
	}
	return refusedResult(status, model.NotRun, m.served.Revision())
}

func (m *Machine) startNextProposal() {
	if m.proposal != nil {
		return
	}
	if len(m.queue) == 0 {
		if len(m.reads) > 0 {
			m.startReadRound()
		}
		return
	}
	m.proposal = &proposal{Submitted: m.queue[0]}
	m.queue = m.queue[1:]
	m.startRound()
}

// startRound asks the replicas to promise a new ballot. The round answers the reads that wait now.
func (m *Machine) startRound() {
	p := m.proposal
	p.reads, m.reads = append(p.reads, m.reads...), nil
	m.rounds.Started++
	m.highestRound++
	p.ballot = Ballot{m.highestRound, m.config.Self, m.config.Seed}
	p.phase = Promise
	p.votes = make(map[model.NodeID]Message)
	p.phaseEnds = m.now.Add(roundTimeout)
	value := m.durable.Value
	p.ownAccepted = Message{Accepted: m.durable.Accepted, Value: &value}
	for _, node := range m.config.Replicas {
		m.send(node, Message{Kind: Prepare, Ballot: p.ballot, Accepted: p.ownAccepted.Accepted})
	}
}

func (m *Machine) runProposalTimer() {
	p := m.proposal
	switch {
	case p == nil:
	case !m.now.Before(p.Deadline):
		m.abandonProposal()
	case m.now.Before(p.phaseEnds):
	case p.phase == "":
		m.startRound()
	default:
		m.backOff()
	}
}

// abandonProposal answers at the deadline. The edit has certainly not run only when no value that
// includes it was sent.
func (m *Machine) abandonProposal() {
	p := m.proposal
	if p.valueSent {
		m.outcomeUnknown[p.Edit.ID] = max(p.Edit.Expect, p.appliedTo)
	}
	m.finishProposal(m.failureResult(model.EditNoMajority, p.Edit))
}

func (m *Machine) finishProposal(result model.EditResult) {
	if m.proposal.Edit.Kind != resolveKind && m.proposal.Edit.Kind != model.ConfirmRevision {
		m.emit(Answer{m.proposal.Ticket, result})
	}
	m.reads = append(m.proposal.reads, m.reads...)
	m.proposal = nil
	m.startNextProposal()
}

// backOff waits a random time before the next ballot, so that proposers do not outbid one another
// forever.
func (m *Machine) backOff() {
	p := m.proposal
	m.rounds.Lost++
	p.lostRounds++
	p.phase = ""
	jitter := time.Duration(m.random.Int64N(int64(backoffUnit))) * time.Duration(min(p.lostRounds, backoffLimit))
	p.phaseEnds = m.now.Add(jitter)
}

// handleOutbid gives way to the replica that has the higher ballot, or tries again when there is an edit to be made.
func (m *Machine) handleOutbid(proposer model.NodeID) {
	switch m.proposal.Edit.Kind {
	case model.ConfirmRevision, resolveKind:
		m.yieldTo(proposer)
	default:
		m.backOff()
	}
}

// handleVote handles a reply to Prepare or Accept.
func (m *Machine) handleVote(from model.NodeID, message Message) {
	p := m.proposal
	if p == nil || p.phase == "" {
		return
	}
	switch {
	case message.Kind == Rejected:
		if p.ballot.Less(message.Ballot) {
			m.handleOutbid(message.Ballot.Node)
		}
		return
	case message.Kind == NeedValue && message.Ballot == p.ballot && p.phase == Accepted:
		m.sendAccept(from, true)
		return
	}
	if message.Kind != p.phase || message.Ballot != p.ballot {
		return
	}
	p.votes[from] = message
	if m.countValidVotes(p.votes) < m.majority() {
		return
	}
	if p.phase == Promise {
		m.propose()
		return
	}
	m.completeProposal()
}

// countValidVotes counts the votes that come from the newest known store of their replica.
func (m *Machine) countValidVotes(votes map[model.NodeID]Message) int {
	count := 0
	for _, node := range m.config.Replicas {
		vote, ok := votes[node]
		if ok && vote.Store == m.durable.Fences[node] {
			count++
		}
	}
	return count
}

// propose applies the edit to the state of the highest accepted ballot and asks the replicas to
// accept the result.
func (m *Machine) propose() {
	p := m.proposal
	var base State
	base, p.base, p.sendWhole = m.base(p.votes)
	p.delta, p.result = base.apply(p.Edit, m.now)
	p.value = base
	if p.delta != nil {
		p.value = base.withDelta(*p.delta)
	}
	if p.result.Status == model.EditDone {
		p.appliedTo = base.Revision()
	}
	p.valueSent = p.valueSent || p.result.Status == model.EditDone && p.Edit.Kind != resolveKind && p.Edit.Kind != model.ConfirmRevision
	p.phase = Accepted
	p.votes = make(map[model.NodeID]Message)
	p.phaseEnds = m.now.Add(roundTimeout)
	for _, node := range m.config.Replicas {
		m.sendAccept(node, p.sendWhole)
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

// base returns the state of the highest accepted ballot among the promises, and that ballot. This
// member can only know of a newer chosen state after more disks were lost than the register tolerates;
// that state is then returned with unknown set, since its ballot is not known.
func (m *Machine) base(votes map[model.NodeID]Message) (base State, highest Ballot, unknown bool) {
	base = Initial()
	for _, node := range m.config.Replicas {
		vote, ok := votes[node]
		if !ok || vote.Store != m.durable.Fences[node] || vote.Accepted.Less(highest) {
			continue
		}
		if vote.Value == nil {
			vote.Value = m.proposal.ownAccepted.Value // The voter has accepted the same value as this replica.
		}
		highest, base = vote.Accepted, *vote.Value
	}
	if m.served.Revision() > base.Revision() {
		return m.served, Ballot{}, true
	}
	return base, highest, false
}

// completeProposal answers the edit and announces the chosen state to all members. A replica that does not serve yet may
// have learned of a newer one during the round.
func (m *Machine) completeProposal() {
	p := m.proposal
	switch {
	case p.value.Revision() > m.served.Revision():
		m.serve(p.value)
		m.emit(Broadcast{m.chosenProposalMessage(p)})
	case !m.serving:
		m.serve(m.served)
	}
	delete(m.outcomeUnknown, p.Edit.ID)
	m.answerReads(p.reads, p.value.Revision())
	p.reads = nil
	m.finishProposal(p.result)
}

// hasUnresolvedValue reports whether this replica accepted a state that it does not know to be
// chosen, and has no proposal of its own under way, so that it can find out.
func (m *Machine) hasUnresolvedValue() bool {
	return m.canVote() && m.proposal == nil && m.durable.Value.Revision() > m.served.Revision()
}

// resolveAccepted finds out which value is chosen by proposing an edit that changes nothing. Without
// it, an edit whose proposer is gone might take effect only with the next edit.
func (m *Machine) resolveAccepted() {
	m.resolveAt = m.now.Add(resolveDelay)
	m.handleSubmitted(Submitted{Edit: model.ProfileEdit{Kind: resolveKind}, Deadline: m.resolveAt})
}
