package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// shown returns a task's name ID.K.STEP.INDEX as it is recorded, with slashes, so that nobody takes a part of it for an address.
func shown(task string) string { return strings.ReplaceAll(task, ".", "/") }

// interval is a run of a task from its start to its end.
type interval struct {
	task, executor string
	run            int
	from, to       time.Time // to is zero while the run goes on.
	how            string
}

// world holds what the executors have seen.
type world struct {
	mu        sync.Mutex
	intervals []*interval
	orders    int // Orders that executors got.
	inTrouble int // Orders that executors got while some were left unanswered.
	late      int // Orders that were left unanswered and carried out late.
	rec       *record
}

// executor is a sound executor as the pages describe it: it keeps the highest fencing token, runs tasks under one lease, and
// lists their ends until they are taken note of.
type executor struct {
	id, zone, rack string
	cpu            int
	guards         bool
	w              *world
	born           time.Time
	listener       net.Listener
	server         *http.Server
	stopped        chan struct{}

	mu       sync.Mutex
	token    uint64
	lease    time.Time
	down     bool // The executor has crashed and has not started again.
	running  map[string]*running
	highest  map[string]int // Highest run of each task that was stopped or has ended here.
	ended    [][]any
	lastEnd  int
	changed  chan struct{} // Closed at the next end.
	freeCPU  int
	sequence int
	life     int // Number of the life; a run of an earlier one has ended with it.
	// unanswered tells whether an order is left unanswered and carried out later, how much later, and whether the time of such orders
	// lasts; nil for none.
	unanswered func(path string) (after time.Duration, late, during bool)
	grants     bool // The time of an order that is carried out late counts from its arrival.
}

type running struct {
	number, cpu int
	over        chan string
	seen        *interval
}

type order struct {
	Task  string `json:"task"`
	Run   int    `json:"run"`
	Spec  string `json:"spec"`
	Until int64  `json:"until_ms"`
	Token uint64 `json:"fencing_token"`
	Seen  int    `json:"last_seen"`
	Wait  int64  `json:"wait_ms"`
}

// spec is the specification that the client of this stand-in puts into its jobs.
type spec struct {
	MS  int `json:"ms"`
	CPU int `json:"cpu"`
}

func (w *world) executor(c *cluster, number int, zone string, cpu int, guards bool) *executor {
	listener, err := net.Listen("tcp", fmt.Sprintf("%s.%d:0", c.net, 100+number))
	if err != nil {
		cannot("%v", err)
	}
	e := &executor{
		id: fmt.Sprintf("i-%08x", 0x7f3a0000+number), zone: zone, rack: "r1-" + fmt.Sprint(number), cpu: cpu, guards: guards, w: w,
		born: time.Now(), listener: listener, stopped: make(chan struct{}), running: map[string]*running{}, highest: map[string]int{},
		changed: make(chan struct{}), freeCPU: cpu,
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run-start", e.serve("/run-start", e.start))
	mux.HandleFunc("POST /run-stop", e.serve("/run-stop", e.stop))
	mux.HandleFunc("POST /hold", e.serve("/hold", e.hold))
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) {})
	e.server = &http.Server{Handler: mux}
	go e.server.Serve(listener)
	go e.beat(c.controls())
	go e.watchLease()
	return e
}

func (e *executor) isDown() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.down
}

// crash ends the executor's life and all that runs there.
func (e *executor) crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.w.rec.line("executor %s crashes", e.id)
	for _, r := range e.running {
		e.w.end(r.seen, "crashed")
	}
	e.running, e.highest, e.ended = map[string]*running{}, map[string]int{}, nil
	e.lastEnd, e.token, e.freeCPU, e.sequence, e.lease = 0, 0, e.cpu, 0, time.Time{}
	e.down = true
	e.life++
}

// restart starts the executor again under its id and at its address; it knows nothing of before.
func (e *executor) restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.w.rec.line("executor %s starts again under its id", e.id)
	e.born, e.down = time.Now(), false
}

func (e *executor) clock() int64 { return time.Since(e.born).Milliseconds() }

