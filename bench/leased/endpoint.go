// Package leased is a stand-in for a platform whose endpoints run tasks under leases and announce
// themselves by heartbeats. It implements the published protocol and shares no code with the
// dispatcher.
package leased

import (
	"cmp"
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"time"
)

// Config is the configuration of an endpoint.
type Config struct {
	ID                string
	Service           string
	Zone              string
	Control           []string // Addresses, ip:port, to which the endpoint sends heartbeats.
	CPU               int      // CPU capacity in thousandths of a core.
	Slots             int
	Address           string        // ip:port at which it listens; "" for a free port.
	HeartbeatInterval time.Duration // Interval between heartbeats.
	MaxHold           time.Duration // Maximum time from a call to the end of the lease that it asks for.
	// Fault returns the fault to inject into a call, given the call's path and the number of calls to
	// this path so far, the present one included; nil for no faults.
	Fault func(path string, call int) Fault
	// Crashed is called, in a goroutine of its own, when a task that crashes the endpoint has ended it; nil for none.
	Crashed func()
}

// Fault is a fault injected into a call. The zero value is none.
type Fault struct {
	DropReply    bool          // The call is executed, but gets no reply.
	ExecuteAfter time.Duration // The call gets no reply and is executed after this delay; 0 for no such fault.
	FromArrival  bool          // With ExecuteAfter, the lease that the call asks for counts from its execution.
	Refuse       bool          // The call gets status 503 and is not executed.
	Fail         bool          // The task that the call starts fails.
}

// Endpoint is a running stand-in for an endpoint. Use Start to create one.
type Endpoint struct {
	config     Config
	born       time.Time
	server     *http.Server
	address    string
	stopped    chan struct{}
	stopOnce   sync.Once
	goroutines sync.WaitGroup

	mu         sync.Mutex
	calls      map[string]int  // Number of calls to each path.
	token      uint64          // Highest fencing token seen.
	lease      time.Time       // End of the lease.
	running    map[string]*run // Present run of each task that is running.
	highestRun map[string]int  // Highest run of each task that was stopped or has ended.
	ended      [][]any         // Run ends that the caller has not confirmed, oldest first.
	lastEnd    int             // Number of the last run end.
	nextEnd    chan struct{}   // Closed when the next run ends.
	draining   bool
	sequence   int
	started    map[string]int // How often each task was started.
	freeCPU    int            // CPU that no run has reserved, in thousandths of a core.
}

// run is one run of a task, from its start to its end.
type run struct {
	number  int
	cpu     int
	stop    chan struct{} // Closed to end the run early.
	outcome string        // Outcome to report at the run's end.
	crash   bool          // The endpoint crashes at the end of the run time.
}

// Spec is the specification of a task that the caller puts into a job for this stand-in.
type Spec struct {
	MS  int `json:"ms"`  // Run time in milliseconds.
	CPU int `json:"cpu"` // CPU that the task reserves, in thousandths of a core.
	// Crash makes the endpoint crash at the end of the task's run time.
	Crash bool `json:"crash,omitempty"`
}

// Start starts an endpoint, which runs until Stop.
func Start(config Config) (*Endpoint, error) {
	listener, err := net.Listen("tcp", cmp.Or(config.Address, "127.0.0.1:0"))
	if err != nil {
		return nil, err
	}
	e := &Endpoint{
		config: config, born: time.Now(), address: listener.Addr().String(), stopped: make(chan struct{}),
		calls: make(map[string]int), running: make(map[string]*run), highestRun: make(map[string]int),
		nextEnd: make(chan struct{}), started: make(map[string]int), freeCPU: config.CPU,
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run-start", e.serve(e.handleStart))
	mux.HandleFunc("POST /run-stop", e.serve(e.handleStop))
	mux.HandleFunc("POST /hold", e.serve(e.handleHold))
	e.server = &http.Server{Handler: mux}
	go e.server.Serve(listener)
	e.goroutines.Go(e.sendHeartbeats)
	e.goroutines.Go(e.enforceLease)
	return e, nil
}

// Stop stops the endpoint without notifying anyone, as a crash does. Further calls do nothing.
func (e *Endpoint) Stop() {
	e.stopOnce.Do(func() {
		close(e.stopped)
		e.server.Close()
		e.goroutines.Wait()
	})
}

// crash stops the endpoint and reports that.
func (e *Endpoint) crash() {
	e.Stop()
	if e.config.Crashed != nil {
		e.config.Crashed()
	}
}

// Address returns the address at which the endpoint listens.
func (e *Endpoint) Address() string { return e.address }

// Drain makes the endpoint announce in its further heartbeats that it is draining.
func (e *Endpoint) Drain() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.draining = true
}

// StartCounts returns how often each task was started on this endpoint.
func (e *Endpoint) StartCounts() map[string]int {
	e.mu.Lock()
	defer e.mu.Unlock()
	started := make(map[string]int, len(e.started))
	for task, count := range e.started {
		started[task] = count
	}
	return started
}

// Calls returns the number of calls to a path so far.
func (e *Endpoint) Calls(path string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.calls[path]
}

// Running returns the tasks that are running on this endpoint.
func (e *Endpoint) Running() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	var tasks []string
	for task := range e.running {
		tasks = append(tasks, task)
	}
	return tasks
}

