package swim

import (
	"math/bits"
	"time"

	"redwingpulley/kernel/model"
)

const (
	relayCount       = 3  // Members asked to probe one that did not answer.
	joinCount        = 3  // Members asked for all they know, each period, until one has answered.
	rejoinPeriods    = 10 // Between probes of dead members.
	minSuspicion     = 3  // Periods in which a suspect can refute; the logarithm of the members when that is more.
	earlyPerPeriod   = 4  // Early probes in one period.
	earlyPeriods     = 2  // Between early probes of one member.
	probeLifePeriods = 3  // Results of older probes no longer count.
)

// purpose says why a member was pinged, and so what silence means.
type purpose uint8

const (
	probeLive  purpose = iota + 1 // Silence leads to relays.
	probeDead                     // Silence was expected.
	probeAll                      // Asks for all the other knows.
	probeTold                     // Only tells something.
	probeRelay                    // Relays are on their way.
)

// probe is a ping whose result is not known.
type probe struct {
	target  model.NodeID
	purpose purpose
	relays  int // Not ended yet.
	period  time.Time
}

// suspicion returns how long a suspect can refute.
func (m *Machine) suspicion() time.Duration {
	return time.Duration(max(minSuspicion, m.logMembers())) * m.config.Period
}

// logMembers returns the binary logarithm of the number of live members, rounded up.
func (m *Machine) logMembers() int {
	live := 1
	for _, other := range m.members {
		if other.State.Live() {
			live++
		}
	}
	return bits.Len(uint(live))
}

// ping starts a probe of other.
func (m *Machine) ping(other *member, why purpose, all bool, fx *Effects) {
	m.lastProbe++
	m.probes[m.lastProbe] = &probe{target: other.Node.ID, purpose: why, period: m.lastTick}
	message := m.compose(other.Node.ID)
	message.All = all
	fx.Pings = append(fx.Pings, Ping{Probe: m.lastProbe, To: other.Node.ID, Message: message})
}

// probeNext probes the next member of the round. A round visits all live members once in a random
// order, so that the time until a dead one is probed is bounded.
func (m *Machine) probeNext(fx *Effects) {
	m.dropOldProbes()
	for range 2 { // The rest of this round, then a new one.
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

func (m *Machine) dropOldProbes() {
	for id, p := range m.probes {
		if m.lastTick.Sub(p.period) > probeLifePeriods*m.config.Period {
			delete(m.probes, id)
		}
	}
}

// probeDead asks one dead member now and then, so that both sides of a healed cut find each other.
func (m *Machine) probeDead(now time.Time, fx *Effects) {
	if now.Before(m.nextRejoin) {
		return
	}
	m.nextRejoin = now.Add(rejoinPeriods * m.config.Period)
	var dead []*member
	for _, id := range m.ids {
		if other := m.members[id]; !other.State.Live() {
			dead = append(dead, other)
		}
	}
	if len(dead) > 0 {
		m.ping(dead[m.random.IntN(len(dead))], probeDead, false, fx)
	}
}

// askForAll asks a few members for all they know.
func (m *Machine) askForAll(fx *Effects) {
	for i, other := range m.shuffledLive("") {
		if i == joinCount {
			return
		}
		m.ping(other, probeAll, true, fx)
	}
}

// doubted probes at once a member that did not answer a request.
func (m *Machine) doubted(now time.Time, id model.NodeID, fx *Effects) {
	if other, ok := m.members[id]; ok && other.State == Alive {
		m.probeEarly(now, other, probeLive, fx)
	}
}

// probeEarly probes a member outside its turn, within a bounded number for each period.
func (m *Machine) probeEarly(now time.Time, other *member, why purpose, fx *Effects) {
	wait := earlyPeriods * m.config.Period
	if m.hints >= earlyPerPeriod || (!other.earlyProbe.IsZero() && now.Sub(other.earlyProbe) < wait) {
		return
	}
	m.hints++
	other.earlyProbe = now
	m.ping(other, why, false, fx)
}

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

// received merges a message and answers it.
func (m *Machine) received(now time.Time, r Received, fx *Effects) {
	m.merge(now, r.Message, fx)
	sender, ok := r.Message.Sender()
	if !ok {
		return
	}
	if !m.joined {
		m.setFresh(fx)
	}
	fx.Reply = m.compose(sender.Node.ID)
	if r.Message.All {
		fx.Reply = m.composeAll()
	}
}

// answered merges the answer of a probe.
func (m *Machine) answered(now time.Time, a Answered, fx *Effects) {
	p, ok := m.probes[a.Probe]
	sender, named := a.Message.Sender()
	if !ok || !named {
		return
	}
	if sender.Node.ID != p.target {
		m.unanswered(now, a.Probe, fx) // Another member has that address now.
		return
	}
	delete(m.probes, a.Probe)
	m.merge(now, a.Message, fx)
	if a.Probe >= m.freshProbe {
		m.setFresh(fx)
	}
}

// unanswered has a few others probe a member that did not answer.
func (m *Machine) unanswered(now time.Time, id uint64, fx *Effects) {
	p, ok := m.probes[id]
	if !ok {
		return
	}
	other, known := m.members[p.target]
	if !known || (p.purpose != probeLive && p.purpose != probeAll) {
		delete(m.probes, id)
		return
	}
	through := m.shuffledLive(p.target)
	through = through[:min(relayCount, len(through))]
	if !m.joined || len(through) == 0 {
		delete(m.probes, id)
		m.suspect(now, other, "it does not answer", fx)
		return
	}
	p.purpose = probeRelay
	p.relays = len(through)
	for _, helper := range through {
		fx.Relays = append(fx.Relays, Relay{Probe: id, Through: helper.Node.ID, Target: other.Node})
	}
}

// relayEnded suspects a member once no other has reached it either.
func (m *Machine) relayEnded(now time.Time, r RelayEnded, fx *Effects) {
	p, ok := m.probes[r.Probe]
	if !ok {
		return
	}
	p.relays--
	if r.Reached || p.relays == 0 {
		delete(m.probes, r.Probe)
	}
	if other, known := m.members[p.target]; known && !r.Reached && p.relays == 0 {
		m.suspect(now, other, "it answers neither this member nor others", fx)
	}
}
