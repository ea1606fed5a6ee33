package poolstate

import (
	"fmt"
	"testing"
	"time"

	"redwingpulley/kernel/model"
)

// BenchmarkDiscipline simulates a pool of about 100 slots with different size weights of the queue and
// reports the response times and outcomes of the jobs. Each case is simulated only once, whatever
// -benchtime is, since the outcome is always the same.
func BenchmarkDiscipline(b *testing.B) {
	outcomes := make(map[string]simSummary) // Kept because the framework calls a benchmark several times.
	for _, load := range []float64{0.5, 0.85, 1.5} {
		for _, sizeWeight := range []int{0, 1, 4, 16} {
			b.Run(fmt.Sprintf("load=%v/size=%d", load, sizeWeight), func(b *testing.B) {
				trace := simTrace{seed: 7, endpoints: 13, load: load, length: 2 * time.Minute, deadline: 10 * time.Second, teams: 12}
				seen, done := outcomes[b.Name()]
				if !done {
					jobs := simulate(trace, model.BuiltInProfile(), func(m *Machine) { m.queue.sizeWeight = sizeWeight })
					seen = summarize(trace, jobs, all)
					outcomes[b.Name()] = seen
				}
				report(b, seen)
			})
		}
	}
}

func report(b *testing.B, r simSummary) {
	b.ReportMetric(r.overIdeal, "over-ideal")
	b.ReportMetric(float64(r.mean.Milliseconds()), "mean-ms")
	b.ReportMetric(float64(r.p99.Milliseconds()), "p99-ms")
	b.ReportMetric(100*r.wasted, "wasted-%")
	b.ReportMetric(100*r.useful, "useful-%")
	b.ReportMetric(float64(r.refused), "refused")
	b.ReportMetric(float64(r.late), "late")
	b.ReportMetric(0, "ns/op")
}
