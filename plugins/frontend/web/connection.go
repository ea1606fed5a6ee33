package web

import (
	"context"
	"net"
	"net/http"
	"syscall"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// connectionKey is the context key of a request's connection.
type connectionKey struct{}

// withConnection returns the context of a connection's requests.
func withConnection(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, c)
}

// Disconnected reports whether the client of a request has closed or lost its connection. The request's context ends then,
// too, but only some time after the request has been read, which is possible from a broken connection.
func Disconnected(r *http.Request) bool {
	if r.Context().Err() != nil {
		return true
	}
	c, ok := r.Context().Value(connectionKey{}).(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	broken := false
	err = raw.Control(func(fd uintptr) { broken = hungUp(int(fd)) })
	return err != nil || broken
}

// hungUp reports whether the remote side of a socket has closed or reset it, or no longer answers. It neither waits nor
// consumes data.
func hungUp(fd int) bool {
	var next [1]byte
	n, _, err := unix.Recvfrom(fd, next[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	return isBroken(n, err)
}

// isBroken reports whether the result of a read that does not wait says that the connection has ended.
func isBroken(n int, err error) bool {
	switch {
	case err == nil:
		return n == 0
	case errors.Is(err, unix.EAGAIN), errors.Is(err, unix.EINTR):
		return false
	default: // Reset, or timed out by keep-alive probes.
		return true
	}
}
