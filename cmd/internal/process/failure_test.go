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

var extraTime = flag.Duration("extra-time", 0, "added to the time limit of each test")

const (
	faultAt      = 3 * time.Second  // Time of the fault, from the start of the load.
	loadLength   = 12 * time.Second // Time over which jobs are sent.
	recoveryTime = 6 * time.Second  // Time after the fault from which jobs that it does not affect must complete again.
	resends      = 5
	slots        = 4
)

// runLoad sends a load to all entry VMs, runs fault at faultAt, and checks the guarantees afterwards.
func (c *cluster) runLoad(share float64, fault func()) ([]trace.Job, []load.Result) {
	c.t.Helper()
	return c.runLoadAt(c.entries(), share, fault)
}

// runLoadAt is runLoad with the addresses at which callers reach the entry VMs.
func (c *cluster) runLoadAt(entries []string, share float64, fault func()) ([]trace.Job, []load.Result) {
	c.t.Helper()
	jobs := trace.Generate(trace.Workload{
		Service: "finder", Seed: 1, Length: loadLength, Slots: len(c.endpoints) * slots, Load: share,
		Teams: 2, Deadline: 5 * time.Second, Largest: 16, DeclaredError: 3,
	})
	client := caller.New(entries, 0, resends)
	defer client.Close()
	var faults sync.WaitGroup
	faults.Go(func() {
		wait.For(c.ctx, faultAt)
		fault()
	})
	results, err := load.Runner{Client: client, Tickets: true}.Run(c.ctx, jobs)
	faults.Wait()
	c.must(err)
	c.checkGuarantees(jobs, results)
	return jobs, results
}

// maxPerTask limits the messages to endpoints per started task under faults: an outage must not multiply messages.
const maxPerTask = 3

