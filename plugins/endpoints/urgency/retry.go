package urgency

import (
	"math"
	"time"

	"redwingpulley/kernel/model"
)

// refusalWindow is the time constant with which refusals cease to count as recent.
const refusalWindow = time.Second

// Refusals decides when callers that a pool refuses are advised to try again. The load that it addresses is a
// burst, after which all refused callers would come back together and be refused again. The zero value is ready to
// use.
type Refusals struct {
	recent float64   // Number of refusals, with exponential decay.
	at     time.Time // Time of the newest refusal, to which recent applies.
	weight int       // Largest weight among the priorities of refused batches.
}

// Refused is a batch that a pool refuses now.
type Refused struct {
	RoomIn   time.Duration // Expected time until the pool has room for it.
	PoolTime time.Duration // Time that the whole pool needs for it.
	Left     time.Duration // Time until its deadline.
	Priority int
}

// RetryAfter returns the delay that is advised to the caller of a refused batch; random is in [0, 1). The delays are spread
// evenly over an interval that begins when there is room and lasts for as long as that takes and as the pool needs for all
// that was refused recently. For a less urgent batch both grow by the ratio of the weights, but no further than its
// deadline, after which its caller has given up.
func (r *Refusals) RetryAfter(now time.Time, b Refused, random float64) time.Duration {
	r.add(now)
	weight := Weight(b.Priority)
	r.weight = max(r.weight, weight)
	factor := float64(r.weight) / float64(weight)
	roomIn := max(b.RoomIn, model.MinRetryAfter)
	spread := float64(roomIn) + (r.recent-1)*float64(b.PoolTime)
	return model.RetryAfter(scaled(float64(roomIn), factor), scaled(spread, factor), b.Left, random)
}

// scaled returns a multiple of a duration, up to model.MaxRetryAfter, so that it does not overflow.
func scaled(d, factor float64) time.Duration {
	return time.Duration(min(d*factor, float64(model.MaxRetryAfter)))
}

func (r *Refusals) add(now time.Time) {
	r.recent = r.recent*math.Exp(-float64(max(now.Sub(r.at), 0))/float64(refusalWindow)) + 1
	r.at = now
}
