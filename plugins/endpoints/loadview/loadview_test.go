package loadview

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"redwingpulley/kernel/model"
)

var (
	start  = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	finder = model.PoolID{Service: "finder", DataCentre: "sj1"}
)

func load(version uint64, free, queued int) model.PoolLoad {
	const run = 300 * time.Millisecond
	return model.PoolLoad{
		Pool: finder, Owner: "sj1-a", Version: version, Slots: 100, Free: free, Queued: queued,
		QueuedRun: time.Duration(queued) * run, MeanRun: run,
	}
}

func TestEstimateIncludesSentTasksUntilTheReportShowsThem(t *testing.T) {
	is := is.New(t)
	var e Estimate
	e.Update(start, load(1, 10, 0))
	e.AddSent(start.Add(time.Millisecond), 8)
	e.AddSent(start.Add(20*time.Millisecond), 8)
	got, _ := e.Load(start.Add(21 * time.Millisecond))
	is.Equal([]int{got.Free, got.Queued}, []int{0, 6}) // The second send finds only the 2 slots that the first left free.
	e.Update(start.Add(22*time.Millisecond), load(2, 2, 0))
	got, _ = e.Load(start.Add(22 * time.Millisecond))
	is.Equal([]int{got.Free, got.Queued}, []int{0, 6}) // The second send is too recent to be in this report.
	e.Update(start.Add(30*time.Millisecond), load(3, 0, 6))
	got, _ = e.Load(start.Add(30 * time.Millisecond))
	is.Equal([]int{got.Free, got.Queued}, []int{0, 6})
}

func TestOlderVersionIsIgnoredUnlessTheReportIsStale(t *testing.T) {
	is := is.New(t)
	var e Estimate
	e.Update(start, load(7, 10, 0))
	e.Update(start.Add(time.Second), load(6, 90, 0))
	got, _ := e.Load(start.Add(time.Second))
	is.Equal(got.Free, 10)
	e.Update(start.Add(versionTimeout), load(1, 90, 0)) // The owner was restarted.
	got, _ = e.Load(start.Add(versionTimeout))
	is.Equal(got.Free, 90)
	_, ok := e.Load(start.Add(versionTimeout + loadExpiry))
	is.True(!ok)
}

func TestEstimatedQueueShrinksAsTheReportAges(t *testing.T) {
	is := is.New(t)
	var e Estimate
	e.Update(start, load(1, 0, 200))
	got, _ := e.Load(start.Add(300 * time.Millisecond))
	is.Equal(got.Queued, 100)
	is.Equal(got.QueuedRun, 100*got.MeanRun)
	got, _ = e.Load(start.Add(time.Second))
	is.Equal(got.Queued, 0)
}

func TestReporterPublishesOnlySignificantChanges(t *testing.T) {
	is := is.New(t)
	is.True(!SignificantChange(load(1, 50, 0), load(2, 45, 0)))
	is.True(SignificantChange(load(1, 50, 0), load(2, 30, 0)))
	is.True(SignificantChange(load(1, 0, 3), load(2, 4, 0))) // The pool has free slots again.
	r := NewReporter()
	recent := []Member{{"sj2-a", start}, {"sj2-b", start.Add(-senderWindow)}}
	first := r.Plan(start, []model.PoolLoad{load(1, 50, 0)}, listed(recent))
	is.Equal(first, Publication{Gossip: true, To: []model.NodeID{"sj2-a", "sj2-b"}, Next: refreshInterval}) // The pool is new to all members.
	is.Equal(r.Plan(start.Add(time.Millisecond), []model.PoolLoad{load(2, 48, 0)}, listed(recent)), Publication{Next: refreshInterval})
	changed := []model.PoolLoad{load(3, 10, 0)}
	is.Equal(r.Plan(start.Add(2*time.Millisecond), changed, listed(recent)).To, []model.NodeID{"sj2-a"})
	is.True(r.Plan(start.Add(gossipInterval), changed, listed(nil)).Gossip) // Gossip was held back until the interval had passed.
	is.True(r.Plan(start.Add(gossipInterval+refreshInterval), []model.PoolLoad{load(2, 48, 0)}, listed(recent)).Gossip)
}

func TestReporterStaysWithinItsMessageBudget(t *testing.T) {
	is := is.New(t)
	r := NewReporter()
	senders := make([]Member, 50)
	sent := 0
	const seconds = 60
	for step := range seconds * 100 {
		now := start.Add(time.Duration(step) * 10 * time.Millisecond)
		for i := range senders {
			senders[i] = Member{"member", now}
		}
		sent += len(r.Plan(now, []model.PoolLoad{load(uint64(step), 100*(step%2), 0)}, listed(senders)).To)
	}
	is.True(sent <= messageBurst+messageRate*seconds)
	is.True(sent > messageRate*(seconds-1)) // The reporter uses the budget.
}

func listed(members []Member) func() []Member { return func() []Member { return members } }

// Pattern: a hundred busy owners among hundreds of members. The members are listed only when a message may be sent.
func TestMembersAreListedOnlyForMessages(t *testing.T) {
	is := is.New(t)
	r := NewReporter()
	lists := 0
	sender := func() []Member {
		lists++
		return []Member{{Node: "sj2-a", NewestBatch: start}}
	}
	for step := range 40 { // One second in steps of 25 ms; the load changes with each.
		now := start.Add(time.Duration(step) * 25 * time.Millisecond)
		r.Plan(now, []model.PoolLoad{load(uint64(step), 100*(step%2), 0)}, sender)
	}
	is.True(lists <= messageBurst+messageRate)
}

// Pattern: all processes of a group have been restarted, and its few owners begin to serve. Guards against members that know of
// no pool until gossip has reached them, and refuse their callers' jobs meanwhile.
func TestAllMembersAreNotifiedAtOnceThatAPoolAcceptsWork(t *testing.T) {
	is := is.New(t)
	members := make([]Member, 60)
	r := NewReporter()
	is.Equal(len(r.Plan(start, []model.PoolLoad{load(1, 50, 0)}, listed(members)).To), len(members))
}
