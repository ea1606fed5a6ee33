package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// interval is one run of a task at an executor.
type interval struct {
	Task, Exec string
	Run        int
	Start, End time.Time
	How        string
	Spec       string
}

type ledger struct {
	mu   sync.Mutex
	runs []*interval
	open map[string][]*interval // By task.
	bad  []string
}

func (l *ledger) begin(task, exec, spec string, run int) *interval {
	l.mu.Lock()
	defer l.mu.Unlock()
	iv := &interval{Task: task, Exec: exec, Run: run, Start: time.Now(), Spec: spec}
	for _, o := range l.open[task] {
		l.bad = append(l.bad, fmt.Sprintf("TWICE %s: run %d at %s since %s, and run %d at %s from %s (overlap)", task, o.Run, o.Exec, stamp(o.Start), run, exec, stamp(iv.Start)))
		say("!! %s", l.bad[len(l.bad)-1])
	}
	l.open[task] = append(l.open[task], iv)
	l.runs = append(l.runs, iv)
	return iv
}

func (l *ledger) finish(iv *interval, how string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	iv.End, iv.How = time.Now(), how
	o := l.open[iv.Task]
	for i := range o {
		if o[i] == iv {
			l.open[iv.Task] = append(o[:i:i], o[i+1:]...)
			break
		}
	}
}

type taskRun struct {
	iv     *interval
	number int
	cpu    int
	timer  *time.Timer
}

type executor struct {
	id, zone, addr, service string
	controls                []string
	cpu, slots              int
	leds                    *ledger

	mu       sync.Mutex
	life     int
	up       bool
	born     time.Time
	rate     float64
	token    uint64
	lease    int64
	leaseT   *time.Timer
	running  map[string]*taskRun
	highest  map[string]int
	ended    [][]any
	lastEnd  int
	wake     chan struct{}
	seq      int
	draining bool
	server   *http.Server
	stopBeat chan struct{}
	slow     float64 // Factor of run times.

	lateShare  float64 // Share of orders that get no answer and are carried out 2 to 12 s later.
	lateGrants bool
	mute       bool // Orders are carried out and get no answer.
	dark       bool // No order arrives.
	cpuUsed    int
}

func (e *executor) clock() int64 { return int64(float64(time.Since(e.born).Milliseconds()) * e.rate) }

func (e *executor) start() error {
	l, err := net.Listen("tcp", e.addr)
	if err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.life++
	e.up, e.born, e.rate = true, time.Now(), 0.98+0.02*rand.Float64()
	e.token, e.lease, e.lastEnd, e.seq, e.cpuUsed, e.draining = 0, 0, 0, 0, 0, false
	e.running, e.highest, e.ended, e.wake = map[string]*taskRun{}, map[string]int{}, nil, make(chan struct{})
	mux := http.NewServeMux()
	life := e.life
	mux.HandleFunc("POST /run-start", func(w http.ResponseWriter, r *http.Request) { e.order(w, r, life, "start") })
	mux.HandleFunc("POST /run-stop", func(w http.ResponseWriter, r *http.Request) { e.order(w, r, life, "stop") })
	mux.HandleFunc("POST /hold", func(w http.ResponseWriter, r *http.Request) { e.order(w, r, life, "hold") })
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, r *http.Request) {})
	e.server = &http.Server{Handler: mux}
	go e.server.Serve(l)
	e.stopBeat = make(chan struct{})
	go e.beats(e.stopBeat)
	return nil
}

func (e *executor) crash() {
	e.mu.Lock()
	if !e.up {
		e.mu.Unlock()
		return
	}
	e.up = false
	e.life++
	close(e.stopBeat)
	for _, r := range e.running {
		r.timer.Stop()
		e.leds.finish(r.iv, "crashed")
	}
	e.running = map[string]*taskRun{}
	s := e.server
	e.mu.Unlock()
	s.Close()
}

