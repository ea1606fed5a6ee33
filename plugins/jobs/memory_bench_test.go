package jobs

import (
	"context"
	"runtime"
	"testing"

	"redwingpulley/kernel/model"
)

// BenchmarkEndedJob reports how much memory an ended job takes until its id has expired and it is
// removed.
func BenchmarkEndedJob(b *testing.B) {
	owner, atOwner := newMember(b, make(map[model.NodeID]*fake), "a")
	atOwner.run = func(_ context.Context, batch model.Batch) model.BatchResult {
		return model.RefusedBatch(batch.ID, model.ReasonOverload)
	}
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	for b.Loop() {
		owner.Submit(b.Context(), newJob("", 16))
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(owner.jobs.Len()), "bytes-kept/job")
}
