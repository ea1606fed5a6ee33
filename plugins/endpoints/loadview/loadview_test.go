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

func TestOwnSendsCountUntilALoadShowsThem(t *testing.T) {
	is := is.New(t)
	var k Known
	k.Learn(start, load(1, 10, 0))
	k.Sent(start.Add(time.Millisecond), 8)
	k.Sent(start.Add(20*time.Millisecond), 8)
	seen, _ := k.Load(start.Add(21 * time.Millisecond))
	is.Equal([]int{seen.Free, seen.Queued}, []int{0, 6}) // A second job does not fill the same hole.
	k.Learn(start.Add(22*time.Millisecond), load(2, 2, 0))
	seen, _ = k.Load(start.Add(22 * time.Millisecond))
	is.Equal([]int{seen.Free, seen.Queued}, []int{0, 6}) // The second send was still on its way.
	k.Learn(start.Add(30*time.Millisecond), load(3, 0, 6))
	seen, _ = k.Load(start.Add(30 * time.Millisecond))
	is.Equal([]int{seen.Free, seen.Queued}, []int{0, 6})
}

func TestOlderLoadIsNotTakenUnlessTheOwnerWasSilent(t *testing.T) {
	is := is.New(t)
	var k Known
	k.Learn(start, load(7, 10, 0))
	k.Learn(start.Add(time.Second), load(6, 90, 0))
	seen, _ := k.Load(start.Add(time.Second))
	is.Equal(seen.Free, 10)
	k.Learn(start.Add(restartAfter), load(1, 90, 0)) // The owner was restarted.
	seen, _ = k.Load(start.Add(restartAfter))
	is.Equal(seen.Free, 90)
	_, ok := k.Load(start.Add(restartAfter + expiry))
	is.True(!ok)
}

func TestOwnerThatDoesNotAnswerIsLeftAloneWhateverItTells(t *testing.T) {
	is := is.New(t)
	var k Known
	k.Learn(start, load(1, 50, 0))
	k.Unanswered(start, "sj1-a")
	k.Learn(start.Add(time.Second), load(2, 60, 0)) // The cut holds back one way only.
	is.True(!k.Reachable(start.Add(time.Second)))
	is.True(k.Reachable(start.Add(unansweredTime)))
	moved := load(1, 60, 0)
	moved.Owner = "sj1-b"
	k.Learn(start.Add(2*time.Second), moved)
	is.True(k.Reachable(start.Add(2 * time.Second)))
}

func TestQueueOfAnOldLoadGoesDown(t *testing.T) {
	is := is.New(t)
	var k Known
	k.Learn(start, load(1, 0, 200))
	seen, _ := k.Load(start.Add(300 * time.Millisecond))
	is.Equal(seen.Queued, 100)
	is.Equal(seen.QueuedRun, 100*seen.MeanRun)
	seen, _ = k.Load(start.Add(time.Second))
	is.Equal(seen.Queued, 0)
}

func TestOnlyMaterialChangesAreTold(t *testing.T) {
	is := is.New(t)
	is.True(!Changed(load(1, 50, 0), load(2, 45, 0)))
	is.True(Changed(load(1, 50, 0), load(2, 30, 0)))
	is.True(Changed(load(1, 0, 3), load(2, 4, 0))) // Room again.
	r := NewReporter()
	recent := []Member{{"sj2-a", start}, {"sj2-b", start.Add(-interest)}}
	first := r.Tell(start, []model.PoolLoad{load(1, 50, 0)}, recent)
	is.Equal(first, Telling{Gossip: true, To: []model.NodeID{"sj2-a", "sj2-b"}, Next: refreshInterval}) // A new pool.
	is.Equal(r.Tell(start.Add(time.Millisecond), []model.PoolLoad{load(2, 48, 0)}, recent), Telling{Next: refreshInterval})
	changed := []model.PoolLoad{load(3, 10, 0)}
	is.Equal(r.Tell(start.Add(2*time.Millisecond), changed, recent).To, []model.NodeID{"sj2-a"})
	is.True(r.Tell(start.Add(gossipInterval), changed, nil).Gossip) // Later, on the members' messages.
	is.True(r.Tell(start.Add(gossipInterval+refreshInterval), []model.PoolLoad{load(2, 48, 0)}, recent).Gossip)
}

func TestMessagesStayWithinTheBudget(t *testing.T) {
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
		sent += len(r.Tell(now, []model.PoolLoad{load(uint64(step), 100*(step%2), 0)}, senders).To)
	}
	is.True(sent <= messageBurst+messageRate*seconds)
	is.True(sent > messageRate*(seconds-1)) // The budget is used.
}
