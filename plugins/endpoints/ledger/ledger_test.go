package ledger

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var now = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func TestBatchStartsOnceWhenRequestIsRepeated(t *testing.T) {
	is := is.New(t)
	var l Ledger
	is.Equal(l.Step(now, Arrived{Sequence: 1}).Verdict, Start)
	is.Equal(l.Step(now, Arrived{Sequence: 1}).Verdict, Join)
	is.Equal(l.Step(now, Queried{Sequence: 1}).Verdict, Join)
	l.Step(now, Ended{Sequence: 1})
	is.Equal(l.Step(now, Queried{Sequence: 1}).Verdict, Join)
	is.Equal(l.Step(now, Queried{Sequence: 2, Settled: 1}).Evict, []uint64{1})
	is.Equal(l.Step(now, Arrived{Sequence: 1}).Verdict, Lost)
}

func TestBatchNeverStartsWhenQueriedBeforeItsRequest(t *testing.T) {
	is := is.New(t)
	var l Ledger
	is.Equal(l.Step(now, Queried{Sequence: 1}).Verdict, Refuse)
	is.Equal(l.Step(now, Arrived{Sequence: 1}).Verdict, Refuse)
	is.Equal(l.Step(now, Queried{Sequence: 1}).Verdict, Refuse)
}

func TestResultIsLostAfterItsLifetime(t *testing.T) {
	is := is.New(t)
	var l Ledger
	l.Step(now, Arrived{Sequence: 1})
	l.Step(now, Ended{Sequence: 1})
	at, ok := l.NextTimer()
	is.True(ok)
	is.Equal(l.Step(at, Elapsed{}).Evict, []uint64{1})
	is.Equal(l.Step(at, Queried{Sequence: 1}).Verdict, Lost)
	is.Equal(l.Step(at, Arrived{Sequence: 1}).Verdict, Lost)
}

// TestBatchStartsAtMostOnceWhenMessagesAreRepeatedAndReordered delivers the messages of an origin any
// number of times, late and in any order. A batch must not start twice, nor start after it was refused
// or be refused after it started.
func TestBatchStartsAtMostOnceWhenMessagesAreRepeatedAndReordered(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var l Ledger
		var o Outbox
		var sent []Event
		open := []uint64{}
		starts := map[uint64]int{}
		refused := map[uint64]bool{}
		deliver := func(e Event, sequence uint64) {
			switch l.Step(now, e).Verdict {
			case Start:
				starts[sequence]++
			case Refuse:
				refused[sequence] = true
			}
			if starts[sequence] > 1 || (starts[sequence] > 0 && refused[sequence]) {
				t.Fatalf("batch %d started %d times, refused %v", sequence, starts[sequence], refused[sequence])
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"open": func(*rapid.T) {
				sequence := o.Open()
				open = append(open, sequence)
				sent = append(sent, Arrived{sequence, o.Settled()})
			},
			"query": func(t *rapid.T) {
				if len(open) > 0 {
					sent = append(sent, Queried{rapid.SampledFrom(open).Draw(t, "batch"), o.Settled()})
				}
			},
			"close": func(t *rapid.T) {
				if len(open) > 0 {
					i := rapid.IntRange(0, len(open)-1).Draw(t, "batch")
					o.Close(open[i])
					open = append(open[:i], open[i+1:]...)
				}
			},
			"deliver": func(t *rapid.T) {
				if len(sent) == 0 {
					return
				}
				switch e := rapid.SampledFrom(sent).Draw(t, "message").(type) {
				case Arrived:
					deliver(e, e.Sequence)
				case Queried:
					deliver(e, e.Sequence)
				}
			},
			"end": func(t *rapid.T) {
				l.Step(now, Ended{rapid.Uint64Range(1, 20).Draw(t, "batch")})
			},
		})
		if len(l.known) > int(o.last) {
			t.Fatalf("ledger has entries for %d batches, but only %d were opened", len(l.known), o.last)
		}
	})
}
