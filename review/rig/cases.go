package main

import (
	"cmp"
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// small adds the machines of a small deployment with two zones.
func (p *Play) small() {
	for _, zone := range []string{"cluj", "mures"} {
		p.cluster.Add("core-"+zone+"-1", zone, true)
	}
	p.cluster.Add("core-cluj-2", "cluj", true)
	for _, name := range []string{"1", "2"} {
		for _, zone := range []string{"cluj", "mures"} {
			p.cluster.Add("frontend-"+zone+"-"+name, zone, false)
		}
	}
}

// cancelled: a job is cancelled, and the same request arrives again seconds after its 2xx.
func cancelled(p *Play) (string, bool) {
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
	stop := p.traffic(4, usual, 0) // The jobs that are cancelled are a small share of all.
	var jobs sync.WaitGroup
	var failed atomic.Bool
	for i := range 2 {
		jobs.Go(func() {
			id, spec := newID(), Spec{MS: 900, Amount: Amount{2000, 64}}
			first, other := fronts[i%len(fronts)], fronts[(i+1)%len(fronts)]
			answered := make(chan int, 1)
			go func() {
				status, _ := p.post(first, id, spec, 4, 1500*time.Millisecond)
				answered <- status
			}()
			time.Sleep(300 * time.Millisecond)
			if p.remove(other, id) != 200 || <-answered != 200 {
				failed.Store(true)
				return
			}
			time.Sleep(4 * time.Second)
			if p.trouble {
				p.rec.Add("platform: the request for %s arrives again", id)
				p.post([]*Machine{first, other}[i], id, spec, 4, 1500*time.Millisecond)
			}
			time.Sleep(time.Second)
		})
	}
	jobs.Wait()
	stop()
	p.world.shareCancelled()
	return "UNASKED", !failed.Load()
}

// usual draws short jobs.
func usual() (Spec, int) { return Spec{MS: 60, Amount: Amount{2000, 64}}, 1 + rand.IntN(4) }

// room: executors that do not guard their capacity, and a rolling restart of the frontend machines of a zone.
func room(p *Play) (string, bool) {
	p.small()
	for _, zone := range []string{"cluj", "mures"} {
		if p.addExecutors(zone, 4, Amount{64000, 262144}, false, 1500*time.Millisecond) != nil {
			return "", false
		}
	}
	if !p.begin(false) {
		return "", false
	}
	stop := p.traffic(10, func() (Spec, int) {
		return Spec{MS: 500 + rand.IntN(400), Amount: Amount{20000 + rand.IntN(12000), 64}}, 1 + rand.IntN(3)
	}, 0)
	time.Sleep(4 * time.Second)
	for _, m := range p.cluster.Fronts() {
		if m.Zone != "mures" {
			continue
		}
		if p.trouble {
			p.cluster.Stop(m)
			if p.cluster.Start(m) != nil {
				return "", false
			}
		}
		time.Sleep(5 * time.Second)
	}
	stop()
	return "LIMIT", true
}

// traffic sends jobs from a number of clients, each of which waits for the end of its job, until the returned function is called.
func (p *Play) traffic(clients int, kind func() (Spec, int), cancelShare float64) (stop func()) {
	done := make(chan struct{})
	var all sync.WaitGroup
	for range clients {
		all.Go(func() {
			for {
				select {
				case <-done:
					return
				default:
				}
				spec, count := kind()
				p.job(newID(), spec, count, rand.Float64() < cancelShare)
				time.Sleep(time.Duration(rand.IntN(60)) * time.Millisecond)
			}
		})
	}
	return func() {
		close(done)
		all.Wait()
	}
}

// job hands a job in, and sends it again resend_ms after no response, 502 or 504, to any machine in rotation.
func (p *Play) job(id string, spec Spec, count int, cancel bool) {
	gone := make(chan struct{})
	var cancelling sync.WaitGroup
	if cancel {
		cancelling.Go(func() {
			time.Sleep(time.Duration(rand.IntN(400)) * time.Millisecond)
			for range 6 {
				if s := p.remove(p.front(), id); s/100 == 2 || s == 410 {
					close(gone)
					return
				}
				time.Sleep(300 * time.Millisecond)
			}
		})
	}
	defer cancelling.Wait()
	for range 3 {
		wait := max(p.wait, 1500*time.Millisecond)
		if p.leave > 0 && rand.Float64() < p.leave {
			wait = time.Duration(10+rand.IntN(700)) * time.Millisecond
		}
		status, _ := p.post(p.front(), id, spec, count, wait)
		if status != 0 && status != 502 && status != 504 {
			return
		}
		select {
		case <-gone:
			return
		case <-time.After(1300 * time.Millisecond):
		}
	}
}

// chaos plays mixed disruptions, drawn by SEED, to find broken rules; it is no case.
func chaos(p *Play) (string, bool) {
	seed, _ := strconv.ParseUint(os.Getenv("SEED"), 10, 64)
	random := rand.New(rand.NewPCG(seed, 7))
	p.small()
	p.cluster.Add("core-mures-2", "mures", true)
	guards := os.Getenv("GUARDS") != "0"
	for _, zone := range []string{"cluj", "mures"} {
		if p.addExecutors(zone, 8, Amount{64000, 262144}, guards, 1500*time.Millisecond) != nil {
			return "", false
		}
	}
	if !p.begin(guards) {
		return "", false
	}
	p.leave = 0.15
	long := os.Getenv("LONG") != ""
	if long {
		p.wait = 8 * time.Second
	}
	share, err := strconv.ParseFloat(os.Getenv("CANCEL"), 64)
	if err != nil {
		share = 0.1
	}
	clients, _ := strconv.Atoi(os.Getenv("CLIENTS"))
	stop := p.traffic(max(clients, 20), func() (Spec, int) {
		if long {
			return Spec{MS: 300 + rand.IntN(3500), Amount: Amount{8000 + rand.IntN(12000), 64}}, 1 + rand.IntN(3)
		}
		switch rand.IntN(4) {
		case 0:
			return Spec{MS: 500 + rand.IntN(700), Amount: Amount{20000 + rand.IntN(12000), 64}}, 1 + rand.IntN(4)
		case 1:
			return Spec{MS: 60, Amount: Amount{20000 + rand.IntN(12000), 64}}, 1 + rand.IntN(12)
		}
		return Spec{MS: 200, Amount: Amount{20000 + rand.IntN(12000), 64}}, 1 + rand.IntN(3)
	}, share)
	ops := cmp.Or(os.Getenv("OPS"), "01234567")
	version := 1
	for end := time.Now().Add(60 * time.Second); time.Now().Before(end); {
		m := p.cluster.machines[random.IntN(len(p.cluster.machines))]
		switch ops[random.IntN(len(ops))] - '0' {
		case 6, 7:
			share, grant := 0.1+0.4*random.Float64(), random.IntN(2) == 0
			p.rec.Add("executors: a share %.2f of the orders to half of them is carried out late (grants: %v)", share, grant)
			for i, e := range p.executors {
				if i%2 == 0 {
					e.mu.Lock()
					e.late, e.lateGrant = share, grant
					e.mu.Unlock()
				}
			}
			if random.IntN(2) == 0 && !m.Core && len(ops) > 4 {
				time.Sleep(time.Duration(random.IntN(1000)) * time.Millisecond)
				p.cluster.Signal(m, syscall.SIGKILL)
				<-m.done
				p.cluster.Start(m)
			}
			time.Sleep(time.Duration(1000+random.IntN(3000)) * time.Millisecond)
			for _, e := range p.executors {
				e.mu.Lock()
				e.late = 0
				e.mu.Unlock()
			}
		case 0:
			p.cluster.Signal(m, syscall.SIGKILL)
			<-m.done
			time.Sleep(time.Duration(random.IntN(1500)) * time.Millisecond)
			p.cluster.Start(m)
		case 1:
			p.cluster.Stop(m)
			p.cluster.Start(m)
		case 2:
			p.cluster.Signal(m, syscall.SIGSTOP)
			time.Sleep(time.Duration(500+random.IntN(4000)) * time.Millisecond)
			p.cluster.Signal(m, syscall.SIGCONT)
		case 3:
			e := p.executors[random.IntN(len(p.executors))]
			p.rec.Add("executor %s: crashes", e.ID)
			e.End()
			time.Sleep(time.Duration(500+random.IntN(2000)) * time.Millisecond)
			e.Start()
		case 4:
			e := p.executors[random.IntN(len(p.executors))]
			e.Drain()
			time.Sleep(3 * time.Second)
			e.End()
			delete(p.world.drains, e)
			e.Start()
		case 8: // A machine that runs slower.
			p.rec.Add("platform: %s turns slow", m.Name)
			for until := time.Now().Add(time.Duration(2000+random.IntN(4000)) * time.Millisecond); time.Now().Before(until); {
				m.cmd.Process.Signal(syscall.SIGSTOP)
				time.Sleep(time.Duration(40+random.IntN(100)) * time.Millisecond)
				m.cmd.Process.Signal(syscall.SIGCONT)
				time.Sleep(20 * time.Millisecond)
			}
			p.rec.Add("platform: %s isn't slow any more", m.Name)
		case 9: // Executors that are cut off and run on.
			until := time.Now().Add(time.Duration(1000+random.IntN(4000)) * time.Millisecond)
			p.rec.Add("executors: a quarter is cut off")
			for i, e := range p.executors {
				if i%4 == version%4 {
					e.mu.Lock()
					e.backlog = backlog{until: until, cut: true}
					e.mu.Unlock()
				}
			}
			time.Sleep(time.Until(until))
		case 5:
			version++
			go p.cluster.PutConfig(desired(version, guards), 5*time.Second)
		}
		time.Sleep(time.Duration(random.IntN(3000)) * time.Millisecond)
	}
	stop()
	return "", true
}
