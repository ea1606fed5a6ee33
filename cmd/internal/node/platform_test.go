package node

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"redwingpulley/bench/leased"
	"redwingpulley/kernel/model"
	"redwingpulley/kernel/plugin"
	"redwingpulley/kernel/settings"
)

// platformCluster is the product on the users' platform, all in this process: the control VMs, entry VMs and
// endpoints of one data centre. Each VM has a loopback address of its own, because all of them use the same
// port for peers.
type platformCluster struct {
	t           testing.TB
	heartbeat   time.Duration // Interval of the endpoints' heartbeats; 0 stands for a short one.
	period      int           // Period of membership in milliseconds; 0 stands for a short one.
	dataCentres int           // Number of data centres among which VMs and endpoints are spread; 0 counts as one.
	port        int           // Port of the listeners for peers; the ports of the other listeners follow it.
	seeds       []string
	control     []string // Addresses at which control VMs serve operators and heartbeats.
	callers     []string // Addresses at which entry VMs serve callers.
	hosts       []*plugin.Host
	jobs        int // Jobs submitted so far; each job's id is made of it.
}

const (
	portsOfVM  = 4 // Listeners for peers, operators, callers or control, and probes.
	testHost   = "shop.example"
	testPrefix = "/match/"
)

func vmAddress(vm, port int) string { return fmt.Sprintf("127.0.9.%d:%d", vm+1, port) }

// firstFreePort returns a port that is free; the ports after it, which the VMs use too, are not checked.
func firstFreePort(t testing.TB) int {
	t.Helper()
	listener, err := net.Listen("tcp", vmAddress(0, 0))
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	return listener.Addr().(*net.TCPAddr).Port
}

func startPlatformCluster(t *testing.T, controls, entries int) *platformCluster {
	t.Helper()
	s := &platformCluster{t: t}
	s.start(controls, entries)
	return s
}

// start starts control VMs and then entry VMs, and waits until these listen.
func (s *platformCluster) start(controls, entries int) {
	s.t.Helper()
	s.port = firstFreePort(s.t)
	for i := range min(controls, 3) {
		s.seeds = append(s.seeds, vmAddress(i, 1))
	}
	for i := range controls + entries {
		s.startVM(i, i < controls, true)
	}
	for _, entry := range s.callers {
		s.eventually(func() bool { return s.get(entry, "other", "/") != 0 })
	}
}

// dataCentre returns the data centre of the VM or endpoint of that number.
func (s *platformCluster) dataCentre(number int) string {
	return "sj" + strconv.Itoa(1+number%max(1, s.dataCentres))
}

// startVM starts the VM of that number.
func (s *platformCluster) startVM(vm int, control, bootstrap bool) {
	s.t.Helper()
	own := settings.Settings{
		Node: model.NodeID("vm-" + strconv.Itoa(vm)), DataCentre: model.DataCentre(s.dataCentre(vm)), Seeds: s.seeds, Bootstrap: bootstrap, Reserve: control,
		Listen:  settings.Listen{Peers: vmAddress(vm, s.port), Operators: vmAddress(vm, s.port+1)},
		Without: []string{"taskclient", "frontend.callers", "frontend.announce"},
		Plugins: map[string]json.RawMessage{
			"membership": rawJSON(fmt.Sprintf(`{"period_ms": %d}`, cmp.Or(s.period, 100))), "endpoints": rawJSON(`{"lease_ms": 15000}`),
			"leases": rawJSON(`{"lease_ms": 1000, "stop_ms": 50, "away_ms": 1000}`), "platform.endpoints": rawJSON(`{}`),
		},
	}
	third := vmAddress(vm, s.port+2)
	if control {
		own.DataDir = s.t.TempDir()
		own.Plugins["platform.control"] = rawJSON(fmt.Sprintf(`{"listen": %q}`, third))
		s.control = append(s.control, third)
	} else {
		own.Plugins["platform.callers"] = rawJSON(fmt.Sprintf(`{"listen": %q, "probes": %q, "drain_grace_ms": 50}`, third, vmAddress(vm, s.port+3)))
		s.callers = append(s.callers, third)
	}
	if err := own.Check(); err != nil {
		s.t.Fatal(err)
	}
	host, err := Start(own, slog.New(slog.DiscardHandler))
	if err != nil {
		s.t.Fatal(err)
	}
	s.hosts = append(s.hosts, host)
	s.t.Cleanup(func() { host.Stop() })
}

