// Package web holds what the HTTP front ends share: listeners that stop gracefully, strict request
// bodies, and problem responses after RFC 9457.
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
	// MaxBody bounds a request body, in bytes.
	MaxBody     = 8 << 20
	headerWait  = 10 * time.Second // Wait for a request's header.
	idleTimeout = 2 * time.Minute  // Before an idle connection is closed.
)

// Server is an HTTP listener that a front end starts, drains and stops.
type Server struct {
	address string
	server  *http.Server
	retired atomic.Bool
}

// NewServer returns a server for handler at address, ip:port.
func NewServer(address string, handler http.Handler) *Server {
	s := &Server{address: address}
	s.server = &http.Server{ReadHeaderTimeout: headerWait, IdleTimeout: idleTimeout}
	s.server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.retired.Load() {
			w.Header().Set("Connection", "close")
		}
		handler.ServeHTTP(w, r)
	})
	return s
}

// Retire has clients close their connections after the next reply, so that none of them is idle
// and about to be used when the listener closes.
func (s *Server) Retire() { s.retired.Store(true) }

// Start opens the listener.
func (s *Server) Start() error {
	listener, err := net.Listen("tcp", s.address)
	if err != nil {
		return err
	}
	go s.server.Serve(listener)
	return nil
}

// DrainAfter serves on for a grace time, in which the balancer notices, then takes no new request
// through the gate, and closes the listener when those in flight have been answered.
func (s *Server) DrainAfter(ctx context.Context, grace time.Duration, gate *drain.Gate) {
	s.Retire()
	wait.For(ctx, grace)
	gate.Close()
	gate.Wait(ctx)
	s.Drain(ctx)
}

// Drain closes the listener and waits for requests in flight.
func (s *Server) Drain(ctx context.Context) { s.server.Shutdown(ctx) }

// Stop closes what is left.
func (s *Server) Stop() error { return s.server.Close() }

// Decode reads a strict JSON body into target. The error names the faulty field.
func Decode(w http.ResponseWriter, r *http.Request, target any) error {
	raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxBody))
	if err != nil {
		return errors.Wrap(err, "body")
	}
	return settings.DecodeStrict(raw, "", target)
}

// Accept reads a strict JSON body into target and checks it. When it returns false the request has
// been refused: 413 for a body that is too large, otherwise 400 with the name of the faulty field.
func Accept(w http.ResponseWriter, r *http.Request, target any, check func() error) bool {
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

// Reply writes body as JSON.
func Reply(w http.ResponseWriter, status int, body any) {
	write(w, status, "application/json", body)
}

// Problem is an error body after RFC 9457.
type Problem struct {
	Title  string `json:"title"`
	Status int    `json:"status"`
	Reason string `json:"reason"`
	Detail string `json:"detail,omitempty"`
}

// Refuse writes a problem.
func Refuse(w http.ResponseWriter, status int, reason, detail string) {
	WriteProblem(w, status, Problem{http.StatusText(status), status, reason, detail})
}

// WriteProblem writes body as a problem; body holds the members of Problem.
func WriteProblem(w http.ResponseWriter, status int, body any) {
	write(w, status, "application/problem+json", body)
}

func write(w http.ResponseWriter, status int, contentType string, body any) {
	w.Header().Set("Content-Type", contentType)
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(body) // The client is gone when this fails.
}

// HandleHealth adds /healthz and /readyz.
func HandleHealth(mux *http.ServeMux, health *plugin.Health) {
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		Reply(w, http.StatusOK, map[string]string{"status": "alive"})
	})
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		ready, why := health.Ready()
		if !ready {
			Reply(w, http.StatusServiceUnavailable, map[string]any{"status": "not ready", "why": why})
			return
		}
		Reply(w, http.StatusOK, map[string]string{"status": "ready"})
	})
}
