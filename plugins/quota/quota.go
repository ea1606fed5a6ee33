// Package quota limits the task starts of teams over all members. The state machines of package share
// divide each team's quota among the members; this package sends their messages and runs their timers.
package quota

import (
	"context"
	"fmt"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"

	"redwingpulley/kernel/model"
	"redwingpulley/kernel/plugin"
	"redwingpulley/kernel/port"
	"redwingpulley/kernel/settings"
	"redwingpulley/kernel/shard"
	"redwingpulley/plugins/quota/share"
)

const (
	// coordinatorGroups is the number of groups that quotas are hashed into. The quotas of a group have the
	// same coordinator, and share its messages.
	coordinatorGroups = 4
	maxPolledMembers  = 16 // Largest number of members that one poll asks for loans.
	callTimeout       = 500 * time.Millisecond
)

// Settings are the settings of the plug-in.
type Settings struct {
	Members      int     `json:"members"`       // Number of VMs that a quota is divided among; 0 means the number of members in the process's settings.
	Floor        float64 `json:"floor"`         // Fraction of its entitlement that a VM never lends.
	BurstSeconds float64 `json:"burst_seconds"` // As many tasks as a quota allows in this many seconds may start at once.

	memberCount int // Number of members in the process's settings.
}

// Check reports invalid settings.
func (s *Settings) Check(faults *settings.Faults) {
	faults.Require(s.Members == 0 || s.Members >= s.memberCount, "members", fmt.Sprintf("must be 0 or at least the %d members of settings", s.memberCount))
	faults.Require(s.Floor >= 0 && s.Floor <= 1, "floor", "must be 0 to 1")
	faults.Require(s.BurstSeconds > 0, "burst_seconds", "must be above 0")
}

// quotaKey identifies the quota of a team in a profile.
type quotaKey struct {
	Profile model.ProfileName `json:"p"`
	Team    model.TeamID      `json:"t"`
}

// Quotas is the plug-in. Create it through the registry.
type Quotas struct {
	config     share.Config
	startedAt  time.Time
	membership port.Membership
	liveness   port.Liveness
	peers      port.Peers
	refused    metrics.Counter
	messages   metrics.Counter

	members      *shard.Map[quotaKey, *share.Member]
	coordinators *shard.Map[quotaKey, *share.Coordinator]
	wakeup       chan struct{} // Has a buffer of one: a value in it makes run check its timers.
	baseCtx      context.Context
	stop         context.CancelFunc
}

// Provision reads the settings and binds the port.
func (q *Quotas) Provision(c *plugin.Context) error {
	s := Settings{Floor: 0.5, BurstSeconds: 10, memberCount: len(c.Node.Members)}
	err := errors.Join(
		c.Settings(&s),
		plugin.Need(c, &q.peers),
		plugin.Need(c, &q.membership),
		plugin.Need(c, &q.liveness),
	)
	if err != nil {
		return err
	}
	q.config = share.Config{
		Members: max(s.Members, len(c.Node.Members), 1), Floor: s.Floor,
		Burst: time.Duration(s.BurstSeconds * float64(time.Second)),
	}
	q.startedAt = time.Now()
	q.refused = metrics.GetOrRegisterCounter("quota.refused", c.Metrics)
	q.messages = metrics.GetOrRegisterCounter("quota.messages", c.Metrics)
	q.members = shard.New[quotaKey, *share.Member](shard.DefaultCount)
	q.coordinators = shard.New[quotaKey, *share.Coordinator](shard.DefaultCount)
	q.wakeup = make(chan struct{}, 1)
	q.baseCtx, q.stop = context.WithCancel(context.Background())
	port.Handle(q.peers, methodBorrow, q.handleBorrow)
	port.Handle(q.peers, methodLend, q.handleLend)
	plugin.Bind[port.Quotas](c, q)
	return nil
}

// Start begins to request grants and loans.
func (q *Quotas) Start() error {
	go q.run()
	return nil
}

// Stop ends the requests of the plug-in.
func (q *Quotas) Stop() error {
	q.stop()
	return nil
}

