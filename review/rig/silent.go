package main

import (
	"fmt"
	"os"
	"strconv"
	"syscall"
	"time"
)

// site adds the machines of fml-baloti.
func (p *Play) site() {
	for _, zone := range []string{"cluj", "mures", "alba", "bistrita"} {
		p.cluster.Add("core-"+zone+"-1", zone, true)
	}
	for _, z := range []struct {
		zone  string
		count int
	}{{"cluj", 2}, {"mures", 3}, {"alba", 1}, {"bistrita", 2}} {
		for n := range z.count {
			p.cluster.Add(fmt.Sprintf("frontend-%s-%d", z.zone, n+1), z.zone, false)
		}
	}
}

// lateStart has the next start at one of the executors be left unanswered and carried out after a delay, its time counted from then.
// It returns a channel that tells when that start has come.
func (p *Play) lateStart(executors []*Executor, delay time.Duration) <-chan string {
	come := make(chan string, 1)
	for _, e := range executors {
		e.mu.Lock()
		e.lateNext = func(task string) (time.Duration, bool) {
			select {
			case come <- task:
				return delay, true
			default:
				return 0, false
			}
		}
		e.mu.Unlock()
	}
	return come
}

// silent: a frontend machine freezes, and one of its starts is carried out late.
func silent(p *Play) (string, bool) {
	delay := 2400 * time.Millisecond
	if ms, err := strconv.Atoi(os.Getenv("LATE_MS")); err == nil {
		delay = time.Duration(ms) * time.Millisecond
	}
	p.site()
	for _, zone := range []string{"cluj", "mures", "alba", "bistrita"} {
		if p.addExecutors(zone, 3, Amount{64000, 262144}, true, 1500*time.Millisecond) != nil {
			return "", false
		}
	}
	if !p.begin(true) {
		return "", false
	}
	alba := p.executors[6:9]
	var frozen *Machine
	for _, m := range p.cluster.Fronts() {
		if m.Zone == "alba" {
			frozen = m
		}
	}
	other := p.cluster.Fronts()[0]
	for round := range 7 {
		id, spec := newID(), Spec{MS: 900, Amount: Amount{27000, 64}}
		p.rec.Add("round %d", round+1)
		come := p.lateStart(alba, delay)
		go p.post(frozen, id, spec, 1, 1500*time.Millisecond)
		select {
		case <-come:
		case <-time.After(time.Second):
			return "TWICE", round > 0
		}
		sent := time.Now()
		time.Sleep(60 * time.Millisecond)
		if p.trouble {
			p.cluster.Signal(frozen, syscall.SIGSTOP)
		}
		time.Sleep(time.Until(sent.Add(2800 * time.Millisecond)))
		p.post(other, id, spec, 1, 1500*time.Millisecond) // resend_ms after no response.
		time.Sleep(time.Until(sent.Add(4060 * time.Millisecond)))
		if p.trouble {
			p.cluster.Signal(frozen, syscall.SIGCONT)
		}
		time.Sleep(8 * time.Second)
	}
	return "TWICE", true
}
