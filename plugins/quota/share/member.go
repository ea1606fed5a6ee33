package share

import (
	"math"
	"slices"
	"time"

	"redwingpulley/kernel/invariant"
)

// Member manages one VM's share of one team's quota as a token bucket whose rate follows loans and
// grants. Create one with NewMember.
type Member struct {
	config     Config
	startedAt  time.Time
	quotaKnown bool         // A Take has set the quota.
	quota      float64      // Tasks per second, as of the newest Take.
	tokens     float64      // Tasks that may start now.
	advancedTo time.Time    // Time up to which the tokens are computed.
	loans      []allocation // Loans to coordinators.
	grants     []allocation // Grants from coordinators.

	offeredRate      float64 // Offered tasks per second, averaged over demandWindow, as of offeredRateAt.
	offeredRateAt    time.Time
	largestRefused   int // Tasks of the largest Take refused in the last GrantDuration.
	largestRefusedAt time.Time

	borrowing     bool
	nextRequestAt time.Time
}

// MemberEvent is an input of a Member.
type MemberEvent interface{ memberEvent() }

// Take asks to start tasks. Quota is in tasks per second.
type Take struct {
	Quota float64
	Tasks int
}

// BorrowDue is the timer event of a Member: it computes the fraction that the member wants to borrow now.
type BorrowDue struct{}

// Granted is a coordinator's reply to a request. The member may use the grant until the given time.
type Granted struct {
	Coordinator       MemberID
	Fraction          float64
	Until             time.Time
	RequestAgainAfter time.Duration // Delay after which to request again.
}

// LoanRequested is a coordinator's request for a loan.
type LoanRequested struct{ Coordinator MemberID }

func (Take) memberEvent()          {}
func (BorrowDue) memberEvent()     {}
func (Granted) memberEvent()       {}
func (LoanRequested) memberEvent() {}

// MemberEffects are what the caller has to carry out.
type MemberEffects struct {
	Taken          bool          // The tasks may start.
	RetryAfter     time.Duration // Delay after which to try again, when nothing was taken.
	BorrowFraction float64       // Fraction to request from the coordinator; 0 when the member wants to borrow nothing.
	Loan           float64       // Fraction that is lent in reply to a LoanRequested.
}

// NewMember returns the share of a VM that started at the given time. Since an earlier incarnation of the
// VM may have lent all that it could just before, that much is taken as lent for lenderLoanDuration.
func NewMember(startedAt time.Time, config Config) *Member {
	m := &Member{config: config, startedAt: startedAt, advancedTo: startedAt, offeredRateAt: startedAt}
	if lendable := m.lendable(); lendable > 0 {
		m.loans = []allocation{{fraction: lendable, until: startedAt.Add(lenderLoanDuration)}}
	}
	return m
}

// Step applies an event and returns its effects.
func (m *Member) Step(now time.Time, event MemberEvent) MemberEffects {
	var fx MemberEffects
	m.advance(now)
	switch e := event.(type) {
	case Take:
		m.handleTake(e, &fx)
	case BorrowDue:
		m.handleBorrowDue(&fx)
	case Granted:
		m.handleGrant(e)
	case LoanRequested:
		m.handleLoanRequest(e.Coordinator, &fx)
	}
	return fx
}

// Look returns the effects that a Take would have now, and changes nothing.
func (m *Member) Look(now time.Time, e Take) MemberEffects {
	member := *m
	member.loans, member.grants = slices.Clone(m.loans), slices.Clone(m.grants)
	return member.Step(now, e)
}

// NextTimer returns when BorrowDue is due next; ok is false while the member does not borrow.
func (m *Member) NextTimer() (at time.Time, ok bool) { return m.nextRequestAt, m.borrowing }

// Fraction returns the fraction of the quota that the member may use at the given time.
func (m *Member) Fraction(now time.Time) float64 {
	m.advance(now)
	return m.usableFraction()
}

// entitlement returns the fraction of the quota that a member has without loans and grants.
func (m *Member) entitlement() float64 { return 1 / float64(m.config.Members) }

// lendable returns the largest fraction of the quota that the member may lend.
func (m *Member) lendable() float64 { return m.entitlement() * (1 - m.config.Floor) }

// usableFraction returns the fraction of the quota that the member may use at advancedTo.
func (m *Member) usableFraction() float64 {
	after := m.advancedTo.Add(1) // At its end time an allocation no longer counts.
	lent := sumLargest(m.loans, after, noMember)
	invariant.Check(lent <= m.lendable()+epsilon, invariantID, "lent %g of %g lendable", lent, m.lendable())
	return m.entitlement() - lent + sumLargest(m.grants, after, noMember)
}

