package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// maxHold and stopTime are max_hold_ms and stop_timeout_ms of a small deployment.
const (
	maxHold  = 1000 * time.Millisecond
	stopTime = 20 * time.Millisecond
)

// runRecord is one run of a task on an executor, as the checker sees it.
type runRecord struct {
	Task     string
	Run      int
	Spec     string
	Executor string
	Life     int
	Token    uint64
	Start    time.Time
	End      time.Time // Zero while it runs.
	How      string
	Late     bool // Started by an order that was carried out late.
	Draining bool
}

// executor is a stand-in for an executor: it follows PROTOCOL.md, "Running tasks" and "Service discovery".
type executor struct {
	w       *world
	id      string
	service string
	zone    string
	addr    string
	cpu     int
	mem     int
	slots   int

	mu       sync.Mutex
	life     int
	up       bool
	born     time.Time
	server   *http.Server
	stopped  chan struct{}
	token    uint64
	lease    time.Time
	running  map[string]*liveRun
	highest  map[string]int
	ended    [][]any
	lastEnd  int
	changed  chan struct{}
	freeCPU  int
	freeMem  int
	sequence int
	state    string
	drainAck time.Time

	lateShare  float64 // Share of the orders that get no answer and are carried out late.
	lateGrants bool    // The time of late grants counts from their arrival.
	failShare  float64
	muteShare  float64 // Share of the orders that are carried out and get no answer.
	refuse     float64
	slow       float64
	silent     bool // Answers nothing.
}

type liveRun struct {
	rec  *runRecord
	stop chan string
	cpu  int
	mem  int
	once sync.Once
}

func (r *liveRun) end(how string) { r.once.Do(func() { r.stop <- how }) }

func (e *executor) start() error {
	l, err := net.Listen("tcp", e.addr)
	if err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.addr = l.Addr().String()
	e.life++
	e.up, e.born, e.stopped = true, time.Now(), make(chan struct{})
	e.token, e.lease = 0, time.Time{}
	e.running, e.highest, e.ended, e.lastEnd = map[string]*liveRun{}, map[string]int{}, nil, 0
	e.changed = make(chan struct{})
	e.freeCPU, e.freeMem, e.sequence, e.state, e.drainAck = e.cpu, e.mem, 0, "ready", time.Time{}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run-start", e.handle(e.runStart))
	mux.HandleFunc("POST /run-stop", e.handle(e.runStop))
	mux.HandleFunc("POST /hold", e.handle(e.hold))
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(200) })
	e.server = &http.Server{Handler: mux, ConnContext: func(ctx context.Context, _ net.Conn) context.Context {
		return context.WithValue(ctx, callerKey{}, &callerOf{})
	}}
	go e.server.Serve(l)
	go e.beats(e.life, e.stopped)
	go e.lapse(e.stopped)
	return nil
}

// crash ends the executor with all that runs on it.
func (e *executor) crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.up {
		return
	}
	e.up = false
	close(e.stopped)
	e.server.Close()
	for _, r := range e.running {
		r.end("crashed")
	}
}

func (e *executor) clock() int64 { return time.Since(e.born).Milliseconds() }

type order struct {
	Task  string `json:"task"`
	Run   int    `json:"run"`
	Spec  string `json:"spec"`
	Until int64  `json:"until_ms"`
	Token uint64 `json:"fencing_token"`
	Seen  int    `json:"last_seen"`
	Wait  int64  `json:"wait_ms"`
	late  bool
	grant int64 // until_ms - clock at the time of sending, for late grants.
}

func (e *executor) handle(f func(r *http.Request, o order) (int, map[string]any)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		raw, err := io.ReadAll(r.Body)
		var o order
		if err != nil || json.Unmarshal(raw, &o) != nil {
			w.WriteHeader(400)
			return
		}
		if x := r.Header.Get("X-Expect-Instance"); x != "" && x != e.id {
			w.WriteHeader(421)
			return
		}
		if !e.reached(r) {
			return
		}
		e.mu.Lock()
		life, silent := e.life, e.silent
		late := e.lateShare > 0 && rand.Float64() < e.lateShare
		mute := e.muteShare > 0 && rand.Float64() < e.muteShare
		refuse := e.refuse > 0 && rand.Float64() < e.refuse
		e.mu.Unlock()
		switch {
		case silent:
			<-r.Context().Done()
			return
		case refuse:
			w.WriteHeader(503)
			return
		case late:
			o.late = true
			o.grant = o.Until - e.clock()
			o.Wait = 0
			time.AfterFunc(2*time.Second+time.Duration(rand.Int64N(int64(10*time.Second))), func() {
				e.mu.Lock()
				same := e.up && e.life == life
				e.mu.Unlock()
				if same {
					f(nil, o)
				}
			})
			<-r.Context().Done()
			return
		}
		status, body := f(r, o)
		if mute {
			<-r.Context().Done()
			return
		}
		if !e.reached(r) {
			return
		}
		e.mu.Lock()
		body["clock_ms"] = e.clock()
		e.mu.Unlock()
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(status)
		json.NewEncoder(w).Encode(body)
	}
}

