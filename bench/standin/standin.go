// Package standin is a stand-in for an endpoint: it announces itself, runs tasks by waiting, and
// misbehaves on request. It exists to prove the dispatcher.
package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

const announceRetry = 200 * time.Millisecond // After a failed announcement.

// Config describes a stand-in.
type Config struct {
	Endpoint   string   `json:"endpoint"`
	Service    string   `json:"service"`
	Worker     string   `json:"worker"`
	Rack       string   `json:"rack"`
	DataCentre string   `json:"data_centre"`
	Listen     string   `json:"listen"` // ip:port; port 0 takes a free one.
	Slots      int      `json:"slots"`
	Entries    []string `json:"entries"` // Endpoint listeners of entry VMs, ip:port.
}

// Endpoint is a running stand-in.
type Endpoint struct {
	config   Config
	server   *http.Server
	listener net.Listener
	stop     context.CancelFunc
	life     context.Context
	done     sync.WaitGroup

	mu    sync.Mutex
	tasks map[string]*task
	busy  int
	state string
}

// task is a task that was started or revoked here.
type task struct {
	attempt int
	state   string // As in a revoke's answer.
	answer  json.RawMessage
	stop    context.CancelFunc
}

// Start opens the stand-in's listener and begins to announce it.
func Start(config Config) (*Endpoint, error) {
	listener, err := net.Listen("tcp", config.Listen)
	if err != nil {
		return nil, errors.Wrap(err, "stand-in")
	}
	e := &Endpoint{config: config, listener: listener, tasks: make(map[string]*task), state: "serving"}
	e.life, e.stop = context.WithCancel(context.Background())
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/tasks/{id}", e.start)
	mux.HandleFunc("POST /v1/tasks/{id}/revoke", e.revoke)
	mux.HandleFunc("GET /v1/tasks/{id}", e.show)
	e.server = &http.Server{Handler: mux}
	e.done.Go(func() { e.server.Serve(listener) })
	e.done.Go(e.announce)
	return e, nil
}

// Address returns the stand-in's ip:port.
func (e *Endpoint) Address() string { return e.listener.Addr().String() }

// Leave announces that the stand-in takes no new work.
func (e *Endpoint) Leave() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.state = "leaving"
}

// Close ends the stand-in at once.
func (e *Endpoint) Close() {
	e.stop()
	e.server.Close()
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

type answer struct {
	Endpoint string `json:"endpoint"`
	Task     string `json:"task"`
}

func (e *Endpoint) start(w http.ResponseWriter, r *http.Request) {
	var body startBody
	var payload Payload
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		reply(w, http.StatusBadRequest, map[string]any{"reason": err.Error()})
		return
	}
	if err := json.Unmarshal(body.Payload, &payload); err != nil {
		reply(w, http.StatusBadRequest, map[string]any{"reason": err.Error()})
		return
	}
	t, ctx, refusal := e.begin(body)
	if refusal != "" {
		reply(w, http.StatusServiceUnavailable, map[string]any{"task_id": body.TaskID, "run": "not_run", "reason": refusal})
		return
	}
	stopped := !sleep(ctx, time.Duration(payload.SleepMS)*time.Millisecond)
	if stopped || payload.Fail {
		e.end(t, map[bool]string{true: "stopped", false: "failed"}[stopped], nil)
		reply(w, http.StatusInternalServerError, map[string]any{"task_id": body.TaskID, "reason": "failed or stopped"})
		return
	}
	raw, _ := json.Marshal(answer{e.config.Endpoint, body.TaskID}) // Two strings always encode.
	e.end(t, "done", raw)
	reply(w, http.StatusOK, map[string]any{"task_id": body.TaskID, "attempt": body.Attempt, "answer": json.RawMessage(raw)})
}

// begin takes a slot for the task, or returns why it is refused.
func (e *Endpoint) begin(body startBody) (t *task, ctx context.Context, refusal string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch _, known := e.tasks[body.TaskID]; {
	case known: // Started before, or revoked. A start that was delayed must not pass the fence.
		return nil, nil, "known task"
	case e.busy >= e.config.Slots:
		return nil, nil, "no free slot"
	}
	ctx, cancel := context.WithCancel(e.life)
	t = &task{attempt: body.Attempt, state: "running", stop: cancel}
	e.tasks[body.TaskID] = t
	e.busy++
	return t, ctx, ""
}

func (e *Endpoint) end(t *task, state string, answer json.RawMessage) {
	e.mu.Lock()
	defer e.mu.Unlock()
	t.stop()
	t.state, t.answer = state, answer
	e.busy--
}

func (e *Endpoint) revoke(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Stop bool `json:"stop"`
	}
	json.NewDecoder(r.Body).Decode(&body) // An empty body asks for no stop.
	id := r.PathValue("id")
	e.mu.Lock()
	t, known := e.tasks[id]
	if !known {
		t = &task{state: "revoked"}
		e.tasks[id] = t
	}
	if body.Stop && t.state == "running" {
		t.stop()
	}
	state, result := t.state, t.answer
	e.mu.Unlock()
	reply(w, http.StatusOK, map[string]any{"task_id": id, "state": state, "answer": result})
}

func (e *Endpoint) show(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	t, known := e.tasks[r.PathValue("id")]
	state := "unknown"
	if known {
		state = t.state
	}
	e.mu.Unlock()
	reply(w, http.StatusOK, map[string]any{"task_id": r.PathValue("id"), "state": state})
}

// sleep waits and reports whether the context lasted.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(body) // The dispatcher is gone when this fails.
}

// announce tells the owner, or any entry VM while the owner does not answer, that this stand-in
// is there.
func (e *Endpoint) announce() {
	owner := ""
	for i := 0; ; i++ {
		target := owner
		if target == "" {
			target = e.config.Entries[i%len(e.config.Entries)]
		}
		next, wait, err := e.announceTo(target)
		if err != nil {
			next, wait = "", announceRetry
		}
		owner = next
		if !sleep(e.life, wait) {
			return
		}
	}
}

func (e *Endpoint) announceTo(target string) (owner string, wait time.Duration, err error) {
	body, err := json.Marshal(e.announcement())
	if err != nil {
		return "", 0, err
	}
	ctx, cancel := context.WithTimeout(e.life, time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+target+"/v1/endpoints/announce", bytes.NewReader(body))
	if err != nil {
		return "", 0, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return "", 0, err
	}
	defer response.Body.Close()
	var r struct {
		Owner   string `json:"owner"`
		EveryMS int64  `json:"every_ms"`
	}
	if response.StatusCode != http.StatusOK {
		return "", 0, errors.Newf("announce: %s", response.Status)
	}
	err = json.NewDecoder(response.Body).Decode(&r)
	return r.Owner, time.Duration(r.EveryMS) * time.Millisecond, err
}

func (e *Endpoint) announcement() map[string]any {
	e.mu.Lock()
	defer e.mu.Unlock()
	running := []string{}
	for id, t := range e.tasks {
		if t.state == "running" {
			running = append(running, id)
		}
	}
	return map[string]any{
		"endpoint": e.config.Endpoint, "service": e.config.Service, "worker": e.config.Worker,
		"rack": e.config.Rack, "data_centre": e.config.DataCentre, "address": e.Address(),
		"slots": e.config.Slots, "connections": 60, "cores": 16, "memory_mb": 65536, "accelerators": 0,
		"state": e.state, "running": running,
	}
}
