package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"
)

const (
	serviceName = "licitatie-fan"
	routeHost   = "wuny96.example"
	routePrefix = "/bopu901/"
)

// desiredState returns a desired state with one queue.
func desiredState(version int) []byte {
	raw, _ := json.Marshal(map[string]any{
		"version": version,
		"routes": []any{map[string]any{
			"name": "lot-close", "host": routeHost, "path_prefix": routePrefix, "type": "unsafe", "timeout_ms": 1500,
			"target_duration_ms": 60, "priority": 1, "service": serviceName, "max_attempts": 4, "stretch": 1.6,
		}},
		"services": []any{map[string]any{
			"name": serviceName, "health_path": "/health", "max_connections": 64, "protocol": "h1", "tls": false,
			"admission_control": true, "standby": false,
		}},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	return raw
}

// call sends one request on a connection of its own.
func call(method, url, host string, body []byte, header map[string]string, timeout time.Duration) (status int, reply []byte, err error) {
	request, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	request.Host = host
	request.Header.Set("Content-Type", "application/json")
	for name, value := range header {
		request.Header.Set(name, value)
	}
	client := &http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer response.Body.Close()
	reply, err = io.ReadAll(response.Body)
	return response.StatusCode, reply, err
}

// put sends a desired state, to one node after the other, until it is acknowledged.
func put(controls []string, raw []byte, patience time.Duration) bool {
	for until, i := time.Now().Add(patience), 0; time.Now().Before(until); i++ {
		status, _, err := call("PUT", "http://"+controls[i%len(controls)]+"/config", "", raw, nil, time.Second)
		if err == nil && status == 200 {
			return true
		}
		time.Sleep(100 * time.Millisecond)
	}
	return false
}

// job is a best-effort job of one step of equal tasks.
type job struct {
	id            string
	tasks, taskMS int
	deadline      time.Duration
}

func newJob(tasks, taskMS int, deadline time.Duration) job {
	return job{id: fmt.Sprintf("%016x", rand.Uint64()), tasks: tasks, taskMS: taskMS, deadline: deadline}
}

func (j job) url(m *machine) string {
	return "http://" + m.address(portFrontend) + routePrefix + j.id
}

// post submits the job and returns a channel for what its caller gets.
func (j job) post(m *machine) <-chan string {
	text, _ := json.Marshal(spec{MS: j.taskMS, CPU: 8000, ID: j.id})
	body, _ := json.Marshal(map[string]any{
		"spec": string(text), "best_effort": true,
		"steps": []any{map[string]any{"count": j.tasks, "cpu": 8000, "mem_mb": 64, "estimated_ms": j.taskMS}},
	})
	answer := make(chan string, 1)
	go func() {
		header := map[string]string{"X-Deadline-Ms": strconv.FormatInt(j.deadline.Milliseconds(), 10)}
		status, reply, err := call("POST", j.url(m), routeHost, body, header, j.deadline+500*time.Millisecond)
		if err != nil {
			answer <- "no response"
			return
		}
		answer <- fmt.Sprintf("%d %s", status, bytes.TrimSpace(reply))
	}()
	return answer
}

// cancel sends the order to cancel the job until it is acknowledged, at one node after the other. It returns the status and the time of
// the acknowledgement.
func (j job) cancel(nodes []*machine) (status int, by *machine, ackedAt time.Time) {
	for i := range 20 {
		by = nodes[i%len(nodes)]
		status, _, err := call("DELETE", j.url(by), routeHost, nil, nil, time.Second)
		say("job %s: DELETE at %s: %d", j.id, by.name, status)
		if err == nil && (status/100 == 2 || status == http.StatusGone) {
			return status, by, time.Now()
		}
		time.Sleep(50 * time.Millisecond)
	}
	return 0, nil, time.Time{}
}
