package node

import (
	"bytes"
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

// system is the product on the users' platform, in this process: control VMs, entry VMs and
// endpoints of one data centre. Each VM has a loopback address of its own, since all have the same
// port for peers.
type system struct {
	t       *testing.T
	port    int // Of the listeners for peers; the others follow it.
	seeds   []string
	control []string // Addresses for operators and heartbeats.
	callers []string
	hosts   []*plugin.Host
	jobs    int
}

const (
	portsOfVM  = 4 // Peers, operators, callers or control, probes.
	testHost   = "shop.example"
	testPrefix = "/match/"
)

func vmAddress(vm, port int) string { return fmt.Sprintf("127.0.9.%d:%d", vm+1, port) }

// freePorts returns the first of a few ports that no VM uses.
func freePorts(t *testing.T) int {
	t.Helper()
	listener, err := net.Listen("tcp", vmAddress(0, 0))
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	return listener.Addr().(*net.TCPAddr).Port
}

func startSystem(t *testing.T, controls, entries int) *system {
	t.Helper()
	s := &system{t: t, port: freePorts(t)}
	for i := range min(controls, 3) {
		s.seeds = append(s.seeds, vmAddress(i, 1))
	}
	for i := range controls + entries {
		s.start(i, i < controls, true)
	}
	for _, entry := range s.callers {
		s.await(func() bool { return s.get(entry, "other", "/") != 0 })
	}
	return s
}

// start runs the VM of that number.
func (s *system) start(vm int, control, bootstrap bool) {
	s.t.Helper()
	own := settings.Settings{
		Node: model.NodeID("vm-" + strconv.Itoa(vm)), DataCentre: "sj1", Seeds: s.seeds, Bootstrap: bootstrap, Reserve: control,
		Listen:  settings.Listen{Peers: vmAddress(vm, s.port), Operators: vmAddress(vm, s.port+1)},
		Without: []string{"taskclient", "frontend.callers", "frontend.announce"},
		Plugins: map[string]json.RawMessage{
			"membership": raw(`{"period_ms": 100}`), "endpoints": raw(`{"lease_ms": 15000}`),
			"leases": raw(`{"lease_ms": 1000, "stop_ms": 50, "away_ms": 1000}`), "platform.endpoints": raw(`{}`),
		},
	}
	third := vmAddress(vm, s.port+2)
	if control {
		own.DataDir = s.t.TempDir()
		own.Plugins["platform.control"] = raw(fmt.Sprintf(`{"listen": %q}`, third))
		s.control = append(s.control, third)
	} else {
		own.Plugins["platform.callers"] = raw(fmt.Sprintf(`{"listen": %q, "probes": %q, "drain_grace_ms": 50}`, third, vmAddress(vm, s.port+3)))
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

func raw(text string) json.RawMessage { return json.RawMessage(text) }

// await polls until the condition holds; the test's own time limit ends it.
func (s *system) await(holds func() bool) {
	for !holds() {
		select {
		case <-s.t.Context().Done():
			s.t.Fatal("never held")
		case <-time.After(10 * time.Millisecond):
		}
	}
}

// call sends a request and returns the status, 0 when none came, and the body.
func (s *system) call(method, address, host, path, body string) (int, string) {
	request, err := http.NewRequestWithContext(s.t.Context(), method, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		s.t.Fatal(err)
	}
	request.Host = host
	request.Header.Set("X-Deadline-Ms", "8000")
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

func (s *system) get(address, host, path string) int {
	status, _ := s.call(http.MethodGet, address, host, path, "")
	return status
}

// declare has version accepted, with a route for the test's jobs, and waits until it is in force.
func (s *system) declare(version int) {
	s.t.Helper()
	body := fmt.Sprintf(`{"version": %d, "routes": [
		{"name": "r", "host": %q, "path_prefix": %q, "type": "unsafe", "timeout_ms": 1500, "target_duration_ms": 60,
		 "priority": 0, "service": "finder", "max_attempts": 3, "stretch": 1.6},
		{"name": "v", "host": %q, "path_prefix": "/version-%d/", "timeout_ms": 1500, "service": "finder"}],
		"services": [{"name": "finder", "health_path": "/health", "max_connections": 64, "admission_control": true}],
		"limits": {"max_body_bytes": 4096}}`, version, testHost, testPrefix, testHost, version)
	s.await(func() bool {
		status, _ := s.call(http.MethodPut, s.control[version%len(s.control)], "", "/config", body)
		return status == http.StatusOK
	})
	for _, entry := range s.callers {
		s.await(func() bool { return s.get(entry, testHost, fmt.Sprintf("/version-%d/", version)) == http.StatusOK })
	}
}

func (s *system) endpoint(number, cpu int, fault func(string, int) leased.Fault) *leased.Endpoint {
	s.t.Helper()
	e, err := leased.Start(leased.Config{
		ID: "i-" + strconv.Itoa(number), Service: "finder", Zone: "sj1", Control: s.control, CPU: cpu, Slots: 8,
		Beat: 100 * time.Millisecond, MaxHold: time.Second, Fault: fault,
	})
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(e.Stop)
	return e
}

// submit posts a new job of equal tasks.
func (s *system) submit(entry string, tasks, ms, cpu int) (status int, body string) {
	s.jobs++
	return s.post(entry, fmt.Sprintf("%016x", s.jobs), tasks, ms, cpu)
}

func (s *system) post(entry, id string, tasks, ms, cpu int) (status int, body string) {
	spec, err := json.Marshal(leased.Spec{MS: ms, CPU: cpu})
	if err != nil {
		s.t.Fatal(err)
	}
	job, err := json.Marshal(map[string]any{
		"spec": string(spec), "best_effort": true,
		"steps": []map[string]any{{"count": tasks, "cpu": cpu, "mem_mb": 64, "estimated_ms": ms}},
	})
	if err != nil {
		s.t.Fatal(err)
	}
	return s.call(http.MethodPost, entry, testHost, testPrefix+id, string(job))
}

// ready waits until jobs are completed at each entry VM.
func (s *system) ready() {
	for _, entry := range s.callers {
		s.await(func() bool {
			status, _ := s.submit(entry, 1, 1, 100)
			return status == http.StatusOK
		})
	}
}

func TestAJobOnThePlatformRunsEachTaskOnce(t *testing.T) {
	is := is.New(t)
	s := startSystem(t, 3, 2)
	a, b := s.endpoint(1, 16000, nil), s.endpoint(2, 16000, nil)
	s.declare(7)
	s.ready()
	for _, entry := range s.callers {
		status, body := s.post(entry, "00000000000000aa"[:15]+entry[8:9], 8, 20, 4000)
		is.Equal(status, http.StatusOK)
		is.Equal(body, `{"state":"completed"}`)
	}
	for _, e := range []*leased.Endpoint{a, b} {
		for task, starts := range e.Begun() {
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
	status, body := s.call(http.MethodGet, s.control[0], "", "/config", "")
	is.Equal(status, http.StatusOK)
	is.True(strings.HasPrefix(body, `{"version": 7,`))
	for _, invalid := range []string{`{"version": 8`, `{"version": 8, "routes": [{"name": "x"}], "services": []}`, `[]`, ``} {
		status, _ = s.call(http.MethodPut, s.control[1], "", "/config", invalid)
		is.Equal(status, http.StatusBadRequest)
	}
}

func TestTheSameJobSentTwiceAtOnceRunsOnce(t *testing.T) {
	is := is.New(t)
	s := startSystem(t, 1, 1)
	e := s.endpoint(1, 16000, nil)
	s.declare(1)
	s.ready()
	var both sync.WaitGroup
	for range 2 {
		both.Go(func() {
			status, _ := s.post(s.callers[0], "00000000000000bb", 2, 100, 100)
			is.Equal(status, http.StatusOK)
		})
	}
	both.Wait()
	is.Equal(e.Begun()["00000000000000bb.0.0.0"], 1)
	is.Equal(e.Begun()["00000000000000bb.0.0.1"], 1)
}

func TestLostAnswersAndLateOrdersOnThePlatform(t *testing.T) {
	faults := map[string]leased.Fault{
		"no answer": {Mute: true}, "carried out late": {Later: 600 * time.Millisecond},
		"refused": {Refuse: true}, "the task fails": {Fail: true},
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := startSystem(t, 1, 1)
			const quiet = 4 // Calls of a kind before the first fault.
			e := s.endpoint(1, 16000, func(_ string, call int) leased.Fault {
				if call > quiet && call%3 == 0 {
					return fault
				}
				return leased.Fault{}
			})
			s.declare(1)
			s.ready()
			for range 5 {
				status, body := s.submit(s.callers[0], 3, 20, 1000)
				is.Equal(status, http.StatusOK)
				is.True(body == `{"state":"completed"}` || fault.Fail)
			}
			s.await(func() bool { return len(e.Running()) == 0 })
		})
	}
}

func TestADrainingEndpointGetsNoWork(t *testing.T) {
	is := is.New(t)
	s := startSystem(t, 1, 1)
	a, b := s.endpoint(1, 16000, nil), s.endpoint(2, 16000, nil)
	s.declare(1)
	s.ready()
	a.Drain()
	s.await(func() bool { // Until a job finds no room at a.
		before := len(a.Begun())
		for range 4 {
			s.submit(s.callers[0], 2, 1, 8000)
		}
		return len(a.Begun()) == before
	})
	before := len(a.Begun())
	for range 10 {
		status, _ := s.submit(s.callers[0], 2, 1, 8000)
		is.Equal(status, http.StatusOK)
	}
	is.Equal(len(a.Begun()), before)
	is.True(len(b.Begun()) > 0)
}

func TestEntryVMsServeOnWithoutControlVMs(t *testing.T) {
	is := is.New(t)
	s := startSystem(t, 3, 2)
	s.endpoint(1, 16000, nil)
	s.declare(1)
	s.ready()
	for _, control := range s.hosts[:3] {
		is.NoErr(control.Stop())
	}
	for _, entry := range s.callers {
		status, _ := s.submit(entry, 2, 20, 1000)
		is.Equal(status, http.StatusOK)
	}
}

func TestACallerThatLeavesHasItsJobStopped(t *testing.T) {
	is := is.New(t)
	s := startSystem(t, 1, 1)
	e := s.endpoint(1, 16000, nil)
	s.declare(1)
	s.ready()
	ctx, leave := context.WithCancel(t.Context())
	body := `{"spec":"{\"ms\":60000,\"cpu\":100}","best_effort":true,"steps":[{"count":1,"cpu":100,"mem_mb":1,"estimated_ms":10}]}`
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.callers[0]+testPrefix+"00000000000000cc", strings.NewReader(body))
	is.NoErr(err)
	request.Host = testHost
	request.Header.Set("X-Deadline-Ms", "60000")
	var gone sync.WaitGroup
	gone.Go(func() {
		if response, err := http.DefaultClient.Do(request); err == nil {
			response.Body.Close()
		}
	})
	s.await(func() bool { return len(e.Running()) == 1 })
	leave()
	gone.Wait()
	s.await(func() bool { return len(e.Running()) == 0 })
}
