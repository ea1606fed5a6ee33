// Package standin implements a stand-in for an endpoint: it announces itself, runs tasks by sleeping for
// their run time, and misbehaves on request. It records every start, so that tests can check whether a
// task started more than once.
package standin

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"redwingpulley/kernel/wait"
)

// Config is the configuration of a stand-in.
type Config struct {
	Endpoint   string    `json:"endpoint"`
	Service    string    `json:"service"`
	Worker     string    `json:"worker"`
	Rack       string    `json:"rack"`
	DataCentre string    `json:"data_centre"`
	Listen     string    `json:"listen"` // ip:port; port 0 selects a free port.
	Slots      int       `json:"slots"`
	Entries    []string  `json:"entries"` // Addresses (ip:port) of the entry VMs' listeners for endpoints.
	Seed       uint64    `json:"seed"`    // Seed of the random choice of tasks to refuse or fail.
	Behaviour  Behaviour `json:"behaviour"`

	// Advertise is the address (ip:port) that the stand-in announces; "" for that of its listener.
	Advertise string `json:"advertise"`
}

// Endpoint is a running stand-in.
type Endpoint struct {
	config     Config
	server     *http.Server
	listener   net.Listener
	client     *http.Client
	stop       context.CancelFunc
	baseCtx    context.Context
	goroutines sync.WaitGroup
	announced  chan struct{} // Closed once an announcement was accepted.

	mu          sync.Mutex
	random      *rand.Rand
	behaviour   Behaviour
	resumed     chan struct{} // Closed unless the stand-in is paused.
	tasks       *table
	records     records
	busySlots   int
	state       string
	announceNow chan struct{} // Signals that the next announcement is due at once.
}

// Start opens the stand-in's listener and starts announcing it.
func Start(config Config) (*Endpoint, error) {
	listener, err := net.Listen("tcp", config.Listen)
	if err != nil {
		return nil, errors.Wrap(err, "stand-in")
	}
	e := &Endpoint{
		config: config, listener: listener, client: &http.Client{Transport: &http.Transport{}},
		announced: make(chan struct{}), random: rand.New(rand.NewPCG(config.Seed, 0)),
		resumed: make(chan struct{}), tasks: newTable(maxEndedTasks), state: stateServing,
		announceNow: make(chan struct{}, 1),
	}
	close(e.resumed)
	e.SetBehaviour(config.Behaviour)
	e.baseCtx, e.stop = context.WithCancel(context.Background())
	e.server = &http.Server{Handler: e.routes()}
	e.goroutines.Go(func() { e.server.Serve(listener) })
	e.goroutines.Go(e.announceLoop)
	return e, nil
}

func (e *Endpoint) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/tasks/{id}", e.handleStart)
	mux.HandleFunc("POST /v1/tasks/{id}/revoke", e.handleRevoke)
	mux.HandleFunc("GET /v1/tasks/{id}", e.handleStatus)
	mux.HandleFunc("PUT /control/behaviour", e.handleSetBehaviour)
	mux.HandleFunc("POST /control/leave", e.handleLeave)
	mux.HandleFunc("GET /control/records", e.handleRecords)
	return mux
}

// ID returns the endpoint's id.
func (e *Endpoint) ID() string { return e.config.Endpoint }

// Service returns the service that the stand-in provides.
func (e *Endpoint) Service() string { return e.config.Service }

// Slots returns the maximum number of tasks that the stand-in runs at once.
func (e *Endpoint) Slots() int { return e.config.Slots }

// Address returns the stand-in's ip:port.
func (e *Endpoint) Address() string { return e.listener.Addr().String() }

// Announced returns a channel that is closed once an entry VM has accepted an announcement.
func (e *Endpoint) Announced() <-chan struct{} { return e.announced }

// Leave makes the stand-in announce at once that it accepts no new work.
func (e *Endpoint) Leave() {
	e.mu.Lock()
	e.state = stateLeaving
	e.mu.Unlock()
	select {
	case e.announceNow <- struct{}{}:
	default:
	}
}

// Close stops the stand-in at once, as a crash does: its connections break and it sends no further
// announcements.
func (e *Endpoint) Close() {
	e.stop()
	e.server.Close()
	e.client.CloseIdleConnections()
	e.goroutines.Wait()
}

// startRequest is the body of a request to start a task.
type startRequest struct {
	TaskID     string          `json:"task_id"`
	Attempt    int             `json:"attempt"`
	DeadlineMS int64           `json:"deadline_ms"`
	Payload    json.RawMessage `json:"payload"`
}

// Payload is a task's payload, which tells a stand-in what to do.
type Payload struct {
	SleepMS int64 `json:"sleep_ms"`
	Fail    bool  `json:"fail,omitempty"`
}

// Answer is a stand-in's answer to a task.
type Answer struct {
	Endpoint string `json:"endpoint"`
	Task     string `json:"task"`
}

// handleStart runs a task and replies at its end, or at once when it refuses the task.
func (e *Endpoint) handleStart(w http.ResponseWriter, r *http.Request) {
	var body startRequest
	var payload Payload
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		writeReply(w, http.StatusBadRequest, errorReply{Reason: err.Error()})
		return
	}
	if err := json.Unmarshal(body.Payload, &payload); err != nil {
		writeReply(w, http.StatusBadRequest, errorReply{Reason: err.Error()})
		return
	}
	if !e.awaitResume() {
		return
	}
	run, refusal := e.tryStart(body)
	if refusal != "" {
		writeReply(w, http.StatusServiceUnavailable, errorReply{TaskID: body.TaskID, Run: "not_run", Reason: refusal})
		return
	}
	e.run(w, body, payload, run)
}

