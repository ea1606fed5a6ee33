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

// documentedMetrics returns the metric names in the table of docs/OPERATIONS.md. A word in capitals in a name
// stands for any code.
func documentedMetrics(t *testing.T) (names []string) {
	t.Helper()
	raw, err := os.ReadFile("../../../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	_, table, ok := strings.Cut(string(raw), "| metric | tells | when it moves |\n|---|---|---|\n")
	if !ok {
		t.Fatal("docs/OPERATIONS.md has no table of metrics")
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

// TestOperationsPageDescribesAllMetrics compares docs/OPERATIONS.md with the metrics of processes with and
// without the platform's plug-ins, after one served and one refused job.
func TestOperationsPageDescribesAllMetrics(t *testing.T) {
	is := is.New(t)
	cluster := startCluster(t, 3, 8)
	cluster.awaitReady()
	is.Equal(cluster.call(0, "POST", "/v1/jobs", jobBody("", 2, 1)).Status, http.StatusOK)
	is.True(cluster.call(0, "POST", "/v1/jobs", strings.Replace(jobBody("", 2, 1), "finder", "nothing", 1)).Status != http.StatusOK)
	platform := startPlatformCluster(t, 3, 1)
	documented := documentedMetrics(t)
	is.True(len(documented) > 20)
	seen := make(map[string]bool)
	for _, host := range append(cluster.hosts, platform.hosts...) {
		host.Metrics.Each(func(name string, _ any) {
			i := slices.IndexFunc(documented, func(known string) bool {
				prefix := strings.TrimRight(known, "ABCDEFGHIJKLMNOPQRSTUVWXYZ")
				return known == name || prefix != known && strings.HasPrefix(name, prefix)
			})
			if i < 0 {
				t.Errorf("docs/OPERATIONS.md does not describe %s", name)
				return
			}
			seen[documented[i]] = true
		})
	}
	seen["log.lines_dropped"] = true // Registered by redwingd itself; checked by TestUnreadOutputDoesNotDelayJobs.
	for _, name := range documented {
		if !seen[name] && !strings.HasSuffix(name, "REASON") { // Some reasons are counted only after a fault.
			t.Errorf("docs/OPERATIONS.md describes %s, which no process has", name)
		}
	}
}
