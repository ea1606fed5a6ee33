package main

import (
	"math/rand/v2"
	"os"
	"strconv"
	"syscall"
	"time"
)

// frozen plays freezes and kills of frontend machines with long tasks, drawn by SEED, to find tasks that run twice; it is no case.
func frozen(p *Play) (string, bool) {
	seed, _ := strconv.ParseUint(os.Getenv("SEED"), 10, 64)
	random := rand.New(rand.NewPCG(seed, 9))
	p.small()
	for _, zone := range []string{"cluj", "mures"} {
		if p.addExecutors(zone, 8, Amount{64000, 262144}, true, 1500*time.Millisecond) != nil {
			return "", false
		}
	}
	if !p.begin(true) {
		return "", false
	}
	p.leave = 0.3
	stop := p.traffic(24, func() (Spec, int) {
		return Spec{MS: 700 + rand.IntN(700), Amount: Amount{16000, 64}}, 1 + rand.IntN(3)
	}, 0.05)
	fronts := p.cluster.Fronts()
	for end := time.Now().Add(60 * time.Second); time.Now().Before(end); {
		if random.IntN(3) == 0 {
			share, grant := 0.05+0.3*random.Float64(), random.IntN(2) == 0
			p.rec.Add("executors: share %.2f late, grants %v", share, grant)
			for _, e := range p.executors {
				e.mu.Lock()
				e.late, e.lateGrant = share, grant
				e.mu.Unlock()
			}
		}
		m := fronts[random.IntN(len(fronts))]
		switch random.IntN(3) {
		case 0, 1:
			p.cluster.Signal(m, syscall.SIGSTOP)
			time.Sleep(time.Duration(200+random.IntN(3500)) * time.Millisecond)
			p.cluster.Signal(m, syscall.SIGCONT)
		case 2:
			p.cluster.Signal(m, syscall.SIGKILL)
			<-m.done
			time.Sleep(time.Duration(random.IntN(600)) * time.Millisecond)
			p.cluster.Start(m)
		}
		for _, e := range p.executors {
			e.mu.Lock()
			e.late = 0
			e.mu.Unlock()
		}
		time.Sleep(time.Duration(random.IntN(1500)) * time.Millisecond)
	}
	stop()
	return "", true
}