// startedTask is a task between its start and its end, with the behaviour that it started under.
type startedTask struct {
	task       *task
	ctx        context.Context
	fails      bool
	factor     float64
	replyDelay time.Duration // Delay between the end of the task and its answer.
}

// run runs a started task for its run time and sends its answer, or a failure if it fails or is stopped.
func (e *Endpoint) run(w http.ResponseWriter, body startRequest, payload Payload, run startedTask) {
	length := time.Duration(float64(payload.SleepMS) * run.factor * float64(time.Millisecond))
	stopped := !wait.For(run.ctx, length)
	if stopped || payload.Fail || run.fails {
		e.finishTask(run.task, stateOfFailure(stopped), nil)
		writeReply(w, http.StatusInternalServerError, errorReply{TaskID: body.TaskID, Reason: "failed or stopped"})
		return
	}
	raw, _ := json.Marshal(Answer{e.config.Endpoint, body.TaskID}) // Encoding two strings can't fail.
	e.finishTask(run.task, stateDone, raw)
	if !wait.For(e.baseCtx, run.replyDelay) || !e.awaitResume() {
		return
	}
	writeReply(w, http.StatusOK, taskReply{TaskID: body.TaskID, Attempt: body.Attempt, Answer: raw})
}

// stateOfFailure returns the final state of a task that ended without an answer.
func stateOfFailure(stopped bool) taskState {
	if stopped {
		return stateStopped
	}
	return stateFailed
}

// tryStart records the request and occupies a slot for the task, or returns the reason for refusing it.
func (e *Endpoint) tryStart(body startRequest) (run startedTask, refusal string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	refusal = e.refusal(body)
	e.records.add(Record{Task: body.TaskID, Attempt: body.Attempt, At: time.Now(), Refused: refusal})
	if refusal != "" {
		return startedTask{}, refusal
	}
	ctx, cancel := context.WithCancel(e.baseCtx)
	t := &task{id: body.TaskID, attempt: body.Attempt, state: stateRunning, stop: cancel, started: time.Now()}
	e.tasks.put(t)
	e.busySlots++
	return startedTask{
		task: t, ctx: ctx, fails: e.random.Float64() < e.behaviour.FailShare,
		factor: e.behaviour.runFactor(), replyDelay: e.behaviour.answerDelay(),
	}, ""
}

// refusal returns the reason for refusing a task, or "" if it can start. The caller holds the lock.
func (e *Endpoint) refusal(body startRequest) string {
	t, known := e.tasks.get(body.TaskID)
	switch {
	case known && t.state == stateRevoked && t.fences(body.Attempt):
		return RefusedRevoked
	case known && t.state != stateRevoked:
		return RefusedKnownTask
	case e.busySlots >= e.config.Slots:
		return RefusedNoSlot
	case e.random.Float64() < e.behaviour.RefuseShare:
		return RefusedByBehaviour
	}
	return ""
}

// finishTask records the end of a task and frees its slot.
func (e *Endpoint) finishTask(t *task, state taskState, answer json.RawMessage) {
	e.mu.Lock()
	defer e.mu.Unlock()
	t.stop()
	t.state, t.answer = state, answer
	e.busySlots--
	e.records.setSlotTime(t, time.Since(t.started))
	e.tasks.retire(t)
}

// revokeRequest is the body of a request to revoke a task.
type revokeRequest struct {
	Stop    bool `json:"stop"`    // Whether to stop the task if it is running.
	Attempt int  `json:"attempt"` // Highest attempt to fence; 0 fences every attempt.
}

// handleRevoke fences a task that has not started, stops a running one if requested, and replies with the
// task's state.
func (e *Endpoint) handleRevoke(w http.ResponseWriter, r *http.Request) {
	var body revokeRequest
	json.NewDecoder(r.Body).Decode(&body) // An empty body is valid: it requests no stop.
	if !e.awaitResume() {
		return
	}
	id := r.PathValue("id")
	e.mu.Lock()
	e.records.add(Record{Task: id, Attempt: body.Attempt, At: time.Now(), Revoke: true})
	t, known := e.tasks.get(id)
	if !known {
		t = &task{id: id, attempt: body.Attempt, state: stateRevoked}
		e.tasks.put(t)
		e.tasks.retire(t)
	}
	t.extendFence(body.Attempt)
	if body.Stop && t.state == stateRunning {
		t.stop()
	}
	answer := taskReply{TaskID: id, State: t.state.protocolState(), Answer: t.answer}
	e.mu.Unlock()
	writeReply(w, http.StatusOK, answer)
}

// handleStatus replies with the state of a task.
func (e *Endpoint) handleStatus(w http.ResponseWriter, r *http.Request) {
	if !e.awaitResume() {
		return
	}
	answer := taskReply{TaskID: r.PathValue("id"), State: "unknown"}
	e.mu.Lock()
	if t, known := e.tasks.get(answer.TaskID); known {
		answer.State = t.state.protocolState()
	}
	e.mu.Unlock()
	writeReply(w, http.StatusOK, answer)
}

// taskReply is the reply to a successful request about a task.
type taskReply struct {
	TaskID  string          `json:"task_id"`
	Attempt int             `json:"attempt,omitempty"`
	State   taskState       `json:"state,omitempty"`
	Answer  json.RawMessage `json:"answer,omitempty"`
}

// errorReply is the reply to a request that was refused or failed.
type errorReply struct {
	TaskID string `json:"task_id,omitempty"`
	Run    string `json:"run,omitempty"`
	Reason string `json:"reason"`
}

// writeReply writes a reply with a JSON body.
func writeReply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(body) // An error means that the dispatcher has disconnected.
}
