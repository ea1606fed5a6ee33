package share

import (
	"math"
	"time"

	"redwingpulley/kernel/invariant"
)

// Member is one VM's part of one team's quota. Create one with NewMember.
type Member struct {
	config  Config
	started time.Time
	known   bool    // A quota was told.
	quota   float64 // Tasks a second, as of the newest Take.
	tokens  float64 // Tasks that may start now.
	at      time.Time
	loans   []part // By holder.
	grants  []part // By holder.

	offered   float64 // Tasks a second, averaged.
	offeredAt time.Time
	largest   int // Tasks of the largest job that was refused lately.
	largestAt time.Time

	borrowing bool
	nextAsk   time.Time
}

// MemberEvent is something that happened to a member's part.
type MemberEvent interface{ memberEvent() }

// Take asks to start tasks. Quota is in tasks a second.
type Take struct {
	Quota float64
	Tasks int
}

// Ask asks for the part that the member wants to borrow now.
type Ask struct{}

// Granted is a holder's answer; the grant may be used until the given time.
type Granted struct {
	Holder   Run
	Fraction float64
	Until    time.Time
	Again    time.Duration // After which to ask again.
}

// LoanAsked is a holder's request for a loan.
type LoanAsked struct{ Holder Run }

func (Take) memberEvent()      {}
func (Ask) memberEvent()       {}
func (Granted) memberEvent()   {}
func (LoanAsked) memberEvent() {}

// MemberEffects are what the caller has to carry out.
type MemberEffects struct {
	Taken      bool
	RetryAfter time.Duration // When nothing was taken.
	Want       float64       // Part to ask the holder for; 0 when there is nothing to ask.
	Lent       float64       // Part to answer a LoanAsked with.
}

// NewMember returns the part of a VM that started at the given time. An earlier run of the VM may
// have lent all that it could just before.
func NewMember(started time.Time, config Config) *Member {
	m := &Member{config: config, started: started, at: started, offeredAt: started}
	if lendable := m.lendable(); lendable > 0 {
		m.loans = []part{{fraction: lendable, until: started.Add(lenderTime)}}
	}
	return m
}

// Step applies an event and returns what has to be done.
func (m *Member) Step(now time.Time, event MemberEvent) MemberEffects {
	var fx MemberEffects
	m.advance(now)
	switch e := event.(type) {
	case Take:
		m.take(e, &fx)
	case Ask:
		m.ask(&fx)
	case Granted:
		m.granted(e)
	case LoanAsked:
		m.lend(e.Holder, &fx)
	}
	return fx
}

// Wake returns when Ask is due next; ok is false while the member wants nothing.
func (m *Member) Wake() (at time.Time, ok bool) { return m.nextAsk, m.borrowing }

// Fraction returns the part of the quota that the member may use at the given time.
func (m *Member) Fraction(now time.Time) float64 {
	m.advance(now)
	return m.fraction()
}

func (m *Member) entitlement() float64 { return 1 / float64(m.config.Members) }

func (m *Member) lendable() float64 { return m.entitlement() * (1 - m.config.Floor) }

// fraction returns the part that may be used, as of the time that the state was advanced to.
func (m *Member) fraction() float64 {
	after := m.at.Add(1) // A part has ended at its end.
	lent := sum(m.loans, after, nobody)
	invariant.Check(lent <= m.lendable()+negligible, invariantID, "lent %g of %g", lent, m.lendable())
	return m.entitlement() - lent + sum(m.grants, after, nobody)
}

// advance lets time pass, piecewise between the ends of loans and grants.
func (m *Member) advance(now time.Time) {
	for m.at.Before(now) {
		next := now
		for _, parts := range [...][]part{m.loans, m.grants} {
			for _, p := range parts {
				if p.until.Before(next) {
					next = p.until
				}
			}
		}
		if next.After(m.at) {
			m.tokens += m.rate() * next.Sub(m.at).Seconds()
			m.clamp()
			m.at = next
		}
		m.loans, m.grants = expire(m.at, m.loans), expire(m.at, m.grants)
		m.clamp()
	}
}

func (m *Member) rate() float64 { return m.quota * m.fraction() }

// clamp bounds the tokens by the burst at the present rate. It follows each change of the rate, so
// that the members' bursts add up to that of the whole quota.
func (m *Member) clamp() { m.tokens = min(m.tokens, m.rate()*m.config.Burst.Seconds()) }

// setQuota takes over a changed quota. With the first one it has saved up what its floor was
// certain to give since the VM started.
func (m *Member) setQuota(quota float64) {
	if !m.known {
		m.known = true
		m.tokens = quota * m.entitlement() * m.config.Floor * m.at.Sub(m.started).Seconds()
	}
	m.quota = quota
	m.clamp()
}

func (m *Member) take(t Take, fx *MemberEffects) {
	m.setQuota(t.Quota)
	m.offer(t.Tasks)
	if float64(t.Tasks) <= m.tokens+negligible {
		m.tokens -= float64(t.Tasks)
		fx.Taken = true
	} else {
		fx.RetryAfter = m.retryAfter(t.Tasks)
		if t.Tasks >= m.largest {
			m.largest, m.largestAt = t.Tasks, m.at
		}
	}
	if !m.borrowing && m.need() > negligible {
		m.borrowing = true
	}
}

// offer adds tasks to the averaged demand.
func (m *Member) offer(tasks int) {
	m.offered = m.demand() + float64(tasks)/demandTime.Seconds()
	m.offeredAt = m.at
	if m.at.Sub(m.largestAt) > GrantTime {
		m.largest = 0
	}
}

// demand returns the offered tasks a second as of now.
func (m *Member) demand() float64 {
	return m.offered * math.Exp(-m.at.Sub(m.offeredAt).Seconds()/demandTime.Seconds())
}

// want returns the part of the quota that the member's demand asks for.
func (m *Member) want() float64 {
	if m.quota <= 0 {
		return 0
	}
	rate := m.demand() * headroom
	if m.largest > 0 && m.at.Sub(m.largestAt) <= GrantTime {
		rate = max(rate, float64(m.largest)/m.config.Burst.Seconds()*headroom)
	}
	return min(rate/m.quota, 1)
}

// need returns the part that the member wants beyond its own.
func (m *Member) need() float64 {
	return m.want() - (m.entitlement() - sum(m.loans, m.at.Add(1), nobody))
}

// retryAfter returns when the tasks could be taken at the present rate.
func (m *Member) retryAfter(tasks int) time.Duration {
	rate := m.rate()
	if rate <= 0 || float64(tasks) > rate*m.config.Burst.Seconds() {
		return renewTime // A grant may allow it by then.
	}
	return time.Duration((float64(tasks) - m.tokens) / rate * float64(time.Second))
}

func (m *Member) ask(fx *MemberEffects) {
	need := m.need()
	if need <= negligible {
		m.borrowing = false
		return
	}
	fx.Want = need
	m.nextAsk = m.at.Add(renewTime)
}

func (m *Member) granted(g Granted) {
	if g.Fraction > negligible && g.Until.After(m.at) {
		m.grants = add(m.grants, part{g.Holder, g.Fraction, g.Until})
	}
	m.nextAsk = m.at.Add(g.Again)
}

// lend promises a part that the member does not need.
func (m *Member) lend(holder Run, fx *MemberEffects) {
	others := sum(m.loans, m.at.Add(1), holder)
	spare := min(m.entitlement()-m.want(), m.lendable()-others)
	if m.borrowing || spare <= negligible {
		return
	}
	m.loans = add(m.loans, part{holder, spare, m.at.Add(lenderTime)})
	m.clamp()
	fx.Lent = spare
}
