// Command chaosrig starts a small deployment of the system with stand-ins for its clients, executors and platform, disturbs it, and
// checks what they see against the rules.
package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// job is a job that a client has sent.
type job struct {
	id        string
	count     int
	spec      string
	cancelAck time.Time
	attempts  []sending
	route     int
	created   time.Time
}

// sending is one request by which a client has handed a job in.
type sending struct {
	node           string
	sent, answered time.Time
	status         int // 0 when the channel ended without a complete answer, or the client's time was over.
	state          string
}

type stats struct{ sent, ok, failed, refused, other, none atomic.Int64 }

func main() {
	program := flag.String("program", "target/redwingd", "")
	seconds := flag.Int("seconds", 60, "")
	seed := flag.Uint64("seed", 1, "")
	rate := flag.Float64("rate", 100, "jobs a second")
	events := flag.String("events", "kill,freeze,term,hup,config,wipe,crash,late,mute,drain,cancel,leave,ckill,cfreeze,refuse,fail,silent,slow", "")
	every := flag.Float64("every", 1.5, "mean seconds between events")
	out := flag.String("out", "record.txt", "")
	lateGrants := flag.Bool("late-grants", false, "")
	keep := flag.Bool("keep", false, "")
	rule := flag.String("rule", "", "only this rule decides; empty: all")
	perZone := flag.Int("executors", 6, "")
	scenario := flag.String("scenario", "", "frozen, killed, bursts or cut; empty: random disturbances under steady traffic")
	rounds := flag.Int("rounds", 8, "")
	jobs := flag.Int("jobs", 16, "")
	runMS := flag.Int("run-ms", 900, "")
	freezeMS := flag.Int("freeze-ms", 3000, "")
	cutMS := flag.Int("cut-ms", 3500, "")
	gapMS := flag.Int("gap-ms", 8000, "")
	tasks := flag.Int("tasks", 1, "")
	mix := flag.Bool("mix", false, "jobs of the kinds of a small site, in its shares")
	deadlineMS := flag.Int("deadline-ms", 0, "how long clients wait; 0: 1.5 s and twice the run time")
	backoff := flag.Bool("backoff", false, "")
	restart := flag.Bool("restart", false, "")
	trouble := flag.Bool("trouble", true, "")
	oneCore := flag.Bool("one-core", false, "give each process of the system one core")
	share := flag.Float64("share", 0.5, "")
	afterMS := flag.Int("after-ms", 60, "")
	kill := flag.Bool("kill", true, "")
	flag.Parse()
	dir, err := os.MkdirTemp("", "chaosrig")
	if err != nil {
		os.Exit(2)
	}
	if *keep {
		fmt.Println(dir)
	}
	base := freeBase()
	p, _ := filepath.Abs(*program)
	w := &world{dir: dir, program: p, runs: map[string][]*runRecord{}, jobs: map[string]*job{}, zones: []string{"za", "zb", "zc", "zd"}, started: time.Now(), oneCore: *oneCore}
	ip := func(i int) string { return fmt.Sprintf("127.%d.0.%d", base, i+1) }
	executorIP := func(i int) string { return fmt.Sprintf("127.%d.1.%d", base, i+1) }
	w.deadline = *deadlineMS
	cutting := *scenario == "cut" || strings.Contains(*events, "cut") || strings.Contains(*events, "reset")
	if cutting {
		w.net = &network{w: w, backoff: *backoff}
		ip = func(i int) string { return machineIP(base, i) }
		executorIP = func(i int) string { return fmt.Sprintf("127.%d.200.%d", base, i+1) }
	}
	var seeds []string
	for i := range 3 {
		seeds = append(seeds, ip(i)+port(8166))
	}
	for i := range 4 {
		n := &node{w: w, name: "core-" + w.zones[i], kind: "control", zone: w.zones[i], ip: ip(i), seeds: seeds, ports: [3]int{7720 + shift, 7735 + shift, 0}, front: ip(i) + port(8166), bootstrap: true}
		w.nodes = append(w.nodes, n)
		w.control = append(w.control, n.front)
	}
	firstEntry := 10
	if cutting {
		firstEntry = 4 // The relays count the machines without a gap.
	}
	var entries []*node
	for i := range 8 {
		n := &node{w: w, name: fmt.Sprintf("entry-%s-%d", w.zones[i%4], i/4), kind: "entry", zone: w.zones[i%4], ip: ip(firstEntry + i), seeds: seeds, ports: [3]int{7720 + shift, 7735 + shift, 0}, front: ip(firstEntry+i) + port(8161), probe: ip(firstEntry+i) + port(8167), bootstrap: true}
		w.nodes = append(w.nodes, n)
		entries = append(entries, n)
	}
	leave := func(code int) {
		for _, n := range w.nodes {
			n.stop()
		}
		if !*keep {
			os.RemoveAll(dir)
		}
		os.Exit(code)
	}
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM)
	go func() { <-interrupted; leave(2) }()
	if cutting {
		if err := w.net.openRelays(base); err != nil {
			fmt.Println(err)
			leave(2)
		}
	}
	for _, n := range w.nodes {
		if err := n.start(); err != nil {
			fmt.Println(err)
			leave(2)
		}
	}
	stop := make(chan struct{})
	for _, n := range entries {
		go n.probeReady(stop)
	}
	for i := range *perZone * 4 {
		e := &executor{w: w, id: fmt.Sprintf("i-%08x", i+1), service: "svc", zone: w.zones[i%4], addr: executorIP(i) + port(9000), cpu: 64000, mem: 262144, slots: 8, lateGrants: *lateGrants}
		if err := e.start(); err != nil {
			fmt.Println(err)
			leave(2)
		}
		w.execs = append(w.execs, e)
		if cutting {
			w.placeOf[e.id] = e.zone
		}
	}
	op := &operator{w: w, version: 1, checkInForce: *scenario == ""}
	if !op.first() {
		fmt.Println("no desired state was accepted")
		w.writeRecord(*out)
		leave(2)
	}
	time.Sleep(time.Second)
	if cutting {
		w.net.relaySeeds()
	}
	time.Sleep(3 * time.Second)
	r := rand.New(rand.NewPCG(*seed, 7))
	var st stats
	var wg sync.WaitGroup
	end := time.Now().Add(time.Duration(*seconds) * time.Second)
	enabled := map[string]bool{}
	for _, s := range strings.Split(*events, ",") {
		if s != "" {
			enabled[s] = true
		}
	}
	if *scenario == "frozen" {
		frozen(w, entries, *rounds, *jobs, *runMS, *mix, time.Duration(*freezeMS)*time.Millisecond, *restart, *trouble, &st)
		end = time.Now()
	}
	if *scenario == "killed" {
		killed(w, entries, *rounds, *jobs, *runMS, *share, time.Duration(*afterMS)*time.Millisecond, *kill, *trouble, &st)
		end = time.Now()
	}
	if *scenario == "cut" {
		cutZones(w, w.net, entries, *rounds, *runMS, *tasks, *rate, time.Duration(*cutMS)*time.Millisecond, time.Duration(*gapMS)*time.Millisecond, *trouble, &st)
		end = time.Now()
	}
	if *scenario == "bursts" {
		bursts(w, entries, *seed, *jobs, strings.Split(*events, ","), &st)
		end = time.Now()
	}
	go chaos(w, op, rand.New(rand.NewPCG(*seed, 9)), enabled, *every, end, entries)
	if *scenario == "" && !cutting {
		go op.reader(end)
	}
	for time.Now().Before(end) {
		time.Sleep(time.Duration(r.ExpFloat64() / *rate * float64(time.Second)))
		j := &job{id: fmt.Sprintf("%016x", r.Uint64()), route: r.IntN(3)}
		var ms int
		switch j.route {
		case 0:
			j.count, ms = 1+r.IntN(15), 20+r.IntN(100)
		case 1:
			j.count, ms = 1+r.IntN(4), 100+r.IntN(300)
		default:
			j.count, ms = 1+r.IntN(6), 400+r.IntN(1000)
		}
		j.spec = fmt.Sprintf("cpu=%d;mem=64;ms=%d;%s", 6000+r.IntN(4000), ms, strings.Repeat("x<&>\u00e9", r.IntN(20)))
		w.mu.Lock()
		w.jobs[j.id] = j
		w.mu.Unlock()
		mode := "plain"
		switch {
		case enabled["cancel"] && r.Float64() < 0.06:
			mode = "cancel"
		case enabled["leave"] && r.Float64() < 0.05:
			mode = "leave"
		case enabled["dup"] && r.Float64() < 0.05:
			mode = "dup"
		}
		wg.Add(1)
		go func() { defer wg.Done(); client(w, entries, j, ms, mode, &st) }()
	}
	wg.Wait()
	time.Sleep(2 * time.Second)
	op.final()
	close(stop)
	w.verdict()
	w.mu.Lock()
	w.breaks = slices.DeleteFunc(w.breaks, func(s string) bool { return *rule != "" && !strings.Contains(s, " "+*rule+" ") })
	w.mu.Unlock()
	fmt.Printf("sent %d ok %d failed %d refused %d other %d none %d; breaks %d\n", st.sent.Load(), st.ok.Load(), st.failed.Load(), st.refused.Load(), st.other.Load(), st.none.Load(), len(w.breaks))
	for i, b := range w.breaks {
		if i < 15 {
			fmt.Println(b)
		}
	}
	w.writeRecord(*out)
	if st.ok.Load() == 0 {
		leave(2)
	}
	if len(w.breaks) > 0 {
		leave(1)
	}
	leave(0)
}

