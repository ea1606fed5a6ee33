package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"syscall"
	"time"
)

// catchUp is catch_up_s: after it a machine that has come with an empty disk counts again.
const catchUp = 4 * time.Second

// replaced plays core machines that are lost for good one after the other, each replaced by an empty one at another address, while others are killed or
// frozen and the desired state changes, drawn by SEED, to find lost states and cores that hang; it is no case.
func replaced(p *Play) (string, bool) {
	seed, _ := strconv.ParseUint(os.Getenv("SEED"), 10, 64)
	random := rand.New(rand.NewPCG(seed, 13))
	p.site()
	if !p.begin(true) {
		return "", false
	}
	cores := p.cluster.Cores()
	version := 1
	put := func(wait time.Duration) bool {
		version += 1 + random.IntN(3)
		for i, end := 0, time.Now().Add(wait); time.Now().Before(end); i++ {
			m := cores[(i+version)%len(cores)]
			if s, _ := call("PUT", m.Control(p.cluster), "", "/config", marshal(desired(version, true)), time.Second); s == 200 {
				return true
			}
			time.Sleep(100 * time.Millisecond)
		}
		return false
	}
	ms := func(n int) time.Duration { return time.Duration(random.IntN(n)) * time.Millisecond }
	for round, end := 0, time.Now().Add(80*time.Second); time.Now().Before(end); round++ {
		i := random.IntN(len(cores))
		lost := cores[i]
		p.rec.Add("round %d: %s is lost for good", round, lost.Name)
		if random.IntN(2) == 0 {
			put(2 * time.Second) // Right after an ack.
		}
		p.cluster.Signal(lost, syscall.SIGKILL)
		<-lost.done
		time.Sleep(time.Second)
		next := p.cluster.Add(fmt.Sprintf("core-%s-%d", lost.Zone, round+10), lost.Zone, true)
		cores = append(append(append([]*Machine{}, cores[:i]...), cores[i+1:]...), next)
		p.cluster.seeds = nil
		for _, n := range random.Perm(len(cores))[:3] {
			p.cluster.seeds = append(p.cluster.seeds, cores[n].Control(p.cluster))
		}
		p.cluster.Start(next)
		time.Sleep(ms(2000))
		switch other := cores[random.IntN(len(cores)-1)]; random.IntN(5) { // One with a disk.
		case 0:
			p.cluster.Signal(other, syscall.SIGKILL)
			<-other.done
			time.Sleep(ms(1500))
			p.cluster.Start(other)
		case 1:
			p.cluster.Signal(other, syscall.SIGSTOP)
			time.Sleep(ms(3000))
			p.cluster.Signal(other, syscall.SIGCONT)
		case 2:
			p.cluster.Signal(next, syscall.SIGKILL)
			<-next.done
			time.Sleep(ms(800))
			p.cluster.Start(next)
		case 3:
			for _, m := range cores {
				p.cluster.Signal(m, syscall.SIGKILL)
			}
			for _, m := range cores {
				<-m.done
			}
			time.Sleep(ms(900))
			for _, m := range cores {
				p.cluster.Start(m)
			}
		}
		time.Sleep(catchUp)
		if !put(12 * time.Second) {
			p.world.mu.Lock()
			p.world.breaks("Acks", "no ack for 12 s, %v after the last disturbance", catchUp)
			p.world.mu.Unlock()
			return "", true
		}
		for _, m := range cores {
			s, body := call("GET", m.Control(p.cluster), "", "/config", nil, 2*time.Second)
			p.rec.Add("GET /config at %s: %d, %.30s", m.Name, s, body)
		}
		time.Sleep(ms(1500))
	}
	return "", true
}

func marshal(value any) []byte {
	raw, _ := json.Marshal(value)
	return raw
}
