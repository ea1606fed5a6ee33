// Package quota bounds the task starts of teams over all members. Each team's quota is divided by
// the machines of package share; this package carries their messages and keeps their time.
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
	holderGroups = 4  // Teams of one group share a holder, and so its messages.
	maxPolled    = 16 // Members asked for loans at once.
	callTimeout  = 500 * time.Millisecond
)

// Settings are the plug-in's own.
type Settings struct {
	Members      int     `json:"members"`       // VMs that quotas are divided among; 0 takes those of settings.
	Floor        float64 `json:"floor"`         // Part of its entitlement that a VM never lends.
	BurstSeconds float64 `json:"burst_seconds"` // Tasks of so many seconds of a quota may start at once.

	known int // Members of the process's settings.
}

// Check tells the faults of the settings.
func (s *Settings) Check(faults *settings.Faults) {
	faults.Require(s.Members == 0 || s.Members >= s.known, "members", fmt.Sprintf("must be 0 or at least the %d members of settings", s.known))
	faults.Require(s.Floor >= 0 && s.Floor <= 1, "floor", "must be 0 to 1")
	faults.Require(s.BurstSeconds > 0, "burst_seconds", "must be above 0")
}

// key names a quota: a team's in one profile.
type key struct {
	Profile model.ProfileName `json:"p"`
	Team    model.TeamID      `json:"t"`
}

// Quotas is the plug-in. Create it through the registry.
type Quotas struct {
	config     share.Config
	started    time.Time
	membership port.Membership
	liveness   port.Liveness
	peers      port.Peers
	refused    metrics.Counter
	messages   metrics.Counter

	members *shard.Map[key, *share.Member]
	holders *shard.Map[key, *share.Holder]
	kicked  chan struct{} // Holds a token while something may be due.
	life    context.Context
	stop    context.CancelFunc
}

// Provision reads the settings and binds the port.
func (q *Quotas) Provision(c *plugin.Context) error {
	own := Settings{Floor: 0.5, BurstSeconds: 10, known: len(c.Node.Members)}
	err := errors.Join(
		c.Settings(&own),
		plugin.Need(c, &q.peers),
		plugin.Need(c, &q.membership),
		plugin.Need(c, &q.liveness),
	)
	if err != nil {
		return err
	}
	q.config = share.Config{
		Members: max(own.Members, len(c.Node.Members), 1), Floor: own.Floor,
		Burst: time.Duration(own.BurstSeconds * float64(time.Second)),
	}
	q.started = time.Now()
	q.refused = metrics.GetOrRegisterCounter("quota.refused", c.Metrics)
	q.messages = metrics.GetOrRegisterCounter("quota.messages", c.Metrics)
	q.members = shard.New[key, *share.Member](shard.DefaultCount)
	q.holders = shard.New[key, *share.Holder](shard.DefaultCount)
	q.kicked = make(chan struct{}, 1)
	q.life, q.stop = context.WithCancel(context.Background())
	port.Handle(q.peers, methodBorrow, q.serveBorrow)
	port.Handle(q.peers, methodLend, q.serveLend)
	plugin.Bind[port.Quotas](c, q)
	return nil
}

// Start begins to borrow and lend.
func (q *Quotas) Start() error {
	go q.work()
	return nil
}

// Stop ends the plug-in's messages.
func (q *Quotas) Stop() error {
	q.stop()
	return nil
}

// Take takes tasks from this VM's part of the team's quota. A team without a quota is not bounded.
func (q *Quotas) Take(profile model.Profile, team model.TeamID, tasks int) (ok bool, retryAfter time.Duration) {
	quota, bounded := profile.Quotas[team]
	if !bounded {
		return true, 0
	}
	var fx share.MemberEffects
	borrowing := false
	q.withMember(key{profile.Name, team}, func(m *share.Member) {
		fx = m.Step(time.Now(), share.Take{Quota: quota, Tasks: tasks})
		_, borrowing = m.Wake()
	})
	if borrowing {
		q.kick()
	}
	if !fx.Taken {
		q.refused.Inc(1)
	}
	return fx.Taken, fx.RetryAfter
}

func (q *Quotas) withMember(k key, f func(*share.Member)) {
	q.members.Do(k, func(members map[key]*share.Member) {
		m, ok := members[k]
		if !ok {
			m = share.NewMember(q.started, q.config)
			members[k] = m
		}
		f(m)
	})
}

func (q *Quotas) withHolder(k key, f func(*share.Holder)) {
	q.holders.Do(k, func(holders map[key]*share.Holder) {
		h, ok := holders[k]
		if !ok {
			h = &share.Holder{}
			holders[k] = h
		}
		f(h)
	})
}

func (q *Quotas) self() share.Run {
	self := q.membership.Self()
	return share.Run{Node: self.ID, Incarnation: self.Incarnation}
}

// holderOf picks the holder of a team's quota by rendezvous hashing over the serving members.
func (q *Quotas) holderOf(k key) model.NodeID {
	group := xxhash.Sum64String(string(k.Profile)+"|"+string(k.Team)) % holderGroups
	holder, best := q.membership.Self().ID, uint64(0)
	for _, n := range q.membership.Alive() {
		if weight := xxhash.Sum64String(strconv.FormatUint(group, 10) + "|" + string(n.ID)); !n.Draining && weight >= best {
			holder, best = n.ID, weight
		}
	}
	return holder
}

func (q *Quotas) kick() {
	select {
	case q.kicked <- struct{}{}:
	default: // A token is there already.
	}
}

// work sends what is due, and then waits for the next thing that is.
func (q *Quotas) work() {
	for {
		next := min(q.borrow(), q.poll())
		var due <-chan time.Time
		var timer *time.Timer
		if next < never {
			timer = time.NewTimer(max(next, minPause))
			due = timer.C
		}
		select {
		case <-due:
		case <-q.kicked:
			if !q.pause(minPause) { // Gathers what becomes due together.
				return
			}
		case <-q.life.Done():
			return
		}
		if timer != nil {
			timer.Stop()
		}
	}
}

func (q *Quotas) pause(d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-q.life.Done():
		return false
	}
}
