package leased

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"time"
)

const beatTimeout = time.Second // Wait for the answer to a heartbeat.

// beat announces the endpoint until its end; each address is tried in turn.
func (e *Endpoint) beat() {
	client := &http.Client{Timeout: beatTimeout}
	defer client.CloseIdleConnections()
	timer := time.NewTimer(0)
	defer timer.Stop()
	next := 0
	for {
		select {
		case <-timer.C:
		case <-e.life:
			return
		}
		timer.Reset(e.config.Beat)
		if !e.announce(client, e.config.Control[next%len(e.config.Control)]) {
			next++
		}
	}
}

func (e *Endpoint) announce(client *http.Client, address string) bool {
	request, err := http.NewRequest(http.MethodPut, "http://"+address+"/instances/"+e.config.ID, bytes.NewReader(e.heartbeat()))
	if err != nil {
		return false
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := client.Do(request)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	io.Copy(io.Discard, response.Body) // Keeps the connection usable.
	return response.StatusCode == http.StatusOK
}

// heartbeat returns what the endpoint says of itself now.
func (e *Endpoint) heartbeat() []byte {
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
		"labels":   []string{"a", "r1-1"}, "clock_ms": e.clock(), "sequence": e.sequence, "born": e.born.UnixMilli(),
	})
	if err != nil {
		return nil // Never of these types.
	}
	return raw
}
