package loadview

import (
	"time"

	"redwingpulley/kernel/model"
)

const (
	// materialShare is the part of a pool's slots by which its free slots or queue must have
	// changed for the change to be told.
	materialShare = 8
	// interest is how long a member counts as one that sends to the pools of an owner.
	interest = 10 * time.Second
	// gossipInterval is the least time between two values on the members' own messages.
	gossipInterval = time.Second
	// refreshInterval is how often loads are told on the members' messages without a change.
	refreshInterval = 10 * time.Second
	// messageRate bounds the messages for the sake of loads alone, a second; messageBurst those at
	// once. At about 400 bytes each they stay well within a node's 7 KB a second for control.
	messageRate  = 4.0
	messageBurst = 8.0
)

// Changed reports whether the difference between two loads is worth telling: a pool that fills up
// or has room again, or a change by an eighth of the slots.
func Changed(told, now model.PoolLoad) bool {
	if told.Slots != now.Slots || told.Largest != now.Largest || told.Owner != now.Owner {
		return true
	}
	if (told.Free-told.Queued > 0) != (now.Free-now.Queued > 0) {
		return true
	}
	change := (told.Free - told.Queued) - (now.Free - now.Queued)
	return max(change, -change) >= max(now.Slots/materialShare, 1)
}

// Reporter decides when an owner tells others of the loads of its pools. Replies to batches carry
// loads anyhow; what is decided here is for members that get no replies. Create one with
// NewReporter.
type Reporter struct {
	gossiped told
	sent     told
	tokens   float64
	filled   time.Time // When tokens were last added.
}

// told is what was told last on one of the ways, and when.
type told struct {
	loads map[model.PoolID]model.PoolLoad
	at    time.Time
}

// NewReporter returns a reporter that has told nothing.
func NewReporter() *Reporter {
	return &Reporter{
		gossiped: told{loads: make(map[model.PoolID]model.PoolLoad)},
		sent:     told{loads: make(map[model.PoolID]model.PoolLoad)},
		tokens:   messageBurst,
	}
}

// Member is another member; Newest is when its newest batch came to one of the owner's pools, and
// zero when none did.
type Member struct {
	Node   model.NodeID
	Newest time.Time
}

// Telling is what an owner tells and to whom.
type Telling struct {
	Gossip bool           // Put all loads on the members' messages.
	To     []model.NodeID // Send all loads to these.
	Next   time.Duration  // Decide again after this at the latest.
}

// Tell decides on the loads of all owned pools. The members are in the order in which they are to
// be told when the budget is not enough for all.
func (r *Reporter) Tell(now time.Time, loads []model.PoolLoad, members []Member) Telling {
	r.fill(now)
	t := Telling{Next: refreshInterval}
	since := now.Sub(r.gossiped.at)
	changed := r.gossiped.changed(loads, Changed)
	switch {
	case since >= refreshInterval, changed && since >= gossipInterval:
		t.Gossip = true
		r.gossiped.remember(now, loads)
	case changed:
		t.Next = gossipInterval - since
	}
	if r.sent.changed(loads, Changed) {
		t.To = r.within(now, members, r.sent.changed(loads, appeared))
		r.sent.remember(now, loads)
	}
	return t
}

// appeared reports whether a pool has begun or ceased to take work, which all members have to know.
func appeared(told, now model.PoolLoad) bool { return (told.Slots > 0) != (now.Slots > 0) }

func (t *told) changed(loads []model.PoolLoad, differ func(told, now model.PoolLoad) bool) bool {
	for _, load := range loads {
		if differ(t.loads[load.Pool], load) {
			return true
		}
	}
	return len(loads) != len(t.loads)
}

func (t *told) remember(now time.Time, loads []model.PoolLoad) {
	t.at = now
	clear(t.loads)
	for _, load := range loads {
		t.loads[load.Pool] = load
	}
}

func (r *Reporter) fill(now time.Time) {
	if !r.filled.IsZero() {
		r.tokens = min(r.tokens+messageRate*now.Sub(r.filled).Seconds(), messageBurst)
	}
	r.filled = now
}

// within returns the members that are told now, as far as the budget goes: those that have sent a
// batch of late, or all.
func (r *Reporter) within(now time.Time, members []Member, all bool) (to []model.NodeID) {
	for _, m := range members {
		if r.tokens < 1 {
			break
		}
		if all || now.Sub(m.Newest) < interest {
			to = append(to, m.Node)
			r.tokens--
		}
	}
	return to
}
