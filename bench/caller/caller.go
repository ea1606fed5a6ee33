// Package caller is a caller of the dispatcher: it takes tickets, submits jobs, resends those whose
// answer was lost, and checks answers.
package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"redwingpulley/kernel/wait"
)

const (
	maxReply     = 16 << 20        // Bytes of one reply.
	answerGrace  = 2 * time.Second // Wait for an answer past the job's deadline.
	resendPause  = 100 * time.Millisecond
	idlePerEntry = 512  // Connections kept open to one entry VM.
	maxTickets   = 1000 // That one request may ask for.
)

// Job is what a caller submits.
type Job struct {
	ID         string `json:"job_id,omitempty"` // A ticket; without one a lost answer cannot be asked for.
	Service    string `json:"service"`
	Team       string `json:"team"`
	DeadlineMS int64  `json:"deadline_ms,omitempty"`
	Tasks      []Task `json:"tasks"`
}

// Task is one task of a job.
type Task struct {
	Payload json.RawMessage `json:"payload,omitempty"`
	RunMS   int64           `json:"run_ms,omitempty"` // Declared run time.
}

// Outcome is how a job ended for its caller.
type Outcome string

// Outcomes. Unknown means that no answer came at all.
const (
	Complete   Outcome = "complete"
	NotRun     Outcome = "not_run"
	MayHaveRun Outcome = "may_have_run"
	Unknown    Outcome = "unknown"
)

// Result is a job's end.
type Result struct {
	JobID      string            `json:"job_id"`
	Outcome    Outcome           `json:"outcome"`
	Reason     string            `json:"reason,omitempty"` // Of a job that is not complete.
	Status     int               `json:"status"`           // HTTP status; 0 when no answer came.
	RetryAfter time.Duration     `json:"-"`
	Answers    []json.RawMessage `json:"answers,omitempty"`
	Resends    int               `json:"resends,omitempty"`
}

// Client submits jobs to entry VMs, as a caller behind the balancer does.
type Client struct {
	Entries []string      // ip:port of the callers' listeners.
	Delay   time.Duration // One way between the caller and an entry VM, added to each request.
	Resends int           // Times that a job with a ticket is sent again after a lost answer.
	http    *http.Client
}

// New returns a client with its own connections.
func New(entries []string, delay time.Duration, resends int) *Client {
	transport := &http.Transport{MaxIdleConnsPerHost: idlePerEntry}
	return &Client{Entries: entries, Delay: delay, Resends: resends, http: &http.Client{Transport: transport}}
}

// Close closes the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Tickets takes count job ids from one entry VM.
func (c *Client) Tickets(ctx context.Context, entry string, count int) ([]string, error) {
	var ids []string
	for len(ids) < count {
		some, err := c.someTickets(ctx, entry, min(count-len(ids), maxTickets))
		if err != nil {
			return nil, err
		}
		ids = append(ids, some...)
	}
	return ids, nil
}

func (c *Client) someTickets(ctx context.Context, entry string, count int) ([]string, error) {
	var reply struct {
		JobIDs []string `json:"job_ids"`
	}
	status, _, raw, err := c.do(ctx, http.MethodPost, entry, "/v1/tickets", map[string]int{"count": count})
	if err != nil {
		return nil, errors.Wrap(err, "tickets")
	}
	if status != http.StatusOK {
		return nil, errors.Newf("tickets: status %d: %s", status, raw)
	}
	if err := json.Unmarshal(raw, &reply); err != nil {
		return nil, errors.Wrap(err, "tickets")
	}
	if len(reply.JobIDs) != count {
		return nil, errors.Newf("tickets: asked for %d, got %d", count, len(reply.JobIDs))
	}
	return reply.JobIDs, nil
}

// Submit sends the job to the entry VM of the given number. When no connection could be had, it
// tries the other entry VMs; after a lost answer it sends a job with a ticket to the ones behind,
// until an answer has come or the resends are used up.
func (c *Client) Submit(ctx context.Context, first int, job Job) Result {
	result := Result{JobID: job.ID, Outcome: Unknown, Reason: "no answer"}
	unconnected := 0
	for entry := first; ; entry++ {
		got, answered, sent := c.submitTo(ctx, c.Entries[entry%len(c.Entries)], job)
		got.Resends = result.Resends
		if answered {
			return got
		}
		if !sent && unconnected < len(c.Entries)-1 {
			unconnected++
			continue
		}
		if got.JobID != "" {
			result.JobID = got.JobID
		}
		if job.ID == "" || result.Resends == c.Resends || !wait.For(ctx, resendPause) {
			return result
		}
		result.Resends++
	}
}

