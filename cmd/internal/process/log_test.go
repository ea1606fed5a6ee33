package process

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"redwingpulley/bench/caller"
	"redwingpulley/bench/load"
	"redwingpulley/bench/trace"
)

// TestUnreadOutputDoesNotDelayJobs submits jobs while nobody reads the processes' log output. Each job makes a few
// hundred lines; together they are more than the pipe and the log's queue hold.
func TestUnreadOutputDoesNotDelayJobs(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := start(t, clusterConfig{dataCentres: 1, vms: 2, endpoints: 10, slots: 16})
	for _, v := range c.vms {
		v.unread.Store(true)
		defer close(v.resume)
	}
	const jobs, intervalMS = 40, 100
	var all []trace.Job
	for i := range jobs {
		all = append(all, trace.Job{
			AtMS: int64(i * intervalMS), Service: "finder", Team: "team-1", DeadlineMS: 10_000, RunMS: slices.Repeat([]int64{1}, trace.MaxTasks),
		})
	}
	client := caller.New(c.entries(), 0, 0)
	defer client.Close()
	results, err := load.Runner{Client: client, Tickets: true}.Run(c.ctx, all)
	c.must(err)
	for _, r := range results {
		is.Equal(r.Outcome, caller.Complete)
	}
	dropped := 0
	for _, v := range c.vms {
		dropped += c.readMetric(v, "log.lines_dropped")
	}
	is.True(dropped > 0) // More lines than the queue held.
}

// readMetric reads one metric of a process.
func (c *cluster) readMetric(v *vm, name string) (value int) {
	c.t.Helper()
	client := http.Client{Timeout: 10 * time.Second}
	response, err := client.Get("http://" + v.settings.Listen.Operators + "/metrics.txt")
	c.must(err)
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	c.must(err)
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(line, name+" "); ok {
			_, err := fmt.Sscan(rest, &value)
			c.must(err)
			return value
		}
	}
	c.t.Fatalf("%s has no metric %s", v.settings.Node, name)
	return 0
}
