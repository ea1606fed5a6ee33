package http

import (
	"context"
	"log/slog"
	"net"
	"net/http"
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

type note struct {
	Text string `json:"text"`
}

// newPeers returns a member that listens on a free port; it echoes notes.
func newPeers(t *testing.T, node model.NodeID, handlers map[string]port.Handler) *Peers {
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

// path is a way between two members that can be made silent: connections stay open, and nothing
// passes on those that were there.
type path struct {
	listener net.Listener
	target   string
	mu       sync.Mutex
	silenced chan struct{}
}

func newPath(t *testing.T, target string) *path {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &path{listener: l, target: target, silenced: make(chan struct{})}
	t.Cleanup(func() { l.Close() })
	go p.accept()
	return p
}

func (p *path) accept() {
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
		silenced := p.silenced
		p.mu.Unlock()
		go pipe(conn, out, silenced)
		go pipe(out, conn, silenced)
	}
}

// pipe copies until the path falls silent; then it swallows what comes.
func pipe(from, to net.Conn, silenced <-chan struct{}) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			to.Close()
			return
		}
		select {
		case <-silenced:
		default:
			to.Write(buffer[:n])
		}
	}
}

func (p *path) silence() {
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.silenced)
	p.silenced = make(chan struct{})
}

func (p *Peers) echo(ctx context.Context, to model.NodeID) port.Delivery {
	var reply note
	return p.Call(ctx, to, "echo", note{"hello"}, &reply)
}

func TestSilentConnectionIsFoundAndANewOneUsed(t *testing.T) {
	is := is.New(t)
	a, b := newPeers(t, "a", nil), newPeers(t, "b", nil)
	way := newPath(t, b.address())
	a.Learn("b", way.listener.Addr().String())
	is.Equal(a.echo(t.Context(), "b"), port.Delivered)
	begun := time.Now()
	way.silence()
	is.Equal(a.echo(t.Context(), "b"), port.Unknown) // Found by a ping; the test's own limit bounds it.
	is.Equal(a.echo(port.FreshConnection(t.Context(), begun), "b"), port.Delivered)
	is.Equal(a.echo(t.Context(), "b"), port.Delivered)
}

func TestFreshConnectionNeedNotWaitForThePing(t *testing.T) {
	is := is.New(t)
	entered := make(chan struct{})
	wait := func(ctx context.Context, _ model.NodeID, _ func(any) error) (any, error) {
		close(entered)
		<-ctx.Done()
		return nil, ctx.Err()
	}
	a, b := newPeers(t, "a", nil), newPeers(t, "b", map[string]port.Handler{"wait": wait})
	way := newPath(t, b.address())
	a.Learn("b", way.listener.Addr().String())
	stuck := make(chan port.Delivery)
	go func() { stuck <- a.Call(t.Context(), "b", "wait", note{}, &note{}) }()
	<-entered
	way.silence()
	is.Equal(a.echo(port.FreshConnection(t.Context(), time.Now()), "b"), port.Delivered)
	is.Equal(<-stuck, port.Unknown)
}

func TestOnlyCallsWithoutAConnectionAreNotSent(t *testing.T) {
	is := is.New(t)
	entered := make(chan struct{})
	wait := func(ctx context.Context, _ model.NodeID, _ func(any) error) (any, error) {
		close(entered)
		<-ctx.Done()
		return nil, ctx.Err()
	}
	a, b := newPeers(t, "a", nil), newPeers(t, "b", map[string]port.Handler{"wait": wait})
	is.Equal(a.echo(t.Context(), "nobody"), port.NotSent)
	gone, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	a.Learn("gone", gone.Addr().String())
	gone.Close()
	is.Equal(a.echo(t.Context(), "gone"), port.NotSent)
	a.Learn("b", b.address())
	is.Equal(a.Call(t.Context(), "b", "no/such", note{}, &note{}), port.Unknown)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan port.Delivery)
	go func() { done <- a.Call(ctx, "b", "wait", note{}, &note{}) }()
	<-entered
	cancel()
	is.Equal(<-done, port.Unknown)
	is.Equal(a.work.requests.Count(), int64(2))
	is.Equal(a.work.replies.Count(), int64(1))
}

func TestControlIsCountedApart(t *testing.T) {
	is := is.New(t)
	probe := func(context.Context, model.NodeID, func(any) error) (any, error) { return note{}, nil }
	a, b := newPeers(t, "a", nil), newPeers(t, "b", map[string]port.Handler{"membership/probe": probe})
	a.Learn("b", b.address())
	is.Equal(a.Call(t.Context(), "b", "membership/probe", note{}, &note{}), port.Delivered)
	is.Equal(a.control.requests.Count(), int64(2))
	is.Equal(a.work.requests.Count(), int64(0))
}

func TestDrainWaitsForTheRepliesThatAreDue(t *testing.T) {
	is := is.New(t)
	entered, release := make(chan struct{}), make(chan struct{})
	slow := func(context.Context, model.NodeID, func(any) error) (any, error) {
		close(entered)
		<-release
		return note{"late"}, nil
	}
	a, b := newPeers(t, "a", nil), newPeers(t, "b", map[string]port.Handler{"slow": slow})
	a.Learn("b", b.address())
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

// TestBodiesOfPeersAreBounded also shows that a body that cannot be decoded reaches no handler.
func TestBodiesOfPeersAreBounded(t *testing.T) {
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
