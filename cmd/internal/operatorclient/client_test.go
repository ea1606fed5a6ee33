package operatorclient

import (
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// listener answers with the given statuses in turn; 0 breaks the connection after the request.
func listener(t *testing.T, seen *[]string, answers ...string) string {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		*seen = append(*seen, r.Header.Get("Idempotency-Key"))
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

// closed returns an address at which nothing listens.
func closed(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

func TestEditsAreSentAgainUnderTheSameKey(t *testing.T) {
	cases := []struct {
		name    string
		answers []string
		status  int
		err     error
		sent    int
	}{
		{"done", []string{"done"}, http.StatusOK, nil, 1},
		{"lost answer", []string{"lost", "done"}, http.StatusOK, nil, 2},
		{"not run", []string{"not_run"}, http.StatusServiceUnavailable, nil, editRounds},
		{"may have run", []string{"may_have_run", "not_run", "not_run"}, 0, ErrUnknown, editRounds},
		{"lost, then not run", []string{"lost", "not_run", "not_run"}, 0, ErrUnknown, editRounds},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var seen []string
			client := New([]string{closed(t), listener(t, &seen, c.answers...)}, "ana")
			client.Pause = 0
			reply, err := client.Edit(t.Context(), Edit{Method: http.MethodPut, Path: "/v1/profiles/p", Body: []byte("{}"), Key: "k"})
			is.Equal(err, c.err)
			is.Equal(reply.Status, c.status)
			is.Equal(len(seen), c.sent)
			for _, key := range seen {
				is.Equal(key, "k")
			}
		})
	}
}

func TestNothingReachedIsNoUnknownOutcome(t *testing.T) {
	is := is.New(t)
	client := New([]string{closed(t)}, "")
	client.Pause = 0
	_, err := client.Edit(t.Context(), Edit{Method: http.MethodPut, Path: "/"})
	is.Equal(err, ErrNoAnswer)
}
