package node

import (
	"fmt"
	"net/http"
	"runtime"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"redwingpulley/bench/leased"
)

// processorTime returns the processor time that this process has used.
func processorTime(b *testing.B) time.Duration {
	var used syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &used); err != nil {
		b.Fatal(err)
	}
	return time.Duration(used.Utime.Nano() + used.Stime.Nano())
}

// traffic is what the members of a cluster have exchanged and this process has allocated.
type traffic struct {
	job, control   float64 // Messages of jobs and of control.
	bytes, objects float64 // Allocations.
}

// minus returns the difference of two counts.
func (t traffic) minus(u traffic) traffic {
	return traffic{t.job - u.job, t.control - u.control, t.bytes - u.bytes, t.objects - u.objects}
}

// traffic returns the sums over all members so far.
func (s *platformCluster) traffic() (sum traffic) {
	for _, host := range s.hosts {
		count := func(name string) float64 { return float64(metrics.GetOrRegisterCounter(name, host.Metrics).Count()) }
		sum.job += count("messages.peer.requests") + count("messages.peer.replies")
		sum.control += count("messages.control")
	}
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	sum.bytes, sum.objects = float64(m.TotalAlloc), float64(m.Mallocs)
	return sum
}

// BenchmarkPlatformIdle measures the processor time of idle VMs and endpoints, for several numbers of entry VMs. The
// endpoints' own part is included. With -cpuprofile it shows what each part costs.
func BenchmarkPlatformIdle(b *testing.B) {
	const window = 10 * time.Second
	for _, size := range []struct{ entries, endpoints int }{{6, 24}, {24, 24}, {24, 96}, {72, 24}} {
		b.Run(fmt.Sprintf("entries=%d/endpoints=%d", size.entries, size.endpoints), func(b *testing.B) {
			s, _ := startPlatformBenchmark(b, size.entries, size.endpoints)
			before := processorTime(b)
			s.pause(window)
			used := processorTime(b) - before
			b.ReportMetric(100*used.Seconds()/window.Seconds()/float64(size.entries), "%core/entry")
			b.ReportMetric(0, "ns/op")
		})
	}
}

// BenchmarkPlatformTasks measures the processor time, messages and allocations of a task, from the caller's request to its
// answer, without the idle part. Those of callers and endpoints are included. With -cpuprofile it shows what each part
// costs.
func BenchmarkPlatformTasks(b *testing.B) {
	const (
		entries, endpoints = 6, 48
		window             = 10 * time.Second
		jobInterval        = 4 * time.Millisecond
		tasks, taskMS, cpu = 2, 60, 2000
	)
	s, running := startPlatformBenchmark(b, entries, endpoints)
	idle, idleTraffic := processorTime(b), s.traffic()
	s.pause(window)
	idle, idleTraffic = processorTime(b)-idle, s.traffic().minus(idleTraffic)
	before, trafficBefore := processorTime(b), s.traffic()
	var jobs sync.WaitGroup
	var mu sync.Mutex
	done := 0
	ticker := time.NewTicker(jobInterval)
	defer ticker.Stop()
	sent := 0
	for end := time.Now().Add(window); time.Now().Before(end); <-ticker.C {
		sent++
		id, entry := fmt.Sprintf("%016x", sent+1_000_000), s.callers[sent%entries]
		jobs.Go(func() {
			if status, _ := s.postJob(entry, id, tasks, taskMS, cpu); status == http.StatusOK {
				mu.Lock()
				done++
				mu.Unlock()
			}
		})
	}
	jobs.Wait()
	used := processorTime(b) - before - idle
	perTask := func(total float64) float64 { return total / float64(sent*tasks) }
	exchanged := s.traffic().minus(trafficBefore).minus(idleTraffic)
	b.ReportMetric(perTask(float64(used.Microseconds())), "µs/task")
	b.ReportMetric(perTask(float64(idle.Microseconds())), "idle-µs/task")
	b.ReportMetric(perTask(exchanged.job), "job-messages/task")
	b.ReportMetric(perTask(exchanged.control), "control-messages/task")
	b.ReportMetric(perTask(idleTraffic.control), "idle-control-messages/task")
	for name, path := range map[string]string{"starts/task": "/run-start", "holds/task": "/hold"} {
		calls := 0
		for _, e := range running {
			calls += e.Calls(path)
		}
		b.ReportMetric(perTask(float64(calls)), name)
	}
	b.ReportMetric(perTask(exchanged.bytes), "B/task")
	b.ReportMetric(perTask(exchanged.objects), "allocs/task")
	b.ReportMetric(float64(done)/float64(sent), "done")
	b.ReportMetric(0, "ns/op")
}

// startPlatformBenchmark starts three control VMs, the entry VMs and the endpoints in three data centres.
func startPlatformBenchmark(b *testing.B, entries, endpoints int) (s *platformCluster, running []*leased.Endpoint) {
	s = &platformCluster{t: b, dataCentres: 3, heartbeat: 1500 * time.Millisecond}
	s.start(3, entries)
	for i := range endpoints {
		running = append(running, s.startEndpoint(i+1, 16000, nil))
	}
	s.putConfig(7)
	s.awaitReady()
	s.pause(3 * time.Second)
	return s, running
}

func (s *platformCluster) pause(d time.Duration) {
	select {
	case <-time.After(d):
	case <-s.t.Context().Done():
	}
}
