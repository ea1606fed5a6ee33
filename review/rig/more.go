package main

import (
	"fmt"
	"os"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// dropped: a queue is removed while one of its jobs runs, and the job's client cancels it.
func dropped(p *Play) (string, bool) {
	p.small()
	for _, zone := range []string{"cluj", "mures"} {
		if p.addExecutors(zone, 3, Amount{64000, 262144}, true, 1500*time.Millisecond) != nil {
			return "", false
		}
	}
	if !p.begin(true) {
		return "", false
	}
	fronts := p.cluster.Fronts()
	stop := p.traffic(4, usual, 0) // The job that is cancelled is a small share of all.
	time.Sleep(2 * time.Second)
	stop()
	id := newID()
	var posted sync.WaitGroup
	posted.Go(func() { p.post(fronts[0], id, Spec{MS: 9000, Amount: Amount{2000, 64}}, 2, 11*time.Second) })
	time.Sleep(200 * time.Millisecond)
	if p.trouble {
		d := desired(2, true)
		d["routes"] = []any{}
		if !p.cluster.PutConfig(d, 5*time.Second) {
			return "", false
		}
	}
	time.Sleep(700 * time.Millisecond)
	asked := time.Now()
	var cancelling sync.WaitGroup
	cancelling.Go(func() {
		for n := 0; time.Since(asked) < 8*time.Second; n++ {
			if s := p.remove(fronts[n%len(fronts)], id); s/100 == 2 || s == 410 {
				return
			}
			time.Sleep(500 * time.Millisecond)
		}
	})
	time.Sleep(7050 * time.Millisecond) // ack_timeout_ms + cancel_ms + stop_timeout_ms.
	p.world.stillRuns(id, "7.05 s after its cancelling was asked for")
	posted.Wait()
	cancelling.Wait()
	p.world.shareCancelled()
	return "UNASKED", true
}

// stillRuns breaks UNASKED if a task of a job runs.
func (w *World) stillRuns(id, when string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i := range w.jobs[id].count {
		name := fmt.Sprintf("%s.0.0.%d", id, i)
		if t := w.tasks[name]; t != nil && len(t.running) > 0 {
			w.breaks("UNASKED", "%s runs %s", name, when)
		}
	}
}

// founding: at the first start one machine of the core is lost for good, and an empty one comes at another address.
func founding(p *Play) (string, bool) {
	p.site()
	after := 200 * time.Millisecond
	if ms, err := strconv.Atoi(os.Getenv("AFTER_MS")); err == nil {
		after = time.Duration(ms) * time.Millisecond
	}
	cores := p.cluster.Cores()
	for _, m := range p.cluster.machines {
		if p.cluster.Start(m) != nil {
			return "", false
		}
	}
	p.cluster.started = true
	time.Sleep(after)
	if p.trouble {
		gone := cores[2]
		p.cluster.Signal(gone, syscall.SIGKILL)
		<-gone.done
		time.Sleep(time.Second)
		next := p.cluster.Add("core-"+gone.Zone+"-2", gone.Zone, true)
		p.cluster.seeds = []string{cores[0].Control(p.cluster), cores[1].Control(p.cluster), next.Control(p.cluster)}
		if p.cluster.Start(next) != nil {
			return "", false
		}
	}
	if !p.cluster.PutConfig(desired(1, true), 60*time.Second) {
		p.world.mu.Lock()
		p.world.breaks("Acks", "no machine of the core acknowledges a desired state for 60 s")
		p.world.mu.Unlock()
		return "Acks", true
	}
	return "Acks", p.cluster.AwaitReady(30 * time.Second)
}

// herd: at the first start all processes of the core are killed at the same moment, and are back within a second.
func herd(p *Play) (string, bool) {
	p.site()
	after := 200 * time.Millisecond
	if ms, err := strconv.Atoi(os.Getenv("AFTER_MS")); err == nil {
		after = time.Duration(ms) * time.Millisecond
	}
	cores := p.cluster.Cores()
	for _, m := range p.cluster.machines {
		if p.cluster.Start(m) != nil {
			return "", false
		}
	}
	p.cluster.started = true
	time.Sleep(after)
	if p.trouble {
		for _, m := range cores {
			p.cluster.Signal(m, syscall.SIGKILL)
		}
		for _, m := range cores {
			<-m.done
		}
		time.Sleep(500 * time.Millisecond)
		for _, m := range cores {
			if p.cluster.Start(m) != nil {
				return "", false
			}
		}
	}
	if !p.cluster.PutConfig(desired(1, true), 60*time.Second) {
		p.world.mu.Lock()
		p.world.breaks("Acks", "no machine of the core acknowledges a desired state for 60 s")
		p.world.mu.Unlock()
		return "Acks", true
	}
	return "Acks", p.cluster.AwaitReady(30 * time.Second)
}

// shareCancelled records which share of the jobs was cancelled.
func (w *World) shareCancelled() {
	w.mu.Lock()
	defer w.mu.Unlock()
	cancelled := 0
	for _, j := range w.jobs {
		if j.cancelled {
			cancelled++
		}
	}
	w.rec.Add("clients: %d jobs of %d were cancelled", cancelled, len(w.jobs))
}