var kept []net.Listener

// shift is added to all ports, so that they are free where others listen on the usual ones.
var shift int

// port returns the end of an address.
func port(number int) string { return fmt.Sprintf(":%d", number+shift) }

// freeBase returns a second byte of loopback addresses at which nothing listens on the ports of this rig. It keeps a listener there, so that
// another rig that starts at the same moment takes other addresses.
func freeBase() int {
	for try := range 400 {
		base := 20 + rand.IntN(200)
		shift = try / 20
		l, err := net.Listen("tcp", fmt.Sprintf("127.%d.255.1", base)+port(7719))
		if err != nil {
			continue
		}
		kept = append(kept, l)
		free := true
		for _, number := range []int{7720, 7735, 8161, 8166, 8167, 9000} {
			l, err := net.Listen("tcp", fmt.Sprintf("127.%d.0.1", base)+port(number))
			if free = free && err == nil; err == nil {
				l.Close()
			}
		}
		if free {
			return base
		}
	}
	return 1
}

var routes = []string{"/aa/", "/bb/", "/cc/"}

// client sends a job as the clients of PROTOCOL.md do.
func client(w *world, entries []*node, j *job, ms int, mode string, st *stats) {
	st.sent.Add(1)
	w.mu.Lock()
	j.created = time.Now()
	w.mu.Unlock()
	deadline := 1500 + 2*ms
	if w.deadline > 0 {
		deadline = w.deadline
	}
	body, _ := json.Marshal(map[string]any{"spec": j.spec, "best_effort": true, "steps": []any{map[string]any{
		"count": j.count, "cpu": cpuOf(j.spec), "mem_mb": 64, "estimated_ms": ms}}})
	for attempt := range 3 {
		n := pickEntry(entries)
		if mode == "cancel" && attempt == 0 {
			delay := time.Duration(rand.IntN(ms+50)) * time.Millisecond
			time.AfterFunc(delay, func() { cancelJob(w, entries, j) })
		}
		n.mu.Lock()
		calm := time.Now().After(n.disturbed)
		n.mu.Unlock()
		sent := time.Now()
		status, state, took := post(n, j, body, deadline, mode == "leave" && attempt == 0, ms)
		w.mu.Lock()
		j.attempts = append(j.attempts, sending{n.name, sent, time.Now(), status, state})
		w.mu.Unlock()
		n.mu.Lock()
		calm = calm && time.Now().After(n.disturbed)
		term := n.terming || sent.Before(n.termAt.Add(7*time.Second))
		n.mu.Unlock()
		if status == 0 && mode != "leave" && calm {
			if took > time.Duration(deadline)*time.Millisecond {
				w.fail("NOANSWER job %s from %s in %.3f s (term %v)", j.id, n.name, took.Seconds(), term)
			} else {
				w.fail("LOST job %s at %s: the channel ended after %.3f s (term %v)", j.id, n.name, took.Seconds(), term)
			}
		}
		switch {
		case status == 200 && state == "completed":
			st.ok.Add(1)
			w.mu.Lock()
			for i := range j.count {
				done := false
				for _, r := range w.runs[fmt.Sprintf("%s.0.0.%d", j.id, i)] {
					done = done || r.How == "done"
				}
				if !done {
					w.breakf("MIXED job %s completed while task %d has not ended done", j.id, i)
				}
			}
			w.mu.Unlock()
			return
		case status == 200:
			st.failed.Add(1)
			return
		case status == 503 || status == 429 || status == 404 || status == 400:
			st.refused.Add(1)
			return
		case mode == "leave":
			st.none.Add(1)
			return
		}
		st.other.Add(1)
		w.mu.Lock()
		cancelled := !j.cancelAck.IsZero()
		w.mu.Unlock()
		if cancelled {
			return
		}
		time.Sleep(1300 * time.Millisecond)
	}
}

