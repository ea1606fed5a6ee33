// Package transit bounds how long a message was under way between two members before it was read. Their clocks need not agree:
// the sender stamps the message with a time of the receiver's clock, which it knows from an earlier message of the receiver.
package transit

import (
	"time"

	"redwingpulley/kernel/model"
)

const (
	// MaxAge is the age from which a message counts as outdated when it is read. Its sender may give it up and answer the
	// caller within a second of a fault, and the caller may send its job to another member 1.3 s after that.
	MaxAge = 500 * time.Millisecond
	// maxDrift is the fraction by which the steady clocks of two members may differ in speed.
	maxDrift = 0.001
)

// Time is a time of a member's steady clock. Times are comparable within one incarnation of the member, and between two
// pauses of its process: the clock of a suspended VM may stand still.
type Time struct {
	Incarnation model.Incarnation `json:"i"`
	Pauses      uint64            `json:"p,omitempty"` // port.Liveness.Pauses of the member.
	Millis      int64             `json:"t"`           // Milliseconds since the member's start.
}

// comparable reports whether both times are of the same incarnation and without a pause between them.
func (t Time) comparable(other Time) bool {
	return t.Incarnation == other.Incarnation && t.Pauses == other.Pauses
}

// Reading is a time of another member's clock, and when this member received it. The zero value is one of an unknown member.
type Reading struct {
	Time       Time
	ReceivedAt time.Time
}

// At returns a time that the other member's clock has certainly passed at now.
func (r Reading) At(now time.Time) Time {
	t := r.Time
	t.Millis += int64((1 - maxDrift) * float64(now.Sub(r.ReceivedAt).Milliseconds()))
	return t
}

// Newer returns the one of two readings of a member's clock by which later times are known more closely.
func Newer(now time.Time, known, received Reading) Reading {
	if !known.Time.comparable(received.Time) {
		if known.Time.Incarnation == received.Time.Incarnation && known.Time.Pauses > received.Time.Pauses {
			return known
		}
		return received
	}
	if known.At(now).Millis > received.At(now).Millis {
		return known
	}
	return received
}

// Outdated reports whether a message may have been under way for more than MaxAge. now is the time of the receiver's clock, sent
// the time that the sender has put on the message.
func Outdated(now, sent Time) bool {
	return !now.comparable(sent) || now.Millis-sent.Millis > MaxAge.Milliseconds()
}
