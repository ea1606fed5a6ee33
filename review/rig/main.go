package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

const (
	host    = "nony24.example"
	prefix  = "/lohu930/"
	service = "huvo11a"
)

// desired returns a desired state with one queue.
func desired(version int, guards bool) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []any{map[string]any{
			"name": "r-1", "host": host, "path_prefix": prefix, "type": "unsafe", "timeout_ms": 1500, "target_duration_ms": 60,
			"priority": 0, "service": service, "max_attempts": 4, "stretch": 1.6,
		}},
		"services": []any{map[string]any{
			"name": service, "health_path": "/health", "max_connections": 64, "protocol": "h1", "tls": false,
			"admission_control": guards, "standby": false,
		}},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
}

// Play is a case in progress.
type Play struct {
	rec       *Record
	world     *World
	cluster   *Cluster
	executors []*Executor
	trouble   bool
	ready     sync.Map // Machines in rotation.
	stopPolls chan struct{}
	wait      time.Duration // How long clients wait; the sites' 1.5 s where it is shorter.
	leave     float64       // Share of the POSTs whose client leaves early, and sends the job again later.
}

func newPlay(record, root string, trouble bool) (*Play, error) {
	rec, err := newRecord(record)
	if err != nil {
		return nil, err
	}
	c, err := newCluster(rec, root)
	if err != nil {
		return nil, err
	}
	return &Play{rec: rec, world: newWorld(rec), cluster: c, trouble: trouble, stopPolls: make(chan struct{})}, nil
}

// addExecutors adds sound executors to a zone.
func (p *Play) addExecutors(zone string, count int, has Amount, guards bool, beat time.Duration) error {
	var control []string
	for _, m := range p.cluster.Cores() {
		control = append(control, m.Control(p.cluster))
	}
	for range count {
		n := len(p.executors)
		e := &Executor{
			rec: p.rec, World: p.world, ID: fmt.Sprintf("i-%08x", 0x1000+n), Service: service, Zone: zone, Has: has, Slots: 8, Guards: guards,
			Address: fmt.Sprintf("127.%d.%d.%d:%d", p.cluster.net2, p.cluster.net3+1+n/200, 1+n%200, p.cluster.port+offsetExecutor),
			Control: control, Beat: beat, nextCore: n,
		}
		if err := e.Start(); err != nil {
			return err
		}
		p.executors = append(p.executors, e)
	}
	return nil
}

// begin starts all machines and waits until they serve.
func (p *Play) begin(guards bool) bool {
	for _, m := range p.cluster.machines {
		if p.cluster.Start(m) != nil {
			return false
		}
	}
	if !p.cluster.PutConfig(desired(1, guards), 20*time.Second) {
		return false
	}
	p.cluster.started = true
	if !p.cluster.AwaitReady(20 * time.Second) {
		return false
	}
	go p.poll()
	time.Sleep(3 * time.Second) // Executors report every second or so.
	return true
}

// poll asks for the readiness of the frontend machines once a second; two misses take a machine out of rotation.
func (p *Play) poll() {
	misses := make(map[*Machine]int)
	for {
		for _, m := range p.cluster.Fronts() {
			if p.cluster.IsReady(m) {
				misses[m] = 0
			} else {
				misses[m]++
			}
			p.ready.Store(m, misses[m] < 2)
		}
		select {
		case <-p.stopPolls:
			return
		case <-time.After(time.Second):
		}
	}
}

// front returns a frontend machine in rotation.
func (p *Play) front() *Machine {
	fronts := p.cluster.Fronts()
	rand.Shuffle(len(fronts), func(i, j int) { fronts[i], fronts[j] = fronts[j], fronts[i] })
	for _, m := range fronts {
		if in, polled := p.ready.Load(m); !polled || in.(bool) {
			return m
		}
	}
	return fronts[0]
}

// jobBody returns the body that hands in a best-effort job of one step.
func jobBody(spec Spec, count int) (body []byte, text string) {
	raw, _ := json.Marshal(spec)
	body, _ = json.Marshal(map[string]any{
		"spec": string(raw), "best_effort": true,
		"steps": []any{map[string]any{"count": count, "cpu": spec.CPU, "mem_mb": spec.Mem, "estimated_ms": spec.MS}},
	})
	return body, string(raw)
}

// post hands a job in at a machine and returns the response.
func (p *Play) post(m *Machine, id string, spec Spec, count int, wait time.Duration) (int, string) {
	body, text := jobBody(spec, count)
	p.world.Sent(id, text, count)
	p.rec.Add("client: POST %s to %s: %d tasks of %d ms, %v", id, m.Name, count, spec.MS, spec.Amount)
	status, answer := call("POST", m.Frontend(p.cluster), host, prefix+id, body, wait, "X-Deadline-Ms", fmt.Sprint(wait.Milliseconds()))
	p.rec.Add("client: POST %s to %s answered: %d %s", id, m.Name, status, answer)
	p.world.Answered(id, status, answer)
	return status, answer
}

// remove cancels a job at a machine.
func (p *Play) remove(m *Machine, id string) int {
	p.rec.Add("client: DELETE %s to %s", id, m.Name)
	p.world.Cancelled(id)
	status, answer := call("DELETE", m.Frontend(p.cluster), host, prefix+id, nil, 1500*time.Millisecond, "X-Deadline-Ms", "1500")
	p.rec.Add("client: DELETE %s to %s answered: %d %s", id, m.Name, status, answer)
	if status/100 == 2 || status == 410 {
		p.world.CancelAcked(id)
	}
	return status
}

var lastID atomic.Uint64

func newID() string { return fmt.Sprintf("%08x%08x", rand.Uint32(), lastID.Add(1)) }

func (p *Play) end() {
	close(p.stopPolls)
	for _, e := range p.executors {
		e.End()
	}
	p.cluster.Close()
}

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: rig CASE ROOT RECORD")
		os.Exit(2)
	}
	name, root, record := os.Args[1], os.Args[2], os.Args[3]
	cases := map[string]func(*Play) (rule string, ran bool){"cancelled": cancelled, "room": room, "chaos": chaos, "frozen": frozen, "configs": configs, "silent": silent, "dropped": dropped, "founding": founding, "herd": herd, "stuck": stuck, "odd": oddness, "replaced": replaced}
	play, known := cases[name]
	if !known {
		os.Exit(2)
	}
	p, err := newPlay(record, root, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	rule, ran := play(p)
	p.world.Finish()
	p.end()
	p.rec.Add("starts: %d; broken: %v", p.world.starts, p.world.broken)
	fmt.Println("starts:", p.world.starts, "broken:", p.world.broken)
	switch {
	case !ran:
		os.Exit(2)
	case rule == "" && len(p.world.broken) > 0, p.world.Broken(rule) > 0:
		os.Exit(1)
	}
}