// checkGuarantees fails the test if a guarantee was broken, a job got no answer, or there were more than maxPerTask
// messages per task.
func (c *cluster) checkGuarantees(jobs []trace.Job, results []load.Result) {
	c.t.Helper()
	report := measure.New(measure.Run{
		Jobs: jobs, Results: results, Logs: c.logs(), Slots: map[string]int{"finder": len(c.endpoints) * slots},
	})
	for _, broken := range report.Violations {
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

// checkCompleteAfter fails the test for each job that was sent at or after from, to an entry VM other than the lost
// one, and did not complete. lost is -1 if no entry VM was lost.
func (c *cluster) checkCompleteAfter(from time.Duration, lost int, jobs []trace.Job, results []load.Result) {
	c.t.Helper()
	for i, r := range results {
		if jobs[i].At() >= from && i%len(c.members) != lost && r.Outcome != caller.Complete {
			c.t.Errorf("job %d, sent after %v: %s %s", i, jobs[i].At(), r.Outcome, r.Reason)
		}
	}
}

// TestKilledEntryVM kills an entry VM under load. The jobs that are sent to the others must complete again after
// recoveryTime.
func TestKilledEntryVM(t *testing.T) {
	t.Parallel()
	c := start(t, clusterConfig{dataCentres: 1, vms: 3, endpoints: 6, slots: slots})
	jobs, results := c.runLoad(0.4, func() { c.kill(1) })
	c.checkCompleteAfter(faultAt+recoveryTime, 1, jobs, results)
}

// TestKilledAndRestartedEntryVM starts a killed entry VM again. The new process does not know the jobs of the killed one
// and must not run them a second time.
func TestKilledAndRestartedEntryVM(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := start(t, clusterConfig{dataCentres: 1, vms: 3, endpoints: 6, slots: slots})
	jobs, results := c.runLoad(0.4, func() { c.kill(1) })
	c.checkCompleteAfter(faultAt+recoveryTime, 1, jobs, results)
	c.vms[1] = c.launch(1)
	c.warmUp()
	client := caller.New(c.entries()[1:2], 0, 0)
	defer client.Close()
	old := load.Submission(results[1].ID, jobs[1])
	is.Equal(client.Submit(c.ctx, 0, old).Outcome, caller.MayHaveRun)
	c.checkGuarantees(jobs, results)
}

// TestPausedPoolOwner pauses the process that owns the pool for 5 s under load. After it has resumed, no task may run
// twice, although another entry VM may have taken the pool over meanwhile.
func TestPausedPoolOwner(t *testing.T) {
	t.Parallel()
	for i := range 3 {
		// Each entry VM is paused in turn, so that one of them owns the pool.
		t.Run(string(rune('a'+i)), func(t *testing.T) {
			t.Parallel()
			c := start(t, clusterConfig{dataCentres: 1, vms: 3, endpoints: 4, slots: slots})
			c.runLoad(0.4, func() {
				c.signal(i, syscall.SIGSTOP)
				wait.For(c.ctx, 5*time.Second)
				c.signal(i, syscall.SIGCONT)
			})
		})
	}
}

// TestCrashedEndpoint stops an endpoint under load, without notice. Jobs must complete again on the other endpoints.
func TestCrashedEndpoint(t *testing.T) {
	t.Parallel()
	c := start(t, clusterConfig{dataCentres: 1, vms: 2, endpoints: 4, slots: slots})
	jobs, results := c.runLoad(0.3, func() { c.endpoints[0].Close() })
	c.checkCompleteAfter(faultAt+recoveryTime, -1, jobs, results)
}

// TestPausedEndpoint pauses an endpoint for 5 s under load: it accepts connections, but answers nothing. Requests
// that are repeated meanwhile must not raise the messages to endpoints above maxPerTask, and no task may run twice.
func TestPausedEndpoint(t *testing.T) {
	t.Parallel()
	c := start(t, clusterConfig{dataCentres: 1, vms: 2, endpoints: 4, slots: slots})
	jobs, results := c.runLoad(0.3, func() {
		c.endpoints[0].SetBehaviour(standin.Behaviour{Freeze: true})
		wait.For(c.ctx, 5*time.Second)
		c.endpoints[0].SetBehaviour(standin.Behaviour{})
	})
	c.checkCompleteAfter(faultAt+recoveryTime, -1, jobs, results)
}

func TestLeavingEndpointGetsNoNewWork(t *testing.T) {
	t.Parallel()
	const grace = 3 * time.Second // Starts may still arrive for "a few seconds" after the endpoint begins to leave.
	c := start(t, clusterConfig{dataCentres: 1, vms: 2, endpoints: 4, slots: slots})
	var leftAt time.Time
	jobs, results := c.runLoad(0.3, func() {
		leftAt = time.Now()
		c.endpoints[0].Leave()
	})
	c.checkCompleteAfter(0, -1, jobs, results)
	for _, r := range c.endpoints[0].Log().Records {
		if !r.Revoke && r.At.After(leftAt.Add(grace)) {
			t.Errorf("task %s came %v after the endpoint began to leave", r.Task, r.At.Sub(leftAt))
		}
	}
}

// TestStalledConnectionsToAnEndpoint stalls all open connections to an endpoint under load. Every job must still
// complete.
func TestStalledConnectionsToAnEndpoint(t *testing.T) {
	t.Parallel()
	c := start(t, clusterConfig{dataCentres: 1, vms: 2, endpoints: 4, slots: slots})
	jobs, results := c.runLoad(0.3, func() { c.front[0].Stall() })
	c.checkCompleteAfter(0, -1, jobs, results) // New connections work, so the answers arrive over them.
}

// TestStalledConnectionsBetweenDataCentres stalls all open connections between the members of two data centres under
// load. Every job must still complete.
func TestStalledConnectionsBetweenDataCentres(t *testing.T) {
	t.Parallel()
	c := start(t, clusterConfig{dataCentres: 2, vms: 1, endpoints: 3, slots: slots})
	jobs, results := c.runLoad(0.3, func() {
		for _, r := range c.peerRelays {
			r.Stall()
		}
	})
	c.checkCompleteAfter(0, -1, jobs, results) // New connections work, so the answers arrive over them.
}

// TestPartitionOfDataCentresAndHealing partitions two data centres for a few seconds under load. Each entry VM must
// complete a job during the partition and after it.
func TestPartitionOfDataCentresAndHealing(t *testing.T) {
	t.Parallel()
	const partitionTime = 4 * time.Second
	c := start(t, clusterConfig{dataCentres: 2, vms: 2, endpoints: 3, slots: slots})
	var during []caller.Outcome
	c.runLoad(0.3, func() {
		for _, r := range c.peerRelays {
			r.Partition()
		}
		wait.For(c.ctx, partitionTime)
		during = c.submitOneJobEach()
		for _, r := range c.peerRelays {
			r.Heal()
		}
	})
	for i, outcome := range during {
		if outcome != caller.Complete {
			t.Errorf("%s completed no job while its data centre was partitioned: %s", c.members[i].Node, outcome)
		}
	}
	for i, outcome := range c.submitOneJobEach() {
		if outcome != caller.Complete {
			t.Errorf("%s completed no job after the partition had healed: %s", c.members[i].Node, outcome)
		}
	}
}

// submitOneJobEach submits a job to each entry VM in turn and returns the outcomes.
func (c *cluster) submitOneJobEach() []caller.Outcome {
	var outcomes []caller.Outcome
	for _, entry := range c.entries() {
		client := caller.New([]string{entry}, 0, 0)
		outcomes = append(outcomes, client.Submit(c.ctx, 0, newJob(2, 50)).Outcome)
		client.Close()
	}
	return outcomes
}
