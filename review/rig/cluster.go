package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Machine is a machine of the system, which runs one process of the project.
type Machine struct {
	Name, Zone, IP string
	Core           bool
	DataDir        string
	Settings       string
	cmd            *exec.Cmd
	done           chan struct{}
}

// Cluster is a small deployment: core and frontend machines, each with a loopback address of its own.
type Cluster struct {
	rec      *Record
	root     string // Root of the repository.
	temp     string
	net2     int // Second byte of all loopback addresses.
	net3     int // Third byte of the machines' addresses; executors use the next ones.
	port     int // First of the internal ports.
	machines []*Machine
	seeds    []string
	started  bool
	mu       sync.Mutex
}

const (
	offsetFrontend  = 20
	offsetReadiness = 21
	offsetControl   = 22
	offsetExecutor  = 30
)

func newCluster(rec *Record, root string) (*Cluster, error) {
	temp, err := os.MkdirTemp("", "rig")
	if err != nil {
		return nil, err
	}
	c := &Cluster{rec: rec, root: root, temp: temp}
	for range 50 {
		c.net2, c.net3, c.port = 64+rand.IntN(150), rand.IntN(200), 20000+rand.IntN(10000)
		if c.portsFree() {
			return c, nil
		}
	}
	return nil, fmt.Errorf("no free ports")
}

func (c *Cluster) portsFree() bool {
	for offset := range offsetExecutor + 1 {
		l, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.1:%d", c.net2, c.net3, c.port+offset))
		if err != nil {
			return false
		}
		l.Close()
	}
	return true
}

// Add adds a machine, which is not started yet.
func (c *Cluster) Add(name, zone string, core bool) *Machine {
	m := &Machine{Name: name, Zone: zone, Core: core, IP: fmt.Sprintf("127.%d.%d.%d", c.net2, c.net3, len(c.machines)+1)}
	if core {
		m.DataDir = filepath.Join(c.temp, name)
		if len(c.seeds) < 3 && !c.started {
			c.seeds = append(c.seeds, m.Control(c))
		}
	}
	c.machines = append(c.machines, m)
	return m
}

func (m *Machine) Control(c *Cluster) string { return fmt.Sprintf("%s:%d", m.IP, c.port+offsetControl) }
func (m *Machine) Frontend(c *Cluster) string {
	return fmt.Sprintf("%s:%d", m.IP, c.port+offsetFrontend)
}
func (m *Machine) Ready(c *Cluster) string { return fmt.Sprintf("%s:%d", m.IP, c.port+offsetReadiness) }

// settings fills in what the template of the machine's role gives for a small deployment.
func (c *Cluster) settings(m *Machine) map[string]any {
	plugins := map[string]any{
		"membership": map[string]any{"period_ms": 250},
		"jobs":       map[string]any{"ticket_ms": 6000, "answers_ms": 3000},
		"endpoints":  map[string]any{"lease_ms": 15000, "split_above": 15},
		"leases":     map[string]any{"lease_ms": 1000, "stop_ms": 50, "away_ms": 3000},
	}
	plugins["platform.endpoints"] = map[string]any{}
	s := map[string]any{
		"node": m.Name, "region": "r", "data_centre": m.Zone,
		"listen": map[string]any{"peers": fmt.Sprintf("%s:%d", m.IP, c.port), "operators": fmt.Sprintf("%s:%d", m.IP, c.port+15)},
		"seeds":  c.seeds, "bootstrap": !c.started, "stop_within_s": 6,
		"without": []string{"taskclient", "frontend.callers", "frontend.announce"}, "plugins": plugins,
	}
	if m.Core {
		s["reserve"], s["data_dir"] = true, m.DataDir
		plugins["profiles"] = map[string]any{"detect_copies": false, "tolerated_disks": 1}
		plugins["platform.control"] = map[string]any{"listen": m.Control(c)}
	} else {
		plugins["platform.callers"] = map[string]any{"listen": m.Frontend(c), "probes": m.Ready(c)}
	}
	return s
}

