package leased

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"time"
)

const heartbeatTimeout = time.Second // Maximum wait for the reply to a heartbeat.

// sendHeartbeats announces the endpoint at each heartbeat interval until it stops. After a failed
// heartbeat it goes on with the next control address.
func (e *Endpoint) sendHeartbeats() {
	client := &http.Client{Timeout: heartbeatTimeout}
	defer client.CloseIdleConnections()
	timer := time.NewTimer(0)
	defer timer.Stop()
	next := 0
	for {
		select {
		case <-timer.C:
		case <-e.stopped:
			return
		}
		timer.Reset(e.config.HeartbeatInterval)
		if !e.sendHeartbeat(client, e.config.Control[next%len(e.config.Control)]) {
			next++
		}
	}
}

// sendHeartbeat sends one heartbeat and reports whether the address accepted it.
func (e *Endpoint) sendHeartbeat(client *http.Client, address string) bool {
	request, err := http.NewRequest(http.MethodPut, "http://"+address+"/instances/"+e.config.ID, bytes.NewReader(e.encodeHeartbeat()))
	if err != nil {
		return false
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := client.Do(request)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	io.Copy(io.Discard, response.Body) // The connection is reused only after its body was read.
	return response.StatusCode == http.StatusOK
}

// encodeHeartbeat returns the body of a heartbeat with the endpoint's present state.
func (e *Endpoint) encodeHeartbeat() []byte {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sequence++
	state := "ready"
	if e.draining {
		state = "draining"
	}
	raw, err := json.Marshal(map[string]any{
		"service": e.config.Service, "address": e.address, "zone": e.config.Zone, "version": "v1",
		"slots": e.config.Slots, "state": state, "cold_remaining_ms": 0,
		"capacity": map[string]int{"cpu": e.config.CPU, "mem_mb": 4096, "gpu": 0},
		"labels":   []string{"a", "r1-1"}, "clock_ms": e.clockMS(), "sequence": e.sequence, "born": e.born.UnixMilli(),
	})
	if err != nil {
		return nil // Unreachable: these types always encode.
	}
	return raw
}