type orderBody struct {
	Task  string `json:"task"`
	Run   int    `json:"run"`
	Spec  string `json:"spec"`
	Until int64  `json:"until_ms"`
	Token uint64 `json:"fencing_token"`
	Seen  int    `json:"last_seen"`
	Wait  int64  `json:"wait_ms"`
}

func (e *executor) order(w http.ResponseWriter, r *http.Request, life int, kind string) {
	var o orderBody
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		w.WriteHeader(400)
		return
	}
	e.mu.Lock()
	if e.life != life || !e.up {
		e.mu.Unlock()
		hang(r)
		return
	}
	if e.dark {
		e.mu.Unlock()
		hang(r)
		return
	}
	if x := r.Header.Get("X-Expect-Instance"); x != "" && x != e.id {
		e.mu.Unlock()
		w.WriteHeader(421)
		return
	}
	if e.lateShare > 0 && rand.Float64() < e.lateShare {
		grants := e.lateGrants
		e.mu.Unlock()
		after := time.Duration(2000+rand.IntN(10000)) * time.Millisecond
		time.AfterFunc(after, func() {
			if grants && o.Until > 0 {
				o.Until += after.Milliseconds()
			}
			e.mu.Lock()
			defer e.mu.Unlock()
			if e.up { // The next life under the id carries it out, too.
				e.apply(kind, o)
			}
		})
		hang(r)
		return
	}
	status, body := e.apply(kind, o)
	if kind == "hold" && status == 200 && o.Wait > 0 && len(e.ended) == 0 {
		wake := e.wake
		e.mu.Unlock()
		t := time.NewTimer(time.Duration(o.Wait) * time.Millisecond)
		select {
		case <-wake:
		case <-t.C:
		case <-r.Context().Done():
		}
		t.Stop()
		e.mu.Lock()
	}
	if e.life != life {
		e.mu.Unlock()
		hang(r)
		return
	}
	if kind == "hold" && status == 200 {
		body["running"], body["ended"], body["born"] = e.lists()
	}
	body["clock_ms"] = e.clock()
	mute := e.mute
	raw, _ := json.Marshal(body)
	e.mu.Unlock()
	if mute {
		hang(r)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	w.Write(raw)
}

func hang(r *http.Request) {
	<-r.Context().Done()
	panic(http.ErrAbortHandler)
}

func (e *executor) lists() (running, ended [][]any, born int64) {
	running, ended = [][]any{}, [][]any{}
	for t, r := range e.running {
		running = append(running, []any{t, r.number, "", 100, 1000})
	}
	for i, x := range e.ended {
		if i == 500 {
			break
		}
		ended = append(ended, x)
	}
	return running, ended, e.born.UnixMilli()
}

func (e *executor) extend(until int64) {
	if until == 0 {
		return
	}
	until = min(until, e.clock()+1000)
	if until <= e.lease {
		return
	}
	e.lease = until
	e.armLease()
}

func (e *executor) armLease() {
	left := time.Duration(float64(e.lease-e.clock())/e.rate*1e6) * time.Nanosecond
	life := e.life
	if e.leaseT != nil {
		e.leaseT.Stop()
	}
	e.leaseT = time.AfterFunc(left, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.life != life || e.clock() < e.lease {
			if e.life == life {
				e.armLease()
			}
			return
		}
		for t, r := range e.running {
			e.endRun(t, r, "lapsed")
		}
	})
}

func (e *executor) endRun(task string, r *taskRun, how string) {
	if e.running[task] != r {
		return
	}
	r.timer.Stop()
	delete(e.running, task)
	e.cpuUsed -= r.cpu
	e.highest[task] = max(e.highest[task], r.number)
	e.lastEnd++
	e.ended = append(e.ended, []any{e.lastEnd, task, r.number, how, ""})
	e.leds.finish(r.iv, how)
	close(e.wake)
	e.wake = make(chan struct{})
}

