package main

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"redwingpulley/cmd/internal/logline"
	"redwingpulley/cmd/internal/node"
	"redwingpulley/kernel/event"
)

// settingsWith returns valid settings with the given seed and further keys.
func settingsWith(seed, more string) string {
	return fmt.Sprintf(`{"node":"sj1-a","data_centre":"sj1","seeds":[%q],
 "listen":{"callers":"127.0.0.1:7001","endpoints":"127.0.0.1:7002","operators":"127.0.0.1:7003","peers":"127.0.0.1:7004"}%s}`, seed, more)
}

func TestRunExitsWithUsageCodeOnPluginFaults(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "settings.json")
	is.NoErr(os.WriteFile(path, []byte(settingsWith("127.0.0.2:7004", `,"plugins":{"membership":{"period_ms":-1}}`)), 0o600))
	is.Equal(run([]string{"run", "--settings", path}), exitUsage)
}

// TestReloadIsAppliedOrRefusedAsAWhole replaces the same first settings file by each of several others and reloads it.
func TestReloadIsAppliedOrRefusedAsAWhole(t *testing.T) {
	const first = "127.0.0.2:7004"
	for name, c := range map[string]struct {
		next    string
		applied bool
		lines   string // Text that the log line holds; "" for no line.
	}{
		"other seeds":   {settingsWith("127.0.0.3:7004", ""), true, `"msg":"settings_reloaded","node":"sj1-a","changed":"seeds","later":"","seeds":"127.0.0.3:7004"`},
		"log limits":    {settingsWith(first, `,"log":{"lines_per_second":10,"routine":false}`), true, `"changed":"log","later":""`},
		"at next start": {settingsWith(first, `,"reserve":true,"plugins":{"membership":{"period_ms":100}}`), true, `"changed":"","later":"reserve,plugins.membership"`},
		"no change":     {settingsWith(first, ""), false, ""},
		"not JSON":      {"{", false, `"msg":"settings_refused"`},
		"plug-in fault": {settingsWith("127.0.0.3:7004", `,"plugins":{"membership":{"period_ms":-1}}`), false, `plugins.membership.period_ms`},
		"unknown key":   {settingsWith("127.0.0.3:7004", `,"sedes":[]`), false, `sedes: no such key`},
		"invalid value": {settingsWith("nowhere", ""), false, `seeds[0]: must be`},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			path := filepath.Join(t.TempDir(), "settings.json")
			is.NoErr(os.WriteFile(path, []byte(settingsWith(first, "")), 0o600))
			s, err := loadSettings(path)
			is.NoErr(err)
			var out bytes.Buffer
			p := &process{path: path, inForce: s, lines: logline.New(&out, logOptions(s))}
			p.log = p.lines.Logger().With(event.Text(event.Node, s.Node))
			p.host, err = node.New(s, p.lines.Logger())
			is.NoErr(err)

			is.NoErr(os.WriteFile(path, []byte(c.next), 0o600))
			p.reload()
			p.lines.Close(time.Minute)
			is.Equal(len(p.inForce.Differences(s)) > 0, c.applied)
			is.True(strings.Contains(out.String(), c.lines))
			is.Equal(strings.Count(out.String(), "\n"), min(len(c.lines), 1))
		})
	}
}

func TestChangeOfFileIsDetectedWithoutASignal(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "settings.json")
	is.NoErr(os.WriteFile(path, []byte("a"), 0o600))
	first, err := readFileState(path)
	is.NoErr(err)
	changed := make(chan struct{}, 1)
	go watchFile(t.Context(), path, first, time.Millisecond, changed)

	is.NoErr(os.WriteFile(path, []byte("longer"), 0o600))
	<-changed
	other := path + ".new" // A file of the same length and time, which replaces the first one.
	is.NoErr(os.WriteFile(other, []byte("LONGER"), 0o600))
	now, err := readFileState(path)
	is.NoErr(err)
	is.NoErr(os.Chtimes(other, now.modified, now.modified))
	is.NoErr(os.Rename(other, path))
	<-changed
}
