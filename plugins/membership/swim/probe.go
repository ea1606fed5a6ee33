package swim

import (
	"math/bits"
	"time"

	"redwingpulley/kernel/model"
)

const (
	relayFanout          = 3  // Members asked to probe one that did not answer.
	fullStateFanout      = 3  // Members asked for their full state in each period while the view is stale.
	rejoinPeriods        = 10 // Periods from one probe of a dead member to the next.
	restartPeriods       = 20 // Periods after the newest death in which a dead member is probed in each period: its process may start again.
	minSuspicionPeriods  = 3  // Shortest suspicion timeout, in periods; see suspicionTimeout.
	maxEarlyProbes       = 4  // Largest number of early probes in one period.
	earlyProbeGapPeriods = 2  // Shortest time between early probes of one member, in periods.
	probeExpiryPeriods   = 3  // Periods after which the result of a probe is ignored.
)

// purpose is the reason for a ping; it decides what follows when the ping is not answered.
type purpose uint8

const (
	probeLive      purpose = iota + 1 // Probes a live member; without an answer, relays are sent.
	probeDead                         // Probes a dead member; no answer is expected.
	probeFullState                    // Asks for the full state; without an answer, relays are sent.
	probeAnnounce                     // Announces this member's own record; a missing answer is ignored.
	probeRelayed                      // The ping was not answered, and its relays have not ended.
)

// probe is a ping whose result is not known.
type probe struct {
	target        model.NodeID
	purpose       purpose
	pendingRelays int       // Relays that have not ended.
	refused       bool      // No process listened at the target's address when this member sent the ping.
	relayRefused  bool      // The same for the ping of another member.
	periodStart   time.Time // Start of the period in which the ping was sent.
}

// suspicionTimeout returns how long a suspect can refute: a number of periods that grows with the
// logarithm of the number of live members, as does the time in which gossip reaches all of them.
func (m *Machine) suspicionTimeout() time.Duration {
	return time.Duration(max(minSuspicionPeriods, m.logLive())) * m.config.Period
}

// logLive returns the binary logarithm of the number of live members, rounded down, plus one.
func (m *Machine) logLive() int { return bits.Len(uint(m.countLive())) }

// countLive returns the number of live members, this one among them.
func (m *Machine) countLive() int {
	live := 1
	for _, other := range m.members {
		if other.State.Live() {
			live++
		}
	}
	return live
}

// ping starts a probe of a member.
func (m *Machine) ping(other *member, p purpose, fullState bool, fx *Effects) {
	m.lastProbeID++
	m.probes[m.lastProbeID] = &probe{target: other.Node.ID, purpose: p, periodStart: m.lastTick}
	message := m.compose(other.Node.ID)
	message.FullState = fullState
	fx.Pings = append(fx.Pings, Ping{Probe: m.lastProbeID, To: other.Node.ID, Message: message})
}

// probeNext probes the next member of the round. A round visits all live members once in random
// order, so that the time until a crashed member is probed is bounded.
func (m *Machine) probeNext(fx *Effects) {
	m.dropOldProbes()
	for range 2 { // The rest of this round, then a new round.
		for len(m.round) > 0 {
			id := m.round[0]
			m.round = m.round[1:]
			if other, ok := m.members[id]; ok && other.State.Live() {
				m.ping(other, probeLive, false, fx)
				return
			}
		}
		for _, other := range m.shuffledLive("") {
			m.round = append(m.round, other.Node.ID)
		}
	}
}

// dropOldProbes drops probes whose result would come too late to be used.
func (m *Machine) dropOldProbes() {
	for id, p := range m.probes {
		if m.lastTick.Sub(p.periodStart) > probeExpiryPeriods*m.config.Period {
			delete(m.probes, id)
		}
	}
}

// probeDead probes one dead member every rejoinPeriods, so that both sides of a partition
// find each other again once it has healed.
func (m *Machine) probeDead(now time.Time, fx *Effects) {
	if now.Before(m.nextRejoin) {
		return
	}
	m.nextRejoin = now.Add(rejoinPeriods * m.config.Period)
	var dead []*member
	latest := time.Time{}
	for _, id := range m.ids {
		if other := m.members[id]; !other.State.Live() {
			dead = append(dead, other)
			if other.deadSince.After(latest) {
				latest = other.deadSince
			}
		}
	}
	if now.Sub(latest) < restartPeriods*m.config.Period {
		m.nextRejoin = now.Add(m.config.Period)
	}
	if len(dead) > 0 {
		m.ping(dead[m.random.IntN(len(dead))], probeDead, false, fx)
	}
}

// requestFullState asks a few live members for all records and values that they hold.
func (m *Machine) requestFullState(fx *Effects) {
	for i, other := range m.shuffledLive("") {
		if i == fullStateFanout {
			return
		}
		m.ping(other, probeFullState, true, fx)
	}
}

