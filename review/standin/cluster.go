// Command standin plays the cases of the review: it starts the project's own programs as separate processes with the
// command of the deploy file, and stands in for the platform, the executors, the clients and the operator.
package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Bounds of a small installation that the settings file passes on, and that the stand-ins keep to.
const (
	graceS      = 6
	maxHold     = 1000 * time.Millisecond
	stopTimeout = 50 * time.Millisecond
	leaseMS     = 3000
	heartbeat   = 1500 * time.Millisecond
	// internalPorts is the number of ports on each machine for the system's own use.
	internalPorts = 16
	resend        = 1300 * time.Millisecond
)

// record writes a line to the record of the play.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// machine is one machine of the system with its process.
type machine struct {
	name, class, zone, ip string
	c                     *cluster
	mu                    sync.Mutex
	cmd                   *exec.Cmd
	exited                chan struct{}
	log                   string
}

// cluster is an installation on loopback addresses.
type cluster struct {
	root, dir, net                        string
	rec                                   *record
	frontPort, readyPort, controlPort, p0 int
	machines                              []*machine
	seeds                                 []string
	zones                                 map[string]string
}

// freeBlock returns the first of count ports in a row that are free on an address.
func freeBlock(ip string, count int) int {
	for range 100 {
		first := 20000 + rand.IntN(10000) // Below the ports that the kernel gives to clients.
		var open []net.Listener
		for i := range count {
			l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, first+i))
			if err != nil {
				break
			}
			open = append(open, l)
		}
		for _, l := range open {
			l.Close()
		}
		if len(open) == count {
			return first
		}
	}
	cannot("no free block of ports")
	return 0
}

func newCluster(root string, rec *record) *cluster {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		cannot("%v", err)
	}
	net := fmt.Sprintf("127.%d.%d", 64+rand.IntN(64), rand.IntN(256)) // The first three bytes of all machines' addresses.
	first := freeBlock(net+".1", internalPorts+3)
	return &cluster{
		root: root, dir: dir, rec: rec, net: net, p0: first, frontPort: first + internalPorts, readyPort: first + internalPorts + 1,
		controlPort: first + internalPorts + 2, zones: map[string]string{},
	}
}

// add adds a machine of a class to a zone. Its addresses depend on its number only.
func (c *cluster) add(class, zone string) *machine {
	n := len(c.machines) + 1
	m := &machine{name: fmt.Sprintf("%s-%s-%d", class, zone, n), class: class, zone: zone, ip: fmt.Sprintf("%s.%d", c.net, n), c: c}
	m.log = filepath.Join(c.dir, m.name+".log")
	c.machines = append(c.machines, m)
	c.zones[zone] = "region-1"
	if class == "core" && len(c.seeds) < 3 {
		c.seeds = append(c.seeds, fmt.Sprintf("%s:%d", m.ip, c.controlPort))
	}
	return m
}

// settings returns the fields of the platform's settings file for a machine.
func (m *machine) settings(bootstrap bool) map[string]any {
	listen := map[string]any{"control": fmt.Sprintf("%s:%d", m.ip, m.c.controlPort)}
	var dataDir any = filepath.Join(m.c.dir, m.name)
	serves := []string{"control_plane"}
	if m.class == "frontend" {
		listen = map[string]any{"frontend": fmt.Sprintf("%s:%d", m.ip, m.c.frontPort), "readiness": fmt.Sprintf("%s:%d", m.ip, m.c.readyPort)}
		dataDir = nil
		serves = []string{"frontend"}
	}
	return map[string]any{
		"node_name": m.name, "role": m.class, "machine_class": m.class, "serves": serves, "ip": m.ip, "zone": m.zone,
		"region": "region-1", "zones": m.c.zones, "listen_addrs": listen, "internal_ports": []int{m.c.p0, m.c.p0 + internalPorts - 1},
		"seeds": m.c.seeds, "bootstrap": bootstrap, "counts_as_loss": m.class == "core", "data_dir": dataDir,
		"fault_tolerance": map[string]any{"machines": 1, "zones": 1, "regions": 0},
		"bounds": map[string]any{
			"grace_s": graceS, "max_hold_ms": maxHold.Milliseconds(), "stop_timeout_ms": stopTimeout.Milliseconds(), "lease_ms": leaseMS,
		},
	}
}

var placeholder = regexp.MustCompile(`\{\{([a-z_0-9.]+)(\|json)?\}\}`)

// fill fills in a template of the deploy folder, which uses plain placeholders only.
func fill(template string, fields map[string]any) string {
	return placeholder.ReplaceAllStringFunc(template, func(p string) string {
		parts := placeholder.FindStringSubmatch(p)
		var value any = fields
		for _, key := range strings.Split(parts[1], ".") {
			switch v := value.(type) {
			case map[string]any:
				value = v[key]
			case []int:
				i, _ := strconv.Atoi(key)
				value = v[i]
			}
		}
		if parts[2] == "" {
			return fmt.Sprint(value)
		}
		raw, _ := json.Marshal(value)
		return string(raw)
	})
}

