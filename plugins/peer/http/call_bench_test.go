package http

import (
	"context"
	"fmt"
	"strings"
	"syscall"
	"testing"
	"time"

	"redwingpulley/kernel/model"
	"redwingpulley/kernel/port"
)

// processorTime returns the processor time that this process has used.
func processorTime(b *testing.B) time.Duration {
	var used syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &used); err != nil {
		b.Fatal(err)
	}
	return time.Duration(used.Utime.Nano() + used.Stime.Nano())
}

// BenchmarkCall measures a call from one member to another and its reply, both sides together: one that belongs to a job, a
// control request over an open connection, and one that opens a connection, as most probes do. The text is about as long as
// a batch of four tasks. Each call has a goroutine of its own, as the batch of a job has.
func BenchmarkCall(b *testing.B) {
	const jobMethod, controlMethod = "echo", "quota/echo"
	for _, c := range []struct {
		name, method string
		keepOpen     bool
	}{{"job", jobMethod, true}, {"job_opening_a_connection", jobMethod, false}, {"control", controlMethod, true}, {"control_opening_a_connection", controlMethod, false}} {
		b.Run(c.name, func(b *testing.B) {
			var echo port.Handler = func(_ context.Context, _ model.NodeID, decode func(any) error) (any, error) {
				var n note
				err := decode(&n)
				return n, err
			}
			from, to := newPeers(b, "a", nil), newPeers(b, "b", map[string]port.Handler{controlMethod: echo})
			from.SetAddress("b", to.address())
			request := note{strings.Repeat("x", 600)}
			delivered := make(chan port.Delivery)
			b.ReportAllocs()
			before := processorTime(b)
			for b.Loop() {
				go func() {
					var reply note
					delivered <- from.Call(b.Context(), "b", c.method, request, &reply)
				}()
				if delivery := <-delivered; delivery != port.Delivered {
					b.Fatal(delivery)
				}
				if !c.keepOpen {
					from.client("b", c.method, time.Time{}, false).CloseIdleConnections()
				}
			}
			b.ReportMetric(float64((processorTime(b)-before).Nanoseconds())/float64(b.N), "cpu-ns/op")
		})
	}
}

// BenchmarkIdleConnections measures what the connections cost, both sides together, over which a member has sent a batch each to many
// others: for each connection, until it is closed or ten seconds have passed.
func BenchmarkIdleConnections(b *testing.B) {
	const (
		connections = 200
		window      = 10 * time.Second
	)
	from, to := newPeers(b, "a", nil), newPeers(b, "b", nil)
	for i := range connections {
		node := model.NodeID(fmt.Sprint("b", i))
		from.SetAddress(node, to.address())
		if from.Call(b.Context(), node, "echo", note{}, &note{}) != port.Delivered {
			b.Fatal("no reply")
		}
	}
	before := processorTime(b)
	time.Sleep(window)
	b.ReportMetric(float64((processorTime(b)-before).Microseconds())/connections, "µs/connection")
	b.ReportMetric(0, "ns/op")
}
