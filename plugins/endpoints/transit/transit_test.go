package transit

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Guards against review/6: a message that was read long after its sender had given it up was taken for a new one. Whatever the delay
// of the message with the reading, the speed of the clocks and the time between the two messages, one that is older than MaxAge is outdated.
func TestMessageThatWasUnderWayForTooLongIsOutdated(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		duration := func(name string, longest time.Duration) time.Duration {
			return time.Duration(rapid.Int64Range(0, longest.Milliseconds()).Draw(t, name)) * time.Millisecond
		}
		speed := rapid.Float64Range(1-maxDrift, 1+maxDrift).Draw(t, "speed of the receiver's clock") // By the sender's.
		readingDelay, untilSent := duration("delay of the reading", 10*time.Second), duration("time until the message is sent", time.Hour)
		underWay := duration("time under way", 10*time.Second)
		clockAt := func(passed time.Duration) Time {
			return Time{Incarnation: "r1", Millis: 5000 + int64(speed*float64(passed.Milliseconds()))}
		}
		r := Reading{clockAt(0), start.Add(readingDelay)}
		sent := r.At(start.Add(readingDelay + untilSent))
		outdated := Outdated(clockAt(readingDelay+untilSent+underWay), sent)
		if !outdated && underWay > MaxAge+MaxAge/100 {
			t.Fatalf("a message that was under way for %v is not outdated", underWay)
		}
	})
}

func TestMessageIsNotOutdatedWhenItIsReadAtOnce(t *testing.T) {
	is := is.New(t)
	r := Reading{Time{Incarnation: "r1", Pauses: 2, Millis: 5000}, start}
	for _, passed := range []time.Duration{0, time.Second, 5 * time.Minute} {
		now := r.Time
		now.Millis += passed.Milliseconds() + 100
		is.True(!Outdated(now, r.At(start.Add(passed))))
	}
}

// Guards against a message that was sent before its receiver stood still, when the receiver's clock stood still as well.
func TestMessageFromBeforeAPauseOrARestartIsOutdated(t *testing.T) {
	is := is.New(t)
	sent := Time{Incarnation: "r1", Pauses: 2, Millis: 5000}
	is.True(!Outdated(Time{"r1", 2, 5000}, sent))
	is.True(Outdated(Time{"r1", 3, 5000}, sent))
	is.True(Outdated(Time{"r2", 2, 5000}, sent))
	is.True(Outdated(Time{"r1", 0, 0}, Time{})) // The sender knew no time of the receiver's clock.
}

// Guards against readings that get worse: one that came late, or from before a pause, must not replace a better one.
func TestCloserReadingIsKept(t *testing.T) {
	is := is.New(t)
	now := start.Add(time.Second)
	closer, late := Reading{Time{"r1", 0, 5000}, start}, Reading{Time{"r1", 0, 5100}, now}
	is.Equal(Newer(now, closer, late), closer)
	is.Equal(Newer(now, late, closer), closer)
	paused, restarted := Reading{Time{"r1", 1, 5200}, now}, Reading{Time{"r2", 0, 10}, now}
	is.Equal(Newer(now, closer, paused), paused)
	is.Equal(Newer(now, paused, closer), paused)
	is.Equal(Newer(now, paused, restarted), restarted)
	is.Equal(Newer(now, Reading{}, closer), closer)
}
