// Package leased is a stand-in for the users' platform: endpoints that run tasks under leases and
// announce themselves by heartbeats. It follows the published protocol and nothing else.
package leased

import (
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"time"
)

// Config describes an endpoint.
type Config struct {
	ID      string
	Service string
	Zone    string
	Control []string // Addresses, ip:port, that take heartbeats.
	CPU     int      // Thousandths of a core.
	Slots   int
	Beat    time.Duration // Between heartbeats.
	MaxHold time.Duration // Longest lease.
	// Fault, where it is set, is asked before each call is carried out.
	Fault func(path string, call int) Fault
}

// Fault is what goes wrong with a call.
type Fault struct {
	Mute   bool          // The call is carried out and gets no answer.
	Later  time.Duration // The call gets no answer and is carried out after it.
	Refuse bool          // The call gets 503 and is not carried out.
	Fail   bool          // A task that this call starts fails.
}

// Endpoint is a running stand-in. Create one with Start.
type Endpoint struct {
	config   Config
	born     time.Time
	server   *http.Server
	address  string
	life     chan struct{}
	watchers sync.WaitGroup

	mu       sync.Mutex
	calls    map[string]int
	token    uint64
	lease    time.Time
	running  map[string]*run // By task.
	highest  map[string]int  // Highest run that was stopped or has ended, by task.
	ended    [][]any
	ends     int
	changed  chan struct{} // Closed at the next end.
	draining bool
	sequence int
	begun    map[string]int // Starts of each task.
	left     int            // Thousandths of a core that no run has taken.
}

type run struct {
	number int
	cpu    int
	stop   chan struct{}
	how    string
}

// Spec is what a task does, as the stand-in's callers put it into a job.
type Spec struct {
	MS  int `json:"ms"`
	CPU int `json:"cpu"`
}

// Start runs an endpoint until Stop.
func Start(config Config) (*Endpoint, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &Endpoint{
		config: config, born: time.Now(), address: listener.Addr().String(), life: make(chan struct{}),
		calls: make(map[string]int), running: make(map[string]*run), highest: make(map[string]int),
		changed: make(chan struct{}), begun: make(map[string]int), left: config.CPU,
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run-start", e.serve(e.start))
	mux.HandleFunc("POST /run-stop", e.serve(e.stop))
	mux.HandleFunc("POST /hold", e.serve(e.hold))
	e.server = &http.Server{Handler: mux}
	go e.server.Serve(listener)
	e.watchers.Go(e.beat)
	e.watchers.Go(e.watchLease)
	return e, nil
}

// Stop ends the endpoint without a word, as a crash does.
func (e *Endpoint) Stop() {
	close(e.life)
	e.server.Close()
	e.watchers.Wait()
}

// Drain has the endpoint say that it leaves.
func (e *Endpoint) Drain() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.draining = true
}

// Begun returns how often each task was started here.
func (e *Endpoint) Begun() map[string]int {
	e.mu.Lock()
	defer e.mu.Unlock()
	begun := make(map[string]int, len(e.begun))
	for task, count := range e.begun {
		begun[task] = count
	}
	return begun
}

// Running returns the tasks that run here.
func (e *Endpoint) Running() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	var tasks []string
	for task := range e.running {
		tasks = append(tasks, task)
	}
	return tasks
}

// order is the body of every call.
type order struct {
	Task  string `json:"task"`
	Run   int    `json:"run"`
	Spec  string `json:"spec"`
	Until int64  `json:"until_ms"`
	Token uint64 `json:"fencing_token"`
	Seen  int    `json:"last_seen"`
	Wait  int64  `json:"wait_ms"`
	fails bool
}

type handler func(r *http.Request, o order) (status int, reply map[string]any)

// serve decodes a call, does what its fault asks for, and answers.
func (e *Endpoint) serve(handle handler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var o order
		if json.NewDecoder(r.Body).Decode(&o) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		if r.Header.Get("X-Expect-Instance") != e.config.ID {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		fault := e.fault(r.URL.Path)
		o.fails = fault.Fail
		switch {
		case fault.Refuse:
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		case fault.Later > 0:
			time.AfterFunc(fault.Later, func() { handle(r, o) })
			<-r.Context().Done()
			return
		}
		status, reply := handle(r, o)
		if fault.Mute {
			<-r.Context().Done()
			return
		}
		reply["clock_ms"], reply["born"] = e.clock(), e.born.UnixMilli()
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(status)
		json.NewEncoder(w).Encode(reply) // The caller is gone when this fails.
	}
}

