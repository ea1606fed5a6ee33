package main

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"
)

// bursts hands a burst of jobs in after each idle spell, with one random disturbance near its begin.
func bursts(w *world, entries []*node, seed uint64, jobs int, kinds []string, st *stats) {
	r := rand.New(rand.NewPCG(seed, 4))
	begun := time.Now()
	for round := 0; time.Since(begun) < 85*time.Second; round++ {
		k := kinds[r.IntN(len(kinds))]
		owning := owners(entries)
		n := owning[r.IntN(len(owning))]
		at, d := time.Duration(r.IntN(500))*time.Millisecond, time.Duration(300+r.IntN(3700))*time.Millisecond
		w.note("round %d: %s %s after %v for %v", round, k, n.name, at, d)
		var wg sync.WaitGroup
		wg.Add(1)
		go func() {
			defer wg.Done()
			time.Sleep(at)
			set := func(f func(*executor)) {
				for i, e := range w.execs {
					if i%5 == round%5 {
						e.mu.Lock()
						f(e)
						e.mu.Unlock()
					}
				}
			}
			switch k {
			case "kill":
				n.kill(d)
			case "freeze":
				n.freeze(d)
			case "term":
				n.term(true)
			case "cutnode":
				w.net.cutMachine(n.name, false, d)
			case "cutzone":
				w.net.cutZone(n.zone, d)
			case "nodeslow":
				n.slowDown(d + 2*time.Second)
			case "zoneslow":
				for _, m := range entries {
					if m.zone == n.zone && m != n {
						go m.slowDown(d + 2*time.Second)
					}
				}
				n.slowDown(d + 2*time.Second)
			case "mute":
				set(func(e *executor) { e.muteShare = 0.5 })
				time.Sleep(d)
				set(func(e *executor) { e.muteShare = 0 })
			case "late":
				set(func(e *executor) { e.lateShare = 0.5 })
				time.Sleep(d)
				set(func(e *executor) { e.lateShare = 0 })
			case "silent":
				set(func(e *executor) { e.silent = true })
				time.Sleep(d)
				set(func(e *executor) { e.silent = false })
			case "mutekill", "latekill", "cutkill", "mutefreeze", "latefreeze", "cutfreeze":
				// Some executors are disturbed first, then an owner of executors.
				long := 5500 * time.Millisecond
				switch k[:3] {
				case "mut":
					set(func(e *executor) { e.muteShare = 1 })
					time.AfterFunc(long, func() { set(func(e *executor) { e.muteShare = 0 }) })
				case "lat":
					set(func(e *executor) { e.lateShare = 0.5 })
					time.AfterFunc(long, func() { set(func(e *executor) { e.lateShare = 0 }) })
				default:
					ids := map[string]bool{}
					set(func(e *executor) { ids[e.id] = true })
					go w.net.cutExecutors(ids, d)
				}
				time.Sleep(time.Duration(r.IntN(800)) * time.Millisecond)
				if strings.HasSuffix(k, "kill") {
					n.kill(d)
				} else {
					n.freeze(d)
				}
			case "crash":
				for i, e := range w.execs {
					if i%7 == round%7 {
						e.crash()
						time.AfterFunc(d, func() { e.start() })
					}
				}
				time.Sleep(d)
			case "twofreezes":
				m := owning[r.IntN(len(owning))]
				go n.freeze(d)
				time.Sleep(time.Duration(r.IntN(800)) * time.Millisecond)
				if m != n {
					m.freeze(d)
				}
			}
		}()
		for range jobs {
			ms := []int{60, 200, 900, 1500}[r.IntN(4)]
			j := &job{id: fmt.Sprintf("%016x", r.Uint64()), route: 2, count: 1 + r.IntN(3)}
			j.spec = fmt.Sprintf("cpu=8000;mem=64;ms=%d", ms)
			w.mu.Lock()
			w.jobs[j.id] = j
			w.mu.Unlock()
			mode := []string{"plain", "plain", "plain", "plain", "plain", "plain", "cancel", "leave"}[r.IntN(8)]
			wg.Add(1)
			go func() { defer wg.Done(); client(w, entries, j, ms, mode, st) }()
			time.Sleep(800 * time.Millisecond / time.Duration(jobs))
		}
		wg.Wait()
		time.Sleep(1300 * time.Millisecond)
	}
}
