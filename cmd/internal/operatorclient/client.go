// Package operatorclient is a client of the entry VMs' listeners for operators. It tries one listener after the
// other, and retries an edit with the same idempotency key when an answer is lost.
package operatorclient

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"redwingpulley/kernel/model"
	"redwingpulley/kernel/wait"
)

const (
	requestTimeout = 10 * time.Second // Maximum time for one request and its answer.
	maxEditRounds  = 3                // How often an edit is sent to each of the listeners, at most.
	retryInterval  = 500 * time.Millisecond
	maxReplyBytes  = 64 << 20
)

// Client sends requests to the first listener that answers.
type Client struct {
	Addresses     []string      // Addresses of the listeners, ip:port.
	Operator      string        // Name of the operator, which the history of changes shows.
	RetryInterval time.Duration // Wait before an edit is sent to all listeners again.
	HTTP          *http.Client
}

// New returns a client of the listeners at addresses that sends edits in the operator's name.
func New(addresses []string, operator string) *Client {
	return &Client{Addresses: addresses, Operator: operator, RetryInterval: retryInterval, HTTP: &http.Client{}}
}

// Reply is a listener's answer, whatever its status.
type Reply struct {
	Status int
	ETag   string
	Body   []byte
}

// Problem is the body of a refusal.
type Problem struct {
	Reason   string         `json:"reason"`
	Detail   string         `json:"detail"`
	Run      model.RunState `json:"run"`
	Revision model.Revision `json:"revision"`
}

// Problem returns the decoded body of a refusal, or the status text as its reason if the body has none.
func (r Reply) Problem() Problem {
	var p Problem
	if json.Unmarshal(r.Body, &p) != nil || p.Reason == "" {
		return Problem{Reason: http.StatusText(r.Status)}
	}
	return p
}

// ErrNoAnswer is returned when no listener answered. Post and Edit return it only if nothing was sent.
var ErrNoAnswer = errors.New("no operators' listener was reached")

// ErrUnknown is returned when a request may have taken effect but was not answered.
var ErrUnknown = errors.New("the outcome is not known: a request was sent and no answer came")

// Get returns the answer of the first listener that answers, even if it is a refusal.
func (c *Client) Get(ctx context.Context, path string) (Reply, error) {
	for _, address := range c.Addresses {
		reply, _, err := c.send(ctx, http.MethodGet, address, path, nil, nil)
		if err == nil {
			return reply, nil
		}
	}
	return Reply{}, ErrNoAnswer
}

// Ask posts a question, which changes nothing, and returns the answer of the first listener that answers, even if it is a refusal.
func (c *Client) Ask(ctx context.Context, path string, body []byte) (Reply, error) {
	for _, address := range c.Addresses {
		reply, _, err := c.send(ctx, http.MethodPost, address, path, nil, body)
		if err == nil {
			return reply, nil
		}
	}
	return Reply{}, ErrNoAnswer
}

// Post sends a request to the first listener that can be reached. It isn't sent again once any of it may have
// arrived.
func (c *Client) Post(ctx context.Context, path string) (Reply, error) {
	for _, address := range c.Addresses {
		reply, sent, err := c.send(ctx, http.MethodPost, address, path, nil, nil)
		if err == nil {
			return reply, nil
		}
		if sent {
			return Reply{}, ErrUnknown
		}
	}
	return Reply{}, ErrNoAnswer
}

// Edit is a request to change the register of profiles.
type Edit struct {
	Method string
	Path   string
	Body   []byte
	Expect model.Revision
	Key    string
}

// NewKey returns a random idempotency key.
func NewKey() string { return rand.Text() }

// Edit sends an edit, for maxEditRounds rounds at most, until a listener gives a final answer. Repeating it is safe:
// the register recognises it by its idempotency key.
func (c *Client) Edit(ctx context.Context, edit Edit) (Reply, error) {
	headers := map[string]string{
		"If-Match":         strconv.Quote(strconv.FormatUint(uint64(edit.Expect), 10)),
		"Idempotency-Key":  edit.Key,
		"Redwing-Operator": c.Operator,
		"Content-Type":     "application/json",
	}
	var last *Reply
	unknown := false
	for round := range maxEditRounds {
		if round > 0 && !wait.For(ctx, c.RetryInterval) {
			break
		}
		for _, address := range c.Addresses {
			reply, sent, err := c.send(ctx, edit.Method, address, edit.Path, headers, edit.Body)
			if err == nil && reply.Status != http.StatusServiceUnavailable {
				return reply, nil
			}
			unknown = unknown || err != nil && sent || err == nil && reply.Problem().Run == model.MayHaveRun
			if err == nil {
				last = &reply
			}
		}
	}
	switch {
	case unknown:
		return Reply{}, ErrUnknown
	case last != nil:
		return *last, nil
	}
	return Reply{}, ErrNoAnswer
}

// send sends one request. With an error, sent reports whether any of the request may have arrived.
func (c *Client) send(ctx context.Context, method, address, path string, headers map[string]string, body []byte) (reply Reply, sent bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { sent = true },
	})
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return Reply{}, false, err
	}
	for name, value := range headers {
		request.Header.Set(name, value)
	}
	response, err := c.HTTP.Do(request)
	if err != nil {
		return Reply{}, sent, err
	}
	defer response.Body.Close()
	content, err := io.ReadAll(io.LimitReader(response.Body, maxReplyBytes))
	if err != nil {
		return Reply{}, true, err
	}
	return Reply{response.StatusCode, strings.Trim(response.Header.Get("ETag"), `"`), content}, true, nil
}
