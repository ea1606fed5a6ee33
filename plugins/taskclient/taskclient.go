// Package taskclient sends tasks to endpoints as JSON over HTTP. It never sends a task twice: the
// outcome of a request whose bytes may have left is reported as unknown, and the caller finds it out
// by revoking the task.
package taskclient

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"slices"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"

	"redwingpulley/kernel/dial"
	"redwingpulley/kernel/model"
	"redwingpulley/kernel/plugin"
	"redwingpulley/kernel/port"
)

const (
	maxAnswer     = 4 << 20          // Limit on a reply, in bytes.
	revokeTimeout = 2 * time.Second  // Longest wait for the reply to a revoke.
	idlePerHost   = 60               // Idle connections kept per endpoint.
	idleTimeout   = 30 * time.Second // Less than the time for which endpoints must keep idle connections open.
)

// connectionLimits says when a connection to an endpoint counts as broken and is closed.
var connectionLimits = dial.Limits{
	DialTimeout: time.Second, KeepAliveIdle: time.Second, KeepAliveInterval: time.Second, KeepAliveProbes: 2, UserTimeout: 3 * time.Second,
}

// Client is the plug-in. Create it through the registry.
type Client struct {
	tasks   *http.Client
	revokes *http.Client // Opens a connection for each request.

	observers []port.EndpointObserver // Fixed once the plug-ins have started.

	requests    metrics.Counter
	replies     metrics.Counter
	revocations metrics.Counter
	wasted      metrics.Counter // Starts that brought no result, all revokes, and the replies to both.
}

// Provision creates the HTTP clients for tasks and for revokes.
func (c *Client) Provision(ctx *plugin.Context) error {
	c.init(ctx.Metrics)
	plugin.Bind[port.Tasks](ctx, c)
	return ctx.Settings(&struct{}{})
}

func (c *Client) init(registry metrics.Registry) {
	dialer := dial.New(connectionLimits)
	c.tasks = &http.Client{CheckRedirect: dial.NoRedirect, Transport: &http.Transport{
		DialContext: dialer.DialContext, MaxIdleConnsPerHost: idlePerHost, IdleConnTimeout: idleTimeout,
	}}
	c.revokes = &http.Client{CheckRedirect: dial.NoRedirect, Transport: &http.Transport{
		DialContext: dialer.DialContext, DisableKeepAlives: true,
	}}
	c.requests = metrics.GetOrRegisterCounter("messages.task.requests", registry)
	c.replies = metrics.GetOrRegisterCounter("messages.task.replies", registry)
	c.revocations = metrics.GetOrRegisterCounter("messages.task.revokes", registry)
	c.wasted = metrics.GetOrRegisterCounter("messages.wasted", registry)
}

// Stop closes the idle connections.
func (c *Client) Stop() error {
	c.tasks.CloseIdleConnections()
	return nil
}

type startBody struct {
	TaskID     model.TaskID    `json:"task_id"`
	Attempt    int             `json:"attempt"`
	DeadlineMS int64           `json:"deadline_ms"` // Time from now in milliseconds.
	Payload    json.RawMessage `json:"payload"`
}

type replyBody struct {
	TaskID  model.TaskID    `json:"task_id"`
	Attempt int             `json:"attempt"`
	Answer  json.RawMessage `json:"answer"`
	Run     model.RunState  `json:"run"`    // Whether the task may have run.
	Reason  string          `json:"reason"` // Reason of a refusal or failure.
}

// Observe registers an observer of endpoints that refuse connections.
func (c *Client) Observe(observer port.EndpointObserver) { c.observers = append(c.observers, observer) }

// Start sends the task to the endpoint and waits for its answer.
func (c *Client) Start(ctx context.Context, address string, start port.TaskStart) port.TaskReply {
	body, err := json.Marshal(startBody{start.ID, start.Attempt, start.Deadline, start.Payload})
	if err != nil {
		return port.TaskReply{State: port.TaskNotRun, Detail: err.Error()}
	}
	calledAt := time.Now()
	var late atomic.Bool // The request was written late.
	traced, connected := dial.Trace(ctx)
	traced = httptrace.WithClientTrace(traced, &httptrace.ClientTrace{
		WroteRequest: func(httptrace.WroteRequestInfo) { late.Store(time.Since(calledAt) > port.MaxTimingError) },
	})
	request, err := newRequest(traced, taskURL(address, start.ID), body)
	if err != nil {
		return port.TaskReply{State: port.TaskNotRun, Detail: err.Error()}
	}
	response, err := c.tasks.Do(request)
	if err != nil {
		return c.handleNoReply(start.Endpoint, connected.Load(), err)
	}
	defer response.Body.Close()
	c.requests.Inc(1)
	c.replies.Inc(1)
	reply := decodeStartReply(start, response)
	reply.TimeUnknown = late.Load()
	if reply.State != port.TaskDone && reply.State != port.TaskFailed {
		c.wasted.Inc(2) // The request and the reply.
	}
	return reply
}

