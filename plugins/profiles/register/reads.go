package register

import (
	"slices"
	"time"

	"redwingpulley/kernel/model"
)

// A read, an edit of kind ConfirmRevision, is answered by a round of agreement that began after it was submitted.
//
// All reads that wait at a replica share its next round. A replica starts no round for reads alone while
// another one proposes: it passes its reads on to that one, whose next round answers them as well. Otherwise
// the rounds of all replicas that are asked would outbid one another for as long as reads keep coming.

const (
	readQueueLimit = 256          // Most reads that wait at a replica, local and passed on together.
	passTimeout    = roundTimeout // Wait for the reply to reads that were passed on, before they are tried again.
	passLimit      = 2            // Most times that a read is passed on; then this replica runs a round itself.
)

// read is a read that waits at this replica.
type read struct {
	Submitted // With a zero ticket when another replica passed the read on.

	from   model.NodeID // Replica that passed the read on, or "".
	number uint64       // Number under which that replica did so.
	passed int          // Times that this replica has passed it on.
}

// passedReads are reads that were passed on to another replica and have no reply yet.
type passedReads struct {
	number uint64
	until  time.Time // When they are tried again.
	reads  []read
}

// queueRead has the next round answer a read.
func (m *Machine) queueRead(r read) {
	if len(m.reads) >= readQueueLimit {
		m.dropRead(r, model.EditBusy)
		return
	}
	m.reads = append(m.reads, r)
	m.startNextProposal()
}

// dropRead gives up a read. The replica that passed it on tries again after passTimeout.
func (m *Machine) dropRead(r read, status model.EditStatus) {
	if r.from == "" {
		m.emit(Answer{r.Ticket, m.failureResult(status, r.Edit)})
	}
}

// answerReads reports to local callers and to other replicas the revision that a round has confirmed.
func (m *Machine) answerReads(reads []read, revision model.Revision) {
	for _, r := range reads {
		if r.from == "" {
			m.emit(Answer{r.Ticket, model.EditResult{Status: model.EditDone, Revision: revision}})
			continue
		}
		m.send(r.from, Message{Kind: Confirmed, Run: r.number, Revision: revision})
	}
}

// handleConfirm queues a read that another replica passes on.
func (m *Machine) handleConfirm(from model.NodeID, message Message) {
	if !m.canVote() {
		return
	}
	edit := model.ProfileEdit{Kind: model.ConfirmRevision}
	m.queueRead(read{Submitted: Submitted{Edit: edit, Deadline: m.now.Add(passTimeout)}, from: from, number: message.Run})
}

// handleConfirmed answers the reads that were passed on under the message's number.
func (m *Machine) handleConfirmed(from model.NodeID, message Message) {
	i := slices.IndexFunc(m.passed, func(p passedReads) bool { return p.number == message.Run })
	if i < 0 {
		return
	}
	reads := m.passed[i].reads
	m.passed = slices.Delete(m.passed, i, i+1)
	m.answerReads(reads, message.Revision)
	m.fetchIfNewer(from, message.Revision)
}

// proposerToFollow returns the replica that proposed last, if it did so within the time of a round and so is likely to
// propose again soon.
func (m *Machine) proposerToFollow() (replica model.NodeID, ok bool) {
	proposer := m.durable.Promised.Node
	if proposer == m.config.Self || !slices.Contains(m.config.Replicas, proposer) {
		return "", false
	}
	return proposer, m.now.Before(m.promisedAt.Add(roundTimeout))
}

// passOnReads passes the waiting reads on to a replica, except those that were passed on passLimit times.
func (m *Machine) passOnReads(to model.NodeID) {
	var reads, kept []read
	for _, r := range m.reads {
		if r.passed >= passLimit {
			kept = append(kept, r)
			continue
		}
		r.passed++
		reads = append(reads, r)
	}
	m.reads = kept
	if len(reads) == 0 {
		return
	}
	number := m.random.Uint64()
	m.passed = append(m.passed, passedReads{number, m.now.Add(passTimeout), reads})
	m.send(to, Message{Kind: Confirm, Run: number})
}

// startReadRound passes the waiting reads on to a replica that proposes, or runs a round for them.
func (m *Machine) startReadRound() {
	if proposer, ok := m.proposerToFollow(); ok {
		m.passOnReads(proposer)
	}
	if len(m.reads) == 0 {
		return
	}
	edit := model.ProfileEdit{Kind: model.ConfirmRevision}
	m.proposal = &proposal{Submitted: Submitted{Edit: edit, Deadline: m.lastReadDeadline()}}
	m.startRound()
}

func (m *Machine) lastReadDeadline() time.Time {
	return slices.MaxFunc(m.reads, func(a, b read) int { return a.Deadline.Compare(b.Deadline) }).Deadline
}

// yieldTo ends a round without an edit that was outbid, and passes its reads on to the replica that did.
func (m *Machine) yieldTo(proposer model.NodeID) {
	m.rounds.Lost++
	m.reads = append(m.proposal.reads, m.reads...)
	m.proposal = nil
	if proposer != m.config.Self {
		m.passOnReads(proposer)
	}
	m.startNextProposal()
}

// runReadTimers gives up reads at their deadlines, and tries those again that were passed on without a reply.
func (m *Machine) runReadTimers() {
	m.reads = m.expireReads(m.reads)
	if m.proposal != nil {
		m.proposal.reads = m.expireReads(m.proposal.reads)
	}
	var waiting []passedReads
	for _, p := range m.passed {
		p.reads = m.expireReads(p.reads)
		switch {
		case m.now.Before(p.until):
			waiting = append(waiting, p)
		default:
			m.reads = append(m.reads, p.reads...)
		}
	}
	m.passed = waiting
	m.startNextProposal()
}

// expireReads gives up the reads whose deadline has passed and returns the others.
func (m *Machine) expireReads(reads []read) []read {
	return slices.DeleteFunc(reads, func(r read) bool {
		expired := !m.now.Before(r.Deadline)
		if expired {
			m.dropRead(r, model.EditNoMajority)
		}
		return expired
	})
}

// nextReadTimer returns the first of at, the deadlines of reads, and the times at which passed reads are tried again.
func (m *Machine) nextReadTimer(at time.Time) time.Time {
	all := [][]read{m.reads}
	if m.proposal != nil {
		all = append(all, m.proposal.reads)
	}
	for _, p := range m.passed {
		all = append(all, p.reads)
		if p.until.Before(at) {
			at = p.until
		}
	}
	for _, r := range slices.Concat(all...) {
		if r.Deadline.Before(at) {
			at = r.Deadline
		}
	}
	return at
}