// callerOf remembers the machine at a channel's other end.
type callerOf struct {
	mu   sync.Mutex
	name string
}

type callerKey struct{}

func (c *callerOf) find(w *world, remote string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.name == "" {
		c.name = w.nodeOf(remote)
	}
	return c.name
}

// reached waits until no cut lies between the caller of a request and the executor. It reports false if the caller has gone meanwhile.
func (e *executor) reached(r *http.Request) bool {
	n := e.w.net
	if n == nil || r == nil || !n.cutting() {
		return true
	}
	name := r.Context().Value(callerKey{}).(*callerOf).find(e.w, r.RemoteAddr)
	for healed := n.blocked(name, e.id); healed != nil; healed = n.blocked(name, e.id) {
		select {
		case <-healed:
		case <-r.Context().Done():
			return false
		}
	}
	return true
}

func conflict(reason string) (int, map[string]any) { return 409, map[string]any{"reason": reason} }

// grantLease takes until_ms; the caller holds the lock.
func (e *executor) grantLease(o order) {
	if o.Until == 0 {
		return
	}
	until := e.born.Add(time.Duration(o.Until) * time.Millisecond)
	if o.late && e.lateGrants {
		until = time.Now().Add(time.Duration(o.grant) * time.Millisecond)
	}
	if limit := time.Now().Add(maxHold); until.After(limit) {
		until = limit
	}
	if until.After(e.lease) {
		e.lease = until
	}
}

func (e *executor) runStart(_ *http.Request, o order) (int, map[string]any) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if o.Token < e.token {
		return conflict("fence")
	}
	e.token = o.Token
	if r, ok := e.running[o.Task]; ok && r.rec.Run == o.Run {
		e.grantLease(o)
		return 200, map[string]any{}
	}
	e.grantLease(o)
	if !e.lease.After(time.Now()) {
		return conflict("late")
	}
	if o.Run <= e.highest[o.Task] || e.running[o.Task] != nil {
		return conflict("old")
	}
	cpu, mem, ms := parseSpec(o.Spec)
	if cpu > e.freeCPU || mem > e.freeMem || len(e.running) >= e.slots {
		return conflict("room")
	}
	e.freeCPU -= cpu
	e.freeMem -= mem
	rec := &runRecord{Task: o.Task, Run: o.Run, Spec: o.Spec, Executor: e.id, Life: e.life, Token: o.Token, Start: time.Now(), Late: o.late}
	if !e.drainAck.IsZero() && time.Since(e.drainAck) > 2*time.Second {
		rec.Draining = true
	}
	r := &liveRun{rec: rec, stop: make(chan string, 1), cpu: cpu, mem: mem}
	e.running[o.Task] = r
	e.w.begin(rec)
	d := time.Duration(ms) * time.Millisecond
	if e.slow > 0 {
		d = time.Duration(float64(d) * e.slow)
	}
	how := "done"
	if e.failShare > 0 && rand.Float64() < e.failShare {
		how = "failed"
	}
	go e.work(r, d, how)
	return 200, map[string]any{}
}

