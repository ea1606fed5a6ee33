package taskclient

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	"redwingpulley/kernel/model"
	"redwingpulley/kernel/port"
)

const testTask model.TaskID = "j.0"

func newClient(t *testing.T) *Client {
	c := &Client{}
	c.init(metrics.NewRegistry())
	t.Cleanup(func() { c.Stop() })
	return c
}

// startEndpoint starts an endpoint that answers each request by f, and returns its address.
func startEndpoint(t *testing.T, f http.HandlerFunc) string {
	server := httptest.NewServer(f)
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

func replyWith(status int, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		w.WriteHeader(status)
		io.WriteString(w, body)
	}
}

func TestStartReplyMustMatchTaskAndAttempt(t *testing.T) {
	cases := map[string]struct {
		status int
		body   string
		want   port.TaskState
	}{
		"an answer":                {200, `{"task_id":"j.0","attempt":2,"answer":{"a":1}}`, port.TaskDone},
		"null as answer":           {200, `{"task_id":"j.0","attempt":2,"answer":null}`, port.TaskDone},
		"no answer":                {200, `{"task_id":"j.0","attempt":2}`, port.TaskUnknown},
		"another task's answer":    {200, `{"task_id":"j.1","attempt":2,"answer":1}`, port.TaskUnknown},
		"another attempt's answer": {200, `{"task_id":"j.0","attempt":1,"answer":1}`, port.TaskUnknown},
		"half an answer":           {200, `{"task_id":"j.0","attempt":2,"ans`, port.TaskUnknown},
		"an answer too large":      {200, `{"answer":"` + strings.Repeat("x", maxAnswer) + `"}`, port.TaskFailed},
		"a refusal":                {503, `{"task_id":"j.0","run":"not_run","reason":"full"}`, port.TaskNotRun},
		"another task's refusal":   {503, `{"task_id":"j.1","run":"not_run"}`, port.TaskUnknown},
		"a proxy's refusal":        {503, `<html>`, port.TaskUnknown},
		"a refusal with no claim":  {503, `{"task_id":"j.0"}`, port.TaskUnknown},
		"a failure":                {500, `{"task_id":"j.0","reason":"x"}`, port.TaskFailed},
		"a proxy's failure":        {500, `oops`, port.TaskUnknown},
		"a conflict":               {409, `{"task_id":"j.0","state":"running"}`, port.TaskUnknown},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			address := startEndpoint(t, replyWith(c.status, c.body))
			is.Equal(newClient(t).Start(t.Context(), address, port.TaskStart{ID: testTask, Attempt: 2}).State, c.want)
		})
	}
}

func TestRevokeReplyMustMatchTask(t *testing.T) {
	cases := map[string]struct {
		status int
		body   string
		want   port.TaskState
	}{
		"revoked":             {200, `{"task_id":"j.0","state":"revoked"}`, port.TaskRevoked},
		"running":             {200, `{"task_id":"j.0","state":"running"}`, port.TaskRunning},
		"done":                {200, `{"task_id":"j.0","state":"done","answer":1}`, port.TaskDone},
		"done, answer lost":   {200, `{"task_id":"j.0","state":"done"}`, port.TaskFailed},
		"another task":        {200, `{"task_id":"j.1","state":"revoked"}`, port.TaskUnknown},
		"no such state":       {200, `{"task_id":"j.0","state":"not_run"}`, port.TaskUnknown},
		"an error":            {500, `{"task_id":"j.0","state":"revoked"}`, port.TaskUnknown},
		"half a reply":        {200, `{"task_id":"j.0","state":"rev`, port.TaskUnknown},
		"an answer too large": {200, `{"answer":"` + strings.Repeat("x", maxAnswer) + `"}`, port.TaskFailed},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			address := startEndpoint(t, replyWith(c.status, c.body))
			is.Equal(newClient(t).Revoke(t.Context(), address, port.TaskRevoke{ID: testTask}).State, c.want)
		})
	}
}