// Start starts a machine's process.
func (c *Cluster) Start(m *Machine) error {
	raw, err := json.Marshal(c.settings(m))
	if err != nil {
		return err
	}
	if m.Core {
		os.MkdirAll(m.DataDir, 0o755)
	}
	m.Settings = filepath.Join(c.temp, m.Name+".json")
	if err := os.WriteFile(m.Settings, raw, 0o600); err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(c.temp, m.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command("target/redwingd", "run")
	cmd.Dir = c.root
	cmd.Env = []string{"REDWINGPULLEY_CONFIG=" + m.Settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C.UTF-8"}
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	out.Close()
	done := make(chan struct{})
	c.mu.Lock()
	m.cmd, m.done = cmd, done
	c.mu.Unlock()
	c.rec.Add("platform: %s starts", m.Name)
	go func() {
		cmd.Wait()
		c.rec.Add("platform: the process of %s has ended: %v", m.Name, cmd.ProcessState)
		close(done)
	}()
	return nil
}

// Signal sends a signal to a machine's process.
func (c *Cluster) Signal(m *Machine, s syscall.Signal) {
	c.rec.Add("platform: %s gets %v", m.Name, s)
	m.cmd.Process.Signal(s)
}

// Stop stops a machine as the platform does: SIGTERM, and SIGKILL after grace_s.
func (c *Cluster) Stop(m *Machine) {
	c.Signal(m, syscall.SIGTERM)
	select {
	case <-m.done:
	case <-time.After(6 * time.Second):
		c.Signal(m, syscall.SIGKILL)
		<-m.done
	}
}

// Close ends all processes.
func (c *Cluster) Close() {
	for _, m := range c.machines {
		if m.cmd != nil {
			m.cmd.Process.Signal(syscall.SIGCONT)
			m.cmd.Process.Kill()
		}
	}
	for _, m := range c.machines {
		if m.cmd != nil {
			<-m.done
		}
	}
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(c.temp)
	}
}

func (c *Cluster) pick(core bool) (machines []*Machine) {
	for _, m := range c.machines {
		if m.Core == core {
			machines = append(machines, m)
		}
	}
	return machines
}

// Cores and Fronts return the machines of a class.
func (c *Cluster) Cores() []*Machine  { return c.pick(true) }
func (c *Cluster) Fronts() []*Machine { return c.pick(false) }

// call sends one request over a channel of its own and returns the status, 0 without a response, and the body.
func call(method, address, host, path string, body []byte, wait time.Duration, headers ...string) (int, string) {
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	if host != "" {
		r.Host = host
	}
	r.Header.Set("Content-Type", "application/json")
	for i := 0; i+1 < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	r.Close = true
	t := &http.Transport{DisableKeepAlives: true}
	response, err := t.RoundTrip(r)
	if err != nil {
		return 0, err.Error()
	}
	defer response.Body.Close()
	raw, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err.Error()
	}
	return response.StatusCode, strings.TrimSpace(string(raw))
}

// IsReady asks for a machine's readiness, as the platform does each second.
func (c *Cluster) IsReady(m *Machine) bool {
	status, _ := call("GET", m.Ready(c), "", "/ready", nil, time.Second)
	return status == 200
}

// AwaitReady waits until all frontend machines are ready.
func (c *Cluster) AwaitReady(wait time.Duration) bool {
	for end := time.Now().Add(wait); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		ready := 0
		for _, m := range c.Fronts() {
			if c.IsReady(m) {
				ready++
			}
		}
		if ready == len(c.Fronts()) {
			return true
		}
	}
	return false
}

// PutConfig sends a desired state until it is acknowledged, to one node after the other with increasing backoff.
func (c *Cluster) PutConfig(document map[string]any, wait time.Duration) bool {
	raw, _ := json.Marshal(document)
	cores := c.Cores()
	backoff := 100 * time.Millisecond
	for i, end := 0, time.Now().Add(wait); time.Now().Before(end); i++ {
		m := cores[i%len(cores)]
		status, _ := call("PUT", m.Control(c), "", "/config", raw, time.Second)
		c.rec.Add("operator: PUT /config version %v to %s: %d", document["version"], m.Name, status)
		if status == 200 {
			return true
		}
		time.Sleep(backoff)
		backoff = min(2*backoff, 2*time.Second)
	}
	return false
}