func (e *executor) work(r *liveRun, d time.Duration, how string) {
	select {
	case <-time.After(d):
	case how = <-r.stop:
		if how == "stopped" {
			time.Sleep(stopTime)
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.w.finish(r.rec, how)
	if how == "crashed" {
		return
	}
	delete(e.running, r.rec.Task)
	e.freeCPU += r.cpu
	e.freeMem += r.mem
	e.highest[r.rec.Task] = max(e.highest[r.rec.Task], r.rec.Run)
	e.lastEnd++
	e.ended = append(e.ended, []any{e.lastEnd, r.rec.Task, r.rec.Run, how, ""})
	close(e.changed)
	e.changed = make(chan struct{})
}

func (e *executor) runStop(_ *http.Request, o order) (int, map[string]any) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if o.Token < e.token {
		return conflict("fence")
	}
	e.token = o.Token
	e.highest[o.Task] = max(e.highest[o.Task], o.Run)
	if r, ok := e.running[o.Task]; ok && r.rec.Run <= o.Run {
		r.end("stopped")
	}
	return 200, map[string]any{}
}

func (e *executor) hold(r *http.Request, o order) (int, map[string]any) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if o.Token < e.token {
		return conflict("fence")
	}
	e.token = o.Token
	e.grantLease(o)
	for len(e.ended) > 0 && e.ended[0][0].(int) <= o.Seen {
		e.ended = e.ended[1:]
	}
	if len(e.ended) == 0 && o.Wait > 0 && r != nil {
		changed := e.changed
		stopped := e.stopped
		e.mu.Unlock()
		select {
		case <-changed:
		case <-stopped:
		case <-r.Context().Done():
		case <-time.After(time.Duration(min(o.Wait, 2000)) * time.Millisecond):
		}
		e.mu.Lock()
	}
	running := [][]any{}
	for _, l := range e.running {
		running = append(running, []any{l.rec.Task, l.rec.Run, "", 50, 100})
	}
	ended := append([][]any{}, e.ended[:min(len(e.ended), 500)]...)
	return 200, map[string]any{"running": running, "ended": ended, "born": e.born.UnixMilli()}
}

func (e *executor) lapse(stopped chan struct{}) {
	for {
		select {
		case <-stopped:
			return
		case <-time.After(5 * time.Millisecond):
		}
		e.mu.Lock()
		if len(e.running) > 0 && !e.lease.After(time.Now()) {
			for _, r := range e.running {
				r.end("lapsed")
			}
		}
		e.mu.Unlock()
	}
}

// beats sends heartbeats as a sound executor does.
func (e *executor) beats(life int, stopped chan struct{}) {
	client := &http.Client{Timeout: time.Second}
	defer client.CloseIdleConnections()
	next := rand.IntN(len(e.w.control))
	wait := time.Duration(0)
	for {
		select {
		case <-stopped:
			return
		case <-time.After(wait):
		}
		wait = 1500 * time.Millisecond
		e.mu.Lock()
		silent := e.silent
		e.sequence++
		state := e.state
		raw, _ := json.Marshal(map[string]any{
			"service": e.service, "address": e.addr, "zone": e.zone, "version": "v1", "slots": e.slots, "state": state,
			"cold_remaining_ms": 0, "capacity": map[string]int{"cpu": e.cpu, "mem_mb": e.mem, "gpu": 0},
			"labels": []string{"a", "r1-1"}, "clock_ms": e.clock(), "sequence": e.sequence, "born": e.born.UnixMilli(),
		})
		e.mu.Unlock()
		if silent {
			continue
		}
		for range len(e.w.control) {
			if e.w.net != nil && e.w.net.blocked(e.id, e.w.nodes[next%len(e.w.control)].name) != nil {
				next++
				continue
			}
			req, _ := http.NewRequest("PUT", "http://"+e.w.control[next%len(e.w.control)]+"/instances/"+e.id, bytes.NewReader(raw))
			req.Header.Set("Content-Type", "application/json")
			resp, err := client.Do(req)
			ok := err == nil && resp.StatusCode/100 == 2
			if err == nil {
				io.Copy(io.Discard, resp.Body)
				resp.Body.Close()
			}
			if ok {
				if state == "draining" {
					e.mu.Lock()
					if e.drainAck.IsZero() && e.life == life {
						e.drainAck = time.Now()
					}
					e.mu.Unlock()
				}
				break
			}
			next++
		}
	}
}

// parseSpec reads the needs and the run time that the clients of this rig put into spec.
func parseSpec(spec string) (cpu, mem, ms int) {
	for _, f := range strings.Split(spec, ";") {
		k, v, _ := strings.Cut(f, "=")
		n, _ := strconv.Atoi(v)
		switch k {
		case "cpu":
			cpu = n
		case "mem":
			mem = n
		case "ms":
			ms = n
		}
	}
	return
}

func (e *executor) String() string { return fmt.Sprintf("%s/%d", e.id, e.life) }
