package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"redwingpulley/kernel/model"
	"redwingpulley/kernel/settings"
)

const (
	processes = 9
	replicas  = 3
)

// processCluster is a set of redwingd processes that talk over loopback.
type processCluster struct {
	b       testing.TB
	members []settings.Settings
	running []*exec.Cmd
}

func freePort(b testing.TB) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

func startProcesses(b testing.TB) *processCluster {
	b.Helper()
	dir := b.TempDir()
	binary := filepath.Join(dir, "redwingd")
	if out, err := exec.Command("go", "build", "-o", binary, ".").CombinedOutput(); err != nil {
		b.Fatalf("build: %v\n%s", err, out)
	}
	c := &processCluster{b: b}
	var members []settings.Member
	for i := range processes {
		own := settings.Settings{
			Node: model.NodeID(fmt.Sprintf("n%d", i)), DataCentre: model.DataCentre(fmt.Sprintf("dc%d", i%replicas)),
			Listen:  settings.Listen{Callers: freePort(b), Endpoints: freePort(b), Operators: freePort(b), Peers: freePort(b)},
			DataDir: filepath.Join(dir, fmt.Sprint("data", i)), Plugins: map[string]json.RawMessage{},
		}
		members = append(members, settings.Member{
			Node: own.Node, DataCentre: own.DataCentre, Peers: own.Listen.Peers, Endpoints: own.Listen.Endpoints, Disk: i < replicas,
		})
		c.members = append(c.members, own)
	}
	for i := range c.members {
		c.members[i].Members = members
		c.start(binary, dir, c.members[i])
	}
	b.Cleanup(c.stop)
	return c
}

func (c *processCluster) start(binary, dir string, own settings.Settings) {
	raw, err := json.Marshal(own)
	if err != nil {
		c.b.Fatal(err)
	}
	path := filepath.Join(dir, string(own.Node)+".json")
	if err := os.WriteFile(path, raw, 0o600); err != nil {
		c.b.Fatal(err)
	}
	process := exec.Command(binary, "run", "--settings", path)
	if err := process.Start(); err != nil {
		c.b.Fatal(err)
	}
	c.running = append(c.running, process)
}

func (c *processCluster) stop() {
	for _, process := range c.running {
		process.Process.Signal(syscall.SIGTERM)
	}
	for _, process := range c.running {
		process.Wait()
	}
}

func (c *processCluster) url(i int, path string) string {
	return "http://" + c.members[i].Listen.Operators + path
}

// awaitRevision returns when the revision is in force at a process. It uses the server's long poll, and repeats the
// request only after a failure or when the long poll has ended.
func (c *processCluster) awaitRevision(i int, revision int) {
	var got struct {
		Revision int `json:"revision"`
	}
	for got.Revision < revision {
		response, err := http.Get(c.url(i, fmt.Sprintf("/v1/profiles?after=%d&wait_ms=5000", revision-1)))
		if err != nil {
			continue
		}
		err = json.NewDecoder(response.Body).Decode(&got)
		response.Body.Close()
		if err != nil {
			c.b.Error(err)
			return
		}
	}
}

func (c *processCluster) awaitVoters() {
	for i := range replicas {
		for voter := false; !voter; {
			response, err := http.Get(c.url(i, "/v1/status"))
			if err != nil {
				continue
			}
			body, _ := io.ReadAll(response.Body)
			response.Body.Close()
			voter = strings.Contains(string(body), `"voter"`)
		}
	}
}

func (c *processCluster) putProfile(i, expect int) {
	request, err := http.NewRequest(http.MethodPut, c.url(i, "/v1/profiles/finder"), strings.NewReader(`{}`))
	if err != nil {
		c.b.Fatal(err)
	}
	request.Header.Set("If-Match", fmt.Sprintf(`"%d"`, expect))
	request.Header.Set("Idempotency-Key", fmt.Sprint("key", expect))
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		c.b.Fatal(err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		body, _ := io.ReadAll(response.Body)
		c.b.Fatalf("edit for revision %d was refused: %s", expect, body)
	}
}

// BenchmarkTimeUntilInForce publishes edits through each of nine processes in turn. It measures the times until an edit
// is answered and until it is in force in all processes.
func BenchmarkTimeUntilInForce(b *testing.B) {
	c := startProcesses(b)
	c.awaitVoters()
	var answered, inForce []time.Duration
	revision := 0
	for b.Loop() {
		start := time.Now()
		var waiting sync.WaitGroup
		for i := range processes {
			waiting.Go(func() { c.awaitRevision(i, revision+1) })
		}
		c.putProfile(revision%processes, revision)
		answered = append(answered, time.Since(start))
		waiting.Wait()
		inForce = append(inForce, time.Since(start))
		revision++
	}
	reportPercentiles(b, "answered", answered)
	reportPercentiles(b, "in_force", inForce)
}

func reportPercentiles(b *testing.B, name string, times []time.Duration) {
	slices.Sort(times)
	at := func(share float64) float64 {
		return float64(times[int(share*float64(len(times)-1))].Microseconds()) / 1000
	}
	b.ReportMetric(at(0.5), name+"_p50_ms")
	b.ReportMetric(at(0.99), name+"_p99_ms")
	b.ReportMetric(at(1), name+"_max_ms")
}
