package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// Ports of all machines; each machine has a loopback address of its own.
const (
	portPeers, portOperators, portControl, portFrontend, portReadiness = 7720, 7735, 8166, 8161, 8167
)

var (
	startedAt = time.Now()
	recordMu  sync.Mutex
	record    io.Writer = os.Stdout
)

// stamp returns a time in seconds since the start of the case.
func stamp(t time.Time) string { return fmt.Sprintf("%.3f", t.Sub(startedAt).Seconds()) }

// say writes a line to the record.
func say(format string, args ...any) {
	recordMu.Lock()
	defer recordMu.Unlock()
	fmt.Fprintf(record, "%9s  %s\n", stamp(time.Now()), fmt.Sprintf(format, args...))
}

// say writes a line about one system to the record.
func (c *cluster) say(format string, args ...any) { say(c.name+format, args...) }

// machine is one machine of the system with its process.
type machine struct {
	name, class, zone, ip string
	settings, dataDir     string
	mu                    sync.Mutex
	command               *exec.Cmd
	ended                 chan struct{} // Closed when the process has ended.
}

// cluster is the system, with the platform's part in it: settings, addresses and executors.
type cluster struct {
	dir, program, prefix string
	name                 string       // Begins its lines in the record.
	reserved             net.Listener // Keeps other runs from using the same addresses.
	zones                []string
	machines             []*machine
	links                map[[2]string]*proxy // Links between machines, by the one that connects and the one that listens.
	executors            []*executor
	runs                 *ledger
}

// newCluster lays out the machines of the small site: core machines and frontends in four zones. With links, all messages between the
// processes pass through proxies, which can be cut.
func newCluster(program string, withLinks bool) (*cluster, error) {
	dir, err := os.MkdirTemp("", "case")
	if err != nil {
		return nil, err
	}
	c := &cluster{
		dir: dir, program: program, zones: []string{"cluj", "mures", "alba", "bistrita"}, runs: &ledger{open: map[string][]*interval{}},
	}
	if err := c.reserveAddresses(); err != nil {
		return nil, err
	}
	for _, zone := range c.zones {
		c.add("core-"+zone+"-1", "core", zone)
	}
	for i, count := range []int{2, 3, 1, 2} {
		for k := range count {
			c.add(fmt.Sprintf("frontend-%s-%d", c.zones[i], k+1), "frontend", c.zones[i])
		}
	}
	if withLinks {
		err = c.addLinks()
	}
	return c, err
}

// reserveAddresses chooses a range of loopback addresses that no other run has.
func (c *cluster) reserveAddresses() (err error) {
	for range 100 {
		c.prefix = fmt.Sprintf("127.%d", 20+rand.IntN(200))
		if c.reserved, err = net.Listen("tcp", c.prefix+".9.9:9999"); err == nil {
			return nil
		}
	}
	return err
}

func (c *cluster) add(name, class, zone string) {
	ip := fmt.Sprintf("%s.0.%d", c.prefix, len(c.machines)+1)
	c.machines = append(c.machines, &machine{
		name: name, class: class, zone: zone, ip: ip, settings: filepath.Join(c.dir, name+".json"), dataDir: filepath.Join(c.dir, name),
	})
}

func (c *cluster) addLinks() error {
	c.links = make(map[[2]string]*proxy)
	for i, from := range c.machines {
		for j, to := range c.machines {
			if i == j {
				continue
			}
			p, err := newProxy(fmt.Sprintf("%s.1.%d:%d", c.prefix, 1+i, 20000+j), to.address(portPeers))
			if err != nil {
				return err
			}
			c.links[[2]string{from.name, to.name}] = p
		}
	}
	return nil
}

// partition cuts a machine off from all other machines of the system, in both directions, or connects it again.
func (c *cluster) partition(m *machine, cut bool) {
	for ends, link := range c.links {
		if ends[0] == m.name || ends[1] == m.name {
			link.setCut(cut)
		}
	}
}

func (m *machine) address(port int) string { return m.ip + ":" + strconv.Itoa(port) }

// of returns the machines of a class, all or those in one zone.
func (c *cluster) of(class, zone string) (all []*machine) {
	for _, m := range c.machines {
		if m.class == class && (zone == "" || m.zone == zone) {
			all = append(all, m)
		}
	}
	return all
}

func (c *cluster) machine(name string) *machine {
	for _, m := range c.machines {
		if m.name == name {
			return m
		}
	}
	return nil
}

// controls returns the addresses that serve executors and the operator.
func (c *cluster) controls() (all []string) {
	for _, m := range c.of("core", "") {
		all = append(all, m.address(portControl))
	}
	return all
}

