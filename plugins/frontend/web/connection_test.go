package web

import (
	"bufio"
	"net"
	"net/http"
	"testing"

	"github.com/matryer/is"
	"golang.org/x/sys/unix"
)

// serveOne serves one request of a client that has called use with its connection before the request is read. It returns
// whether Disconnected reported true in the request's handler.
func serveOne(t *testing.T, use func(*net.TCPConn)) bool {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	client, err := net.Dial("tcp", listener.Addr().String())
	is.NoErr(err)
	t.Cleanup(func() { client.Close() })
	_, err = client.Write([]byte("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\n{}"))
	is.NoErr(err)
	use(client.(*net.TCPConn))
	disconnected := make(chan bool, 1)
	s := NewServer("", http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { disconnected <- Disconnected(r) }))
	go s.server.Serve(listener)
	t.Cleanup(func() { s.Stop() })
	return <-disconnected
}

// Guards against a job that starts for a caller that has left, because its request was read from a broken connection.
func TestRequestReadFromABrokenConnectionIsDisconnected(t *testing.T) {
	for name, leave := range map[string]func(*net.TCPConn){
		"reset":  func(c *net.TCPConn) { c.SetLinger(0); c.Close() },
		"closed": func(c *net.TCPConn) { c.CloseWrite() },
	} {
		t.Run(name, func(t *testing.T) { is.New(t).True(serveOne(t, leave)) })
	}
}

// Guards against refusing a caller that waits, also one that has sent its next request already.
func TestRequestOfAWaitingClientIsNotDisconnected(t *testing.T) {
	is := is.New(t)
	is.True(!serveOne(t, func(*net.TCPConn) {}))
	is.True(!serveOne(t, func(c *net.TCPConn) {
		w := bufio.NewWriter(c)
		w.WriteString("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\n{}")
		w.Flush()
	}))
}

// Guards against a job that is submitted although its caller's connection was ended by keep-alive probes.
func TestConnectionThatHasTimedOutIsBroken(t *testing.T) {
	is := is.New(t)
	is.True(isBroken(0, unix.ETIMEDOUT))
	is.True(isBroken(0, unix.ECONNRESET))
	is.True(isBroken(0, nil))
	is.True(!isBroken(0, unix.EAGAIN))
	is.True(!isBroken(1, nil))
}
