package load

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"redwingpulley/bench/caller"
)

// Range and precision of the latency histograms.
const (
	lowestMicros  = 1
	highestMicros = int64(time.Hour / time.Microsecond)
	digits        = 3
)

// Summary is the counts and response times of some results.
type Summary struct {
	Jobs      int
	Outcomes  map[caller.Outcome]int
	Reasons   map[string]int // Of jobs that are not complete: outcome and reason.
	Resends   int
	Responses *hdrhistogram.Histogram // Of complete jobs, microseconds.
	Refusals  *hdrhistogram.Histogram // Of refused jobs, microseconds.
}

// Summarize counts the results.
func Summarize(results []Result) Summary {
	s := Summary{
		Jobs: len(results), Outcomes: make(map[caller.Outcome]int), Reasons: make(map[string]int),
		Responses: hdrhistogram.New(lowestMicros, highestMicros, digits),
		Refusals:  hdrhistogram.New(lowestMicros, highestMicros, digits),
	}
	for _, r := range results {
		s.Outcomes[r.Outcome]++
		s.Resends += r.Resends
		micros := min(max(r.Response.Microseconds(), lowestMicros), highestMicros)
		switch r.Outcome {
		case caller.Complete:
			s.Responses.RecordValue(micros) // In range by the bounds above.
		case caller.NotRun:
			s.Refusals.RecordValue(micros)
			s.Reasons[string(r.Outcome)+" "+r.Reason]++
		default:
			s.Reasons[string(r.Outcome)+" "+r.Reason]++
		}
	}
	return s
}

// Quantile returns the response time of complete jobs at a percentile, 0 to 100.
func (s Summary) Quantile(percentile float64) time.Duration {
	return time.Duration(s.Responses.ValueAtQuantile(percentile)) * time.Microsecond
}
