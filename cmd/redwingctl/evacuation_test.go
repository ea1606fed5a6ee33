package main

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against a command that gives the other order, or names another data centre or revision.
func TestEvacuationCommandsSendOrders(t *testing.T) {
	is := is.New(t)
	var requests []string
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		requests = append(requests, r.Method+r.URL.Path+r.Header.Get("If-Match"))
		w.Header().Set("ETag", `"12"`)
		io.WriteString(w, `{"evacuated":["sj1"],"revision":12}`)
	}))
	defer server.Close()
	flags := operatorFlags{Operators: []string{strings.TrimPrefix(server.URL, "http://")}, Output: "text"}
	is.Equal(standardOutput(t, func() { is.NoErr((&evacuationListCommand{flags}).Run()) }), "revision 12\nEVACUATED\nsj1\n")
	is.NoErr((&evacuationStartCommand{editFlags{operatorFlags: flags}, "sj1"}).Run())
	is.NoErr((&evacuationEndCommand{editFlags{operatorFlags: flags}, "sj1"}).Run())
	is.Equal(requests[2], `PUT/v1/evacuations/sj1"12"`)
	is.Equal(requests[4], `DELETE/v1/evacuations/sj1"12"`)
}
