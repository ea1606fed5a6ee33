package operators

import (
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"
)

func TestWriteMetricsFormat(t *testing.T) {
	is := is.New(t)
	registry := metrics.NewRegistry()
	metrics.GetOrRegisterCounter("jobs.complete", registry).Inc(7)
	metrics.NewRegisteredFunctionalGauge("pools.slots", registry, func() int64 { return 1_000_000 })
	h := metrics.GetOrRegisterHistogram("jobs.response_ms", registry, metrics.NewUniformSample(100))
	for i := range 99 {
		h.Update(int64(i + 1))
	}
	var out strings.Builder
	writeMetrics(&out, registry)
	is.Equal(out.String(), `jobs.complete 7
jobs.response_ms.count 99
jobs.response_ms.max 99
jobs.response_ms.mean 50
jobs.response_ms.p50 50
jobs.response_ms.p95 95
jobs.response_ms.p99 99
pools.slots 1000000
`)
}
