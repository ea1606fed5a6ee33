// Package web holds what the HTTP front ends share: listeners that stop gracefully, strict request
// bodies, and problem responses after RFC 9457.
package web

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"redwingpulley/kernel/plugin"
	"redwingpulley/kernel/settings"
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
}

// NewServer returns a server for handler at address, ip:port.
func NewServer(address string, handler http.Handler) *Server {
	return &Server{address: address, server: &http.Server{
		Handler: handler, ReadHeaderTimeout: headerWait, IdleTimeout: idleTimeout,
	}}
}

// Start opens the listener.
func (s *Server) Start() error {
	listener, err := net.Listen("tcp", s.address)
	if err != nil {
		return err
	}
	go s.server.Serve(listener)
	return nil
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