func rawJSON(text string) json.RawMessage { return json.RawMessage(text) }

// eventually polls until the condition holds. It fails the test when the test's context ends.
func (s *platformCluster) eventually(holds func() bool) {
	for !holds() {
		select {
		case <-s.t.Context().Done():
			s.t.Fatal("the condition did not become true before the test's context ended")
		case <-time.After(10 * time.Millisecond):
		}
	}
}

// callerDeadlineMS is how long callers wait for an answer, in milliseconds, where a test does not say otherwise.
const callerDeadlineMS = 8000

// call sends a request and returns the status and the body of the response. The status is 0 if there was no
// response.
func (s *platformCluster) call(method, address, host, path, body string) (int, string) {
	return s.callWithin(callerDeadlineMS, method, address, host, path, body)
}

// callWithin is call for a caller that waits for the given time.
func (s *platformCluster) callWithin(deadlineMS int, method, address, host, path, body string) (int, string) {
	request, err := http.NewRequestWithContext(s.t.Context(), method, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		s.t.Fatal(err)
	}
	request.Host = host
	request.Header.Set("X-Deadline-Ms", strconv.Itoa(deadlineMS))
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, ""
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, ""
	}
	return response.StatusCode, string(bytes.TrimSpace(content))
}

func (s *platformCluster) get(address, host, path string) int {
	status, _ := s.call(http.MethodGet, address, host, path, "")
	return status
}

// putConfig puts a configuration of that version, with a route for the test's jobs, and waits until it is in
// force at all entry VMs. The route "v" exists only to show which version is in force.
func (s *platformCluster) putConfig(version int) {
	s.t.Helper()
	body := fmt.Sprintf(`{"version": %d, "routes": [
		{"name": "r", "host": %q, "path_prefix": %q, "type": "unsafe", "timeout_ms": 1500, "target_duration_ms": 60,
		 "priority": 0, "service": "finder", "max_attempts": 3, "stretch": 1.6},
		{"name": "v", "host": %q, "path_prefix": "/version-%d/", "timeout_ms": 1500, "service": "finder"}],
		"services": [{"name": "finder", "health_path": "/health", "max_connections": 64, "admission_control": true}],
		"limits": {"max_body_bytes": 4096}}`, version, testHost, testPrefix, testHost, version)
	s.eventually(func() bool {
		status, _ := s.call(http.MethodPut, s.control[version%len(s.control)], "", "/config", body)
		return status == http.StatusOK
	})
	for _, entry := range s.callers {
		s.eventually(func() bool { return s.get(entry, testHost, fmt.Sprintf("/version-%d/", version)) == http.StatusOK })
	}
}

// readConfig reads the configuration back at a control VM. While no majority confirms in time which one is the newest, as
// when the disk is slow, the VM answers 503; like an operator, this asks again.
func (s *platformCluster) readConfig(control int) (content string) {
	s.t.Helper()
	s.eventually(func() bool {
		status, body := s.call(http.MethodGet, s.control[control], "", "/config", "")
		content = body
		return status != http.StatusServiceUnavailable
	})
	return content
}

func (s *platformCluster) startEndpoint(number, cpu int, fault func(string, int) leased.Fault) *leased.Endpoint {
	s.t.Helper()
	e, err := leased.Start(leased.Config{
		ID: "i-" + strconv.Itoa(number), Service: "finder", Zone: s.dataCentre(number), Control: s.control, CPU: cpu, Slots: 8,
		HeartbeatInterval: cmp.Or(s.heartbeat, 100*time.Millisecond), MaxHold: time.Second, Fault: fault,
	})
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(e.Stop)
	return e
}