// writeSettings writes a machine's settings file from its role's template, as the platform does.
func (c *cluster) writeSettings(m *machine, bootstrap bool) error {
	var seeds []any
	for _, address := range c.controls()[:3] {
		seeds = append(seeds, address)
	}
	fields := map[string]any{
		"node_name": m.name, "zone": m.zone, "region": "transilvania", "ip": m.ip, "internal_ports": []any{portPeers, portOperators},
		"seeds": seeds, "bootstrap": bootstrap, "fault_tolerance": map[string]any{"machines": 1},
		"bounds": map[string]any{"grace_s": 6, "max_hold_ms": 1000, "stop_timeout_ms": 50, "lease_ms": 3000},
		"limits": map[string]any{"cpu_share": 0.4},
		"listen_addrs": map[string]any{
			"frontend": m.address(portFrontend), "readiness": m.address(portReadiness), "control": m.address(portControl),
		},
	}
	template := "deploy/entry.json.tmpl"
	if m.class == "core" {
		template = "deploy/control.json.tmpl"
		fields["data_dir"], fields["limits"] = m.dataDir, map[string]any{"cpu_share": 0.8}
		if err := os.MkdirAll(m.dataDir, 0o755); err != nil {
			return err
		}
	}
	raw, err := render(template, fields)
	if err != nil {
		return err
	}
	if len(c.links) > 0 {
		if raw, err = c.throughLinks(m, raw); err != nil {
			return err
		}
	}
	return os.WriteFile(m.settings, raw, 0o644)
}

// throughLinks adds to a machine's settings that it reaches the others through the proxies.
func (c *cluster) throughLinks(m *machine, raw []byte) ([]byte, error) {
	var settings map[string]any
	if err := json.Unmarshal(raw, &settings); err != nil {
		return nil, err
	}
	addresses := make(map[string]string)
	for ends, link := range c.links {
		if ends[0] == m.name {
			addresses[ends[1]] = link.listener.Addr().String()
		}
	}
	settings["plugins"].(map[string]any)["peer.http"] = map[string]any{"addresses": addresses}
	return json.MarshalIndent(settings, "", "  ")
}

// start starts all machines for the first time.
func (c *cluster) start() error {
	for _, m := range c.machines {
		if err := c.writeSettings(m, true); err != nil {
			return err
		}
	}
	for _, m := range c.machines {
		if err := c.launch(m); err != nil {
			return err
		}
	}
	return nil
}

// started holds the processes that run, to be ended if this process is told to end.
var started struct {
	sync.Mutex
	running map[*os.Process]bool
}

func noteRunning(p *os.Process, running bool) {
	started.Lock()
	defer started.Unlock()
	if started.running == nil {
		started.running = make(map[*os.Process]bool)
	}
	started.running[p] = running
}

// endAllStarted ends all processes, and keeps the lock so that no other one is noted.
func endAllStarted() {
	started.Lock()
	for p, running := range started.running {
		if running {
			p.Kill()
		}
	}
}

// launch starts a machine's process with the command of the deploy file.
func (c *cluster) launch(m *machine) error {
	output, err := os.OpenFile(filepath.Join(c.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	command := exec.Command(c.program, "run")
	command.Env = append(os.Environ(), "REDWINGPULLEY_CONFIG="+m.settings)
	command.Stdout, command.Stderr = output, output
	if err := command.Start(); err != nil {
		return err
	}
	noteRunning(command.Process, true)
	ended := make(chan struct{})
	m.mu.Lock()
	m.command, m.ended = command, ended
	m.mu.Unlock()
	go func() {
		command.Wait()
		noteRunning(command.Process, false)
		output.Close()
		close(ended)
	}()
	return nil
}

// signal sends a signal to a machine's process.
func (m *machine) signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.command != nil {
		m.command.Process.Signal(s)
	}
}

// stop ends everything that the case has started.
func (c *cluster) stop() {
	for _, m := range c.machines {
		m.signal(syscall.SIGCONT)
		m.signal(syscall.SIGKILL)
	}
	for _, m := range c.machines {
		if m.ended != nil {
			<-m.ended
		}
	}
	for _, e := range c.executors {
		e.crash()
	}
	for _, link := range c.links {
		link.listener.Close()
		link.lose()
	}
	c.reserved.Close()
	if os.Getenv("KEEP") != "" {
		say("the logs are in %s", c.dir)
		return
	}
	os.RemoveAll(c.dir)
}

// addExecutors starts executors in each zone.
func (c *cluster) addExecutors(perZone int) error {
	for i, zone := range c.zones {
		for k := range perZone {
			e := &executor{
				id: fmt.Sprintf("i-%s-%d", zone, k+1), zone: zone, addr: fmt.Sprintf("%s.2.%d:8080", c.prefix, 1+i*50+k),
				service: serviceName, controls: c.controls(), cpu: 64000, slots: 8, leds: c.runs,
			}
			c.executors = append(c.executors, e)
			if err := e.start(); err != nil {
				return err
			}
		}
	}
	return nil
}

var errNotReady = errors.New("the system does not become ready")

// serve brings the system into service: machines, executors, the first desired state, readiness of all frontends.
func (c *cluster) serve(executorsPerZone int) error {
	if err := c.start(); err != nil {
		return err
	}
	if err := c.addExecutors(executorsPerZone); err != nil {
		return err
	}
	if !put(c.controls(), desiredState(1), 20*time.Second) {
		return errNotReady
	}
	for until := time.Now().Add(20 * time.Second); time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, m := range c.of("frontend", "") {
			if status, _, err := call("GET", "http://"+m.address(portReadiness)+"/ready", "", nil, nil, time.Second); err == nil && status == 200 {
				ready++
			}
		}
		if ready == len(c.of("frontend", "")) {
			return nil
		}
	}
	return errNotReady
}
