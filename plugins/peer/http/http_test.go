package http

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	"redwingpulley/kernel/model"
	"redwingpulley/kernel/plugin"
	"redwingpulley/kernel/port"
	"redwingpulley/kernel/settings"
)

// note is the request and the reply of the method "echo".
type note struct {
	Text string `json:"text"`
}

// newPeers starts a member that listens on a free port. Besides the given handlers it has a method
// "echo".
func newPeers(t testing.TB, node model.NodeID, handlers map[string]port.Handler) *Peers {
	t.Helper()
	p := &Peers{}
	p.init(settings.Settings{Node: node}, slog.New(slog.DiscardHandler), metrics.NewRegistry())
	port.Handle(p, "echo", func(_ context.Context, from model.NodeID, n note) note { return note{n.Text + " from " + string(from)} })
	for method, h := range handlers {
		p.Handle(method, h)
	}
	p.listen = "127.0.0.1:0"
	if err := p.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { p.Stop() })
	return p
}

// stallingProxy is a TCP proxy between two members. Its connections can be stalled: they stay open but
// forward no more data. Connections that are opened later do forward data.
type stallingProxy struct {
	listener net.Listener
	target   string
	mu       sync.Mutex
	stalled  chan struct{}
}

func newStallingProxy(t *testing.T, target string) *stallingProxy {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &stallingProxy{listener: l, target: target, stalled: make(chan struct{})}
	t.Cleanup(func() { l.Close() })
	go p.accept()
	return p
}

func (p *stallingProxy) accept() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", p.target)
		if err != nil {
			conn.Close()
			continue
		}
		p.mu.Lock()
		stalled := p.stalled
		p.mu.Unlock()
		go pipe(conn, out, stalled)
		go pipe(out, conn, stalled)
	}
}

// pipe copies from one connection to the other until stalled is closed; after that it discards what it
// reads.
func pipe(from, to net.Conn, stalled <-chan struct{}) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			to.Close()
			return
		}
		select {
		case <-stalled:
		default:
			to.Write(buffer[:n])
		}
	}
}

// stall stalls all connections that are open.
func (p *stallingProxy) stall() {
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.stalled)
	p.stalled = make(chan struct{})
}

func (p *Peers) echo(ctx context.Context, to model.NodeID) port.Delivery {
	var reply note
	return p.Call(ctx, to, "echo", note{"hello"}, &reply)
}

func TestStalledConnectionIsDetectedAndReplaced(t *testing.T) {
	is := is.New(t)
	a, b := newPeers(t, "a", nil), newPeers(t, "b", nil)
	proxy := newStallingProxy(t, b.address())
	a.SetAddress("b", proxy.listener.Addr().String())
	is.Equal(a.echo(t.Context(), "b"), port.Delivered)
	sentAt := time.Now()
	proxy.stall()
	is.Equal(a.echo(t.Context(), "b"), port.Unknown) // Detected by a ping; bounded by the test's own timeout.
	is.Equal(a.echo(port.FreshConnection(t.Context(), sentAt), "b"), port.Delivered)
	is.Equal(a.echo(t.Context(), "b"), port.Delivered)
}

func TestFreshConnectionDoesNotWaitForPing(t *testing.T) {
	is := is.New(t)
	entered := make(chan struct{})
	wait := func(ctx context.Context, _ model.NodeID, _ func(any) error) (any, error) {
		close(entered)
		<-ctx.Done()
		return nil, ctx.Err()
	}
	a, b := newPeers(t, "a", nil), newPeers(t, "b", map[string]port.Handler{"wait": wait})
	proxy := newStallingProxy(t, b.address())
	a.SetAddress("b", proxy.listener.Addr().String())
	stalled := make(chan port.Delivery)
	go func() { stalled <- a.Call(t.Context(), "b", "wait", note{}, &note{}) }()
	<-entered
	proxy.stall()
	is.Equal(a.echo(port.FreshConnection(t.Context(), time.Now()), "b"), port.Delivered)
	is.Equal(<-stalled, port.Unknown)
}

