// Package taskclient sends tasks to endpoints as JSON over HTTP. It never sends a task twice: a
// request whose bytes may have left is reported as unknown, and the caller asks by a revoke.
package taskclient

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"redwingpulley/kernel/model"
	"redwingpulley/kernel/plugin"
	"redwingpulley/kernel/port"
)

const (
	maxAnswer     = 4 << 20 // Bytes of one endpoint's reply.
	dialTimeout   = 1 * time.Second
	revokeTimeout = 2 * time.Second
	idlePerHost   = 60 // Connections kept open to one endpoint.
	idleTimeout   = 90 * time.Second
	keepAlive     = 5 * time.Second // Between TCP probes of a silent connection.
)

// Client is the plug-in. Create it through the registry.
type Client struct {
	tasks   *http.Client
	revokes *http.Client // Opens a connection for each request.
}

// Provision makes the two clients.
func (c *Client) Provision(ctx *plugin.Context) error {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: keepAlive}
	c.tasks = &http.Client{Transport: &http.Transport{
		DialContext: dialer.DialContext, MaxIdleConnsPerHost: idlePerHost, IdleConnTimeout: idleTimeout,
	}}
	c.revokes = &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true}}
	plugin.Bind[port.Tasks](ctx, c)
	return ctx.Settings(&struct{}{})
}

// Stop closes the connections.
func (c *Client) Stop() error {
	c.tasks.CloseIdleConnections()
	return nil
}

type startBody struct {
	TaskID     model.TaskID    `json:"task_id"`
	Attempt    int             `json:"attempt"`
	DeadlineMS int64           `json:"deadline_ms"`
	Payload    json.RawMessage `json:"payload"`
}

type replyBody struct {
	TaskID  model.TaskID    `json:"task_id"`
	Attempt int             `json:"attempt"`
	Answer  json.RawMessage `json:"answer"`
	Run     model.RunState  `json:"run"`
	Reason  string          `json:"reason"`
}

// Start has the endpoint run the task and waits for its answer.
func (c *Client) Start(ctx context.Context, address string, start port.TaskStart) port.TaskReply {
	body, err := json.Marshal(startBody{start.ID, start.Attempt, start.Deadline, start.Payload})
	if err != nil {
		return port.TaskReply{State: port.TaskNotRun, Detail: err.Error()}
	}
	var connected atomic.Bool
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	request, err := newRequest(traced, taskURL(address, start.ID), body)
	if err != nil {
		return port.TaskReply{State: port.TaskNotRun, Detail: err.Error()}
	}
	response, err := c.tasks.Do(request)
	if err != nil {
		return lost(connected.Load(), err)
	}
	defer response.Body.Close()
	return readStart(start, response)
}

// lost tells a request that never had a connection from one whose bytes may have left.
func lost(connected bool, err error) port.TaskReply {
	if connected {
		return port.TaskReply{State: port.TaskUnknown, Detail: err.Error()}
	}
	return port.TaskReply{State: port.TaskNotRun, Detail: err.Error()}
}

// readStart takes an answer only when it names the task and attempt that were sent.
func readStart(start port.TaskStart, response *http.Response) port.TaskReply {
	var body replyBody
	if err := json.NewDecoder(io.LimitReader(response.Body, maxAnswer)).Decode(&body); err != nil {
		return port.TaskReply{State: port.TaskUnknown, Detail: err.Error()}
	}
	if body.TaskID != start.ID {
		return port.TaskReply{State: port.TaskUnknown, Detail: "answer names another task"}
	}
	switch {
	case response.StatusCode == http.StatusOK && body.Attempt == start.Attempt:
		return port.TaskReply{State: port.TaskDone, Answer: body.Answer}
	case response.StatusCode == http.StatusServiceUnavailable && body.Run == model.NotRun:
		return port.TaskReply{State: port.TaskNotRun, Detail: body.Reason}
	case response.StatusCode == http.StatusInternalServerError:
		return port.TaskReply{State: port.TaskFailed, Detail: body.Reason}
	}
	return port.TaskReply{State: port.TaskUnknown, Detail: response.Status}
}

type revokeBody struct {
	Stop bool `json:"stop"`
}

type revokeReply struct {
	TaskID model.TaskID    `json:"task_id"`
	State  port.TaskState  `json:"state"`
	Answer json.RawMessage `json:"answer"`
}

// Revoke asks over a new connection that the task never start.
func (c *Client) Revoke(ctx context.Context, address string, id model.TaskID, stop bool) port.RevokeReply {
	ctx, cancel := context.WithTimeout(ctx, revokeTimeout)
	defer cancel()
	unknown := port.RevokeReply{State: port.TaskUnknown}
	body, err := json.Marshal(revokeBody{stop})
	if err != nil {
		return unknown
	}
	request, err := newRequest(ctx, taskURL(address, id)+"/revoke", body)
	if err != nil {
		return unknown
	}
	response, err := c.revokes.Do(request)
	if err != nil {
		return unknown
	}
	defer response.Body.Close()
	var reply revokeReply
	if err := json.NewDecoder(io.LimitReader(response.Body, maxAnswer)).Decode(&reply); err != nil || reply.TaskID != id {
		return unknown
	}
	return port.RevokeReply{State: reply.State, Answer: reply.Answer}
}

func taskURL(address string, id model.TaskID) string {
	return "http://" + address + "/v1/tasks/" + string(id)
}

// newRequest returns a POST that net/http does not send again by itself.
func newRequest(ctx context.Context, url string, body []byte) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.GetBody = nil
	request.Header.Set("Content-Type", "application/json")
	return request, nil
}