// start starts the machine's process with the command of the deploy file.
func (m *machine) start(bootstrap bool) {
	template := "control.json.tmpl"
	if m.class == "frontend" {
		template = "entry.json.tmpl"
	}
	raw, err := os.ReadFile(filepath.Join(m.c.root, "deploy", template))
	if err != nil {
		cannot("%v", err)
	}
	file := filepath.Join(m.c.dir, m.name+".json")
	if err := os.WriteFile(file, []byte(fill(string(raw), m.settings(bootstrap))), 0o600); err != nil {
		cannot("%v", err)
	}
	if m.class == "core" {
		os.MkdirAll(filepath.Join(m.c.dir, m.name), 0o755)
	}
	out, err := os.OpenFile(m.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		cannot("%v", err)
	}
	cmd := exec.Command(filepath.Join(m.c.root, "target", "redwingd"), "run")
	cmd.Dir = m.c.root
	cmd.Env = []string{"REDWINGPULLEY_CONFIG=" + file, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C.UTF-8"}
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		cannot("start %s: %v", m.name, err)
	}
	out.Close()
	exited := make(chan struct{})
	go func() { cmd.Wait(); close(exited) }()
	m.mu.Lock()
	m.cmd, m.exited = cmd, exited
	m.mu.Unlock()
	m.c.rec.line("platform: starts %s (bootstrap %v)", m.name, bootstrap)
}

// signal sends a signal to the machine's process.
func (m *machine) signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.c.rec.line("platform: signal %d to %s", int(s), m.name)
	m.cmd.Process.Signal(s)
}

// logged reports how often the machine's log has a line with all of the texts.
func (m *machine) logged(texts ...string) (count int) {
	raw, _ := os.ReadFile(m.log)
lines:
	for _, line := range strings.Split(string(raw), "\n") {
		for _, text := range texts {
			if !strings.Contains(line, text) {
				continue lines
			}
		}
		count++
	}
	return count
}

func (m *machine) front() string   { return fmt.Sprintf("%s:%d", m.ip, m.c.frontPort) }
func (m *machine) control() string { return fmt.Sprintf("%s:%d", m.ip, m.c.controlPort) }
func (m *machine) ready() string   { return fmt.Sprintf("%s:%d", m.ip, m.c.readyPort) }

// class returns the machines of a class.
func (c *cluster) class(class string) (all []*machine) {
	for _, m := range c.machines {
		if m.class == class {
			all = append(all, m)
		}
	}
	return all
}

func (c *cluster) controls() (all []string) {
	for _, m := range c.class("core") {
		all = append(all, m.control())
	}
	return all
}

// stop ends all processes and removes the temporary folder.
func (c *cluster) stop() {
	for _, m := range c.machines {
		m.mu.Lock()
		if m.cmd != nil {
			m.cmd.Process.Kill()
			<-m.exited
		}
		m.mu.Unlock()
	}
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		os.CopyFS(keep, os.DirFS(c.dir))
	}
	os.RemoveAll(c.dir)
}

var operatorClient = &http.Client{Timeout: 1 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// call sends a request of the operator and returns its status, 0 without an answer.
func call(method, url, body string) (int, string) {
	request, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		cannot("%v", err)
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := operatorClient.Do(request)
	if err != nil {
		return 0, ""
	}
	defer response.Body.Close()
	raw, _ := io.ReadAll(response.Body)
	return response.StatusCode, string(raw)
}

const (
	host   = "shop.example"
	prefix = "/match/"
)

// declare puts a desired state, to one control machine after the other, until it is acknowledged or the time is over.
func (c *cluster) declare(version int, guards bool, within time.Duration) bool {
	body := fmt.Sprintf(`{"version":%d,"routes":[{"name":"r-1","host":%q,"path_prefix":%q,"type":"unsafe","timeout_ms":1500,`+
		`"target_duration_ms":60,"priority":0,"service":"finder","max_attempts":4,"stretch":1.6}],"services":[{"name":"finder",`+
		`"health_path":"/health","max_connections":64,"protocol":"h1","tls":false,"admission_control":%v,"standby":false}],`+
		`"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`, version, host, prefix, guards)
	until := time.Now().Add(within)
	last, pause := -1, 50*time.Millisecond
	for i := 0; time.Now().Before(until); i++ {
		at := c.class("core")[i%len(c.class("core"))]
		status, _ := call(http.MethodPut, "http://"+at.control()+"/config", body)
		if status != last {
			c.rec.line("operator: PUT /config version %d at %s -> %d", version, at.name, status)
			last = status
		}
		if status == http.StatusOK {
			return true
		}
		time.Sleep(pause)
		pause = min(2*pause, 500*time.Millisecond)
	}
	return false
}

// awaitReady waits until the entry machines answer their readiness probes with 200.
func (c *cluster) awaitReady(machines []*machine, within time.Duration) bool {
	until := time.Now().Add(within)
	for _, m := range machines {
		for {
			if status, _ := call(http.MethodGet, "http://"+m.ready()+"/ready", ""); status == http.StatusOK {
				break
			}
			if time.Now().After(until) {
				return false
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return true
}

// cannot ends the play because the case could not run.
func cannot(format string, args ...any) {
	fmt.Fprintf(os.Stderr, "the case could not run: "+format+"\n", args...)
	if current != nil {
		current.rec.line("the case could not run: "+format, args...)
		current.stop()
	}
	os.Exit(2)
}

var current *cluster
