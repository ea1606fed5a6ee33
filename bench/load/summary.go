package load

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"redwingpulley/bench/caller"
)

// Range (in microseconds) and precision of the latency histograms.
const (
	lowestMicros      = 1
	highestMicros     = int64(time.Hour / time.Microsecond)
	significantDigits = 3
)

// Summary aggregates the results of a set of jobs.
type Summary struct {
	Jobs      int
	Outcomes  map[caller.Outcome]int
	Reasons   map[string]int // Number of jobs that are not complete, by outcome and reason.
	Resends   int
	Responses *hdrhistogram.Histogram // Response times of complete jobs in microseconds.
	Refusals  *hdrhistogram.Histogram // Response times of refused jobs in microseconds.
}

// Summarize aggregates the results.
func Summarize(results []Result) Summary {
	s := Summary{
		Jobs: len(results), Outcomes: make(map[caller.Outcome]int), Reasons: make(map[string]int),
		Responses: hdrhistogram.New(lowestMicros, highestMicros, significantDigits),
		Refusals:  hdrhistogram.New(lowestMicros, highestMicros, significantDigits),
	}
	for _, r := range results {
		s.Outcomes[r.Outcome]++
		s.Resends += r.Resends
		micros := min(max(r.Response.Microseconds(), lowestMicros), highestMicros)
		switch r.Outcome {
		case caller.Complete:
			s.Responses.RecordValue(micros) // Can't fail, since micros lies within the histogram's range.
		case caller.NotRun:
			s.Refusals.RecordValue(micros)
			s.Reasons[string(r.Outcome)+" "+r.Reason]++
		default:
			s.Reasons[string(r.Outcome)+" "+r.Reason]++
		}
	}
	return s
}

// Quantile returns the given percentile (0 to 100) of the response times of complete jobs.
func (s Summary) Quantile(percentile float64) time.Duration {
	return time.Duration(s.Responses.ValueAtQuantile(percentile)) * time.Microsecond
}