// beat sends heartbeats to a control address, and to the next one when it does not acknowledge.
func (e *executor) beat(controls []string) {
	client := &http.Client{Timeout: time.Second}
	for at := 0; ; {
		if e.isDown() {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		e.mu.Lock()
		e.sequence++
		body, _ := json.Marshal(map[string]any{
			"service": "finder", "address": e.listener.Addr().String(), "zone": e.zone, "version": "v1", "slots": 8, "state": "ready",
			"cold_remaining_ms": 0, "capacity": map[string]int{"cpu": e.cpu, "mem_mb": 65536, "gpu": 0}, "labels": []string{"a", e.rack},
			"clock_ms": e.clock(), "sequence": e.sequence, "born": e.born.UnixMilli(),
		})
		e.mu.Unlock()
		for range controls {
			request, _ := http.NewRequest(http.MethodPut, "http://"+controls[at%len(controls)]+"/instances/"+e.id, bytes.NewReader(body))
			request.Header.Set("Content-Type", "application/json")
			response, err := client.Do(request)
			if err == nil {
				io.Copy(io.Discard, response.Body)
				response.Body.Close()
				if response.StatusCode/100 == 2 {
					break
				}
			}
			at++
		}
		select {
		case <-time.After(heartbeat):
		case <-e.stopped:
			return
		}
	}
}

func (e *executor) serve(path string, handle func(*http.Request, order) (int, map[string]any)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var o order
		if json.NewDecoder(r.Body).Decode(&o) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		if r.Header.Get("X-Expect-Instance") != e.id {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		if e.isDown() {
			panic(http.ErrAbortHandler) // The channel breaks without an answer.
		}
		e.w.mu.Lock()
		e.w.orders++
		e.w.mu.Unlock()
		e.mu.Lock()
		unanswered := e.unanswered
		e.mu.Unlock()
		if unanswered != nil {
			after, late, during := unanswered(path)
			if during {
				e.w.mu.Lock()
				e.w.inTrouble++
				e.w.mu.Unlock()
			}
			if late {
				e.w.mu.Lock()
				e.w.late++
				e.w.mu.Unlock()
				e.w.rec.line("executor %s: leaves %s %s run %d unanswered, carries it out %v later", e.id, path, shown(o.Task), o.Run, after)
				if e.grants && o.Until > 0 {
					o.Until += after.Milliseconds() // Its time counts from its arrival; without effect for a stop.
				}
				time.AfterFunc(after, func() { handle(nil, o) })
				<-r.Context().Done()
				return
			}
		}
		status, body := handle(r, o)
		body["clock_ms"], body["born"] = e.clock(), e.born.UnixMilli()
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(status)
		json.NewEncoder(w).Encode(body)
	}
}

func conflict(reason string) (int, map[string]any) {
	return http.StatusConflict, map[string]any{"reason": reason}
}

// fenced reports whether a token is lower than one seen before. The caller holds the lock.
func (e *executor) fenced(token uint64) bool {
	if token < e.token {
		return true
	}
	e.token = token
	return false
}

// extend extends the lease to a time of the executor's clock, at most maxHold from now. The caller holds the lock.
func (e *executor) extend(until int64) {
	if until == 0 {
		return
	}
	end := e.born.Add(time.Duration(until) * time.Millisecond)
	if limit := time.Now().Add(maxHold); end.After(limit) {
		end = limit
	}
	if end.After(e.lease) {
		e.lease = end
	}
}

func (e *executor) start(_ *http.Request, o order) (int, map[string]any) {
	e.mu.Lock()
	defer e.mu.Unlock()
	var s spec
	if json.Unmarshal([]byte(o.Spec), &s) != nil {
		return http.StatusBadRequest, map[string]any{}
	}
	if e.fenced(o.Token) {
		return conflict("fence")
	}
	if r, ok := e.running[o.Task]; ok && r.number == o.Run {
		e.extend(o.Until)
		return http.StatusOK, map[string]any{}
	}
	if o.Until <= e.clock() {
		return conflict("late")
	}
	e.extend(o.Until)
	if _, ok := e.running[o.Task]; ok || o.Run <= e.highest[o.Task] {
		return conflict("old")
	}
	if e.guards && s.CPU > e.freeCPU {
		return conflict("room")
	}
	e.freeCPU -= s.CPU
	r := &running{number: o.Run, cpu: s.CPU, over: make(chan string, 8), seen: e.w.begin(e, o)}
	e.running[o.Task] = r
	go e.work(o.Task, r, time.Duration(s.MS)*time.Millisecond, e.life)
	return http.StatusOK, map[string]any{}
}

// work runs a task until it is done or ended early.
func (e *executor) work(task string, r *running, length time.Duration, life int) {
	how := "done"
	select {
	case <-time.After(length):
	case how = <-r.over:
	case <-e.stopped:
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if life != e.life {
		return
	}
	delete(e.running, task)
	e.freeCPU += r.cpu
	e.highest[task] = max(e.highest[task], r.number)
	e.lastEnd++
	e.ended = append(e.ended, []any{e.lastEnd, task, r.number, how, ""})
	e.w.end(r.seen, how)
	close(e.changed)
	e.changed = make(chan struct{})
}

func (e *executor) stop(_ *http.Request, o order) (int, map[string]any) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.fenced(o.Token) {
		return conflict("fence")
	}
	e.highest[o.Task] = max(e.highest[o.Task], o.Run)
	if r, ok := e.running[o.Task]; ok && r.number <= o.Run {
		r.over <- "stopped"
	}
	return http.StatusOK, map[string]any{}
}

func (e *executor) hold(r *http.Request, o order) (int, map[string]any) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.fenced(o.Token) {
		return conflict("fence")
	}
	e.extend(o.Until)
	for len(e.ended) > 0 && e.ended[0][0].(int) <= o.Seen {
		e.ended = e.ended[1:]
	}
	if len(e.ended) == 0 && o.Wait > 0 && r != nil {
		changed := e.changed
		e.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Duration(o.Wait) * time.Millisecond):
		case <-r.Context().Done():
		}
		e.mu.Lock()
	}
	rows := [][]any{}
	for task, run := range e.running {
		rows = append(rows, []any{task, run.number, "", 100, run.cpu})
	}
	return http.StatusOK, map[string]any{"running": rows, "ended": append([][]any{}, e.ended[:min(len(e.ended), 500)]...)}
}

