package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// frozen freezes one entry machine after the other and hands a few jobs in at that moment, each to a machine that the platform has in
// rotation. Between the rounds nothing is sent. With trouble off the jobs are sent and no machine is frozen.
func frozen(w *world, entries []*node, rounds, jobs, runMS int, mix bool, freeze time.Duration, restart, trouble bool, st *stats) {
	r := rand.New(rand.NewPCG(1, 2))
	begun := time.Now()
	for round := range rounds {
		n := owners(entries)[round%len(owners(entries))]
		if time.Since(begun) > 92*time.Second {
			break
		}
		w.note("round %d: %s", round, n.name)
		var wg sync.WaitGroup
		if trouble {
			if restart {
				n.kill(300 * time.Millisecond)
				time.Sleep(900 * time.Millisecond)
			}
			wg.Add(1)
			go func() { defer wg.Done(); n.freeze(freeze) }()
		}
		time.Sleep(20 * time.Millisecond)
		for range jobs {
			j := &job{id: fmt.Sprintf("%016x", r.Uint64()), route: 2, count: 1 + 3*(40/max(jobs, 40))}
			ms := runMS
			if mix {
				j.count, ms = mixed(r)
			}
			j.spec = fmt.Sprintf("cpu=8000;mem=64;ms=%d", ms)
			w.mu.Lock()
			w.jobs[j.id] = j
			w.mu.Unlock()
			wg.Add(1)
			go func() { defer wg.Done(); client(w, entries, j, ms, "plain", st) }()
			time.Sleep(1150 * time.Millisecond / time.Duration(jobs))
		}
		wg.Wait()
		time.Sleep(1300 * time.Millisecond)
	}
}

// mixed returns tasks and run time of a job of one of a small site's kinds, which come 34.4, 6.25 and 100 times a second there.
func mixed(r *rand.Rand) (tasks, ms int) {
	switch x := r.Float64() * 140.65; {
	case x < 34.4:
		return 8, 60
	case x < 40.65:
		return 4, 900
	default:
		return 2, 200
	}
}

// owners returns the entry machines that have executors of their own, by what the operators' interface says; all if none does.
func owners(entries []*node) (owning []*node) {
	for _, n := range entries {
		status, raw := call("GET", fmt.Sprintf("http://%s:%d/v1/status", n.ip, n.ports[1]), nil, time.Second)
		var s struct {
			Endpoints int `json:"endpoints"`
		}
		if status == 200 && json.Unmarshal(raw, &s) == nil && s.Endpoints > 0 {
			owning = append(owning, n)
		}
	}
	if len(owning) == 0 {
		return entries
	}
	return owning
}
