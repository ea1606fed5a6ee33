package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"
)

// job is a best-effort job of one step.
type job struct {
	id       string
	tasks    int
	ms, cpu  int
	deadline time.Duration // How long the client waits for an answer.
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

func (j job) body() string {
	s, _ := json.Marshal(spec{j.ms, j.cpu})
	raw, _ := json.Marshal(map[string]any{
		"spec": string(s), "best_effort": true,
		"steps": []map[string]any{{"count": j.tasks, "cpu": j.cpu, "mem_mb": 64, "estimated_ms": j.ms}},
	})
	return string(raw)
}

var jobClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

// send sends a request about a job to an entry machine and returns the status, 0 without an answer.
func (c *cluster) send(method string, at *machine, j job) (status int, answer string) {
	body := ""
	if method == http.MethodPost {
		body = j.body()
	}
	request, err := http.NewRequest(method, "http://"+at.front()+prefix+j.id, strings.NewReader(body))
	if err != nil {
		cannot("%v", err)
	}
	request.Host = host
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("X-Deadline-Ms", fmt.Sprint(j.deadline.Milliseconds()))
	client := *jobClient
	client.Timeout = j.deadline
	c.rec.line("client: %s %s at %s (%d tasks of %d ms)", method, j.id, at.name, j.tasks, j.ms)
	response, err := client.Do(request)
	if err != nil {
		c.rec.line("client: %s %s at %s -> no answer", method, j.id, at.name)
		return 0, ""
	}
	defer response.Body.Close()
	raw, _ := io.ReadAll(response.Body)
	answer = strings.TrimSpace(string(raw))
	c.rec.line("client: %s %s at %s -> %d %s", method, j.id, at.name, response.StatusCode, answer)
	return response.StatusCode, answer
}

// submit sends a job to one machine after the other as a client does: again after no answer, a broken channel, 502 or 504,
// and that not before the time of resend has passed.
func (c *cluster) submit(j job, at ...*machine) (status int) {
	for i, m := range at {
		if i > 0 {
			time.Sleep(resend)
		}
		status, _ = c.send(http.MethodPost, m, j)
		if status != 0 && status != http.StatusBadGateway && status != http.StatusGatewayTimeout {
			return status
		}
	}
	return status
}

// warmUp has each entry machine complete a few jobs.
func (c *cluster) warmUp(entries []*machine) bool {
	until := time.Now().Add(20 * time.Second)
	for range 3 {
		for _, m := range entries {
			for {
				j := job{id: newID(), tasks: 2, ms: 20, cpu: 500, deadline: 1500 * time.Millisecond}
				if status, _ := c.send(http.MethodPost, m, j); status == http.StatusOK {
					break
				}
				if time.Now().After(until) {
					return false
				}
				time.Sleep(100 * time.Millisecond)
			}
		}
	}
	return true
}