// watchLease ends everything that runs once the lease has expired.
func (e *executor) watchLease() {
	for {
		select {
		case <-time.After(2 * time.Millisecond):
		case <-e.stopped:
			return
		}
		e.mu.Lock()
		if time.Now().After(e.lease) {
			for _, r := range e.running {
				select {
				case r.over <- "lapsed":
				default:
				}
			}
		}
		e.mu.Unlock()
	}
}

func (w *world) begin(e *executor, o order) *interval {
	w.mu.Lock()
	defer w.mu.Unlock()
	i := &interval{task: o.Task, run: o.Run, executor: e.id, from: time.Now()}
	w.intervals = append(w.intervals, i)
	w.rec.line("executor %s (%s): starts %s run %d", e.id, e.zone, shown(o.Task), o.Run)
	return i
}

func (w *world) end(i *interval, how string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	i.to, i.how = time.Now(), how
	w.rec.line("executor %s: %s run %d has ended %s", i.executor, shown(i.task), i.run, how)
}

// twice returns the pairs of runs of one task that were at work at the same time.
func (w *world) twice() (pairs [][2]interval) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	end := func(i *interval) time.Time {
		if i.to.IsZero() {
			return now
		}
		return i.to
	}
	for a, x := range w.intervals {
		for _, y := range w.intervals[a+1:] {
			if x.task == y.task && x.from.Before(end(y)) && y.from.Before(end(x)) {
				pairs = append(pairs, [2]interval{*x, *y})
			}
		}
	}
	return pairs
}

// reportTwice records the overlapping runs and returns how many there are.
func (w *world) reportTwice() int {
	pairs := w.twice()
	for _, p := range pairs {
		until := p[0].to
		if until.IsZero() || !p[1].to.IsZero() && p[1].to.Before(until) {
			until = p[1].to
		}
		w.rec.line("TWICE: %s run %d at %s and run %d at %s at the same time, for %v", shown(p[0].task), p[0].run, p[0].executor, p[1].run, p[1].executor, until.Sub(p[1].from))
	}
	return len(pairs)
}

// running returns the executors at which a task of the job with the given id runs.
func (w *world) runningAt(id string) (at []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, i := range w.intervals {
		if i.to.IsZero() && len(i.task) > len(id) && i.task[:len(id)] == id {
			at = append(at, i.executor)
		}
	}
	return at
}
