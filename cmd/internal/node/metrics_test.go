package node

import (
	"net/http"
	"os"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// described returns the names in the table of metrics on the operators' page. Words in capitals stand
// for any code.
func described(t *testing.T) (names []string) {
	t.Helper()
	raw, err := os.ReadFile("../../../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	_, table, ok := strings.Cut(string(raw), "| metric | tells | when it moves |\n|---|---|---|\n")
	if !ok {
		t.Fatal("no table of metrics")
	}
	for line := range strings.Lines(table) {
		if !strings.HasPrefix(line, "| `") {
			break
		}
		for _, quoted := range regexp.MustCompile("`[a-z_.]+[A-Z]*`").FindAllString(strings.SplitN(line, "|", 3)[1], -1) {
			names = append(names, strings.Trim(quoted, "`"))
		}
	}
	return names
}

// TestOperatorsFindAllMetrics compares the page with what processes of both kinds have, after jobs that
// were served and refused.
func TestOperatorsFindAllMetrics(t *testing.T) {
	is := is.New(t)
	own := startGroup(t, 3, 8)
	own.ready()
	is.Equal(own.call(0, "POST", "/v1/jobs", jobBody("", 2, 1)).Status, http.StatusOK)
	is.True(own.call(0, "POST", "/v1/jobs", strings.Replace(jobBody("", 2, 1), "finder", "nothing", 1)).Status != http.StatusOK)
	onPlatform := startSystem(t, 3, 1)
	names := described(t)
	is.True(len(names) > 20)
	seen := make(map[string]bool)
	for _, host := range append(own.hosts, onPlatform.hosts...) {
		host.Metrics.Each(func(name string, _ any) {
			i := slices.IndexFunc(names, func(known string) bool {
				prefix := strings.TrimRight(known, "ABCDEFGHIJKLMNOPQRSTUVWXYZ")
				return known == name || prefix != known && strings.HasPrefix(name, prefix)
			})
			if i < 0 {
				t.Errorf("docs/OPERATIONS.md does not describe %s", name)
				return
			}
			seen[names[i]] = true
		})
	}
	seen["log.lines_dropped"] = true // Of the program; TestUnreadOutputStallsNothing reads it.
	for _, name := range names {
		if !seen[name] && !strings.HasSuffix(name, "REASON") { // Some reasons need a fault.
			t.Errorf("no process has %s", name)
		}
	}
}
