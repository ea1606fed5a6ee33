package endpoints

import (
	"time"

	"redwingpulley/kernel/event"
	"redwingpulley/kernel/model"
	"redwingpulley/plugins/endpoints/transit"
)

// A batch may lie unread for seconds: in the socket of a member that stands still, or in that of its sender, while they cannot reach
// each other. The sender has given it up then, and the caller has sent its job to another member. So each batch is stamped with a time
// of its receiver's clock, and a receiver refuses one that may be too old. The refusal tells the sender the receiver's clock, so that
// one that still waits sends the batch again.

// clock returns the time of this member's clock.
func (p *Pools) clock() transit.Time {
	return transit.Time{
		Incarnation: p.membership.Self().Incarnation, Pauses: p.liveness.Pauses(), Millis: time.Since(p.startedAt).Milliseconds(),
	}
}

// recordClock records a time of another member's clock that was received from it; nil stands for none.
func (p *Pools) recordClock(of model.NodeID, t *transit.Time) {
	if t == nil {
		return
	}
	now := time.Now()
	received := transit.Reading{Time: *t, ReceivedAt: now}
	p.clocks.Do(of, func(readings map[model.NodeID]transit.Reading) {
		readings[of] = transit.Newer(now, readings[of], received)
	})
}

// clockOf returns a time that another member's clock has certainly passed. It is the zero time, which is always outdated, when none
// is known.
func (p *Pools) clockOf(member model.NodeID) transit.Time {
	reading, known := p.clocks.Get(member)
	if !known {
		return transit.Time{}
	}
	return reading.At(time.Now())
}

// isOutdated reports whether a batch may have been under way for too long, and logs and counts it then. Members of an earlier version
// put no time on their batches.
func (p *Pools) isOutdated(from model.NodeID, r *runRequest) bool {
	if r.SentAt == nil {
		return false
	}
	now := p.clock()
	if !transit.Outdated(now, *r.SentAt) {
		return false
	}
	p.instruments.countRefusal(model.ReasonOutdated)
	event.BatchOutdated.Log(p.log, event.Text(event.Job, r.ID.Job), event.Text(event.JobKey, r.Key), event.Int(event.Part, r.ID.Part),
		event.Text(event.Pool, r.Pool.String()), event.Text(event.Member, from),
		event.MS(event.AgeMS, time.Duration(now.Millis-r.SentAt.Millis)*time.Millisecond))
	return true
}
