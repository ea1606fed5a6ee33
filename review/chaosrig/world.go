package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"runtime"
	"sort"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
	"unsafe"
)

// world is the stand-in for the platform, with all that the checker needs to know.
type world struct {
	dir      string
	program  string
	oneCore  bool
	nextCore atomic.Int32
	net      *network          // Nil if no link is to be cut.
	placeOf  map[string]string // Zones of machines and executors by name; only where links are cut.
	deadline int               // How long clients wait, in ms; 0: by the run time.
	nodes    []*node
	control  []string // Addresses that executors and the operator call.
	execs    []*executor
	zones    []string

	mu      sync.Mutex
	runs    map[string][]*runRecord
	open    map[string]int // Runs in progress by task.
	breaks  []string
	notes   []string
	jobs    map[string]*job
	started time.Time
}

func (w *world) breakf(format string, a ...any) {
	w.breaks = append(w.breaks, fmt.Sprintf("%7.3f ", time.Since(w.started).Seconds())+fmt.Sprintf(format, a...))
}

func (w *world) fail(format string, a ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.breakf(format, a...)
}

func (w *world) note(format string, a ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.notes = append(w.notes, fmt.Sprintf("%7.3f ", time.Since(w.started).Seconds())+fmt.Sprintf(format, a...))
}

func (w *world) at(t time.Time) float64 { return t.Sub(w.started).Seconds() }

// begin records the start of a run, and checks TWICE and UNASKED.
func (w *world) begin(r *runRecord) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, other := range w.runs[r.Task] {
		if other.End.IsZero() {
			w.breakf("TWICE %s run %d at %s (late %v, token %d) while run %d at %s since %.3f (late %v, token %d)", r.Task, r.Run, r.Executor, r.Late, r.Token, other.Run, other.Executor, w.at(other.Start), other.Late, other.Token)
		}
	}
	w.runs[r.Task] = append(w.runs[r.Task], r)
	key, index := splitTask(r.Task)
	j := w.jobs[key]
	switch {
	case j == nil:
		w.breakf("UNASKED %s: nobody sent the job", r.Task)
	case index < 0 || index >= j.count:
		w.breakf("UNASKED %s: the job has %d tasks", r.Task, j.count)
	case j.spec != r.Spec:
		w.breakf("UNASKED %s: other spec", r.Task)
	case !j.cancelAck.IsZero() && r.Start.After(j.cancelAck.Add(3*time.Second)) && !r.Late:
		w.breakf("UNASKED %s: started %.3f s after the cancel's ack", r.Task, r.Start.Sub(j.cancelAck).Seconds())
	}
	if r.Draining && !r.Late {
		w.breakf("DRAIN %s started at %s over drain_ms after the ack", r.Task, r.Executor)
	}
}

func (w *world) finish(r *runRecord, how string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	r.End, r.How = time.Now(), how
	key, _ := splitTask(r.Task)
	if j := w.jobs[key]; j != nil && !j.cancelAck.IsZero() && r.End.After(j.cancelAck.Add(3200*time.Millisecond)) && !r.Late {
		w.breakf("UNASKED %s: ran on until %.3f s after the cancel's ack", r.Task, r.End.Sub(j.cancelAck).Seconds())
	}
}

func splitTask(task string) (key string, index int) {
	var k, s int
	if n, _ := fmt.Sscanf(task[min(len(task), 16):], ".%d.%d.%d", &k, &s, &index); n != 3 || k != 0 || s != 0 {
		return task, -1
	}
	return task[:16], index
}

// node is a machine of the system with its process.
type node struct {
	w            *world
	name         string
	kind         string // entry or control
	zone         string
	ip           string
	seeds        []string
	relayedSeeds []string          // Seeds that lead through relays.
	peers        map[string]string // Addresses of machines that this one reaches through a relay.
	ports        [3]int            // peers, operators, own
	probe        string
	front        string

	mu        sync.Mutex
	cmd       *exec.Cmd
	down      bool // Ended by the rig.
	bootstrap bool
	disturbed time.Time // Until when it counts as disturbed.
	exits     int
	ready     bool
	terming   bool
	termAt    time.Time
	logFile   *os.File
	version   int64
}

func (n *node) settingsPath() string { return filepath.Join(n.w.dir, n.name+".json") }