// Take takes tasks from this VM's share of the team's quota. A team without a quota is not limited.
func (q *Quotas) Take(profile model.Profile, team model.TeamID, tasks int) (ok bool, retryAfter time.Duration) {
	quota, bounded := profile.Quotas[team]
	if !bounded {
		return true, 0
	}
	var fx share.MemberEffects
	borrowing := false
	q.withMember(quotaKey{profile.Name, team}, func(m *share.Member) {
		fx = m.Step(time.Now(), share.Take{Quota: quota, Tasks: tasks})
		_, borrowing = m.NextTimer()
	})
	if borrowing {
		q.wake()
	}
	if !fx.Taken {
		q.refused.Inc(1)
	}
	return fx.Taken, fx.RetryAfter
}

// Look returns what Take would return now, and takes nothing.
func (q *Quotas) Look(profile model.Profile, team model.TeamID, tasks int) (ok bool, retryAfter time.Duration) {
	quota, bounded := profile.Quotas[team]
	if !bounded {
		return true, 0
	}
	k := quotaKey{profile.Name, team}
	var fx share.MemberEffects
	q.members.Do(k, func(members map[quotaKey]*share.Member) {
		m, known := members[k]
		if !known {
			m = share.NewMember(q.startedAt, q.config)
		}
		fx = m.Look(time.Now(), share.Take{Quota: quota, Tasks: tasks})
	})
	return fx.Taken, fx.RetryAfter
}

// withMember calls f with the Member of a quota, which it creates if needed, under the shard's lock.
func (q *Quotas) withMember(k quotaKey, f func(*share.Member)) {
	q.members.Do(k, func(members map[quotaKey]*share.Member) {
		m, ok := members[k]
		if !ok {
			m = share.NewMember(q.startedAt, q.config)
			members[k] = m
		}
		f(m)
	})
}

// withCoordinator calls f with the Coordinator of a quota, which it creates if needed, under the shard's
// lock.
func (q *Quotas) withCoordinator(k quotaKey, f func(*share.Coordinator)) {
	q.coordinators.Do(k, func(coordinators map[quotaKey]*share.Coordinator) {
		c, ok := coordinators[k]
		if !ok {
			c = &share.Coordinator{}
			coordinators[k] = c
		}
		f(c)
	})
}

func (q *Quotas) self() share.MemberID {
	self := q.membership.Self()
	return share.MemberID{Node: self.ID, Incarnation: self.Incarnation}
}

// coordinatorOf picks the coordinator of a team's quota by rendezvous hashing over the live members that
// are not draining.
func (q *Quotas) coordinatorOf(k quotaKey) model.NodeID {
	group := xxhash.Sum64String(string(k.Profile)+"|"+string(k.Team)) % coordinatorGroups
	coordinator, best := q.membership.Self().ID, uint64(0)
	for _, n := range q.membership.Alive() {
		if weight := xxhash.Sum64String(strconv.FormatUint(group, 10) + "|" + string(n.ID)); !n.Draining && weight >= best {
			coordinator, best = n.ID, weight
		}
	}
	return coordinator
}

// wake makes run check its timers.
func (q *Quotas) wake() {
	select {
	case q.wakeup <- struct{}{}:
	default: // A wake-up is already pending.
	}
}

// run sends the requests that are due and then waits for the next timer or wake-up, until the plug-in
// stops.
func (q *Quotas) run() {
	for {
		next := min(q.requestDueGrants(), q.requestDueLoans())
		var due <-chan time.Time
		var timer *time.Timer
		if next < noTimer {
			timer = time.NewTimer(max(next, minRoundInterval))
			due = timer.C
		}
		select {
		case <-due:
		case <-q.wakeup:
			if !q.sleep(minRoundInterval) { // Requests that become due in this time are sent together.
				return
			}
		case <-q.baseCtx.Done():
			return
		}
		if timer != nil {
			timer.Stop()
		}
	}
}

// sleep waits for d; it returns false when the plug-in stops first.
func (q *Quotas) sleep(d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-q.baseCtx.Done():
		return false
	}
}
