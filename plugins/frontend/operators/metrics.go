package operators

import (
	"fmt"
	"io"
	"math"
	"slices"
	"strconv"

	"github.com/rcrowley/go-metrics"
)

// writeMetrics writes one line with name and value for each metric, sorted by name. A histogram has
// several lines. Values are rounded to tenths.
func writeMetrics(w io.Writer, registry metrics.Registry) {
	var lines []string
	add := func(name string, value float64) {
		const tenths = 10
		lines = append(lines, name+" "+strconv.FormatFloat(math.Round(tenths*value)/tenths, 'f', -1, 64))
	}
	registry.Each(func(name string, metric any) {
		switch m := metric.(type) {
		case metrics.Counter:
			add(name, float64(m.Count()))
		case metrics.Gauge:
			add(name, float64(m.Value()))
		case metrics.Histogram:
			snapshot := m.Snapshot()
			add(name+".count", float64(snapshot.Count()))
			add(name+".max", float64(snapshot.Max()))
			add(name+".mean", snapshot.Mean())
			for label, quantile := range map[string]float64{"p50": 0.5, "p95": 0.95, "p99": 0.99} {
				add(name+"."+label, snapshot.Percentile(quantile))
			}
		default:
			lines = append(lines, fmt.Sprintf("%s unknown kind %T", name, metric))
		}
	})
	slices.Sort(lines)
	for _, line := range lines {
		fmt.Fprintln(w, line) // Fails only if the client has disconnected.
	}
}
