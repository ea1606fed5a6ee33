// Package web holds what the HTTP front ends share: listeners that drain gracefully, strict decoding
// of request bodies, and problem responses as defined by RFC 9457.
package web

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"redwingpulley/kernel/drain"
	"redwingpulley/kernel/plugin"
	"redwingpulley/kernel/settings"
	"redwingpulley/kernel/wait"
)

const (
	// MaxBody is the limit on a request body, in bytes.
	MaxBody       = 8 << 20
	headerTimeout = 10 * time.Second // Longest wait for a request's header.
	idleTimeout   = 2 * time.Minute  // Time after which an idle connection is closed.
)

// Server is an HTTP listener that a front end starts, drains and stops.
type Server struct {
	address       string
	server        *http.Server
	keepAlivesOff atomic.Bool
}

// NewServer returns a server for handler at address, ip:port.
func NewServer(address string, handler http.Handler) *Server {
	s := &Server{address: address}
	s.server = &http.Server{ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, ConnContext: withConnection}
	s.server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.keepAlivesOff.Load() {
			w.Header().Set("Connection", "close")
		}
		handler.ServeHTTP(w, r)
	})
	return s
}

// DisableKeepAlives has clients close their connections after the next reply, so that no client sends
// a request on an idle connection just as the listener closes.
func (s *Server) DisableKeepAlives() { s.keepAlivesOff.Store(true) }

// Start opens the listener.
func (s *Server) Start() error {
	listener, err := net.Listen("tcp", s.address)
	if err != nil {
		return err
	}
	go s.server.Serve(listener)
	return nil
}

// DrainAfter keeps serving for a grace period, in which the load balancer notices the drain. It then
// closes the gate to new requests, and the listener once the requests in flight have been answered.
func (s *Server) DrainAfter(ctx context.Context, grace time.Duration, gate *drain.Gate) {
	s.DisableKeepAlives()
	wait.For(ctx, grace)
	gate.Close()
	gate.Wait(ctx)
	s.Drain(ctx)
}

// Drain closes the listener and waits for requests in flight until the context ends.
func (s *Server) Drain(ctx context.Context) { s.server.Shutdown(ctx) }

// Stop closes the listener and all connections that are still open.
func (s *Server) Stop() error { return s.server.Close() }

// Decode decodes the request's JSON body, of at most MaxBody bytes, into target with
// settings.DecodeStrict. The error names the invalid fields.
func Decode(w http.ResponseWriter, r *http.Request, target any) error {
	raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxBody))
	if err != nil {
		return errors.Wrap(err, "body")
	}
	return settings.DecodeStrict(raw, "", target)
}

// DecodeOrRefuse calls Decode and then check, which reports what is invalid in the decoded target. If it
// returns false the request has been answered: with 413 for a body that is too large, otherwise with 400
// and the name of the invalid field.
func DecodeOrRefuse(w http.ResponseWriter, r *http.Request, target any, check func() error) bool {
	err := Decode(w, r, target)
	if err == nil {
		err = check()
	}
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		return true
	case errors.As(err, &tooLarge):
		Refuse(w, http.StatusRequestEntityTooLarge, "too_large", "body: must be at most "+strconv.FormatInt(tooLarge.Limit, 10)+" bytes")
	default:
		Refuse(w, http.StatusBadRequest, "bad_request", err.Error())
	}
	return false
}

// WriteJSON writes body as JSON.
func WriteJSON(w http.ResponseWriter, status int, body any) {
	write(w, status, "application/json", body)
}

// Problem is the body of an error response as defined by RFC 9457.
type Problem struct {
	Title  string `json:"title"`
	Status int    `json:"status"`
	Reason string `json:"reason"`
	Detail string `json:"detail,omitempty"`
}

// Refuse answers a request with a Problem.
func Refuse(w http.ResponseWriter, status int, reason, detail string) {
	WriteProblem(w, status, Problem{http.StatusText(status), status, reason, detail})
}

// WriteProblem writes body as a problem response; body must have the JSON members of Problem and may
// have more.
func WriteProblem(w http.ResponseWriter, status int, body any) {
	write(w, status, "application/problem+json", body)
}

func write(w http.ResponseWriter, status int, contentType string, body any) {
	w.Header().Set("Content-Type", contentType)
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(body) // Fails only if the client has disconnected.
}

// HandleHealth registers the handlers of /healthz and /readyz. /readyz answers 503, with the reasons,
// while the process is not ready.
func HandleHealth(mux *http.ServeMux, health *plugin.Health) {
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		WriteJSON(w, http.StatusOK, map[string]string{"status": "alive"})
	})
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		ready, reasons := health.Ready()
		if !ready {
			WriteJSON(w, http.StatusServiceUnavailable, map[string]any{"status": "not ready", "why": reasons})
			return
		}
		WriteJSON(w, http.StatusOK, map[string]string{"status": "ready"})
	})
}