func (e *Endpoint) fault(path string) Fault {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.calls[path]++
	if e.config.Fault == nil {
		return Fault{}
	}
	return e.config.Fault(path, e.calls[path])
}

// clock is the endpoint's own, in milliseconds since its start.
func (e *Endpoint) clock() int64 { return time.Since(e.born).Milliseconds() }

// fenced takes the token of a call and reports whether a higher one was seen.
func (e *Endpoint) fenced(o order) bool {
	if o.Token < e.token {
		return true
	}
	e.token = o.Token
	return false
}

func (e *Endpoint) extend(until int64) {
	if until == 0 {
		return
	}
	at := e.born.Add(time.Duration(until) * time.Millisecond)
	if limit := time.Now().Add(e.config.MaxHold); at.After(limit) {
		at = limit
	}
	if at.After(e.lease) {
		e.lease = at
	}
}

func conflict(reason string) (int, map[string]any) {
	return http.StatusConflict, map[string]any{"reason": reason}
}

func (e *Endpoint) start(_ *http.Request, o order) (int, map[string]any) {
	e.mu.Lock()
	defer e.mu.Unlock()
	var spec Spec
	if json.Unmarshal([]byte(o.Spec), &spec) != nil {
		return http.StatusBadRequest, map[string]any{}
	}
	if e.fenced(o) {
		return conflict("fence")
	}
	if there, ok := e.running[o.Task]; ok && there.number == o.Run {
		e.extend(o.Until)
		return http.StatusOK, map[string]any{}
	}
	if o.Until <= e.clock() {
		return conflict("late")
	}
	e.extend(o.Until)
	if o.Run <= e.highest[o.Task] {
		return conflict("old")
	}
	if spec.CPU > e.left {
		return conflict("room")
	}
	e.left -= spec.CPU
	e.begun[o.Task]++
	begun := &run{number: o.Run, cpu: spec.CPU, stop: make(chan struct{}), how: "done"}
	if o.fails {
		begun.how = "failed"
	}
	e.running[o.Task] = begun
	e.watchers.Go(func() { e.work(o.Task, begun, time.Duration(spec.MS)*time.Millisecond) })
	return http.StatusOK, map[string]any{}
}

// work waits for the end of a run and lists it.
func (e *Endpoint) work(task string, r *run, length time.Duration) {
	done := time.NewTimer(length)
	defer done.Stop()
	select {
	case <-done.C:
	case <-r.stop:
	case <-e.life:
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.running, task)
	e.left += r.cpu
	e.highest[task] = max(e.highest[task], r.number)
	e.ends++
	e.ended = append(e.ended, []any{e.ends, task, r.number, r.how, ""})
	close(e.changed)
	e.changed = make(chan struct{})
}

// end stops a run; its end is listed as how.
func (r *run) end(how string) {
	select {
	case <-r.stop:
	default:
		r.how = how
		close(r.stop)
	}
}

func (e *Endpoint) stop(_ *http.Request, o order) (int, map[string]any) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.fenced(o) {
		return conflict("fence")
	}
	e.highest[o.Task] = max(e.highest[o.Task], o.Run)
	if there, ok := e.running[o.Task]; ok && there.number <= o.Run {
		there.end("stopped")
	}
	return http.StatusOK, map[string]any{}
}

func (e *Endpoint) hold(r *http.Request, o order) (int, map[string]any) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.fenced(o) {
		return conflict("fence")
	}
	e.extend(o.Until)
	for len(e.ended) > 0 && e.ended[0][0].(int) <= o.Seen {
		e.ended = e.ended[1:]
	}
	if len(e.ended) == 0 && o.Wait > 0 {
		e.awaitEnd(r, time.Duration(o.Wait)*time.Millisecond)
	}
	running := [][]any{}
	for task, there := range e.running {
		running = append(running, []any{task, there.number, "", 100})
	}
	return http.StatusOK, map[string]any{"running": running, "ended": append([][]any{}, e.ended...)}
}

// awaitEnd waits for the next end, without the lock.
func (e *Endpoint) awaitEnd(r *http.Request, wait time.Duration) {
	changed := e.changed
	e.mu.Unlock()
	defer e.mu.Lock()
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-r.Context().Done():
	case <-e.life:
	}
}

// watchLease ends all runs when the lease has lapsed.
func (e *Endpoint) watchLease() {
	ticker := time.NewTicker(10 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-e.life:
			return
		}
		e.mu.Lock()
		if time.Now().After(e.lease) {
			for _, there := range e.running {
				there.end("lapsed")
			}
		}
		e.mu.Unlock()
	}
}