// writeSettings fills in the project's template as the platform does.
func (n *node) writeSettings() {
	var dataDir any
	if n.kind == "control" {
		dataDir = filepath.Join(n.w.dir, n.name+"-data")
		os.MkdirAll(dataDir.(string), 0o755)
	}
	plugins := map[string]any{
		"membership":         map[string]any{"period_ms": 250},
		"jobs":               map[string]any{"ticket_ms": 6000, "answers_ms": 3000},
		"endpoints":          map[string]any{"lease_ms": 15000, "split_above": 15},
		"leases":             map[string]any{"lease_ms": 1000, "stop_ms": 50, "away_ms": 3000},
		"platform.endpoints": map[string]any{},
	}
	if n.peers != nil {
		plugins["peer.http"] = map[string]any{"addresses": n.peers}
	}
	s := map[string]any{
		"node": n.name, "region": "r", "data_centre": n.zone,
		"listen": map[string]any{"peers": fmt.Sprintf("%s:%d", n.ip, n.ports[0]), "operators": fmt.Sprintf("%s:%d", n.ip, n.ports[1])},
		"seeds":  n.seeds, "bootstrap": n.bootstrap, "stop_within_s": 6,
		"without": []string{"taskclient", "frontend.callers", "frontend.announce"}, "plugins": plugins,
	}
	if n.kind == "control" {
		s["reserve"], s["data_dir"] = true, dataDir
		plugins["profiles"] = map[string]any{"detect_copies": false, "tolerated_disks": 1}
		plugins["platform.control"] = map[string]any{"listen": n.front}
	} else {
		plugins["platform.callers"] = map[string]any{"listen": n.front, "probes": n.probe}
	}
	raw, _ := json.MarshalIndent(s, "", " ")
	tmp := n.settingsPath() + ".tmp"
	os.WriteFile(tmp, raw, 0o644)
	os.Rename(tmp, n.settingsPath())
}

func (n *node) start() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.writeSettings()
	if n.logFile == nil {
		n.logFile, _ = os.OpenFile(filepath.Join(n.w.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	}
	cmd := exec.Command(n.w.program, "run")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + n.w.dir, "REDWINGPULLEY_CONFIG=" + n.settingsPath()}
	cmd.Stdout, cmd.Stderr = n.logFile, n.logFile
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := n.w.startPinned(cmd); err != nil {
		return err
	}
	n.cmd, n.down, n.terming = cmd, false, false
	go n.wait(cmd)
	return nil
}

// startPinned starts a process that has one core, as the machines of a small deployment have.
func (w *world) startPinned(cmd *exec.Cmd) error {
	if !w.oneCore {
		return cmd.Start()
	}
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	var all, one [16]uint64
	size := unsafe.Sizeof(all)
	if _, _, errno := syscall.RawSyscall(syscall.SYS_SCHED_GETAFFINITY, 0, size, uintptr(unsafe.Pointer(&all))); errno != 0 {
		return cmd.Start()
	}
	var cores []int
	for c := range 1024 {
		if all[c/64]&(1<<(c%64)) != 0 {
			cores = append(cores, c)
		}
	}
	c := cores[int(w.nextCore.Add(1))%len(cores)]
	one[c/64] = 1 << (c % 64)
	syscall.RawSyscall(syscall.SYS_SCHED_SETAFFINITY, 0, size, uintptr(unsafe.Pointer(&one)))
	defer syscall.RawSyscall(syscall.SYS_SCHED_SETAFFINITY, 0, size, uintptr(unsafe.Pointer(&all)))
	return cmd.Start()
}

// wait restarts a process that has ended by itself, and notes it.
func (n *node) wait(cmd *exec.Cmd) {
	err := cmd.Wait()
	n.mu.Lock()
	own := n.cmd == cmd && !n.down
	n.mu.Unlock()
	if own {
		n.w.fail("FAULT %s ended by itself: %v", n.name, err)
		time.Sleep(300 * time.Millisecond)
		n.start()
	}
}

func (n *node) disturb(until time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if t := time.Now().Add(until); t.After(n.disturbed) {
		n.disturbed = t
	}
}

func (n *node) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd != nil && n.cmd.Process != nil {
		n.cmd.Process.Signal(s)
	}
}

// kill ends the process and starts it again after a time.
func (n *node) kill(away time.Duration) {
	n.disturb(away + 5*time.Second)
	n.mu.Lock()
	n.down = true
	cmd := n.cmd
	n.mu.Unlock()
	cmd.Process.Kill()
	time.Sleep(away)
	n.start()
}

func (n *node) freeze(d time.Duration) {
	n.disturb(d + 5*time.Second)
	n.signal(syscall.SIGSTOP)
	time.Sleep(d)
	n.signal(syscall.SIGCONT)
}

// slowDown lets the process run for a sixth of the time only.
func (n *node) slowDown(d time.Duration) {
	n.disturb(d + 5*time.Second)
	for end := time.Now().Add(d); time.Now().Before(end); {
		n.signal(syscall.SIGSTOP)
		time.Sleep(25 * time.Millisecond)
		n.signal(syscall.SIGCONT)
		time.Sleep(5 * time.Millisecond)
	}
}

