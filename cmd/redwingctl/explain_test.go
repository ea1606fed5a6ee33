package main

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"
)

func TestExplainReadsSeveralLogs(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	owner, pool := filepath.Join(dir, "a.log"), filepath.Join(dir, "b.log")
	is.NoErr(os.WriteFile(owner, []byte(`{"time":"2026-01-01T00:00:00Z","level":"DEBUG","msg":"job_taken","node":"a","job":"a.x.1.1.1","key":"k"}
not of the log
{"time":"2026-01-01T00:00:01Z","level":"WARN","msg":"job_ended","node":"a","job":"a.x.1.1.1","key":"k","outcome":"failed"}
`), 0o600))
	is.NoErr(os.WriteFile(pool, []byte(`{"time":"2026-01-01T00:00:00.5Z","level":"WARN","msg":"batch_refused","node":"b","job":"a.x.1.1.1","key":"k"}`), 0o600))
	for _, output := range []string{"text", "json"} {
		is.NoErr((&explainCommand{ID: "k", Files: []string{owner, pool}, Output: output}).Run())
	}
	unknown := &explainCommand{ID: "other", Files: []string{owner, pool}, Output: "text"}
	is.Equal(exitCode(unknown.Run()), exitRefused) // No line names this id.
	unreadable := &explainCommand{ID: "k", Files: []string{dir}, Output: "text"}
	is.Equal(exitCode(unreadable.Run()), exitUsage)
}
