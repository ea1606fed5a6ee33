package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sort"
	"sync"
	"syscall"
	"time"
)

// operator is a stand-in for the operator.
type operator struct {
	w            *world
	mu           sync.Mutex
	version      int
	acked        int
	ackedAt      []ackAt
	checkInForce bool
}

type ackAt struct {
	version int
	at      time.Time
}

func (o *operator) document(version int) []byte {
	var rs []any
	for i, p := range routes {
		rs = append(rs, map[string]any{"name": fmt.Sprintf("r-%d", i), "host": "h.example", "path_prefix": p, "type": "unsafe", "timeout_ms": 1500 + version%100, "target_duration_ms": 60, "priority": i, "service": "svc", "max_attempts": 4, "stretch": 1.6})
	}
	for v := max(1, version-300); v <= version; v++ {
		rs = append(rs, map[string]any{"name": fmt.Sprintf("v-%d", v), "host": "h.example", "path_prefix": fmt.Sprintf("/v%d/", v), "type": "unsafe", "timeout_ms": 1500, "target_duration_ms": 60, "priority": 1, "service": "svc", "max_attempts": 4, "stretch": 1.6})
	}
	raw, _ := json.Marshal(map[string]any{"version": version, "routes": rs,
		"services": []any{map[string]any{"name": "svc", "health_path": "/health", "max_connections": 64, "protocol": "h1", "tls": false, "admission_control": true, "standby": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}})
	return raw
}

func (o *operator) put(version int) bool {
	doc := o.document(version)
	end := time.Now().Add(10 * time.Second)
	for time.Now().Before(end) {
		c := o.w.control[rand.IntN(len(o.w.control))]
		status, _ := call("PUT", "http://"+c+"/config", doc, time.Second)
		if status == 200 {
			o.mu.Lock()
			o.acked = max(o.acked, version)
			o.ackedAt = append(o.ackedAt, ackAt{version, time.Now()})
			o.mu.Unlock()
			if o.checkInForce {
				go o.inForce(version)
			}
			return true
		}
		if status == 400 || status == 409 || status == 412 || status == 422 {
			o.w.fail("CONFIG version %d was refused with %d", version, status)
			return false
		}
		time.Sleep(200 * time.Millisecond)
	}
	o.w.note("version %d got no ack in 10 s", version)
	return false
}

// inForce checks, config_apply_ms and max_stretch_ms after the ack of a version, that calm entry machines know a route that it has added.
func (o *operator) inForce(version int) {
	time.Sleep(7100 * time.Millisecond)
	for _, n := range o.w.nodes[4:] {
		n.mu.Lock()
		calm := time.Now().After(n.disturbed) && !n.down
		n.mu.Unlock()
		if !calm {
			continue
		}
		req, _ := http.NewRequest("GET", fmt.Sprintf("http://%s/v%d/", n.front, version), nil)
		req.Host = "h.example"
		c := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
		resp, err := c.Do(req)
		if err != nil {
			continue
		}
		resp.Body.Close()
		n.mu.Lock()
		calm = time.Now().After(n.disturbed) && !n.down
		n.mu.Unlock()
		if resp.StatusCode == 404 && calm {
			o.w.fail("CONFIG %s answers 404 for a route of version %d, acknowledged 7.1 s before", n.name, version)
		}
	}
}

func (o *operator) first() bool {
	end := time.Now().Add(15 * time.Second)
	for time.Now().Before(end) {
		if o.put(o.version) {
			return true
		}
	}
	return false
}

func (o *operator) next() {
	o.mu.Lock()
	o.version += 1 + rand.IntN(4)
	v := o.version
	o.mu.Unlock()
	o.put(v)
}

// reader reads the desired state at any machine, and checks that none is older than what was acknowledged config_apply_ms before.
func (o *operator) reader(end time.Time) {
	for time.Now().Before(end) {
		time.Sleep(150 * time.Millisecond)
		c := o.w.control[rand.IntN(len(o.w.control))]
		go o.read(c)
	}
}

func (o *operator) read(c string) (version int) {
	sent := time.Now()
	status, raw := call("GET", "http://"+c+"/config", nil, 3*time.Second)
	if status != 200 {
		return 0
	}
	var d struct {
		Version int `json:"version"`
	}
	if json.Unmarshal(raw, &d) != nil {
		return 0
	}
	o.mu.Lock()
	need := 0
	for _, a := range o.ackedAt {
		if sent.After(a.at.Add(2 * time.Second)) {
			need = max(need, a.version)
		}
	}
	o.mu.Unlock()
	if d.Version < need {
		o.w.fail("CONFIG %s answered a read with version %d, %d was acknowledged over config_apply_ms before", c, d.Version, need)
	}
	return d.Version
}

func (o *operator) final() {
	end := time.Now().Add(15 * time.Second)
	for time.Now().Before(end) {
		for _, c := range o.w.control {
			if v := o.read(c); v > 0 {
				if v < o.acked {
					o.w.fail("LOST the newest acknowledged version is %d, read back: %d", o.acked, v)
				}
				return
			}
		}
		time.Sleep(300 * time.Millisecond)
	}
	o.w.fail("CONFIG the desired state could not be read back in 15 s")
}

// chaos disturbs the deployment until the end less 8 s.
func chaos(w *world, op *operator, r *rand.Rand, enabled map[string]bool, every float64, end time.Time, entries []*node) {
	var kinds []string
	for k := range enabled {
		switch k {
		case "cancel", "leave", "dup":
		default:
			kinds = append(kinds, k)
		}
	}
	if len(kinds) == 0 {
		return
	}
	sort.Strings(kinds)
	var entryBusy, coreBusy, linksBusy sync.Mutex
	ms := func(a, b int) time.Duration { return time.Duration(a+r.IntN(b-a)) * time.Millisecond }
	for time.Until(end) > 9*time.Second {
		time.Sleep(time.Duration(r.ExpFloat64() * every * float64(time.Second)))
		k := kinds[r.IntN(len(kinds))]
		n := entries[r.IntN(len(entries))]
		c := w.nodes[r.IntN(4)]
		e := w.execs[r.IntN(len(w.execs))]
		d := ms(300, 3500)
		w.note("%s: entry %s, core %s, executor %s, %v", k, n.name, c.name, e.id, d)
		on := func(busy *sync.Mutex, f func()) {
			go func() {
				if busy.TryLock() {
					defer busy.Unlock()
					f()
				}
			}()
		}
		flag := func(set, clear func(), d time.Duration) {
			e.mu.Lock()
			set()
			e.mu.Unlock()
			time.AfterFunc(d, func() { e.mu.Lock(); clear(); e.mu.Unlock() })
		}
		switch k {
		case "kill":
			on(&entryBusy, func() { n.kill(d) })
		case "freeze":
			on(&entryBusy, func() { n.freeze(d) })
		case "term":
			on(&entryBusy, func() { n.term(true) })
		case "hup":
			n.mu.Lock()
			n.seeds = []string{w.nodes[r.IntN(4)].front, w.nodes[r.IntN(4)].front}
			n.mu.Unlock()
			n.writeSettings()
			n.signal(syscall.SIGHUP)
		case "ckill":
			on(&coreBusy, func() { c.kill(d) })
		case "cfreeze":
			on(&coreBusy, func() { c.freeze(d) })
		case "cterm":
			on(&coreBusy, func() { c.term(true) })
		case "wipe":
			on(&coreBusy, func() { c.wipe(d); time.Sleep(4 * time.Second) })
		case "cherd":
			on(&coreBusy, func() {
				var wg sync.WaitGroup
				for _, n := range w.nodes[:4] {
					wg.Add(1)
					go func() { defer wg.Done(); n.kill(500 * time.Millisecond) }()
				}
				wg.Wait()
			})
		case "herd":
			on(&entryBusy, func() {
				var wg sync.WaitGroup
				for i, n := range entries {
					if i%2 == 0 {
						wg.Add(1)
						go func() { defer wg.Done(); n.kill(d) }()
					}
				}
				wg.Wait()
			})
		case "herdfreeze":
			on(&entryBusy, func() {
				var wg sync.WaitGroup
				for i, n := range entries {
					if i%2 == 0 {
						wg.Add(1)
						go func() { defer wg.Done(); n.kill(340 * time.Millisecond) }()
					}
				}
				wg.Wait()
				time.Sleep(ms(100, 500))
				entries[2].freeze(ms(2500, 3500))
				time.Sleep(3 * time.Second)
			})
		case "nodeslow":
			on(&entryBusy, func() { n.slowDown(5500 * time.Millisecond) })
		case "coreslow":
			on(&coreBusy, func() { c.slowDown(5500 * time.Millisecond) })
		case "freeze3":
			on(&entryBusy, func() { n.freeze(ms(2600, 3600)); time.Sleep(2500 * time.Millisecond) })
		case "killfreeze":
			on(&entryBusy, func() {
				n.kill(340 * time.Millisecond)
				time.Sleep(ms(100, 500))
				n.freeze(ms(2500, 3500))
				time.Sleep(2 * time.Second)
			})
		case "cutzone", "cutnode", "cutcounted", "cutexecutors", "reset":
			for _, m := range w.nodes {
				m.disturb(d + 7*time.Second)
			}
			on(&linksBusy, func() {
				switch k {
				case "cutzone":
					w.net.cutZone(n.zone, d+d/2)
				case "cutnode":
					w.net.cutMachine(n.name, false, d+d/2)
				case "cutcounted":
					w.net.cutMachine(n.name, true, d+d/2)
				case "cutexecutors":
					ids := map[string]bool{}
					for range 4 {
						ids[w.execs[r.IntN(len(w.execs))].id] = true
					}
					w.net.cutExecutors(ids, d+d/2)
				default:
					w.net.reset(0.3)
				}
			})
		case "config":
			go op.next()
		case "race":
			go op.next()
			go op.next()
		case "crash":
			go func() { e.crash(); time.Sleep(d); e.start() }()
		case "late":
			for _, e := range w.execs {
				e.mu.Lock()
				e.lateShare = 0.055
				e.mu.Unlock()
				time.AfterFunc(5*time.Second, func() { e.mu.Lock(); e.lateShare = 0; e.mu.Unlock() })
			}
		case "mute":
			flag(func() { e.muteShare = 0.3 }, func() { e.muteShare = 0 }, 4*time.Second)
		case "refuse":
			flag(func() { e.refuse = 0.5 }, func() { e.refuse = 0 }, 4*time.Second)
		case "fail":
			flag(func() { e.failShare = 0.5 }, func() { e.failShare = 0 }, 4*time.Second)
		case "slow":
			flag(func() { e.slow = 6 }, func() { e.slow = 0 }, 5*time.Second)
		case "silent":
			flag(func() { e.silent = true }, func() { e.silent = false }, d)
		case "drain":
			go func() {
				e.mu.Lock()
				e.state = "draining"
				e.mu.Unlock()
				time.Sleep(5 * time.Second)
				e.crash()
				time.Sleep(d)
				e.start()
			}()
		}
	}
}