// submitJob submits a new job of equal tasks.
func (s *platformCluster) submitJob(entry string, tasks, ms, cpu int) (status int, body string) {
	s.jobs++
	return s.postJob(entry, fmt.Sprintf("%016x", s.jobs), tasks, ms, cpu)
}

func (s *platformCluster) postJob(entry, id string, tasks, ms, cpu int) (status int, body string) {
	return s.postSpec(entry, id, tasks, leased.Spec{MS: ms, CPU: cpu})
}

// postSpec submits a job of equal tasks with the given specification.
func (s *platformCluster) postSpec(entry, id string, tasks int, of leased.Spec) (status int, body string) {
	return s.postWithin(callerDeadlineMS, entry, id, tasks, of)
}

// postWithin is postSpec for a caller that waits for the given time.
func (s *platformCluster) postWithin(deadlineMS int, entry, id string, tasks int, of leased.Spec) (status int, body string) {
	spec, err := json.Marshal(of)
	if err != nil {
		s.t.Fatal(err)
	}
	job, err := json.Marshal(map[string]any{
		"spec": string(spec), "best_effort": true,
		"steps": []map[string]any{{"count": tasks, "cpu": of.CPU, "mem_mb": 64, "estimated_ms": of.MS}},
	})
	if err != nil {
		s.t.Fatal(err)
	}
	return s.callWithin(deadlineMS, http.MethodPost, entry, testHost, testPrefix+id, string(job))
}

// awaitReady waits until a job has completed at each entry VM.
func (s *platformCluster) awaitReady() {
	for _, entry := range s.callers {
		s.eventually(func() bool {
			status, _ := s.submitJob(entry, 1, 1, 100)
			return status == http.StatusOK
		})
	}
}

func TestPlatformJobRunsEachTaskOnce(t *testing.T) {
	is := is.New(t)
	s := startPlatformCluster(t, 3, 2)
	a, b := s.startEndpoint(1, 16000, nil), s.startEndpoint(2, 16000, nil)
	s.putConfig(7)
	s.awaitReady()
	for _, entry := range s.callers {
		status, body := s.postJob(entry, "00000000000000aa"[:15]+entry[8:9], 8, 20, 4000)
		is.Equal(status, http.StatusOK)
		is.Equal(body, `{"state":"completed"}`)
	}
	for _, e := range []*leased.Endpoint{a, b} {
		for task, starts := range e.StartCounts() {
			if starts != 1 {
				t.Errorf("%s was started %d times", task, starts)
			}
		}
	}
	entry := s.callers[0]
	is.Equal(s.get(entry, testHost, testPrefix), http.StatusOK)
	is.Equal(s.get(entry, testHost, "/version-6/"), http.StatusNotFound)
	is.Equal(s.get(entry, testHost, testPrefix+"00000000000000ff"), http.StatusGone)
	status, _ := s.call(http.MethodPost, entry, testHost, testPrefix+"00000000000000ff", `{"spec":`)
	is.Equal(status, http.StatusBadRequest)
	status, _ = s.call(http.MethodPost, entry, testHost, testPrefix+"00000000000000ff", strings.Repeat("x", 5000))
	is.Equal(status, http.StatusRequestEntityTooLarge)
	is.True(strings.HasPrefix(s.readConfig(0), `{"version": 7,`))
	for _, invalid := range []string{`{"version": 8`, `{"version": 8, "routes": [{"name": "x"}], "services": []}`, `[]`, ``} {
		status, _ = s.call(http.MethodPut, s.control[1], "", "/config", invalid)
		is.Equal(status, http.StatusBadRequest)
	}
}

