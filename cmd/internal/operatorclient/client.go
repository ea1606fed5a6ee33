// Package operatorclient speaks to the operators' listeners of entry VMs. It tries one after the
// other, and sends a change again under its key when an answer is lost.
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
	requestTimeout = 10 * time.Second // For one answer.
	editRounds     = 3                // Times that a change goes round the listeners.
	roundPause     = 500 * time.Millisecond
	maxReply       = 64 << 20 // Bytes.
)

// Client speaks to the first listener that answers.
type Client struct {
	Addresses []string      // Each ip:port.
	Operator  string        // Who makes the changes, for the history.
	Pause     time.Duration // Before a change goes round the listeners again.
	HTTP      *http.Client
}

// New returns a client of the listeners at addresses.
func New(addresses []string, operator string) *Client {
	return &Client{Addresses: addresses, Operator: operator, Pause: roundPause, HTTP: &http.Client{}}
}

// Reply is an answer of a listener.
type Reply struct {
	Status int
	ETag   string
	Body   []byte
}

// Problem is what an answer says of a refusal.
type Problem struct {
	Reason   string         `json:"reason"`
	Detail   string         `json:"detail"`
	Run      model.RunState `json:"run"`
	Revision model.Revision `json:"revision"`
}

// Problem returns what the answer says of a refusal.
func (r Reply) Problem() Problem {
	var p Problem
	if json.Unmarshal(r.Body, &p) != nil || p.Reason == "" {
		return Problem{Reason: http.StatusText(r.Status)}
	}
	return p
}

// ErrNoAnswer is returned when no listener was reached, so that nothing was sent.
var ErrNoAnswer = errors.New("no operators' listener was reached")

// ErrUnknown is returned when a request may have had its effect, but no answer came.
var ErrUnknown = errors.New("the outcome is not known: a request was sent and no answer came")

// Get returns the answer of the first listener that gives one, be it a refusal.
func (c *Client) Get(ctx context.Context, path string) (Reply, error) {
	for _, address := range c.Addresses {
		reply, _, err := c.send(ctx, http.MethodGet, address, path, nil, nil)
		if err == nil {
			return reply, nil
		}
	}
	return Reply{}, ErrNoAnswer
}

// Post sends an order to the first listener that is reached.
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

// Edit is a change of the register.
type Edit struct {
	Method string
	Path   string
	Body   []byte
	Expect model.Revision
	Key    string
}

// NewKey returns a random idempotency key.
func NewKey() string { return rand.Text() }

// Edit sends a change until a listener settles it. It is safe to send it again: the register knows
// it by its key.
func (c *Client) Edit(ctx context.Context, edit Edit) (Reply, error) {
	headers := map[string]string{
		"If-Match":         strconv.Quote(strconv.FormatUint(uint64(edit.Expect), 10)),
		"Idempotency-Key":  edit.Key,
		"Redwing-Operator": c.Operator,
		"Content-Type":     "application/json",
	}
	var last *Reply
	unknown := false
	for round := range editRounds {
		if round > 0 && !wait.For(ctx, c.Pause) {
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

// send sends one request. sent tells whether any of it may have arrived when there is an error.
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
	content, err := io.ReadAll(io.LimitReader(response.Body, maxReply))
	if err != nil {
		return Reply{}, true, err
	}
	return Reply{response.StatusCode, strings.Trim(response.Header.Get("ETag"), `"`), content}, true, nil
}
