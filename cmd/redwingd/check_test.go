package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

func TestCheckReportsAllFaultsTogether(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "faulty.json")
	is.NoErr(os.WriteFile(path, []byte(`{"node":"A","data_centre":"sj1","reigon":"x",
 "listen":{"callers":"127.0.0.1:7001","endpoints":"127.0.0.1:7002","operators":"127.0.0.1:7003","peers":"no address"},
 "members":[{"node":"sj1-a","data_centre":"sj1","peers":"127.0.0.1:7004","endpoints":"127.0.0.1:7002"}],
 "plugins":{"profiles":{"clutser":"x","serve_alone_ms":"5"},"membership":{"period_ms":-1},"frontend.callers":{"drain_grace_ms":-1},"endpoints":{"pools_per_data_centre":0},"nothing.such":{}}}`), 0o600))
	err := (&checkCommand{Settings: path}).Run()
	is.Equal(run([]string{"check", "--settings", path}), exitUsage)
	for _, fault := range []string{
		"reigon: no such key", "node: must be", "listen.peers: must be", "members: must include",
		"plugins.profiles.clutser: no such key", "plugins.profiles.serve_alone_ms: must be an integer",
		"plugins.membership.period_ms", "plugins.frontend.callers.drain_grace_ms: must not", "plugins.endpoints.pools_per_data_centre", "plugins.nothing.such: no such plug-in",
	} {
		if !strings.Contains(err.Error(), fault) {
			t.Errorf("%q is not among the faults:\n%v", fault, err)
		}
	}
}

func TestCheckAcceptsValidSettings(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "valid.json")
	is.NoErr(os.WriteFile(path, []byte(`{"node":"sj1-a","data_centre":"sj1",
 "listen":{"callers":"127.0.0.1:7001","endpoints":"127.0.0.1:7002","operators":"127.0.0.1:7003","peers":"127.0.0.1:7004"},
 "members":[{"node":"sj1-a","data_centre":"sj1","peers":"127.0.0.1:7004","endpoints":"127.0.0.1:7002","disk":true}],
 "data_dir":"`+t.TempDir()+`"}`), 0o600))
	is.Equal(run([]string{"check", "--settings", path}), 0)
}
