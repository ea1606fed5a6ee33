// Package dial holds what the clients of this project share: connections that fail soon after their
// path has gone silent, and word of whether a request may have left.
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

// Limits say when a connection is given up.
type Limits struct {
	Dial          time.Duration // For the connection itself; 0 is as long as the request has.
	ProbeAfter    time.Duration // Silence after which it is probed.
	ProbeInterval time.Duration
	Probes        int           // Without an answer, before it is closed.
	Silence       time.Duration // Longest time for which sent bytes may stay unconfirmed.
}

// New returns a dialer whose connections fail by probes while nothing is sent, and by the user timeout
// while sent bytes are not confirmed.
func New(limits Limits) *net.Dialer {
	return &net.Dialer{
		Timeout: limits.Dial,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: limits.ProbeAfter, Interval: limits.ProbeInterval, Count: limits.Probes,
		},
		Control: func(_, _ string, raw syscall.RawConn) error {
			var failed error
			err := raw.Control(func(fd uintptr) {
				failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(limits.Silence.Milliseconds()))
			})
			return errors.Join(err, failed)
		},
	}
}

// NoRedirect keeps a client from sending a request a second time, to where a reply points.
func NoRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Trace returns a context whose request notes when it has got a connection: before that, none of its
// bytes has left.
func Trace(ctx context.Context) (traced context.Context, connected *atomic.Bool) {
	connected = new(atomic.Bool)
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	}), connected
}
