package standin

import (
	"encoding/json"
	"net/http"
	"time"
)

// Behaviour defines how a stand-in misbehaves. The zero value is a healthy endpoint.
type Behaviour struct {
	FailShare   float64 `json:"fail_share"`      // Share of the started tasks that fail, 0 to 1.
	RefuseShare float64 `json:"refuse_share"`    // Share of the received tasks that are refused, 0 to 1.
	AnswerMS    int64   `json:"answer_delay_ms"` // Delay between the end of a task and its answer.
	RunFactor   float64 `json:"run_factor"`      // Factor by which tasks run longer; 0 means 1.
	Freeze      bool    `json:"freeze"`          // Pauses the stand-in: it accepts connections, but answers no requests and sends no announcements.
}

func (b Behaviour) runFactor() float64 {
	if b.RunFactor == 0 {
		return 1
	}
	return b.RunFactor
}

func (b Behaviour) answerDelay() time.Duration { return time.Duration(b.AnswerMS) * time.Millisecond }

// SetBehaviour sets the behaviour for tasks that start from now on. Requests that arrive while the
// stand-in is paused are handled when it resumes, even if their sender has disconnected by then.
func (e *Endpoint) SetBehaviour(b Behaviour) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case b.Freeze && !e.behaviour.Freeze:
		e.resumed = make(chan struct{})
	case !b.Freeze && e.behaviour.Freeze:
		close(e.resumed)
	}
	e.behaviour = b
}

// awaitResume waits while the stand-in is paused. It returns false when the stand-in is closed.
func (e *Endpoint) awaitResume() bool {
	e.mu.Lock()
	resumed := e.resumed
	e.mu.Unlock()
	select {
	case <-resumed:
		return true
	case <-e.baseCtx.Done():
		return false
	}
}

func (e *Endpoint) handleSetBehaviour(w http.ResponseWriter, r *http.Request) {
	var b Behaviour
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&b); err != nil {
		writeReply(w, http.StatusBadRequest, errorReply{Reason: err.Error()})
		return
	}
	e.SetBehaviour(b)
	writeReply(w, http.StatusOK, b)
}

func (e *Endpoint) handleLeave(w http.ResponseWriter, _ *http.Request) {
	e.Leave()
	w.WriteHeader(http.StatusNoContent)
}

func (e *Endpoint) handleRecords(w http.ResponseWriter, _ *http.Request) {
	writeReply(w, http.StatusOK, e.Log())
}
