package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// killed kills one entry machine after the other that gives orders to executors, just after a few jobs were handed in, while the executors
// leave a share of the orders unanswered and carry them out late. With trouble off no machine is killed and no order is late.
func killed(w *world, entries []*node, rounds, jobs, runMS int, share float64, after time.Duration, kill, trouble bool, st *stats) {
	r := rand.New(rand.NewPCG(1, 3))
	begun := time.Now()
	late := func(x float64) {
		for _, e := range w.execs {
			e.mu.Lock()
			e.lateShare = x
			e.mu.Unlock()
		}
	}
	for round := range rounds {
		if time.Since(begun) > 85*time.Second {
			break
		}
		owning := owners(entries)
		n := owning[round%len(owning)]
		w.note("round %d: %s", round, n.name)
		if trouble {
			late(share)
			time.AfterFunc(5500*time.Millisecond, func() { late(0) })
		}
		var wg sync.WaitGroup
		for range jobs {
			j := &job{id: fmt.Sprintf("%016x", r.Uint64()), route: 2, count: 4}
			j.spec = fmt.Sprintf("cpu=8000;mem=64;ms=%d", runMS)
			w.mu.Lock()
			w.jobs[j.id] = j
			w.mu.Unlock()
			wg.Add(1)
			go func() { defer wg.Done(); client(w, entries, j, runMS, "plain", st) }()
			time.Sleep(5 * time.Millisecond)
		}
		time.Sleep(after)
		if trouble && kill {
			wg.Add(1)
			go func() { defer wg.Done(); n.kill(time.Second) }()
		}
		wg.Wait()
		time.Sleep(4 * time.Second)
	}
}
