// Package caller is a client of the dispatcher: it requests tickets, submits jobs, resends those whose
// answer was lost, and decodes the answers.
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
	maxReplyBytes        = 16 << 20        // Maximum number of bytes read of one reply.
	answerGrace          = 2 * time.Second // Time to wait for an answer after the job's deadline.
	resendDelay          = 100 * time.Millisecond
	maxIdleConnsPerEntry = 512  // Idle connections kept open to one entry VM.
	maxTicketsPerRequest = 1000 // Maximum number of tickets that an entry VM gives out per request.
)

// Job is what a caller submits.
type Job struct {
	ID         string `json:"job_id,omitempty"` // A ticket; without one the entry VM mints the id, and the job can't be resent after a lost answer.
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

// Outcomes of a job. Unknown means that no answer to the job arrived.
const (
	Complete   Outcome = "complete"
	NotRun     Outcome = "not_run"
	MayHaveRun Outcome = "may_have_run"
	Unknown    Outcome = "unknown"
)

// Result is what the caller knows of a job after its submission.
type Result struct {
	JobID      string            `json:"job_id"`
	Outcome    Outcome           `json:"outcome"`
	Reason     string            `json:"reason,omitempty"`  // Why the job is not complete.
	Status     int               `json:"status"`            // HTTP status; 0 when no answer arrived.
	RetryAfter time.Duration     `json:"-"`                 // Delay before a retry that the answer asks for; 0 for none.
	Answers    []json.RawMessage `json:"answers,omitempty"` // Answers to the tasks, in their order.
	Resends    int               `json:"resends,omitempty"`
}

// Client submits jobs to entry VMs, as a caller behind a load balancer does.
type Client struct {
	Entries []string      // Addresses (ip:port) of the entry VMs' listeners for callers.
	Delay   time.Duration // Simulated one-way network delay, applied before each request and after each reply.
	Resends int           // How often a job with a ticket is resent after lost answers.
	http    *http.Client
}

// New returns a client with its own connections.
func New(entries []string, delay time.Duration, resends int) *Client {
	transport := &http.Transport{MaxIdleConnsPerHost: maxIdleConnsPerEntry}
	return &Client{Entries: entries, Delay: delay, Resends: resends, http: &http.Client{Transport: transport}}
}

// Close closes the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Tickets requests count job ids from one entry VM.
func (c *Client) Tickets(ctx context.Context, entry string, count int) ([]string, error) {
	var ids []string
	for len(ids) < count {
		batch, err := c.requestTickets(ctx, entry, min(count-len(ids), maxTicketsPerRequest))
		if err != nil {
			return nil, err
		}
		ids = append(ids, batch...)
	}
	return ids, nil
}

// requestTickets requests up to maxTicketsPerRequest job ids.
func (c *Client) requestTickets(ctx context.Context, entry string, count int) ([]string, error) {
	var reply struct {
		JobIDs []string `json:"job_ids"`
	}
	status, _, raw, err := c.do(ctx, http.MethodPost, entry, "/v1/tickets", map[string]int{"count": count})
	if err != nil {
		return nil, errors.Wrap(err, "request tickets")
	}
	if status != http.StatusOK {
		return nil, errors.Newf("tickets: status %d: %s", status, raw)
	}
	if err := json.Unmarshal(raw, &reply); err != nil {
		return nil, errors.Wrap(err, "decode tickets")
	}
	if len(reply.JobIDs) != count {
		return nil, errors.Newf("tickets: requested %d, got %d", count, len(reply.JobIDs))
	}
	return reply.JobIDs, nil
}

// Submit sends the job to the entry VM with the given number. When it can't connect, it tries each
// other entry VM; after a lost answer it resends a job that has a ticket to the next entry VM, until an
// answer arrives or the resends are used up.
func (c *Client) Submit(ctx context.Context, first int, job Job) Result {
	result := Result{JobID: job.ID, Outcome: Unknown, Reason: "no answer"}
	failedConnects := 0
	for entry := first; ; entry++ {
		got, answered, sent := c.submitTo(ctx, c.Entries[entry%len(c.Entries)], job)
		got.Resends = result.Resends
		if answered {
			return got
		}
		if !sent && failedConnects < len(c.Entries)-1 {
			failedConnects++
			continue
		}
		if got.JobID != "" {
			result.JobID = got.JobID
		}
		if job.ID == "" || result.Resends == c.Resends || !wait.For(ctx, resendDelay) {
			return result
		}
		result.Resends++
	}
}

// submitTo sends the job to one entry VM and waits for the answer. sent is false when there was no
// connection, so that the job can't have been sent.
func (c *Client) submitTo(ctx context.Context, entry string, job Job) (result Result, answered, sent bool) {
	timeout := time.Duration(job.DeadlineMS)*time.Millisecond + answerGrace
	ctx, cancel := context.WithTimeout(ctx, timeout+2*c.Delay)
	defer cancel()
	var connected atomic.Bool
	tracedCtx := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	status, header, raw, err := c.do(tracedCtx, http.MethodPost, entry, "/v1/jobs", job)
	if err != nil {
		return Result{}, false, connected.Load()
	}
	result, answered = c.resolveReply(ctx, entry, job.ID, status, header, raw)
	return result, answered, true
}

// resolveReply returns the job's result by the reply to its submission. When the entry VM has only
// accepted the job (status 202), it looks the result up.
func (c *Client) resolveReply(ctx context.Context, entry, id string, status int, header http.Header, raw []byte) (Result, bool) {
	if minted := header.Get("Job-Id"); minted != "" {
		id = minted
	}
	if status == http.StatusAccepted {
		return c.Lookup(ctx, entry, id)
	}
	return decodeResult(id, status, header, raw)
}

// Lookup asks an entry VM for a job's result and waits for its end, until the context's deadline or for
// answerGrace if it has none. ok is false when no result arrived.
func (c *Client) Lookup(ctx context.Context, entry, id string) (result Result, ok bool) {
	timeout := answerGrace
	if deadline, bounded := ctx.Deadline(); bounded {
		timeout = time.Until(deadline)
	}
	path := "/v1/jobs/" + url.PathEscape(id) + "?wait_ms=" + strconv.FormatInt(max(timeout.Milliseconds(), 0), 10)
	status, header, raw, err := c.do(ctx, http.MethodGet, entry, path, nil)
	if err != nil || status == http.StatusAccepted {
		return Result{JobID: id}, false
	}
	return decodeResult(id, status, header, raw)
}

// Cancel requests the cancellation of a job.
func (c *Client) Cancel(ctx context.Context, entry, id string) {
	c.do(ctx, http.MethodDelete, entry, "/v1/jobs/"+url.PathEscape(id), nil) // The answer to the job shows whether it was cancelled.
}

// decodeResult decodes the answer to a job. It returns false when the answer does not state how the job
// ended.
func decodeResult(id string, status int, header http.Header, raw []byte) (Result, bool) {
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
	result := Result{JobID: id, Status: status, Reason: body.Reason, Answers: body.Answers, RetryAfter: parseRetryAfter(header)}
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

// parseRetryAfter returns the delay of the header Retry-After, or 0 when it is missing or not a number
// of seconds.
func parseRetryAfter(header http.Header) time.Duration {
	seconds, err := strconv.ParseInt(header.Get("Retry-After"), 10, 32)
	if err != nil {
		return 0
	}
	return time.Duration(seconds) * time.Second
}

// do sends one request and reads the whole reply. It waits for the simulated delay before the request
// and after the reply.
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
	raw, err := io.ReadAll(io.LimitReader(response.Body, maxReplyBytes))
	if err != nil || !wait.For(ctx, c.Delay) {
		return 0, nil, nil, errors.CombineErrors(err, ctx.Err())
	}
	return response.StatusCode, response.Header, raw, nil
}
