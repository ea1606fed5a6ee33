// Package standin is a stand-in for an endpoint: it announces itself, runs tasks by waiting, and
// misbehaves on request. It records every start, so that tests can tell whether a task started
// more than once.
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

// Config describes a stand-in.
type Config struct {
	Endpoint   string    `json:"endpoint"`
	Service    string    `json:"service"`
	Worker     string    `json:"worker"`
	Rack       string    `json:"rack"`
	DataCentre string    `json:"data_centre"`
	Listen     string    `json:"listen"` // ip:port; port 0 takes a free one.
	Slots      int       `json:"slots"`
	Entries    []string  `json:"entries"` // Endpoint listeners of entry VMs, ip:port.
	Seed       uint64    `json:"seed"`    // Of the shares of a behaviour.
	Behaviour  Behaviour `json:"behaviour"`

	// Advertise is the address that it announces, ip:port; "" announces its own listener.
	Advertise string `json:"advertise"`
}

// Endpoint is a running stand-in.
type Endpoint struct {
	config    Config
	server    *http.Server
	listener  net.Listener
	client    *http.Client
	stop      context.CancelFunc
	life      context.Context
	done      sync.WaitGroup
	announced chan struct{} // Closed after the first announcement was taken.

	mu        sync.Mutex
	random    *rand.Rand
	behaviour Behaviour
	thawed    chan struct{} // Closed while it is not frozen.
	tasks     *table
	records   records
	busy      int
	state     string
	hurry     chan struct{} // Has the next announcement sent at once.
}

// Start opens the stand-in's listener and begins to announce it.
func Start(config Config) (*Endpoint, error) {
	listener, err := net.Listen("tcp", config.Listen)
	if err != nil {
		return nil, errors.Wrap(err, "stand-in")
	}
	e := &Endpoint{
		config: config, listener: listener, client: &http.Client{Transport: &http.Transport{}},
		announced: make(chan struct{}), random: rand.New(rand.NewPCG(config.Seed, 0)),
		thawed: make(chan struct{}), tasks: newTable(maxTasks), state: stateServing,
		hurry: make(chan struct{}, 1),
	}
	close(e.thawed)
	e.Behave(config.Behaviour)
	e.life, e.stop = context.WithCancel(context.Background())
	e.server = &http.Server{Handler: e.routes()}
	e.done.Go(func() { e.server.Serve(listener) })
	e.done.Go(e.announce)
	return e, nil
}

func (e *Endpoint) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/tasks/{id}", e.start)
	mux.HandleFunc("POST /v1/tasks/{id}/revoke", e.revoke)
	mux.HandleFunc("GET /v1/tasks/{id}", e.show)
	mux.HandleFunc("PUT /control/behaviour", e.controlBehaviour)
	mux.HandleFunc("POST /control/leave", e.controlLeave)
	mux.HandleFunc("GET /control/records", e.controlRecords)
	return mux
}

// ID returns the endpoint's id.
func (e *Endpoint) ID() string { return e.config.Endpoint }

// Service returns the service that the stand-in runs.
func (e *Endpoint) Service() string { return e.config.Service }

// Slots returns how many tasks the stand-in runs at once.
func (e *Endpoint) Slots() int { return e.config.Slots }

// Address returns the stand-in's ip:port.
func (e *Endpoint) Address() string { return e.listener.Addr().String() }

// Announced returns a channel that is closed once an announcement was taken.
func (e *Endpoint) Announced() <-chan struct{} { return e.announced }

// Leave announces at once that the stand-in takes no new work.
func (e *Endpoint) Leave() {
	e.mu.Lock()
	e.state = stateLeaving
	e.mu.Unlock()
	select {
	case e.hurry <- struct{}{}:
	default:
	}
}

// Close ends the stand-in at once, as a crash does: connections break and it announces no more.
func (e *Endpoint) Close() {
	e.stop()
	e.server.Close()
	e.client.CloseIdleConnections()
	e.done.Wait()
}

type startBody struct {
	TaskID     string          `json:"task_id"`
	Attempt    int             `json:"attempt"`
	DeadlineMS int64           `json:"deadline_ms"`
	Payload    json.RawMessage `json:"payload"`
}

// Payload is what a task asks of a stand-in.
type Payload struct {
	SleepMS int64 `json:"sleep_ms"`
	Fail    bool  `json:"fail,omitempty"`
}

// Answer is what a stand-in answers for a task.
type Answer struct {
	Endpoint string `json:"endpoint"`
	Task     string `json:"task"`
}

func (e *Endpoint) start(w http.ResponseWriter, r *http.Request) {
	var body startBody
	var payload Payload
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		reply(w, http.StatusBadRequest, problem{Reason: err.Error()})
		return
	}
	if err := json.Unmarshal(body.Payload, &payload); err != nil {
		reply(w, http.StatusBadRequest, problem{Reason: err.Error()})
		return
	}
	if !e.awaitThaw() {
		return
	}
	run, refusal := e.begin(body)
	if refusal != "" {
		reply(w, http.StatusServiceUnavailable, problem{TaskID: body.TaskID, Run: "not_run", Reason: refusal})
		return
	}
	e.run(w, body, payload, run)
}

