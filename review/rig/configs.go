package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// configs plays kills and freezes of the core while two operators change the desired state and read it, drawn by SEED; it is no case.
func configs(p *Play) (string, bool) {
	seed, _ := strconv.ParseUint(os.Getenv("SEED"), 10, 64)
	random := rand.New(rand.NewPCG(seed, 11))
	p.small()
	p.cluster.Add("core-mures-2", "mures", true)
	if !p.begin(true) {
		return "", false
	}
	type ack struct {
		version int
		at      time.Time
	}
	var mu sync.Mutex
	var acks []ack
	sent := map[int]map[string]bool{}
	next := 10
	done := make(chan struct{})
	var all sync.WaitGroup
	cores := p.cluster.Cores()
	read := func(m *Machine, wait time.Duration) {
		at := time.Now()
		status, body := call("GET", m.Control(p.cluster), "", "/config", nil, wait)
		if status != 200 {
			return
		}
		var d struct {
			Version int `json:"version"`
		}
		json.Unmarshal([]byte(body), &d)
		mu.Lock()
		defer mu.Unlock()
		p.world.mu.Lock()
		defer p.world.mu.Unlock()
		for _, a := range acks {
			if at.Sub(a.at) > 2*time.Second && d.Version < a.version {
				p.world.breaks("CONFIG", "%s answers version %d, %d was acknowledged %.1f s before the read", m.Name, d.Version, a.version, at.Sub(a.at).Seconds())
			}
		}
		if s := sent[d.Version]; s != nil && !s[body] {
			p.world.breaks("CONFIG", "%s answers another content of version %d", m.Name, d.Version)
		}
	}
	for range 3 {
		all.Go(func() {
			for {
				select {
				case <-done:
					return
				case <-time.After(time.Duration(rand.IntN(150)) * time.Millisecond):
				}
				mu.Lock()
				if rand.IntN(3) > 0 {
					next += 1 + rand.IntN(3)
				}
				version := next
				d := desired(version, true)
				d["routes"] = append(d["routes"].([]any), map[string]any{"name": "x", "host": fmt.Sprintf("h%d", rand.Uint32()), "path_prefix": "/x/", "timeout_ms": 1500, "service": service})
				raw, _ := json.Marshal(d)
				if sent[version] == nil {
					sent[version] = map[string]bool{}
				}
				sent[version][string(raw)] = true
				mu.Unlock()
				for range 6 {
					m := cores[rand.IntN(len(cores))]
					status, _ := call("PUT", m.Control(p.cluster), "", "/config", raw, time.Second)
					p.rec.Add("PUT %d to %s: %d", version, m.Name, status)
					if status == 200 {
						mu.Lock()
						acks = append(acks, ack{version, time.Now()})
						acks = acks[max(0, len(acks)-2000):]
						mu.Unlock()
						break
					}
					if status != 0 && status < 500 {
						p.world.mu.Lock()
						p.world.breaks("CONFIG", "version %d is refused: %d", version, status)
						p.world.mu.Unlock()
					}
				}
			}
		})
		all.Go(func() {
			for {
				select {
				case <-done:
					return
				case <-time.After(time.Duration(rand.IntN(60)) * time.Millisecond):
				}
				read(cores[rand.IntN(len(cores))], time.Second)
			}
		})
	}
	for end := time.Now().Add(60 * time.Second); time.Now().Before(end); {
		m := cores[random.IntN(len(cores))]
		switch random.IntN(5) {
		case 0:
			p.cluster.Signal(m, syscall.SIGKILL)
			<-m.done
			time.Sleep(time.Duration(random.IntN(4000)) * time.Millisecond)
			p.cluster.Start(m)
		case 1:
			for _, m := range cores {
				p.cluster.Signal(m, syscall.SIGKILL)
			}
			for _, m := range cores {
				<-m.done
			}
			time.Sleep(time.Duration(random.IntN(900)) * time.Millisecond)
			for _, i := range random.Perm(len(cores)) {
				p.cluster.Start(cores[i])
				time.Sleep(time.Duration(random.IntN(150)) * time.Millisecond)
			}
		case 2:
			p.cluster.Signal(m, syscall.SIGSTOP)
			time.Sleep(time.Duration(300+random.IntN(5000)) * time.Millisecond)
			p.cluster.Signal(m, syscall.SIGCONT)
		case 3:
			p.cluster.Stop(m)
			time.Sleep(time.Duration(random.IntN(3000)) * time.Millisecond)
			p.cluster.Start(m)
		case 4: // A lost disk.
			p.cluster.Signal(m, syscall.SIGKILL)
			<-m.done
			os.RemoveAll(m.DataDir)
			p.rec.Add("platform: %s loses its disk", m.Name)
			time.Sleep(time.Duration(random.IntN(3000)) * time.Millisecond)
			p.cluster.Start(m)
			time.Sleep(4 * time.Second)
		}
		time.Sleep(time.Duration(random.IntN(2500)) * time.Millisecond)
	}
	close(done)
	all.Wait()
	time.Sleep(3 * time.Second)
	served := 0
	for range 20 {
		for _, m := range cores {
			if s, _ := call("GET", m.Control(p.cluster), "", "/config", nil, 2*time.Second); s == 200 {
				served++
			}
			read(m, 2*time.Second)
		}
		time.Sleep(200 * time.Millisecond)
	}
	p.rec.Add("reads at the end: %d of 80; acks %d", served, len(acks))
	fmt.Println("reads at the end:", served, "acks", len(acks))
	return "", true
}