func (c *Client) submitTo(ctx context.Context, entry string, job Job) (result Result, answered, sent bool) {
	limit := time.Duration(job.DeadlineMS)*time.Millisecond + answerGrace
	ctx, cancel := context.WithTimeout(ctx, limit+2*c.Delay)
	defer cancel()
	var connected atomic.Bool
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	status, header, raw, err := c.do(traced, http.MethodPost, entry, "/v1/jobs", job)
	if err != nil {
		return Result{}, false, connected.Load()
	}
	result, answered = c.read(ctx, entry, job.ID, status, header, raw)
	return result, answered, true
}

func (c *Client) read(ctx context.Context, entry, id string, status int, header http.Header, raw []byte) (Result, bool) {
	if minted := header.Get("Job-Id"); minted != "" {
		id = minted
	}
	if status == http.StatusAccepted {
		return c.Lookup(ctx, entry, id)
	}
	return decode(id, status, header, raw)
}

// Lookup waits for a job's end at an entry VM; ok is false when no answer came.
func (c *Client) Lookup(ctx context.Context, entry, id string) (result Result, ok bool) {
	limit := answerGrace
	if deadline, bounded := ctx.Deadline(); bounded {
		limit = time.Until(deadline)
	}
	path := "/v1/jobs/" + url.PathEscape(id) + "?wait_ms=" + strconv.FormatInt(max(limit.Milliseconds(), 0), 10)
	status, header, raw, err := c.do(ctx, http.MethodGet, entry, path, nil)
	if err != nil || status == http.StatusAccepted {
		return Result{JobID: id}, false
	}
	return decode(id, status, header, raw)
}

// Cancel asks for the end of a job.
func (c *Client) Cancel(ctx context.Context, entry, id string) {
	c.do(ctx, http.MethodDelete, entry, "/v1/jobs/"+url.PathEscape(id), nil) // The job's own answer tells.
}

// decode reads an answer to a job; ok is false when it says nothing about the job.
func decode(id string, status int, header http.Header, raw []byte) (Result, bool) {
	var body struct {
		Outcome string            `json:"outcome"`
		Run     string            `json:"run"`
		Reason  string            `json:"reason"`
		Detail  string            `json:"detail"`
		Answers []json.RawMessage `json:"answers"`
	}
	if err := json.Unmarshal(raw, &body); err != nil {
		return Result{JobID: id}, false
	}
	result := Result{JobID: id, Status: status, Reason: body.Reason, Answers: body.Answers, RetryAfter: retryAfter(header)}
	switch {
	case status == http.StatusOK && body.Outcome == "complete":
		result.Outcome = Complete
	case body.Run == "not_run":
		result.Outcome = NotRun
	case body.Run == "may_have_run":
		result.Outcome = MayHaveRun
	case status == http.StatusBadRequest:
		result.Outcome, result.Reason = NotRun, body.Reason+": "+body.Detail
	default:
		return result, false
	}
	return result, true
}

func retryAfter(header http.Header) time.Duration {
	seconds, err := strconv.ParseInt(header.Get("Retry-After"), 10, 32)
	if err != nil {
		return 0
	}
	return time.Duration(seconds) * time.Second
}

// do sends one request and reads the whole reply, with the caller's delay before and after.
func (c *Client) do(ctx context.Context, method, entry, path string, body any) (int, http.Header, []byte, error) {
	var encoded io.Reader
	if body != nil {
		raw, err := json.Marshal(body)
		if err != nil {
			return 0, nil, nil, err
		}
		encoded = bytes.NewReader(raw)
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+entry+path, encoded)
	if err != nil {
		return 0, nil, nil, err
	}
	if !wait.For(ctx, c.Delay) {
		return 0, nil, nil, ctx.Err()
	}
	response, err := c.http.Do(request)
	if err != nil {
		return 0, nil, nil, err
	}
	defer response.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(response.Body, maxReply))
	if err != nil || !wait.For(ctx, c.Delay) {
		return 0, nil, nil, errors.CombineErrors(err, ctx.Err())
	}
	return response.StatusCode, response.Header, raw, nil
}
