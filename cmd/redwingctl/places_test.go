package main

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"text/tabwriter"

	"github.com/matryer/is"

	"redwingpulley/kernel/port"
)

const placesAnswer = `{"node":"n5","at":"2026-01-01T00:00:00Z","takeovers":true,"majority":2,"voters":1,"places":[` +
	`{"place":"n0","holder":"n4","state":"away","away_ms":1100,"wait":{"kind":"delay","have":0,"need":0,"left_ms":400}},` +
	`{"place":"n1","holder":"n1","state":"learner","since":"2026-01-01T00:00:00Z","wait":{"kind":"join","have":1,"need":2}},` +
	`{"place":"n2","holder":"n2","state":"voter"}],"spares":["n3","n6"]}` + "\n"

// standardOutput returns what f prints.
func standardOutput(t *testing.T, f func()) string {
	t.Helper()
	read, write, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	former := os.Stdout
	os.Stdout = write
	defer func() { os.Stdout = former }()
	f()
	write.Close()
	printed, err := io.ReadAll(read)
	if err != nil {
		t.Fatal(err)
	}
	return string(printed)
}

// Guards against a column that does not show what the entry VM answered, and against JSON that differs from the answer.
func TestPlacesPrintsTheAnswer(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		is.Equal(r.URL.Path, "/v1/places")
		io.WriteString(w, placesAnswer)
	}))
	defer server.Close()
	command := placesCommand{operatorFlags{Operators: []string{strings.TrimPrefix(server.URL, "http://")}, Output: "json"}}
	is.Equal(standardOutput(t, func() { is.NoErr(command.Run()) }), placesAnswer)
	command.Output = "text"
	is.Equal(standardOutput(t, func() { is.NoErr(command.Run()) }), `seen by  n5
voters   1 of 3, a change needs 2
spares   n3, n6

PLACE  HOLDER  STATE    HELD SINCE            AWAY   WAITS FOR
n0     n4      away     -                     1.1 s  takeover in 0.4 s
n1     n1      learner  2026-01-01T00:00:00Z  -      replies of voters to its new store: needs 2, has 1
n2     n2      voter    -                     -      -
`)
}

// Guards against a wait that is shown by its code instead of a sentence.
func TestPlacesTellsEachWait(t *testing.T) {
	is := is.New(t)
	for _, kind := range []port.PlaceWaitKind{
		port.WaitGroup, port.WaitConfirm, port.WaitJoin, port.WaitSync, port.WaitReturn, port.WaitHolders, port.WaitSpare, port.WaitDelay,
		port.WaitVoters, port.WaitTakeover,
	} {
		is.True(strings.Contains(placeWaitReply{Kind: kind}.String(), " ")) // A sentence.
	}
	is.Equal(placeWaitReply{}.String(), "-")
	var unknown placesReply
	is.NoErr(json.Unmarshal([]byte(`{"node":"n5","places":[]}`), &unknown))
	var out bytes.Buffer
	table := tabwriter.NewWriter(&out, 0, 0, 2, ' ', 0)
	unknown.write(table)
	is.NoErr(table.Flush())
	is.Equal(out.String(), "seen by  n5\nthe replicas are not known yet\n")
}
