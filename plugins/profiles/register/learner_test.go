package register

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"redwingpulley/kernel/model"
)

// countFetches counts the Fetch messages among the effects.
func countFetches(effects []Effect) (count int) {
	for _, effect := range effects {
		switch e := effect.(type) {
		case Send:
			if e.Message.Kind == Fetch {
				count++
			}
		case Ask:
			if e.Message.Kind == Fetch {
				count++
			}
		}
	}
	return count
}

// Guards against issue 16: a member that had been told of a newer revision fetched it once, and when that
// message was lost served the older one for up to fetchInterval more.
func TestFetch_RepeatedUntilToldRevisionIsKnown(t *testing.T) {
	is := is.New(t)
	m := New(Config{Self: "x", Seed: 7}, nil) // Without replicas it serves at once.
	now := time.Unix(0, 0)
	m.Step(now, Woken{})
	is.True(m.serving)
	now = m.NextTimer()
	m.Step(now, Woken{})
	is.Equal(m.NextTimer().Sub(now), fetchInterval)
	is.Equal(countFetches(m.Step(now, Told{From: "a", Revision: 1})), 1)
	repeated := 0
	for end := now.Add(time.Second); m.NextTimer().Before(end); {
		now = m.NextTimer()
		repeated += countFetches(m.Step(now, Woken{}))
	}
	is.True(repeated >= 2)
	state := acceptedState()
	m.Step(now, Received{"a", Message{Kind: Chosen, Value: &state, Revision: 1}})
	is.Equal(m.served.Revision(), model.Revision(1))
	m.Step(m.NextTimer(), Woken{})
	is.True(m.NextTimer().Sub(m.now) >= fetchInterval) // Known: back to the usual interval.
}