func TestPlatformJobRunsOnceWhenSentTwiceConcurrently(t *testing.T) {
	is := is.New(t)
	s := startPlatformCluster(t, 1, 1)
	e := s.startEndpoint(1, 16000, nil)
	s.putConfig(1)
	s.awaitReady()
	var submissions sync.WaitGroup
	for range 2 {
		submissions.Go(func() {
			status, _ := s.postJob(s.callers[0], "00000000000000bb", 2, 100, 100)
			is.Equal(status, http.StatusOK)
		})
	}
	submissions.Wait()
	is.Equal(e.StartCounts()["00000000000000bb.0.0.0"], 1)
	is.Equal(e.StartCounts()["00000000000000bb.0.0.1"], 1)
}

func TestPlatformJobsCompleteDespiteEndpointFaults(t *testing.T) {
	faults := map[string]leased.Fault{
		"no answer": {DropReply: true}, "executed late": {ExecuteAfter: 600 * time.Millisecond},
		"refused": {Refuse: true}, "the task fails": {Fail: true},
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := startPlatformCluster(t, 1, 1)
			const callsBeforeFaults = 4 // Calls of each kind before the first fault.
			e := s.startEndpoint(1, 16000, func(_ string, call int) leased.Fault {
				if call > callsBeforeFaults && call%3 == 0 {
					return fault
				}
				return leased.Fault{}
			})
			s.putConfig(1)
			s.awaitReady()
			for range 5 {
				status, body := s.submitJob(s.callers[0], 3, 20, 1000)
				is.Equal(status, http.StatusOK)
				is.True(body == `{"state":"completed"}` || fault.Fail)
			}
			s.eventually(func() bool { return len(e.Running()) == 0 })
		})
	}
}

func TestDrainingEndpointGetsNoWork(t *testing.T) {
	is := is.New(t)
	s := startPlatformCluster(t, 1, 1)
	a, b := s.startEndpoint(1, 16000, nil), s.startEndpoint(2, 16000, nil)
	s.putConfig(1)
	s.awaitReady()
	a.Drain()
	s.eventually(func() bool { // Until no job is placed at a any more.
		before := len(a.StartCounts())
		for range 4 {
			s.submitJob(s.callers[0], 2, 1, 8000)
		}
		return len(a.StartCounts()) == before
	})
	before := len(a.StartCounts())
	for range 10 {
		status, _ := s.submitJob(s.callers[0], 2, 1, 8000)
		is.Equal(status, http.StatusOK)
	}
	is.Equal(len(a.StartCounts()), before)
	is.True(len(b.StartCounts()) > 0)
}

func TestEntryVMsServeWithoutControlVMs(t *testing.T) {
	is := is.New(t)
	s := startPlatformCluster(t, 3, 2)
	s.startEndpoint(1, 16000, nil)
	s.putConfig(1)
	s.awaitReady()
	for _, control := range s.hosts[:3] {
		is.NoErr(control.Stop())
	}
	for _, entry := range s.callers {
		status, _ := s.submitJob(entry, 2, 20, 1000)
		is.Equal(status, http.StatusOK)
	}
}

func TestPlatformJobStopsWhenItsCallerDisconnects(t *testing.T) {
	is := is.New(t)
	s := startPlatformCluster(t, 1, 1)
	e := s.startEndpoint(1, 16000, nil)
	s.putConfig(1)
	s.awaitReady()
	ctx, disconnect := context.WithCancel(t.Context())
	body := `{"spec":"{\"ms\":60000,\"cpu\":100}","best_effort":true,"steps":[{"count":1,"cpu":100,"mem_mb":1,"estimated_ms":10}]}`
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.callers[0]+testPrefix+"00000000000000cc", strings.NewReader(body))
	is.NoErr(err)
	request.Host = testHost
	request.Header.Set("X-Deadline-Ms", "60000")
	var caller sync.WaitGroup
	caller.Go(func() {
		if response, err := http.DefaultClient.Do(request); err == nil {
			response.Body.Close()
		}
	})
	s.eventually(func() bool { return len(e.Running()) == 1 })
	disconnect()
	caller.Wait()
	s.eventually(func() bool { return len(e.Running()) == 0 })
}
