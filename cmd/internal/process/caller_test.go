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

// TestAnswersLostOnTheWayToCallers silences all connections of callers while jobs run. Each caller
// sends its job again and gets its whole answer, and nothing runs twice.
func TestAnswersLostOnTheWayToCallers(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := start(t, shape{dataCentres: 1, vms: 2, endpoints: 4, slots: slots})
	var fronts []*relay.Relay
	var entries []string
	for _, entry := range c.entries() {
		front, err := relay.Start(entry, 0)
		is.NoErr(err)
		t.Cleanup(front.Close)
		fronts, entries = append(fronts, front), append(entries, front.Address())
	}
	jobs, results := c.playAt(entries, 0.3, func() {
		for _, front := range fronts {
			front.Silence()
		}
	})
	c.completeAfter(0, -1, jobs, results)
	is.True(load.Summarize(results).Resends > 0) // Answers were lost.
}

// TestOneJobSentToAllEntryVMsAtOnce has the same ticket submitted everywhere. All callers get the
// same answers, and nothing runs twice.
func TestOneJobSentToAllEntryVMsAtOnce(t *testing.T) {
	t.Parallel()
	const times = 20
	is := is.New(t)
	c := start(t, shape{dataCentres: 1, vms: 3, endpoints: 4, slots: slots})
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
			is.True(load.Own(ids[0], len(submission.Tasks), r.Answers))
			is.Equal(r.Answers, results[0].Answers)
		}
	}
	is.Equal(standin.Repeated(c.logs()...), nil)
}

// TestOneWayCutBetweenDataCentres holds back what one data centre asks of the other, while the
// other way works. Each data centre goes on with its own endpoints.
func TestOneWayCutBetweenDataCentres(t *testing.T) {
	t.Parallel()
	c := start(t, shape{dataCentres: 2, vms: 1, endpoints: 3, slots: slots})
	jobs, results := c.play(0.3, func() {
		for pair, r := range c.between {
			if strings.HasPrefix(string(pair[0]), "dc1") {
				r.Cut()
			}
		}
	})
	c.completeAfter(faultAt+recovery, -1, jobs, results)
}
