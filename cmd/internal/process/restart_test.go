package process

import (
	"context"
	"flag"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"redwingpulley/bench/caller"
	"redwingpulley/bench/load"
	"redwingpulley/bench/measure"
	"redwingpulley/bench/standin"
	"redwingpulley/bench/trace"
	"redwingpulley/kernel/wait"
)

var restarts = flag.Int("restarts", 3, "planned restarts in TestRollingRestarts")

const (
	healthInterval = 50 * time.Millisecond // Time between the balancer's health checks.
	callers        = 8                     // Callers, each of which submits one job after another.
	jobsBetween    = 16                    // Jobs that complete between two restarts.
)

// balancer directs callers to entry VMs that are ready, as the platform's load balancer does.
type balancer struct {
	entries []string
	client  *http.Client

	mu    sync.Mutex
	ready []bool
	next  int
}

func newBalancer(entries []string) *balancer {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	return &balancer{entries: entries, client: client, ready: make([]bool, len(entries))}
}

// monitor checks the entry VMs' health at intervals until the context ends.
func (b *balancer) monitor(ctx context.Context) {
	ticker := time.NewTicker(healthInterval)
	defer ticker.Stop()
	for {
		for i := range b.entries {
			b.checkHealth(i)
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (b *balancer) checkHealth(i int) {
	response, err := b.client.Get("http://" + b.entries[i] + "/readyz")
	ready := err == nil && response.StatusCode == http.StatusOK
	if err == nil {
		response.Body.Close()
	}
	b.mu.Lock()
	b.ready[i] = ready
	b.mu.Unlock()
}

// connectOrder returns the entry VMs in the order in which to try to connect: the ready ones, by round robin. If none
// is ready, it returns all.
func (b *balancer) connectOrder() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.next++
	var order []string
	for k := range b.entries {
		if i := (b.next + k) % len(b.entries); b.ready[i] {
			order = append(order, b.entries[i])
		}
	}
	if len(order) == 0 {
		return b.entries
	}
	return order
}

// TestRollingRestarts restarts one entry VM after another by SIGTERM, while callers submit jobs through a balancer. No
// restart may interrupt a job: each job completes, or is answered as not run and completes when it is submitted again.
func TestRollingRestarts(t *testing.T) {
	is := is.New(t)
	c := start(t, clusterConfig{dataCentres: 1, vms: 3, endpoints: 4, slots: slots})
	ctx, stop := context.WithCancel(c.ctx)
	defer stop()
	b := newBalancer(c.entries())
	var background, submitting sync.WaitGroup
	for i := range b.entries {
		b.checkHealth(i)
	}
	background.Go(func() { b.monitor(ctx) })
	results := make([][]load.Result, callers)
	completed := make(chan struct{}, callers*jobsBetween)
	for i := range callers {
		submitting.Go(func() { results[i] = submitUntil(ctx, b, completed) })
	}
	for i := range *restarts {
		c.awaitCompleted(completed, jobsBetween)
		c.restart(i % len(c.vms))
	}
	c.awaitCompleted(completed, jobsBetween)
	stop()
	submitting.Wait()
	background.Wait()

	jobs, incomplete := 0, 0
	for _, own := range results {
		for _, r := range own {
			jobs++
			if r.Outcome != caller.Complete {
				incomplete++
				t.Logf("job %s: %s %s", r.ID, r.Outcome, r.Reason)
			}
		}
	}
	t.Logf("%d restarts, %d jobs, %d not complete", *restarts, jobs, incomplete)
	is.True(jobs > *restarts) // Jobs ran between the restarts.
	is.Equal(incomplete, 0)
	is.Equal(standin.RepeatedStarts(c.logs()...), nil)
	is.Equal(measure.New(measure.Run{Jobs: []trace.Job{}, Logs: c.logs()}).Violations, []string{})
}

// awaitCompleted waits until the given number of jobs have completed.
func (c *cluster) awaitCompleted(completed <-chan struct{}, jobs int) {
	c.t.Helper()
	for range jobs {
		select {
		case <-completed:
		case <-c.ctx.Done():
			c.t.Fatal("jobs stopped completing")
		}
	}
}

// restart ends an entry VM by SIGTERM, checks that its exit code is 0, and starts it again.
func (c *cluster) restart(index int) {
	c.t.Helper()
	c.signal(index, syscall.SIGTERM)
	select {
	case <-c.vms[index].exited:
	case <-c.ctx.Done():
		c.t.Fatalf("%s did not exit after SIGTERM", c.members[index].Node)
	}
	if code := c.vms[index].command.ProcessState.ExitCode(); code != 0 {
		c.t.Errorf("%s exited with %d:\n%s", c.members[index].Node, code, c.logTail(c.vms[index]))
	}
	c.vms[index] = c.launch(index)
}

// submitUntil submits one job after another until the context ends, and returns their outcomes. A job that was not run
// is submitted again.
func submitUntil(ctx context.Context, b *balancer, completed chan<- struct{}) (results []load.Result) {
	const tasks, ms = 4, 80
	client := caller.New(nil, 0, 0)
	defer client.Close()
	for ctx.Err() == nil {
		var result caller.Result
		for {
			client.Entries = b.connectOrder()
			// Not ctx: a job that was submitted must be answered although submitting ends.
			result = client.Submit(context.WithoutCancel(ctx), 0, newJob(tasks, ms))
			if result.Outcome != caller.NotRun || ctx.Err() != nil {
				break
			}
			wait.For(ctx, healthInterval)
		}
		if result.Outcome == caller.NotRun {
			break
		}
		own := load.Result{ID: result.JobID, Outcome: result.Outcome, Reason: result.Reason}
		if own.Outcome == caller.Complete && !load.AnswersMatch(result.JobID, tasks, result.Answers) {
			own.Outcome = load.Wrong
		}
		results = append(results, own)
		if own.Outcome == caller.Complete {
			select {
			case completed <- struct{}{}:
			default: // The channel is full: enough completed jobs are counted.
			}
		}
	}
	return results
}