func cpuOf(spec string) int { c, _, _ := parseSpec(spec); return c }

func pickEntry(entries []*node) *node {
	var ready []*node
	for _, n := range entries {
		if n.isReady() {
			ready = append(ready, n)
		}
	}
	if len(ready) < len(entries)/2 {
		ready = entries
	}
	return ready[rand.IntN(len(ready))]
}

var pool sync.Map // Transports by node.

func post(n *node, j *job, body []byte, deadline int, leaves bool, ms int) (status int, state string, took time.Duration) {
	t, _ := pool.LoadOrStore(n.name, &http.Transport{MaxIdleConnsPerHost: 4, IdleConnTimeout: 5 * time.Second})
	timeout := time.Duration(deadline)*time.Millisecond + 300*time.Millisecond
	if leaves {
		timeout = time.Duration(rand.IntN(ms+30)) * time.Millisecond
	}
	c := &http.Client{Transport: t.(*http.Transport), Timeout: timeout}
	req, _ := http.NewRequest("POST", "http://"+n.front+routes[j.route]+j.id, strings.NewReader(string(body)))
	req.GetBody = nil
	req.Host = "h.example"
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(deadline))
	at := time.Now()
	resp, err := c.Do(req)
	if err != nil {
		return 0, err.Error(), time.Since(at)
	}
	defer resp.Body.Close()
	var b struct {
		State string `json:"state"`
	}
	err = json.NewDecoder(resp.Body).Decode(&b)
	if err != nil && resp.StatusCode == 200 {
		return 0, err.Error(), time.Since(at)
	}
	return resp.StatusCode, b.State, time.Since(at)
}

func cancelJob(w *world, entries []*node, j *job) {
	for range 3 {
		n := pickEntry(entries)
		req, _ := http.NewRequest("DELETE", "http://"+n.front+routes[j.route]+j.id, nil)
		req.Host = "h.example"
		c := &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
		resp, err := c.Do(req)
		if err != nil {
			continue
		}
		resp.Body.Close()
		if resp.StatusCode/100 == 2 || resp.StatusCode == 410 {
			w.mu.Lock()
			j.cancelAck = time.Now()
			w.mu.Unlock()
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// verdict checks the rules that need the whole day.
func (w *world) verdict() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, j := range w.jobs {
		rejected := len(j.attempts) > 0
		for _, a := range j.attempts {
			rejected = rejected && (a.status == 503 || a.status == 429 || a.status == 404)
		}
		if !rejected {
			continue
		}
		for i := range j.count {
			if rs := w.runs[fmt.Sprintf("%s.0.0.%d", j.id, i)]; len(rs) > 0 {
				w.breakf("REFUSED job %s: all attempts were rejected, and task %d has run (at %.3f, %s)", j.id, i, w.at(rs[0].Start), rs[0].How)
				break
			}
		}
	}
}
