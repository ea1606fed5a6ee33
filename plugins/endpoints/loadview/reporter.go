package loadview

import (
	"maps"
	"time"

	"redwingpulley/kernel/model"
)

const (
	// changeDivisor sets the smallest change of free slots or queue that is published: the pool's slots
	// divided by it, and at least 1.
	changeDivisor = 8
	// senderWindow is how long after its newest batch a member counts as a sender to an owner's pools.
	senderWindow = 10 * time.Second
	// gossipInterval is the least time between two publications by gossip.
	gossipInterval = time.Second
	// refreshInterval is how often loads are published by gossip when nothing has changed.
	refreshInterval = 10 * time.Second
	// messageRate limits the messages per second that carry nothing but loads. At about 400 bytes each they stay well
	// within a node's budget of 7 KB a second for control messages.
	messageRate = 4.0
	// messageBurst limits those sent at once. It lets an owner tell all members of a group of this size that a pool has begun
	// to accept work; by gossip alone, members refuse jobs for seconds after a restart of all processes.
	messageBurst = 64.0
)

// SignificantChange reports whether the difference between two loads is worth publishing: another
// owner, number of slots or greatest resources of an endpoint, a pool that fills up or has free slots
// again, or a change of free slots or queue by an eighth of the slots.
func SignificantChange(published, current model.PoolLoad) bool {
	if published.Slots != current.Slots || published.Largest != current.Largest || published.Owner != current.Owner {
		return true
	}
	if (published.Free-published.Queued > 0) != (current.Free-current.Queued > 0) {
		return true
	}
	change := (published.Free - published.Queued) - (current.Free - current.Queued)
	return max(change, -change) >= max(current.Slots/changeDivisor, 1)
}

// Reporter decides when an owner publishes the loads of its pools. Replies to batches carry loads too;
// the publications are for members that get no replies. Create one with NewReporter. A Reporter is not
// safe for concurrent use.
type Reporter struct {
	lastGossip published
	lastSent   published
	tokens     float64   // Messages that may be sent now, by the token bucket.
	refilledAt time.Time // When tokens were last added.
}

// published holds the loads last published by gossip or by messages, and when that was.
type published struct {
	loads map[model.PoolID]model.PoolLoad
	at    time.Time
}

// NewReporter returns a reporter that has published nothing.
func NewReporter() *Reporter {
	return &Reporter{
		lastGossip: published{loads: make(map[model.PoolID]model.PoolLoad)},
		lastSent:   published{loads: make(map[model.PoolID]model.PoolLoad)},
		tokens:     messageBurst,
	}
}

// Forget makes the next Plan publish the loads of pools that accept work, also if they have not changed.
func (r *Reporter) Forget() {
	maps.DeleteFunc(r.lastSent.loads, func(_ model.PoolID, load model.PoolLoad) bool { return load.Slots > 0 })
}

// Member is another member, to which an owner may send its loads.
type Member struct {
	Node        model.NodeID
	NewestBatch time.Time // When its newest batch reached one of the owner's pools; zero when none has.
}

// Publication says how an owner publishes its loads now.
type Publication struct {
	Gossip bool           // Publish all loads by gossip.
	To     []model.NodeID // Send all loads to these members.
	Next   time.Duration  // Call Plan again after this time at the latest.
}

// Plan decides how the loads of all owned pools are published now. When the message budget does not
// suffice for all members, the first ones are preferred. members is called only when there are loads to be sent and the
// budget allows a message: in a large group it is expensive.
func (r *Reporter) Plan(now time.Time, loads []model.PoolLoad, members func() []Member) Publication {
	r.refill(now)
	pub := Publication{Next: refreshInterval}
	since := now.Sub(r.lastGossip.at)
	changed := r.lastGossip.changed(loads, SignificantChange)
	switch {
	case since >= refreshInterval, changed && since >= gossipInterval:
		pub.Gossip = true
		r.lastGossip.set(now, loads)
	case changed:
		pub.Next = gossipInterval - since
	}
	if r.lastSent.changed(loads, SignificantChange) {
		pub.To = r.recipients(now, members, r.lastSent.changed(loads, servingChanged))
		r.lastSent.set(now, loads)
	}
	return pub
}

// servingChanged reports whether a pool has begun or ceased to accept work, which all members have to
// know.
func servingChanged(old, current model.PoolLoad) bool { return (old.Slots > 0) != (current.Slots > 0) }

// changed reports whether any of the loads differs from the published one, or the number of pools does.
func (p *published) changed(loads []model.PoolLoad, differ func(published, current model.PoolLoad) bool) bool {
	for _, load := range loads {
		if differ(p.loads[load.Pool], load) {
			return true
		}
	}
	return len(loads) != len(p.loads)
}

func (p *published) set(now time.Time, loads []model.PoolLoad) {
	p.at = now
	clear(p.loads)
	for _, load := range loads {
		p.loads[load.Pool] = load
	}
}

// refill adds the tokens that have accrued since the last call.
func (r *Reporter) refill(now time.Time) {
	if !r.refilledAt.IsZero() {
		r.tokens = min(r.tokens+messageRate*now.Sub(r.refilledAt).Seconds(), messageBurst)
	}
	r.refilledAt = now
}

// recipients returns the members to send the loads to: those that have sent a batch within
// senderWindow, or all. It takes a token for each, and stops when none is left.
func (r *Reporter) recipients(now time.Time, members func() []Member, all bool) (to []model.NodeID) {
	if r.tokens < 1 {
		return nil
	}
	for _, m := range members() {
		if r.tokens < 1 {
			break
		}
		if all || now.Sub(m.NewestBatch) < senderWindow {
			to = append(to, m.Node)
			r.tokens--
		}
	}
	return to
}