// running is a task between its start and its end.
type running struct {
	task     *task
	ctx      context.Context
	fails    bool
	factor   float64
	answerIn time.Duration // After the task has ended.
}

func (e *Endpoint) run(w http.ResponseWriter, body startBody, payload Payload, run running) {
	length := time.Duration(float64(payload.SleepMS) * run.factor * float64(time.Millisecond))
	stopped := !wait.For(run.ctx, length)
	if stopped || payload.Fail || run.fails {
		e.end(run.task, endState(stopped), nil)
		reply(w, http.StatusInternalServerError, problem{TaskID: body.TaskID, Reason: "failed or stopped"})
		return
	}
	raw, _ := json.Marshal(Answer{e.config.Endpoint, body.TaskID}) // Two strings always encode.
	e.end(run.task, stateDone, raw)
	if !wait.For(e.life, run.answerIn) || !e.awaitThaw() {
		return
	}
	reply(w, http.StatusOK, taskReply{TaskID: body.TaskID, Attempt: body.Attempt, Answer: raw})
}

func endState(stopped bool) taskState {
	if stopped {
		return stateStopped
	}
	return stateFailed
}

// begin takes a slot for the task, or returns why it is refused.
func (e *Endpoint) begin(body startBody) (run running, refusal string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	refusal = e.refusal(body)
	e.records.add(Record{Task: body.TaskID, Attempt: body.Attempt, At: time.Now(), Refused: refusal})
	if refusal != "" {
		return running{}, refusal
	}
	ctx, cancel := context.WithCancel(e.life)
	t := &task{id: body.TaskID, attempt: body.Attempt, state: stateRunning, stop: cancel, started: time.Now()}
	e.tasks.put(t)
	e.busy++
	return running{
		task: t, ctx: ctx, fails: e.random.Float64() < e.behaviour.FailShare,
		factor: e.behaviour.runFactor(), answerIn: e.behaviour.answerDelay(),
	}, ""
}

func (e *Endpoint) refusal(body startBody) string {
	t, known := e.tasks.get(body.TaskID)
	switch {
	case known && t.state == stateRevoked && t.fences(body.Attempt):
		return RefusedRevoked
	case known && t.state != stateRevoked:
		return RefusedKnown
	case e.busy >= e.config.Slots:
		return RefusedNoSlot
	case e.random.Float64() < e.behaviour.RefuseShare:
		return RefusedAtWill
	}
	return ""
}

func (e *Endpoint) end(t *task, state taskState, answer json.RawMessage) {
	e.mu.Lock()
	defer e.mu.Unlock()
	t.stop()
	t.state, t.answer = state, answer
	e.busy--
	e.records.ran(t, time.Since(t.started))
	e.tasks.ended(t)
}

type revokeBody struct {
	Stop    bool `json:"stop"`
	Attempt int  `json:"attempt"` // 0 fences every attempt.
}

func (e *Endpoint) revoke(w http.ResponseWriter, r *http.Request) {
	var body revokeBody
	json.NewDecoder(r.Body).Decode(&body) // An empty body asks for no stop.
	if !e.awaitThaw() {
		return
	}
	id := r.PathValue("id")
	e.mu.Lock()
	e.records.add(Record{Task: id, Attempt: body.Attempt, At: time.Now(), Revoke: true})
	t, known := e.tasks.get(id)
	if !known {
		t = &task{id: id, attempt: body.Attempt, state: stateRevoked}
		e.tasks.put(t)
		e.tasks.ended(t)
	}
	t.refence(body.Attempt)
	if body.Stop && t.state == stateRunning {
		t.stop()
	}
	answer := taskReply{TaskID: id, State: t.state.onWire(), Answer: t.answer}
	e.mu.Unlock()
	reply(w, http.StatusOK, answer)
}

func (e *Endpoint) show(w http.ResponseWriter, r *http.Request) {
	if !e.awaitThaw() {
		return
	}
	answer := taskReply{TaskID: r.PathValue("id"), State: "unknown"}
	e.mu.Lock()
	if t, known := e.tasks.get(answer.TaskID); known {
		answer.State = t.state.onWire()
	}
	e.mu.Unlock()
	reply(w, http.StatusOK, answer)
}

type taskReply struct {
	TaskID  string          `json:"task_id"`
	Attempt int             `json:"attempt,omitempty"`
	State   taskState       `json:"state,omitempty"`
	Answer  json.RawMessage `json:"answer,omitempty"`
}

type problem struct {
	TaskID string `json:"task_id,omitempty"`
	Run    string `json:"run,omitempty"`
	Reason string `json:"reason"`
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(body) // The dispatcher is gone when this fails.
}
