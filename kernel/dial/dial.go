// Package dial holds what the project's clients share: dialing connections that fail soon after the
// remote side stops answering, and finding out whether a request may have been sent.
package dial

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// Limits determine when a connection is closed because the remote side does not answer.
type Limits struct {
	DialTimeout       time.Duration // Timeout for opening the connection; 0 means the time that the request has.
	KeepAliveIdle     time.Duration // Idle time after which the first keep-alive probe is sent.
	KeepAliveInterval time.Duration // Time between keep-alive probes.
	KeepAliveProbes   int           // Keep-alive probes without an answer after which the connection is closed.
	UserTimeout       time.Duration // Longest time for which sent bytes may stay unacknowledged (TCP_USER_TIMEOUT).
}

// New returns a dialer. Its connections are closed by keep-alive probes while no data is in flight,
// and by the TCP user timeout while sent bytes are not acknowledged.
func New(limits Limits) *net.Dialer {
	return &net.Dialer{
		Timeout: limits.DialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: limits.KeepAliveIdle, Interval: limits.KeepAliveInterval, Count: limits.KeepAliveProbes,
		},
		Control: func(_, _ string, raw syscall.RawConn) error {
			var optErr error
			err := raw.Control(func(fd uintptr) {
				optErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(limits.UserTimeout.Milliseconds()))
			})
			return errors.Join(err, optErr)
		},
	}
}

// NoRedirect is an http.Client.CheckRedirect that follows no redirects, so that a request is never
// sent a second time.
func NoRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Trace returns a context for one request; connected is set to true once the request has a
// connection. Until then no byte of the request has been sent.
func Trace(ctx context.Context) (traced context.Context, connected *atomic.Bool) {
	connected = new(atomic.Bool)
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	}), connected
}