// term stops the process as the platform does, and starts it again.
func (n *node) term(again bool) {
	n.mu.Lock()
	n.down, n.terming, n.termAt = true, true, time.Now()
	cmd := n.cmd
	n.mu.Unlock()
	cmd.Process.Signal(syscall.SIGTERM)
	done := make(chan struct{})
	go func() {
		for cmd.ProcessState == nil {
			time.Sleep(10 * time.Millisecond)
		}
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(6 * time.Second):
		n.w.note("%s was still there at the end of the grace time", n.name)
		cmd.Process.Kill()
	}
	n.disturb(5 * time.Second)
	if again {
		time.Sleep(300 * time.Millisecond)
		n.start()
	}
}

// wipe loses the disk.
func (n *node) wipe(away time.Duration) {
	n.disturb(away + 8*time.Second)
	n.mu.Lock()
	n.down, n.bootstrap = true, false
	cmd := n.cmd
	n.mu.Unlock()
	cmd.Process.Kill()
	time.Sleep(100 * time.Millisecond)
	os.RemoveAll(filepath.Join(n.w.dir, n.name+"-data"))
	time.Sleep(away)
	n.start()
}

func (n *node) stop() {
	n.mu.Lock()
	n.down = true
	cmd := n.cmd
	n.mu.Unlock()
	if cmd != nil && cmd.Process != nil {
		cmd.Process.Signal(syscall.SIGCONT)
		cmd.Process.Kill()
	}
}

// probeReady asks for readiness once a second, as the platform's load balancer does.
func (n *node) probeReady(stop chan struct{}) {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	misses := 0
	for {
		resp, err := client.Get("http://" + n.probe + "/ready")
		if err == nil && resp.StatusCode == 200 {
			misses = 0
		} else {
			misses++
		}
		if err == nil {
			resp.Body.Close()
		}
		n.mu.Lock()
		if misses == 0 {
			n.ready = true
		} else if misses >= 2 {
			n.ready = false
		}
		n.mu.Unlock()
		select {
		case <-stop:
			return
		case <-time.After(time.Second):
		}
	}
}

func (n *node) isReady() bool { n.mu.Lock(); defer n.mu.Unlock(); return n.ready }

// call sends an operator's request.
func call(method, url string, body []byte, timeout time.Duration) (status int, raw []byte) {
	client := &http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true}}
	req, _ := http.NewRequest(method, url, bytes.NewReader(body))
	req.Header.Set("Content-Type", "application/json")
	resp, err := client.Do(req)
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	raw, err = io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, raw
}

// writeRecord writes what was sent, answered and run.
func (w *world) writeRecord(path string) {
	f, err := os.Create(path)
	if err != nil {
		return
	}
	defer f.Close()
	b := bufio.NewWriter(f)
	defer b.Flush()
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, s := range w.notes {
		fmt.Fprintln(b, s)
	}
	fmt.Fprintln(b, "\njobs: id, tasks, cancelled at; then each attempt: sent, machine, status, state, answered")
	var jobs []*job
	for _, j := range w.jobs {
		jobs = append(jobs, j)
	}
	sort.Slice(jobs, func(i, k int) bool { return jobs[i].created.Before(jobs[k].created) })
	for _, j := range jobs {
		fmt.Fprintf(b, "%s %d", j.id, j.count)
		if !j.cancelAck.IsZero() {
			fmt.Fprintf(b, " cancelled %.3f", w.at(j.cancelAck))
		}
		for _, a := range j.attempts {
			fmt.Fprintf(b, "; %.3f %s %d %s %.3f", w.at(a.sent), a.node, a.status, a.state, w.at(a.answered))
		}
		fmt.Fprintln(b)
	}
	fmt.Fprintln(b, "\nruns: task, run, executor, life, token, start, end, how")
	var runs []*runRecord
	for _, rs := range w.runs {
		runs = append(runs, rs...)
	}
	sort.Slice(runs, func(i, k int) bool { return runs[i].Start.Before(runs[k].Start) })
	for _, r := range runs {
		end := "-"
		if !r.End.IsZero() {
			end = fmt.Sprintf("%.3f", w.at(r.End))
		}
		late := ""
		if r.Late {
			late = " late"
		}
		fmt.Fprintf(b, "%s %d %s %d %d %.3f %s %s%s\n", slashed(r.Task), r.Run, r.Executor, r.Life, r.Token, w.at(r.Start), end, r.How, late)
	}
	fmt.Fprintln(b, "\nbroken rules:", len(w.breaks))
	for _, s := range w.breaks {
		fmt.Fprintln(b, slashed(s))
	}
}

// slashed writes the names of tasks with slashes, since those with dots look like addresses.
func slashed(s string) string { return taskName.ReplaceAllString(s, "$1/$2/$3/$4") }

var taskName = regexp.MustCompile(`([0-9a-f]{16})\.(\d+)\.(\d+)\.(\d+)`)
