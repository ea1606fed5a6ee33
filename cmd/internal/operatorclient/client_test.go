package operatorclient

import (
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"syscall"
	"testing"

	"github.com/matryer/is"
)

// startListener starts a server that gives the answers in turn: "done" accepts the edit, "lost" closes the connection
// without an answer, and any other answer is the run state of a 503. It appends each request's idempotency key to keys.
func startListener(t *testing.T, keys *[]string, answers ...string) string {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		*keys = append(*keys, r.Header.Get("Idempotency-Key"))
		answer := answers[0]
		answers = append(answers[1:], answer)
		switch answer {
		case "lost":
			panic(http.ErrAbortHandler)
		case "done":
			w.Write([]byte(`{"revision":1}`))
		default:
			w.WriteHeader(http.StatusServiceUnavailable)
			w.Write([]byte(`{"reason":"no_majority","run":"` + answer + `"}`))
		}
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// closedAddress returns an address that refuses connections until the test has ended: a socket that does not listen has its port, which no
// listener of the test can get then.
func closedAddress(t *testing.T) string {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { syscall.Close(fd) })
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	name, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	return net.JoinHostPort("127.0.0.1", strconv.Itoa(name.(*syscall.SockaddrInet4).Port))
}

func TestEditIsRetriedWithTheSameKey(t *testing.T) {
	cases := []struct {
		name    string
		answers []string
		status  int
		err     error
		sent    int
	}{
		{"done", []string{"done"}, http.StatusOK, nil, 1},
		{"lost answer", []string{"lost", "done"}, http.StatusOK, nil, 2},
		{"not run", []string{"not_run"}, http.StatusServiceUnavailable, nil, maxEditRounds},
		{"may have run", []string{"may_have_run", "not_run", "not_run"}, 0, ErrUnknown, maxEditRounds},
		{"lost, then not run", []string{"lost", "not_run", "not_run"}, 0, ErrUnknown, maxEditRounds},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var keys []string
			client := New([]string{closedAddress(t), startListener(t, &keys, c.answers...)}, "ana")
			client.RetryInterval = 0
			reply, err := client.Edit(t.Context(), Edit{Method: http.MethodPut, Path: "/v1/profiles/p", Body: []byte("{}"), Key: "k"})
			is.Equal(err, c.err)
			is.Equal(reply.Status, c.status)
			is.Equal(len(keys), c.sent)
			for _, key := range keys {
				is.Equal(key, "k")
			}
		})
	}
}

func TestEditReturnsErrNoAnswerWhenNoListenerIsReached(t *testing.T) {
	is := is.New(t)
	client := New([]string{closedAddress(t)}, "")
	client.RetryInterval = 0
	_, err := client.Edit(t.Context(), Edit{Method: http.MethodPut, Path: "/"})
	is.Equal(err, ErrNoAnswer)
}
