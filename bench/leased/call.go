package leased

import (
	"encoding/json"
	"net/http"
	"time"
)

// callBody is the body of every call; each path uses some of its fields.
type callBody struct {
	Task  string `json:"task"`
	Run   int    `json:"run"`
	Spec  string `json:"spec"`
	Until int64  `json:"until_ms"` // End of the lease on the endpoint's clock; 0 does not extend it.
	Token uint64 `json:"fencing_token"`
	Seen  int    `json:"last_seen"` // Number of the last run end that the caller has received.
	Wait  int64  `json:"wait_ms"`   // Maximum wait for a run to end.
	fails bool   // An injected fault makes the task fail.
}

// handler executes a call.
type handler func(r *http.Request, o callBody) (status int, reply map[string]any)

// serve decodes a call, executes it with the fault injected into it, and sends the reply.
func (e *Endpoint) serve(handle handler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var o callBody
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
		case fault.ExecuteAfter > 0:
			if fault.FromArrival && o.Until > 0 {
				o.Until += fault.ExecuteAfter.Milliseconds()
			}
			time.AfterFunc(fault.ExecuteAfter, func() { handle(r, o) })
			<-r.Context().Done()
			return
		}
		status, reply := handle(r, o)
		if fault.DropReply {
			<-r.Context().Done()
			return
		}
		reply["clock_ms"], reply["born"] = e.clockMS(), e.born.UnixMilli()
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(status)
		json.NewEncoder(w).Encode(reply) // An error means that the caller has disconnected.
	}
}

// fault counts the call and returns the fault to inject into it.
func (e *Endpoint) fault(path string) Fault {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.calls[path]++
	if e.config.Fault == nil {
		return Fault{}
	}
	return e.config.Fault(path, e.calls[path])
}

// conflict returns the reply to a call that is refused for the given reason.
func conflict(reason string) (int, map[string]any) {
	return http.StatusConflict, map[string]any{"reason": reason}
}
