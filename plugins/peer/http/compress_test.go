package http

import (
	"bytes"
	"compress/gzip"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"redwingpulley/kernel/port"
)

// startHTTP2 starts a server for the requests of jobs.
func startHTTP2(t *testing.T, handler http.HandlerFunc) *httptest.Server {
	t.Helper()
	server := httptest.NewUnstartedServer(handler)
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	server.Config.Protocols = protocols
	server.Start()
	t.Cleanup(server.Close)
	return server
}

// callRepeatedly repeats a call up to nine times until it is delivered, as members do: on a machine without free processors,
// connecting can time out, and pings can find a connection silent that is not.
func callRepeatedly(t *testing.T, p *Peers, request any, reply *note) (delivery port.Delivery) {
	for range 10 {
		if delivery = p.Call(t.Context(), "b", "echo", request, reply); delivery == port.Delivered {
			break
		}
	}
	return delivery
}

// Guards against a large routing that occupies the narrow links of all VMs for seconds after each change. Large requests
// and replies travel compressed; small ones do not.
func TestLargeBodiesAreCompressed(t *testing.T) {
	is := is.New(t)
	var size atomic.Int64 // Size of the newest request's body.
	server := newPeers(t, "b", nil)
	counting := startHTTP2(t, func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return // The connection has ended, and the call is repeated.
		}
		size.Store(int64(len(body)))
		r.Body = io.NopCloser(bytes.NewReader(body))
		server.serve(w, r)
	})
	p := newPeers(t, "a", nil)
	p.SetAddress("b", counting.Listener.Addr().String())
	large := strings.Repeat(`{"name":"r","host":"h.example"},`, 10_000)
	var sizes []int64
	for _, text := range []string{large, "small"} {
		request, err := p.Encode(note{text})
		is.NoErr(err)
		for _, asIs := range []any{note{text}, request} {
			var reply note
			is.Equal(callRepeatedly(t, p, asIs, &reply), port.Delivered)
			is.Equal(reply.Text, text+" from a")
			sizes = append(sizes, size.Load())
		}
	}
	is.True(sizes[0] < int64(len(large))/10)
	is.Equal(sizes[0], sizes[1])
	is.Equal(sizes[2], int64(len(`{"text":"small"}`)))
}

// A member of an earlier version answers 400 to a compressed request; it then gets the same one as it is.
func TestCompressedRequestIsRepeatedPlainly(t *testing.T) {
	is := is.New(t)
	earlier := startHTTP2(t, func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Content-Encoding") != "" {
			http.Error(w, "invalid character", http.StatusBadRequest)
			return
		}
		io.Copy(w, r.Body)
	})
	p := newPeers(t, "a", nil)
	p.SetAddress("b", earlier.Listener.Addr().String())
	sent, reply := note{strings.Repeat("x", 2*compressAbove)}, note{}
	is.Equal(p.Call(t.Context(), "b", "echo", sent, &reply), port.Delivered)
	is.Equal(reply, sent)
}

// A small request that decompresses to more than a body may have is refused like any other invalid one.
func TestDecompressedBodyIsLimited(t *testing.T) {
	is := is.New(t)
	var compressed bytes.Buffer
	w := gzip.NewWriter(&compressed)
	_, err := w.Write([]byte(`{"text":"` + strings.Repeat("x", 1000) + `"}`))
	is.NoErr(err)
	is.NoErr(w.Close())
	r := httptest.NewRequest(http.MethodPost, "/", &compressed)
	r.Header.Set("Content-Encoding", encodingGzip)
	body, err := requestBody(httptest.NewRecorder(), r, 200)
	is.NoErr(err)
	content, err := io.ReadAll(body)
	is.NoErr(err)
	is.Equal(len(content), 200)
	r = httptest.NewRequest(http.MethodPost, "/", strings.NewReader("no gzip"))
	r.Header.Set("Content-Encoding", encodingGzip)
	_, err = requestBody(httptest.NewRecorder(), r, 200)
	is.True(err != nil)
}