// TestTaskIsSentOnce uses a server that closes each connection at the second request on it without a
// reply, so that the client's idle connections fail when they are reused.
func TestTaskIsSentOnce(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer listener.Close()
	var posts atomic.Int64
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go replyOnceThenClose(conn, &posts)
		}
	}()
	c := newClient(t)
	const starts = 200
	states := map[port.TaskState]int{}
	for range starts {
		states[c.Start(t.Context(), listener.Addr().String(), port.TaskStart{ID: testTask, Attempt: 1}).State]++
	}
	is.Equal(states[port.TaskDone]+states[port.TaskUnknown]+states[port.TaskNotRun], starts)
	is.True(posts.Load() <= starts)
	is.True(states[port.TaskUnknown] > 0) // Connections failed on reuse.
}

// replyOnceThenClose answers one request, reads a second and closes the connection without a reply.
func replyOnceThenClose(conn net.Conn, posts *atomic.Int64) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for i := range 2 {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		io.Copy(io.Discard, request.Body)
		posts.Add(1)
		if i == 0 {
			body := `{"task_id":"j.0","attempt":1,"answer":1}`
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		}
	}
}

func TestRedirectIsNotFollowed(t *testing.T) {
	is := is.New(t)
	var posts atomic.Int64
	target := startEndpoint(t, func(http.ResponseWriter, *http.Request) { posts.Add(1) })
	address := startEndpoint(t, func(w http.ResponseWriter, r *http.Request) {
		http.Redirect(w, r, "http://"+target+r.URL.Path, http.StatusTemporaryRedirect)
	})
	is.Equal(newClient(t).Start(t.Context(), address, port.TaskStart{ID: testTask, Attempt: 1}).State, port.TaskUnknown)
	is.Equal(posts.Load(), int64(0))
}

func TestTaskHasNotRunWhenEndpointIsUnreachable(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(nil)
	address := server.Listener.Addr().String()
	server.Close()
	c := newClient(t)
	is.Equal(c.Start(t.Context(), address, port.TaskStart{ID: testTask, Attempt: 1}).State, port.TaskNotRun)
	is.Equal(c.requests.Count(), int64(0))
}

func TestRevokeUsesNewConnectionWhenStartIsUnanswered(t *testing.T) {
	is := is.New(t)
	received, release := make(chan struct{}), make(chan struct{})
	defer close(release)
	var connections atomic.Int64
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasSuffix(r.URL.Path, "/revoke") {
			replyWith(200, `{"task_id":"j.0","state":"done","answer":7}`)(w, r)
			return
		}
		close(received)
		<-release
	}))
	server.Config.ConnState = func(_ net.Conn, s http.ConnState) {
		if s == http.StateNew {
			connections.Add(1)
		}
	}
	server.Start()
	address := server.Listener.Addr().String()
	c := newClient(t)
	ctx, cancel := context.WithCancel(t.Context())
	started := make(chan port.TaskReply)
	go func() { started <- c.Start(ctx, address, port.TaskStart{ID: testTask, Attempt: 1}) }()
	<-received
	revoked := c.Revoke(t.Context(), address, port.TaskRevoke{ID: testTask})
	is.Equal(string(revoked.Answer), "7")
	is.True(revoked.TimeUnknown) // The run may have ended long before.
	is.Equal(connections.Load(), int64(2))
	cancel()
	is.Equal((<-started).State, port.TaskUnknown)
	is.Equal(c.revocations.Count(), int64(1))
}

// observer counts the reports that endpoints are down.
type observer struct{ down []model.EndpointID }

func (o *observer) RunLost(model.EndpointID, port.TaskRun, port.LossCause) {}

func (o *observer) StartSlow(port.TaskRun) {}

func (o *observer) StartAnswered(port.TaskRun) {}

func (o *observer) EndpointDown(endpoint model.EndpointID) { o.down = append(o.down, endpoint) }

// Guards against work for an endpoint that refuses connections: each start had to find that out again.
func TestRefusedConnectionIsReported(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(http.NotFoundHandler())
	server.Close() // Its port refuses connections from now on.
	c, o := newClient(t), &observer{}
	c.Observe(o)
	reply := c.Start(context.Background(), server.Listener.Addr().String(), port.TaskStart{ID: testTask, Endpoint: "e1", Attempt: 1})
	is.Equal(reply.State, port.TaskNotRun)
	is.Equal(o.down, []model.EndpointID{"e1"})
}