func TestCallIsNotSentOnlyWithoutConnection(t *testing.T) {
	is := is.New(t)
	entered := make(chan struct{})
	wait := func(ctx context.Context, _ model.NodeID, _ func(any) error) (any, error) {
		close(entered)
		<-ctx.Done()
		return nil, ctx.Err()
	}
	a, b := newPeers(t, "a", nil), newPeers(t, "b", map[string]port.Handler{"wait": wait})
	is.Equal(a.echo(t.Context(), "nobody"), port.NotSent)
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	a.SetAddress("gone", closed.Addr().String())
	closed.Close()
	is.Equal(a.echo(t.Context(), "gone"), port.Refused)
	a.SetAddress("b", b.address())
	is.Equal(a.Call(t.Context(), "b", "no/such", note{}, &note{}), port.Unknown)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan port.Delivery)
	go func() { done <- a.Call(ctx, "b", "wait", note{}, &note{}) }()
	<-entered
	cancel()
	is.Equal(<-done, port.Unknown)
	is.Equal(a.jobMessages.requests.Count(), int64(2))
	is.Equal(a.jobMessages.replies.Count(), int64(1))
}

func TestControlMessagesAreCountedSeparately(t *testing.T) {
	is := is.New(t)
	probe := func(context.Context, model.NodeID, func(any) error) (any, error) { return note{}, nil }
	a, b := newPeers(t, "a", nil), newPeers(t, "b", map[string]port.Handler{"membership/probe": probe})
	a.SetAddress("b", b.address())
	is.Equal(a.Call(t.Context(), "b", "membership/probe", note{}, &note{}), port.Delivered)
	is.Equal(a.controlMessages.requests.Count(), int64(2))
	is.Equal(a.jobMessages.requests.Count(), int64(0))
}

// Guards against issue 39, SHORT: losses went over the connections of jobs. A member tells all others of them, so each loss opened an
// HTTP/2 connection to each, which both sides pinged for 15 s.
func TestMessagesToAllMembersKeepNoJobConnections(t *testing.T) {
	is := is.New(t)
	receive := func(context.Context, model.NodeID, func(any) error) (any, error) { return note{}, nil }
	a, b := newPeers(t, "a", nil), newPeers(t, "b", map[string]port.Handler{"pools/losses": receive})
	a.SetAddress("b", b.address())
	is.Equal(a.Call(t.Context(), "b", "pools/losses", note{}, &note{}), port.Delivered)
	is.Equal(a.controlMessages.requests.Count(), int64(2)) // The request and the reply.
	is.Equal(a.jobMessages.requests.Count(), int64(0))
}

// Guards against issue 39, SHORT: connections of jobs were kept for 15 s after their last batch, and pinged all the time. In a group of 153
// members there are so many pairs that nearly all of them were idle.
func TestIdleJobConnectionIsNotKept(t *testing.T) {
	is := is.New(t)
	a, b := newPeers(t, "a", nil), newPeers(t, "b", nil)
	a.SetAddress("b", b.address())
	reused := false
	ctx := httptrace.WithClientTrace(t.Context(), &httptrace.ClientTrace{GotConn: func(c httptrace.GotConnInfo) { reused = c.Reused }})
	is.Equal(a.echo(ctx, "b"), port.Delivered)
	is.Equal(a.echo(ctx, "b"), port.Delivered)
	is.True(reused)
	time.Sleep(2 * time.Second) // What pings cost until then opens a connection.
	is.Equal(a.echo(ctx, "b"), port.Delivered)
	is.True(!reused)
}

func TestDrainWaitsForRequestsInFlight(t *testing.T) {
	is := is.New(t)
	entered, release := make(chan struct{}), make(chan struct{})
	slow := func(context.Context, model.NodeID, func(any) error) (any, error) {
		close(entered)
		<-release
		return note{"late"}, nil
	}
	a, b := newPeers(t, "a", nil), newPeers(t, "b", map[string]port.Handler{"slow": slow})
	a.SetAddress("b", b.address())
	done := make(chan port.Delivery)
	go func() { done <- a.Call(t.Context(), "b", "slow", note{}, &note{}) }()
	<-entered
	stopped := make(chan error)
	go func() {
		b.Drain(t.Context())
		stopped <- b.Stop()
	}()
	close(release)
	is.Equal(<-done, port.Delivered)
	is.NoErr(<-stopped)
}

// A request whose body cannot be decoded is answered with 400 and reaches no typed handler.
func TestMalformedRequestBodyIsRejected(t *testing.T) {
	is := is.New(t)
	b := newPeers(t, "b", nil)
	for _, body := range []string{"", "{", "[]", `{"text":1}`} {
		response, err := http.Post("http://"+b.address()+pathPrefix+"echo", contentJSON, strings.NewReader(body))
		is.NoErr(err)
		response.Body.Close()
		is.Equal(response.StatusCode, http.StatusBadRequest)
	}
}

var _ plugin.Drainer = (*Peers)(nil)
