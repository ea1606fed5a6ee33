package process

import (
	"flag"
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

var extraTime = flag.Duration("extra-time", 0, "added to the hang guard of each test")

const (
	faultAt  = 3 * time.Second  // From the start of the load.
	length   = 12 * time.Second // Of the load.
	recovery = 6 * time.Second  // After which jobs that a fault does not concern complete again.
	resends  = 5
	slots    = 4
)

// play sends a load to all entry VMs, has fault happen in it, and checks what must always hold.
func (c *cluster) play(share float64, fault func()) ([]trace.Job, []load.Result) {
	c.t.Helper()
	return c.playAt(c.entries(), share, fault)
}

// playAt is play with the addresses at which callers reach the entry VMs.
func (c *cluster) playAt(entries []string, share float64, fault func()) ([]trace.Job, []load.Result) {
	c.t.Helper()
	jobs := trace.Generate(trace.Workload{
		Service: "finder", Seed: 1, Length: length, Slots: len(c.endpoints) * slots, Load: share,
		Teams: 2, Deadline: 5 * time.Second, Largest: 16, DeclaredError: 3,
	})
	client := caller.New(entries, 0, resends)
	defer client.Close()
	var faulty sync.WaitGroup
	faulty.Go(func() {
		wait.For(c.ctx, faultAt)
		fault()
	})
	results, err := load.Runner{Client: client, Tickets: true}.Run(c.ctx, jobs)
	faulty.Wait()
	c.must(err)
	c.check(jobs, results)
	return jobs, results
}

// maxPerTask bounds the messages to endpoints for each started task under faults: an outage must
// not multiply them.
const maxPerTask = 3

// check fails the test when a promise was broken, a job got no answer, or messages multiplied.
func (c *cluster) check(jobs []trace.Job, results []load.Result) {
	c.t.Helper()
	report := measure.New(measure.Run{
		Jobs: jobs, Results: results, Logs: c.logs(), Slots: map[string]int{"finder": len(c.endpoints) * slots},
	})
	for _, broken := range report.Broken {
		c.t.Error(broken)
	}
	summary := load.Summarize(results)
	c.t.Logf("%d jobs: %v %v, %d resends, messages to endpoints: %.3f a task, %.3f%% wasted",
		summary.Jobs, summary.Outcomes, summary.Reasons, summary.Resends, report.Messages.PerTask(), 100*report.Messages.WastedShare())
	if perTask := report.Messages.PerTask(); perTask > maxPerTask {
		c.t.Errorf("%.3f messages to endpoints for each started task", perTask)
	}
	if unknown := summary.Outcomes[caller.Unknown]; unknown > 0 {
		c.t.Errorf("%d jobs got no answer", unknown)
	}
}

// completeAfter fails the test for each job that was sent after the given time, to an entry VM
// other than the lost one, and did not complete. lost is -1 for none.
func (c *cluster) completeAfter(from time.Duration, lost int, jobs []trace.Job, results []load.Result) {
	c.t.Helper()
	for i, r := range results {
		if jobs[i].At() >= from && i%len(c.members) != lost && r.Outcome != caller.Complete {
			c.t.Errorf("job %d, sent after %v: %s %s", i, jobs[i].At(), r.Outcome, r.Reason)
		}
	}
}

func TestKilledEntryVM(t *testing.T) {
	t.Parallel()
	c := start(t, shape{dataCentres: 1, vms: 3, endpoints: 6, slots: slots})
	jobs, results := c.play(0.4, func() { c.kill(1) })
	c.completeAfter(faultAt+recovery, 1, jobs, results)
}

func TestKilledAndRestartedEntryVM(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := start(t, shape{dataCentres: 1, vms: 3, endpoints: 6, slots: slots})
	jobs, results := c.play(0.4, func() { c.kill(1) })
	c.completeAfter(faultAt+recovery, 1, jobs, results)
	c.vms[1] = c.launch(1)
	c.warmUp()
	// An id of the killed process is not run again by the one that came after it.
	client := caller.New(c.entries()[1:2], 0, 0)
	defer client.Close()
	old := load.Submission(results[1].ID, jobs[1])
	is.Equal(client.Submit(c.ctx, 0, old).Outcome, caller.MayHaveRun)
	c.check(jobs, results)
}

func TestFrozenPoolOwner(t *testing.T) {
	t.Parallel()
	for i := range 3 {
		// Each entry VM is frozen in turn, so that the pool's owner is among them.
		t.Run(string(rune('a'+i)), func(t *testing.T) {
			t.Parallel()
			c := start(t, shape{dataCentres: 1, vms: 3, endpoints: 4, slots: slots})
			c.play(0.4, func() {
				c.signal(i, syscall.SIGSTOP)
				wait.For(c.ctx, 5*time.Second)
				c.signal(i, syscall.SIGCONT)
			})
		})
	}
}

func TestCrashedEndpoint(t *testing.T) {
	t.Parallel()
	c := start(t, shape{dataCentres: 1, vms: 2, endpoints: 4, slots: slots})
	jobs, results := c.play(0.3, func() { c.endpoints[0].Close() })
	c.completeAfter(faultAt+recovery, -1, jobs, results)
}

func TestFrozenEndpoint(t *testing.T) {
	t.Parallel()
	c := start(t, shape{dataCentres: 1, vms: 2, endpoints: 4, slots: slots})
	jobs, results := c.play(0.3, func() {
		c.endpoints[0].Behave(standin.Behaviour{Freeze: true})
		wait.For(c.ctx, 5*time.Second)
		c.endpoints[0].Behave(standin.Behaviour{})
	})
	c.completeAfter(faultAt+recovery, -1, jobs, results)
}

func TestLeavingEndpointGetsNoNewWork(t *testing.T) {
	t.Parallel()
	const few = 3 * time.Second // "After a few seconds."
	c := start(t, shape{dataCentres: 1, vms: 2, endpoints: 4, slots: slots})
	var leftAt time.Time
	jobs, results := c.play(0.3, func() {
		leftAt = time.Now()
		c.endpoints[0].Leave()
	})
	c.completeAfter(0, -1, jobs, results)
	for _, r := range c.endpoints[0].Log().Records {
		if !r.Revoke && r.At.After(leftAt.Add(few)) {
			t.Errorf("task %s came %v after the endpoint began to leave", r.Task, r.At.Sub(leftAt))
		}
	}
}

func TestSilentConnectionsToAnEndpoint(t *testing.T) {
	t.Parallel()
	c := start(t, shape{dataCentres: 1, vms: 2, endpoints: 4, slots: slots})
	jobs, results := c.play(0.3, func() { c.front[0].Silence() })
	c.completeAfter(0, -1, jobs, results) // A new connection works: the answers can be had over it.
}

func TestSilentConnectionsBetweenDataCentres(t *testing.T) {
	t.Parallel()
	c := start(t, shape{dataCentres: 2, vms: 1, endpoints: 3, slots: slots})
	jobs, results := c.play(0.3, func() {
		for _, r := range c.between {
			r.Silence()
		}
	})
	c.completeAfter(0, -1, jobs, results) // A new connection works: the answers can be had over it.
}

func TestDataCentreCutOffAndHealed(t *testing.T) {
	t.Parallel()
	const cut = 4 * time.Second
	c := start(t, shape{dataCentres: 2, vms: 2, endpoints: 3, slots: slots})
	var during []caller.Outcome
	c.play(0.3, func() {
		for _, r := range c.between {
			r.Cut()
		}
		wait.For(c.ctx, cut)
		during = c.oneJobEach()
		for _, r := range c.between {
			r.Heal()
		}
	})
	for i, outcome := range during {
		if outcome != caller.Complete {
			t.Errorf("%s served nothing while its data centre was cut off: %s", c.members[i].Node, outcome)
		}
	}
	for i, outcome := range c.oneJobEach() {
		if outcome != caller.Complete {
			t.Errorf("%s served nothing after the healing: %s", c.members[i].Node, outcome)
		}
	}
}

// oneJobEach has each entry VM run a job and returns the outcomes.
func (c *cluster) oneJobEach() []caller.Outcome {
	var outcomes []caller.Outcome
	for _, entry := range c.entries() {
		client := caller.New([]string{entry}, 0, 0)
		outcomes = append(outcomes, client.Submit(c.ctx, 0, job(2, 50)).Outcome)
		client.Close()
	}
	return outcomes
}