// advance adds the tokens gained up to the given time, in steps that end with each loan or grant, since
// the rate changes there.
func (m *Member) advance(now time.Time) {
	for m.advancedTo.Before(now) {
		next := now
		for _, allocations := range [...][]allocation{m.loans, m.grants} {
			for _, a := range allocations {
				if a.until.Before(next) {
					next = a.until
				}
			}
		}
		if next.After(m.advancedTo) {
			m.tokens += m.rate() * next.Sub(m.advancedTo).Seconds()
			m.clampTokens()
			m.advancedTo = next
		}
		m.loans, m.grants = dropExpired(m.advancedTo, m.loans), dropExpired(m.advancedTo, m.grants)
		m.clampTokens()
	}
}

// rate returns the tasks per second that the member may start.
func (m *Member) rate() float64 { return m.quota * m.usableFraction() }

// clampTokens limits the tokens to the burst at the current rate. It is called after each change of the
// rate, so that the bursts of all members add up to at most the burst of the whole quota.
func (m *Member) clampTokens() { m.tokens = min(m.tokens, m.rate()*m.config.Burst.Seconds()) }

// setQuota applies a possibly changed quota. The first quota also gives the tokens that the member's floor
// has gained for certain since the VM started.
func (m *Member) setQuota(quota float64) {
	if !m.quotaKnown {
		m.quotaKnown = true
		m.tokens = quota * m.entitlement() * m.config.Floor * m.advancedTo.Sub(m.startedAt).Seconds()
	}
	m.quota = quota
	m.clampTokens()
}

func (m *Member) handleTake(e Take, fx *MemberEffects) {
	m.setQuota(e.Quota)
	m.recordOffered(e.Tasks)
	if float64(e.Tasks) <= m.tokens+epsilon {
		m.tokens -= float64(e.Tasks)
		fx.Taken = true
	} else {
		fx.RetryAfter = m.retryAfter(e.Tasks)
		if e.Tasks >= m.largestRefused {
			m.largestRefused, m.largestRefusedAt = e.Tasks, m.advancedTo
		}
	}
	if !m.borrowing && m.shortfall() > epsilon {
		m.borrowing = true
	}
}

// recordOffered adds tasks to the average of offered tasks.
func (m *Member) recordOffered(tasks int) {
	m.offeredRate = m.demand() + float64(tasks)/demandWindow.Seconds()
	m.offeredRateAt = m.advancedTo
	if m.advancedTo.Sub(m.largestRefusedAt) > GrantDuration {
		m.largestRefused = 0
	}
}

// demand returns the average of offered tasks per second as of advancedTo.
func (m *Member) demand() float64 {
	return m.offeredRate * math.Exp(-m.advancedTo.Sub(m.offeredRateAt).Seconds()/demandWindow.Seconds())
}

// demandFraction returns the fraction of the quota that covers the member's demand, with headroom.
func (m *Member) demandFraction() float64 {
	if m.quota <= 0 {
		return 0
	}
	rate := m.demand() * demandHeadroom
	if m.largestRefused > 0 && m.advancedTo.Sub(m.largestRefusedAt) <= GrantDuration {
		rate = max(rate, float64(m.largestRefused)/m.config.Burst.Seconds()*demandHeadroom)
	}
	return min(rate/m.quota, 1)
}

// shortfall returns the fraction that the member's demand requires beyond its entitlement less its loans.
func (m *Member) shortfall() float64 {
	return m.demandFraction() - (m.entitlement() - sumLargest(m.loans, m.advancedTo.Add(1), noMember))
}

// retryAfter returns the delay after which the tasks could be taken at the current rate.
func (m *Member) retryAfter(tasks int) time.Duration {
	rate := m.rate()
	if rate <= 0 || float64(tasks) > rate*m.config.Burst.Seconds() {
		return renewInterval // The burst does not suffice now, but a grant may raise it by then.
	}
	return time.Duration((float64(tasks) - m.tokens) / rate * float64(time.Second))
}

func (m *Member) handleBorrowDue(fx *MemberEffects) {
	shortfall := m.shortfall()
	if shortfall <= epsilon {
		m.borrowing = false
		return
	}
	fx.BorrowFraction = shortfall
	m.nextRequestAt = m.advancedTo.Add(renewInterval)
}

func (m *Member) handleGrant(e Granted) {
	if e.Fraction > epsilon && e.Until.After(m.advancedTo) {
		m.grants = addAllocation(m.grants, allocation{e.Coordinator, e.Fraction, e.Until})
	}
	m.nextRequestAt = m.advancedTo.Add(e.RequestAgainAfter)
}

// handleLoanRequest lends what the member does not need. A member that borrows does not lend.
func (m *Member) handleLoanRequest(coordinator MemberID, fx *MemberEffects) {
	lentToOthers := sumLargest(m.loans, m.advancedTo.Add(1), coordinator)
	spare := min(m.entitlement()-m.demandFraction(), m.lendable()-lentToOthers)
	if m.borrowing || spare <= epsilon {
		return
	}
	m.loans = addAllocation(m.loans, allocation{coordinator, spare, m.advancedTo.Add(lenderLoanDuration)})
	m.clampTokens()
	fx.Loan = spare
}
