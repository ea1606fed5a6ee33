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

// seeded returns sound settings with the given seed and further keys.
func seeded(seed, more string) string {
	return fmt.Sprintf(`{"node":"sj1-a","data_centre":"sj1","seeds":[%q],
 "listen":{"callers":"127.0.0.1:7001","endpoints":"127.0.0.1:7002","operators":"127.0.0.1:7003","peers":"127.0.0.1:7004"}%s}`, seed, more)
}

func TestFaultsOfPlugInsAreWrongUsage(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "settings.json")
	is.NoErr(os.WriteFile(path, []byte(seeded("127.0.0.2:7004", `,"plugins":{"membership":{"period_ms":-1}}`)), 0o600))
	is.Equal(run([]string{"run", "--settings", path}), exitUsage)
}

// TestAReloadIsTakenOrRefusedWhole writes one settings file after the other over the first.
func TestAReloadIsTakenOrRefusedWhole(t *testing.T) {
	const first = "127.0.0.2:7004"
	for name, c := range map[string]struct {
		next  string
		taken bool
		lines string // Of the log; "" for none.
	}{
		"other seeds":    {seeded("127.0.0.3:7004", ""), true, `"msg":"settings_reloaded","node":"sj1-a","changed":"seeds","later":"","seeds":"127.0.0.3:7004"`},
		"other bounds":   {seeded(first, `,"log":{"lines_per_second":10,"routine":false}`), true, `"changed":"log","later":""`},
		"for later":      {seeded(first, `,"reserve":true,"plugins":{"membership":{"period_ms":100}}`), true, `"changed":"","later":"reserve,plugins.membership"`},
		"nothing":        {seeded(first, ""), false, ""},
		"no settings":    {"{", false, `"msg":"settings_refused"`},
		"a plug-in's":    {seeded("127.0.0.3:7004", `,"plugins":{"membership":{"period_ms":-1}}`), false, `plugins.membership.period_ms`},
		"no such key":    {seeded("127.0.0.3:7004", `,"sedes":[]`), false, `sedes: no such key`},
		"a faulty value": {seeded("nowhere", ""), false, `seeds[0]: must be`},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			path := filepath.Join(t.TempDir(), "settings.json")
			is.NoErr(os.WriteFile(path, []byte(seeded(first, "")), 0o600))
			s, err := load(path)
			is.NoErr(err)
			var out bytes.Buffer
			p := &process{path: path, inForce: s, lines: logline.New(&out, bounds(s))}
			p.log = p.lines.Logger().With(event.Text(event.Node, s.Node))
			p.host, err = node.New(s, p.lines.Logger())
			is.NoErr(err)

			is.NoErr(os.WriteFile(path, []byte(c.next), 0o600))
			p.reload()
			p.lines.Close(time.Minute)
			is.Equal(len(p.inForce.Differences(s)) > 0, c.taken)
			is.True(strings.Contains(out.String(), c.lines))
			is.Equal(strings.Count(out.String(), "\n"), min(len(c.lines), 1))
		})
	}
}

func TestAFileThatChangesWithoutASignalIsSeen(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "settings.json")
	is.NoErr(os.WriteFile(path, []byte("a"), 0o600))
	first, err := stampOf(path)
	is.NoErr(err)
	changed := make(chan struct{}, 1)
	go watchFile(t.Context(), path, first, time.Millisecond, changed)

	is.NoErr(os.WriteFile(path, []byte("longer"), 0o600))
	<-changed
	other := path + ".new" // Of the same length and time, put in the place of the first.
	is.NoErr(os.WriteFile(other, []byte("LONGER"), 0o600))
	now, err := stampOf(path)
	is.NoErr(err)
	is.NoErr(os.Chtimes(other, now.modified, now.modified))
	is.NoErr(os.Rename(other, path))
	<-changed
}
