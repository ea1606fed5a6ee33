package standin

import (
	"encoding/json"
	"net/http"
	"time"
)

// Behaviour is how a stand-in misbehaves. The zero value is a sound endpoint.
type Behaviour struct {
	FailShare   float64 `json:"fail_share"`      // Of the tasks that it starts, 0 to 1.
	RefuseShare float64 `json:"refuse_share"`    // Of the tasks that it is sent, 0 to 1.
	AnswerMS    int64   `json:"answer_delay_ms"` // Between a task's end and its answer.
	RunFactor   float64 `json:"run_factor"`      // Stretches run times; 0 is taken as 1.
	Freeze      bool    `json:"freeze"`          // Accept connections, answer and announce nothing.
}

func (b Behaviour) runFactor() float64 {
	if b.RunFactor == 0 {
		return 1
	}
	return b.RunFactor
}

func (b Behaviour) answerDelay() time.Duration { return time.Duration(b.AnswerMS) * time.Millisecond }

// Behave changes the behaviour for tasks that start from now on. Requests that came while it was
// frozen are handled when it thaws, whether or not their sender is still there.
func (e *Endpoint) Behave(b Behaviour) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case b.Freeze && !e.behaviour.Freeze:
		e.thawed = make(chan struct{})
	case !b.Freeze && e.behaviour.Freeze:
		close(e.thawed)
	}
	e.behaviour = b
}

// awaitThaw waits while the stand-in is frozen and reports whether it still runs.
func (e *Endpoint) awaitThaw() bool {
	e.mu.Lock()
	thawed := e.thawed
	e.mu.Unlock()
	select {
	case <-thawed:
		return true
	case <-e.life.Done():
		return false
	}
}

func (e *Endpoint) controlBehaviour(w http.ResponseWriter, r *http.Request) {
	var b Behaviour
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&b); err != nil {
		reply(w, http.StatusBadRequest, problem{Reason: err.Error()})
		return
	}
	e.Behave(b)
	reply(w, http.StatusOK, b)
}

func (e *Endpoint) controlLeave(w http.ResponseWriter, _ *http.Request) {
	e.Leave()
	w.WriteHeader(http.StatusNoContent)
}

func (e *Endpoint) controlRecords(w http.ResponseWriter, _ *http.Request) {
	reply(w, http.StatusOK, e.Log())
}