// handleNoReply counts a start without a reply and returns its state: the task has not run if the
// request was never given a connection; otherwise its bytes may have left and the state is unknown.
func (c *Client) handleNoReply(endpoint model.EndpointID, connected bool, err error) port.TaskReply {
	if !connected && errors.Is(err, syscall.ECONNREFUSED) {
		for _, o := range c.observers {
			o.EndpointDown(endpoint)
		}
	}
	if !connected {
		return port.TaskReply{State: port.TaskNotRun, Detail: err.Error()}
	}
	c.requests.Inc(1)
	c.wasted.Inc(1)
	return port.TaskReply{State: port.TaskUnknown, Detail: err.Error()}
}

// decodeStartReply returns the state of the task that a reply reports. It is unknown unless the
// reply names the task, and for an answer also the attempt that was sent. An answer that is too
// large counts as failed.
func decodeStartReply(start port.TaskStart, response *http.Response) port.TaskReply {
	raw, err := io.ReadAll(io.LimitReader(response.Body, maxAnswer+1))
	if err != nil {
		return port.TaskReply{State: port.TaskUnknown, Detail: err.Error()}
	}
	if response.StatusCode == http.StatusOK && len(raw) > maxAnswer {
		return port.TaskReply{State: port.TaskFailed, Detail: "the answer is too large"}
	}
	var body replyBody
	if err := json.Unmarshal(raw, &body); err != nil {
		return port.TaskReply{State: port.TaskUnknown, Detail: err.Error()}
	}
	if body.TaskID != start.ID {
		return port.TaskReply{State: port.TaskUnknown, Detail: "reply names another task"}
	}
	switch {
	case response.StatusCode == http.StatusOK && body.Attempt == start.Attempt && len(body.Answer) > 0:
		return port.TaskReply{State: port.TaskDone, Answer: body.Answer}
	case response.StatusCode == http.StatusServiceUnavailable && body.Run == model.NotRun:
		return port.TaskReply{State: port.TaskNotRun, Detail: body.Reason}
	case response.StatusCode == http.StatusInternalServerError:
		return port.TaskReply{State: port.TaskFailed, Detail: body.Reason}
	}
	return port.TaskReply{State: port.TaskUnknown, Detail: response.Status}
}

type revokeBody struct {
	Stop bool `json:"stop"` // Also end the task if it is running.
}

type revokeReply struct {
	TaskID model.TaskID    `json:"task_id"`
	State  port.TaskState  `json:"state"`
	Answer json.RawMessage `json:"answer"`
}

// Revoke tells the endpoint, over a new connection, never to start the task, and with Stop to end it
// if it is running. It returns the state of the task there.
func (c *Client) Revoke(ctx context.Context, address string, revoke port.TaskRevoke) port.RevokeReply {
	id, stop := revoke.ID, revoke.Stop
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
	c.revocations.Inc(1)
	c.wasted.Inc(1)
	response, err := c.revokes.Do(request)
	if err != nil {
		return unknown
	}
	defer response.Body.Close()
	c.wasted.Inc(1)
	return decodeRevokeReply(id, response)
}

// Retire reports false: the endpoints of this client run tasks without a lease and without fencing tokens.
func (c *Client) Retire(context.Context, port.EndpointIncarnation) bool { return false }

// Fence does nothing: endpoints without leases have no fencing tokens.
func (c *Client) Fence(port.EndpointIncarnation) {}

// revokeStates are the states that an endpoint may report in reply to a revoke.
var revokeStates = []port.TaskState{port.TaskRevoked, port.TaskRunning, port.TaskDone, port.TaskStopped, port.TaskFailed}

// decodeRevokeReply returns the state that a reply reports. It is unknown unless the reply names the
// task and one of revokeStates. A task that is done but whose answer is missing or too large counts
// as failed.
func decodeRevokeReply(id model.TaskID, response *http.Response) port.RevokeReply {
	unknown := port.RevokeReply{State: port.TaskUnknown}
	if response.StatusCode != http.StatusOK {
		return unknown
	}
	raw, err := io.ReadAll(io.LimitReader(response.Body, maxAnswer+1))
	if err != nil {
		return unknown
	}
	if len(raw) > maxAnswer {
		return port.RevokeReply{State: port.TaskFailed}
	}
	var reply revokeReply
	if err := json.Unmarshal(raw, &reply); err != nil || reply.TaskID != id || !slices.Contains(revokeStates, reply.State) {
		return unknown
	}
	if reply.State == port.TaskDone && len(reply.Answer) == 0 {
		return port.RevokeReply{State: port.TaskFailed}
	}
	// A run that is done has no reply to its start, so that it is not known when it ended.
	return port.RevokeReply{State: reply.State, Answer: reply.Answer, TimeUnknown: reply.State == port.TaskDone}
}

func taskURL(address string, id model.TaskID) string {
	return "http://" + address + "/v1/tasks/" + string(id)
}

// newRequest returns a POST request. net/http retries it by itself only if it had not written any of
// it to a reused connection; see TestTaskIsSentOnce.
func newRequest(ctx context.Context, url string, body []byte) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Content-Type", "application/json")
	return request, nil
}