func (e *executor) apply(kind string, o orderBody) (int, map[string]any) {
	conflict := func(why string) (int, map[string]any) { return 409, map[string]any{"reason": why} }
	if o.Token < e.token {
		return conflict("fence")
	}
	e.token = o.Token
	switch kind {
	case "hold":
		e.extend(o.Until)
		for len(e.ended) > 0 && e.ended[0][0].(int) <= o.Seen {
			e.ended = e.ended[1:]
		}
		return 200, map[string]any{}
	case "stop":
		e.highest[o.Task] = max(e.highest[o.Task], o.Run)
		if r, ok := e.running[o.Task]; ok && r.number <= o.Run {
			time.AfterFunc(time.Duration(5+rand.IntN(35))*time.Millisecond, func() {
				e.mu.Lock()
				defer e.mu.Unlock()
				e.endRun(o.Task, r, "stopped")
			})
		}
		return 200, map[string]any{}
	}
	if r, ok := e.running[o.Task]; ok && r.number == o.Run {
		e.extend(o.Until)
		return 200, map[string]any{}
	}
	if o.Until <= e.clock() {
		return conflict("late")
	}
	e.extend(o.Until)
	if o.Run <= e.highest[o.Task] {
		return conflict("old")
	}
	if _, ok := e.running[o.Task]; ok {
		return conflict("old")
	}
	var s spec
	json.Unmarshal([]byte(o.Spec), &s)
	if e.cpuUsed+s.CPU > e.cpu || len(e.running) >= e.slots {
		return conflict("room")
	}
	e.cpuUsed += s.CPU
	r := &taskRun{number: o.Run, cpu: s.CPU, iv: e.leds.begin(o.Task, fmt.Sprintf("%s/%d", e.id, e.life), o.Spec, o.Run)}
	how := "done"
	if rand.Float64() < 0.002 {
		how = "failed"
	}
	life := e.life
	r.timer = time.AfterFunc(time.Duration(float64(s.MS)*max(e.slow, 1))*time.Millisecond, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.life == life {
			e.endRun(o.Task, r, how)
		}
	})
	e.running[o.Task] = r
	return 200, map[string]any{}
}

type spec struct {
	MS  int    `json:"ms"`
	CPU int    `json:"cpu"`
	ID  string `json:"id"`
}

func (e *executor) beats(stop chan struct{}) {
	client := &http.Client{Timeout: time.Second}
	at := rand.IntN(len(e.controls))
	for {
		e.mu.Lock()
		e.seq++
		state := "ready"
		if e.draining {
			state = "draining"
		}
		raw, _ := json.Marshal(map[string]any{
			"service": e.service, "address": e.addr, "zone": e.zone, "version": "v1", "slots": e.slots, "state": state, "cold_remaining_ms": 0,
			"capacity": map[string]int{"cpu": e.cpu, "mem_mb": 65536, "gpu": 0}, "labels": []string{"a", "r1-1"},
			"clock_ms": e.clock(), "sequence": e.seq, "born": e.born.UnixMilli(),
		})
		dark := e.dark
		e.mu.Unlock()
		if !dark {
			for range 3 {
				req, _ := http.NewRequest("PUT", "http://"+e.controls[at%len(e.controls)]+"/instances/"+e.id, bytes.NewReader(raw))
				req.Header.Set("Content-Type", "application/json")
				resp, err := client.Do(req)
				ok := err == nil && resp.StatusCode == 200
				if err == nil {
					io.Copy(io.Discard, resp.Body)
					resp.Body.Close()
				}
				if ok {
					break
				}
				at++
			}
		}
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(1400+rand.IntN(200)) * time.Millisecond):
		}
	}
}

// of returns the runs of a job's tasks, in the order of their starts.
func (l *ledger) of(job string) (runs []interval) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range l.runs {
		if strings.HasPrefix(r.Task, job+".") {
			runs = append(runs, *r)
		}
	}
	return runs
}
