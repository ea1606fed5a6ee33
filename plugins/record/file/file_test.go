package file

import (
	"bufio"
	"encoding/json"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"redwingpulley/kernel/plugin"
	"redwingpulley/kernel/port"
	"redwingpulley/kernel/settings"
)

type testEvent struct{ Text string }

// newRecorder starts a recorder with the given settings of the plug-in.
func newRecorder(t *testing.T, own string) *Recorder {
	t.Helper()
	r := &Recorder{}
	host, err := plugin.NewHost(
		settings.Settings{Plugins: map[string]json.RawMessage{"record.file": json.RawMessage(own)}},
		slog.New(slog.DiscardHandler),
		[]plugin.Definition{{ID: "record.file", New: func() plugin.Plugin { return r }}},
	)
	if err != nil {
		t.Fatal(err)
	}
	if err := host.Start(); err != nil {
		t.Fatal(err)
	}
	return r
}

func readLines(t *testing.T, path string) (all []Line) {
	t.Helper()
	f, err := os.Open(path)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	for s := bufio.NewScanner(f); s.Scan(); {
		var line Line
		if err := json.Unmarshal(s.Bytes(), &line); err != nil {
			t.Fatal(err)
		}
		all = append(all, line)
	}
	return all
}

func jsonString(t *testing.T, path string) string {
	t.Helper()
	raw, err := json.Marshal(path)
	if err != nil {
		t.Fatal(err)
	}
	return string(raw)
}

func TestStepsAreInFileAfterStop(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "events.jsonl")
	for range 2 { // The second incarnation of the process appends to the file.
		r := newRecorder(t, `{"file":`+jsonString(t, path)+`}`)
		is.True(r.Active())
		r.Record(port.RecordedStep{Machine: "pool", Key: "k", Sequence: 1, At: time.Unix(1, 2), Event: testEvent{"a"}, Effects: testEvent{"b"}})
		is.NoErr(r.Stop())
	}
	got := readLines(t, path)
	is.Equal(len(got), 2)
	is.Equal(got[0].Event, "testEvent")
	is.Equal(string(got[0].Body), `{"Text":"a"}`)
	is.Equal(string(got[0].Effects), `{"Text":"b"}`)
	is.True(got[0].At.Equal(time.Unix(1, 2)))
	is.True(got[0].Run != got[1].Run)
}

func TestRecordingEndsAtMaxSize(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "events.jsonl")
	r := newRecorder(t, `{"file":`+jsonString(t, path)+`,"max_mb":1}`)
	large := testEvent{string(make([]byte, 100_000))} // Each zero byte takes six in JSON.
	for range 4 {
		r.Record(port.RecordedStep{Machine: "pool", Key: "k", Event: large})
	}
	is.NoErr(r.Stop())
	info, err := os.Stat(path)
	is.NoErr(err)
	is.True(info.Size() > 0 && info.Size() <= 1<<20)
}

func TestRecorderIsInactiveWithoutFile(t *testing.T) {
	is := is.New(t)
	r := newRecorder(t, `{}`)
	is.True(!r.Active())
	is.NoErr(r.Stop())
}

// Guards against a record that cannot be replayed at all, because its process was killed while it wrote a line and the next
// one appended to that.
func TestTornLineOfAKilledProcessIsRemoved(t *testing.T) {
	is := is.New(t)
	whole := `{"run":"r","machine":"pool","key":"k","event":"e"}` + "\n"
	for _, content := range []string{whole + `{"run":"r","mach`, whole + strings.Repeat("x", 3*searchBlock), `{"run":`, whole, ""} {
		path := filepath.Join(t.TempDir(), "events.jsonl")
		is.NoErr(os.WriteFile(path, []byte(content), 0o600))
		r := newRecorder(t, `{"file":`+jsonString(t, path)+`}`)
		r.Record(port.RecordedStep{Machine: "pool", Key: "k", Event: testEvent{"a"}})
		is.NoErr(r.Stop())
		is.Equal(len(readLines(t, path)), 1+strings.Count(content, "\n"))
	}
}