// handleProbeRequest probes an alive member immediately, because it did not answer a request.
func (m *Machine) handleProbeRequest(now time.Time, id model.NodeID, fx *Effects) {
	if other, ok := m.members[id]; ok && other.State == Alive {
		m.probeEarly(now, other, probeLive, fx)
	}
}

// probeEarly probes a member out of turn. The number of such probes in one period and the time
// between those of one member are bounded.
func (m *Machine) probeEarly(now time.Time, other *member, p purpose, fx *Effects) {
	wait := earlyProbeGapPeriods * m.config.Period
	if m.earlyProbes >= maxEarlyProbes || (!other.lastEarlyProbe.IsZero() && now.Sub(other.lastEarlyProbe) < wait) {
		return
	}
	m.earlyProbes++
	other.lastEarlyProbe = now
	m.ping(other, p, false, fx)
}

// shuffledLive returns the live members other than without, in random order.
func (m *Machine) shuffledLive(without model.NodeID) []*member {
	var live []*member
	for _, id := range m.ids {
		if other := m.members[id]; other.State.Live() && id != without {
			live = append(live, other)
		}
	}
	m.random.Shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] })
	return live
}

// handlePing merges a ping's message and composes the answer. The first contact makes the view of a
// member that has just started fresh.
func (m *Machine) handlePing(now time.Time, p PingReceived, fx *Effects) {
	m.merge(now, p.Message, fx)
	sender, ok := p.Message.Sender()
	if !ok {
		return
	}
	if !m.joined {
		m.setFresh(fx)
	}
	fx.Reply = m.compose(sender.Node.ID)
	if p.Message.FullState {
		fx.Reply = m.composeFullState()
	}
}

// handleAnswer merges the answer to a probe. The view becomes fresh when the probe was sent after
// the view went stale.
func (m *Machine) handleAnswer(now time.Time, a PingAnswered, fx *Effects) {
	p, ok := m.probes[a.Probe]
	sender, hasSender := a.Message.Sender()
	if !ok || !hasSender {
		return
	}
	if sender.Node.ID != p.target {
		m.handlePingFailure(now, PingFailed{Probe: a.Probe}, fx) // The address belongs to another member now.
		return
	}
	delete(m.probes, a.Probe)
	m.merge(now, a.Message, fx)
	if a.Probe >= m.firstFreshProbe {
		m.setFresh(fx)
	}
}

// handlePingFailure asks a few other live members to probe one that did not answer. When there are
// none, or this member has not joined yet, the target becomes suspect at once.
func (m *Machine) handlePingFailure(now time.Time, e PingFailed, fx *Effects) {
	id := e.Probe
	p, ok := m.probes[id]
	if !ok {
		return
	}
	other, known := m.members[p.target]
	if !known || (p.purpose != probeLive && p.purpose != probeFullState) {
		delete(m.probes, id)
		return
	}
	helpers := m.shuffledLive(p.target)
	helpers = helpers[:min(relayFanout, len(helpers))]
	if !m.joined || len(helpers) == 0 {
		delete(m.probes, id)
		m.suspect(now, other, "it does not answer a ping", fx)
		return
	}
	p.purpose, p.refused = probeRelayed, e.Refused
	p.pendingRelays = len(helpers)
	for _, helper := range helpers {
		fx.Relays = append(fx.Relays, Relay{Probe: id, Through: helper.Node.ID, Target: other.Node})
	}
}

// handleRelayEnd makes a member suspect when the last of the relays has ended and none reached it. A process that has ended cannot
// refute a suspicion. It has, if this member and another one were refused connections; but one that has not been heard of may not
// listen yet.
func (m *Machine) handleRelayEnd(now time.Time, r RelayEnded, fx *Effects) {
	p, ok := m.probes[r.Probe]
	if !ok {
		return
	}
	p.pendingRelays--
	p.relayRefused = p.relayRefused || r.Refused
	if r.Reached || p.pendingRelays == 0 {
		delete(m.probes, r.Probe)
	}
	other, known := m.members[p.target]
	switch {
	case !known || r.Reached || p.pendingRelays > 0:
	case p.refused && p.relayRefused && other.Epoch != 0:
		m.suspectEnded(now, other, fx)
	default:
		m.suspect(now, other, "it answers neither the ping of this member nor relayed pings", fx)
	}
}

// suspectEnded makes a member suspect whose process has ended. In a small group it tells all others at once, and the suspicion is
// short; in a large one a suspicion has to last until gossip has brought it to all.
func (m *Machine) suspectEnded(now time.Time, other *member, fx *Effects) {
	first := other.State == Alive
	m.suspect(now, other, "no process listens at its address, as two members have found", fx)
	if !m.isSmall() {
		return
	}
	other.ProcessEnded = other.State == Suspect
	if soon := now.Add(m.config.Period); other.State == Suspect && soon.Before(other.suspectUntil) {
		other.suspectUntil = soon
	}
	if first {
		m.announceSelf(fx)
	}
}

// isSmall reports whether the group is so small that each member may send all others a message about the same event.
func (m *Machine) isSmall() bool { return m.countLive() < announceToAll }