// clockMS returns the time on the endpoint's own clock, which starts at 0 with the endpoint.
func (e *Endpoint) clockMS() int64 { return time.Since(e.born).Milliseconds() }

// fenced reports whether a call's fencing token is lower than one seen before; otherwise it records
// the token as the highest. The caller holds the lock.
func (e *Endpoint) fenced(o callBody) bool {
	if o.Token < e.token {
		return true
	}
	e.token = o.Token
	return false
}

// extendLease extends the lease to the given time on the endpoint's clock, by at most MaxHold from
// now. It never shortens the lease. The caller holds the lock.
func (e *Endpoint) extendLease(untilMS int64) {
	if untilMS == 0 {
		return
	}
	expiry := e.born.Add(time.Duration(untilMS) * time.Millisecond)
	if limit := time.Now().Add(e.config.MaxHold); expiry.After(limit) {
		expiry = limit
	}
	if expiry.After(e.lease) {
		e.lease = expiry
	}
}

// handleStart starts a run of a task. A repeated call for a run that is still running only extends the
// lease.
func (e *Endpoint) handleStart(_ *http.Request, o callBody) (int, map[string]any) {
	e.mu.Lock()
	defer e.mu.Unlock()
	var spec Spec
	if json.Unmarshal([]byte(o.Spec), &spec) != nil {
		return http.StatusBadRequest, map[string]any{}
	}
	if e.fenced(o) {
		return conflict("fence")
	}
	if current, ok := e.running[o.Task]; ok && current.number == o.Run {
		e.extendLease(o.Until)
		return http.StatusOK, map[string]any{}
	}
	if o.Until <= e.clockMS() {
		return conflict("late")
	}
	e.extendLease(o.Until)
	if o.Run <= e.highestRun[o.Task] {
		return conflict("old")
	}
	if spec.CPU > e.freeCPU {
		return conflict("room")
	}
	e.freeCPU -= spec.CPU
	e.started[o.Task]++
	started := &run{number: o.Run, cpu: spec.CPU, crash: spec.Crash, stop: make(chan struct{}), outcome: "done"}
	if o.fails {
		started.outcome = "failed"
	}
	e.running[o.Task] = started
	e.goroutines.Go(func() { e.awaitRunEnd(o.Task, started, time.Duration(spec.MS)*time.Millisecond) })
	return http.StatusOK, map[string]any{}
}

// awaitRunEnd waits for the end of a run and adds it to the ends that handleHold reports. Nothing is
// reported when the endpoint stops first.
func (e *Endpoint) awaitRunEnd(task string, r *run, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		if r.crash {
			go e.crash()
			return
		}
	case <-r.stop:
	case <-e.stopped:
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.running, task)
	e.freeCPU += r.cpu
	e.highestRun[task] = max(e.highestRun[task], r.number)
	e.lastEnd++
	e.ended = append(e.ended, []any{e.lastEnd, task, r.number, r.outcome, ""})
	close(e.nextEnd)
	e.nextEnd = make(chan struct{})
}

// end ends a run early with the given outcome. The first call decides the outcome.
func (r *run) end(outcome string) {
	select {
	case <-r.stop:
	default:
		r.outcome = outcome
		close(r.stop)
	}
}

// handleStop stops a task's run and prevents runs up to this number from starting later.
func (e *Endpoint) handleStop(_ *http.Request, o callBody) (int, map[string]any) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.fenced(o) {
		return conflict("fence")
	}
	e.highestRun[o.Task] = max(e.highestRun[o.Task], o.Run)
	if current, ok := e.running[o.Task]; ok && current.number <= o.Run {
		current.end("stopped")
	}
	return http.StatusOK, map[string]any{}
}

// handleHold extends the lease and replies with the running tasks and with the run ends that the caller
// has not received yet. If there are no such ends, it first waits for the next one, up to wait_ms.
func (e *Endpoint) handleHold(r *http.Request, o callBody) (int, map[string]any) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.fenced(o) {
		return conflict("fence")
	}
	e.extendLease(o.Until)
	for len(e.ended) > 0 && e.ended[0][0].(int) <= o.Seen {
		e.ended = e.ended[1:]
	}
	if len(e.ended) == 0 && o.Wait > 0 {
		e.awaitNextEnd(r, time.Duration(o.Wait)*time.Millisecond)
	}
	running := [][]any{}
	for task, current := range e.running {
		running = append(running, []any{task, current.number, "", 100})
	}
	return http.StatusOK, map[string]any{"running": running, "ended": append([][]any{}, e.ended...)}
}

// awaitNextEnd waits for the next end of a run. It releases the lock while it waits.
func (e *Endpoint) awaitNextEnd(r *http.Request, wait time.Duration) {
	nextEnd := e.nextEnd
	e.mu.Unlock()
	defer e.mu.Lock()
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-nextEnd:
	case <-timer.C:
	case <-r.Context().Done():
	case <-e.stopped:
	}
}

// enforceLease ends all runs once the lease has expired.
func (e *Endpoint) enforceLease() {
	ticker := time.NewTicker(10 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-e.stopped:
			return
		}
		e.mu.Lock()
		if time.Now().After(e.lease) {
			for _, current := range e.running {
				current.end("lapsed")
			}
		}
		e.mu.Unlock()
	}
}
