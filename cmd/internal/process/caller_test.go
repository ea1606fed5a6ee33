package process

import (
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"

	"redwingpulley/bench/caller"
	"redwingpulley/bench/load"
	"redwingpulley/bench/relay"
	"redwingpulley/bench/standin"
	"redwingpulley/bench/trace"
)

// TestJobsCompleteWhenCallersConnectionsStall stalls all open connections of callers while jobs run. Each caller sends
// its job again and gets the complete answer, and no task runs twice.
func TestJobsCompleteWhenCallersConnectionsStall(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := start(t, clusterConfig{dataCentres: 1, vms: 2, endpoints: 4, slots: slots})
	var relays []*relay.Relay
	var entries []string
	for _, entry := range c.entries() {
		entryRelay, err := relay.Start(entry, 0)
		is.NoErr(err)
		t.Cleanup(entryRelay.Close)
		relays, entries = append(relays, entryRelay), append(entries, entryRelay.Address())
	}
	jobs, results := c.runLoadAt(entries, 0.3, func() {
		for _, entryRelay := range relays {
			entryRelay.Stall()
		}
	})
	c.checkCompleteAfter(0, -1, jobs, results)
	is.True(load.Summarize(results).Resends > 0) // The stall did lose answers.
}

// TestJobSentToAllEntryVMsAtOnceRunsOnce submits a job with the same ticket at all entry VMs. All callers get the same
// answers, and no task runs twice.
func TestJobSentToAllEntryVMsAtOnceRunsOnce(t *testing.T) {
	t.Parallel()
	const times = 20
	is := is.New(t)
	c := start(t, clusterConfig{dataCentres: 1, vms: 3, endpoints: 4, slots: slots})
	client := caller.New(c.entries(), 0, 0)
	defer client.Close()
	for i := range times {
		ids, err := client.Tickets(c.ctx, client.Entries[i%len(client.Entries)], 1)
		is.NoErr(err)
		submission := load.Submission(ids[0], trace.Job{Service: "finder", Team: "t1", DeadlineMS: 5000, RunMS: []int64{20, 30}})
		results := make([]caller.Result, len(client.Entries))
		var all sync.WaitGroup
		for entry := range client.Entries {
			all.Go(func() { results[entry] = client.Submit(c.ctx, entry, submission) })
		}
		all.Wait()
		for _, r := range results {
			is.Equal(r.Outcome, caller.Complete)
			is.True(load.AnswersMatch(ids[0], len(submission.Tasks), r.Answers))
			is.Equal(r.Answers, results[0].Answers)
		}
	}
	is.Equal(standin.RepeatedStarts(c.logs()...), nil)
}

// TestOneWayPartitionBetweenDataCentres holds back all data on the connections that one data centre opens to the other,
// while those in the other direction work. Each data centre continues with its own endpoints.
func TestOneWayPartitionBetweenDataCentres(t *testing.T) {
	t.Parallel()
	c := start(t, clusterConfig{dataCentres: 2, vms: 1, endpoints: 3, slots: slots})
	jobs, results := c.runLoad(0.3, func() {
		for pair, r := range c.peerRelays {
			if strings.HasPrefix(string(pair[0]), "dc1") {
				r.Partition()
			}
		}
	})
	c.checkCompleteAfter(faultAt+recoveryTime, -1, jobs, results)
}
