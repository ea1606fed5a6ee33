package main

import (
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// oddValues are put in the place of fields.
var oddValues = []any{
	nil, true, "", "x", -1, 0, 1, 1 << 20, int64(1) << 31, int64(1) << 33, int64(1) << 53, int64(math.MaxInt64), int64(math.MinInt64), 0.5, 1e18, 1e300,
	[]any{}, []any{nil}, map[string]any{}, []any{[]any{[]any{}}}, strings.Repeat("a", 5000), "\u0000", "127.0.0.1:0", "[::]:1", "é", []any{"a", 1}, "ready", "draining",
}

// odd returns a copy of a JSON value in which one to three fields are replaced, left out or added.
func odd(value any, random *rand.Rand) any {
	raw, _ := json.Marshal(value)
	var fields map[string]any
	json.Unmarshal(raw, &fields)
	for range 1 + random.IntN(3) {
		target := fields
		for range random.IntN(3) {
			var inner []map[string]any
			for _, v := range target {
				switch x := v.(type) {
				case map[string]any:
					inner = append(inner, x)
				case []any:
					for _, e := range x {
						if m, is := e.(map[string]any); is {
							inner = append(inner, m)
						}
					}
				}
			}
			if len(inner) > 0 {
				target = inner[random.IntN(len(inner))]
			}
		}
		var names []string
		for name := range target {
			names = append(names, name)
		}
		names = append(names, "another")
		name := names[random.IntN(len(names))]
		if random.IntN(6) == 0 {
			delete(target, name)
			continue
		}
		var replacement any // A copy of its own.
		copied, _ := json.Marshal(oddValues[random.IntN(len(oddValues))])
		json.Unmarshal(copied, &replacement)
		target[name] = replacement
	}
	return fields
}

// oddBytes returns the bytes of an odd value; sometimes they can't be read.
func oddBytes(value any, random *rand.Rand) []byte {
	raw, _ := json.Marshal(odd(value, random))
	switch random.IntN(12) {
	case 0:
		return raw[:random.IntN(len(raw)+1)]
	case 1:
		raw[random.IntN(len(raw))] = byte(random.IntN(256))
	case 2:
		return []byte(strings.Repeat("[", 10000+random.IntN(200000)))
	case 3:
		return append(raw, raw...)
	}
	return raw
}

// oddness plays entries, heartbeats, orders of the operator, jobs and answers of executors that are odd, while sound clients send jobs. A process that
// ends by itself breaks the rule.
func oddness(p *Play) (string, bool) {
	seed, _ := strconv.ParseUint(os.Getenv("SEED"), 10, 64)
	p.site()
	for _, zone := range []string{"cluj", "mures", "alba", "bistrita"} {
		if p.addExecutors(zone, 4, Amount{64000, 262144}, true, 1500*time.Millisecond) != nil {
			return "", false
		}
	}
	if !p.begin(true) {
		return "", false
	}
	ops := os.Getenv("OPS")
	if ops == "" {
		ops = "hcja"
	}
	stop := p.traffic(10, usual, 0.05)
	done := make(chan struct{})
	var all sync.WaitGroup
	statuses, mu := map[string]int{}, sync.Mutex{}
	each := func(kind string, n uint64, send func(random *rand.Rand) int) {
		if !strings.Contains(ops, kind[:1]) {
			return
		}
		random := rand.New(rand.NewPCG(seed, n))
		all.Go(func() {
			for {
				select {
				case <-done:
					return
				case <-time.After(3 * time.Millisecond):
				}
				s := send(random)
				mu.Lock()
				statuses[fmt.Sprintf("%s %d", kind, s)]++
				mu.Unlock()
			}
		})
	}
	cores, fronts := p.cluster.Cores(), p.cluster.Fronts()
	for n := range uint64(3) {
		each("heartbeat", n, func(random *rand.Rand) int {
			e := p.executors[random.IntN(len(p.executors))]
			id := fmt.Sprintf("i-%08x", 0x9000+random.IntN(50))
			body := oddBytes(map[string]any{
				"service": service, "address": fmt.Sprintf("127.%d.%d.200:%d", p.cluster.net2, p.cluster.net3, p.cluster.port+offsetExecutor), "zone": e.Zone, "version": "v1", "slots": 8, "state": "ready", "cold_remaining_ms": 0,
				"capacity": map[string]any{"cpu": 64000, "mem_mb": 262144, "gpu": 0}, "labels": []any{"a", "r-" + e.Zone}, "clock_ms": 1, "sequence": 1 + random.IntN(100), "born": time.Now().UnixMilli(),
			}, random)
			s, _ := call([]string{"PUT", "PUT", "PUT", "DELETE", "POST"}[random.IntN(5)], cores[random.IntN(len(cores))].Control(p.cluster), "", "/instances/"+id, body, time.Second)
			return s
		})
		each("config", 10+n, func(random *rand.Rand) int {
			d := desired(1, true) // Not higher than the version held: it changes nothing, even if it can be read.
			s, _ := call("PUT", cores[random.IntN(len(cores))].Control(p.cluster), "", "/config", oddBytes(d, random), time.Second)
			return s
		})
		each("job", 20+n, func(random *rand.Rand) int {
			raw, _ := json.Marshal(Spec{MS: 60, Amount: Amount{2000, 64}})
			body := oddBytes(map[string]any{"spec": string(raw), "best_effort": true, "steps": []any{map[string]any{"count": 2, "cpu": 2000, "mem_mb": 64, "estimated_ms": 60}}}, random)
			id := newID()
			p.world.Odd(id)
			method := []string{"POST", "POST", "POST", "GET", "DELETE", "PATCH"}[random.IntN(6)]
			s, _ := call(method, fronts[random.IntN(len(fronts))].Frontend(p.cluster), host, prefix+id, body, 1500*time.Millisecond,
				"X-Deadline-Ms", []string{"1500", "0", "-1", "x", "99999999999999999999", "1e3", "1"}[random.IntN(7)])
			return s
		})
	}
	if strings.Contains(ops, "a") {
		for i, e := range p.executors {
			if i%4 == 0 {
				e.mu.Lock()
				e.odd = rand.New(rand.NewPCG(seed, 100+uint64(i)))
				e.mu.Unlock()
			}
		}
	}
	for end := time.Now().Add(50 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		for _, m := range p.cluster.machines {
			select {
			case <-m.done:
				p.world.mu.Lock()
				p.world.breaks("Fault", "the process of %s ended by itself", m.Name)
				p.world.mu.Unlock()
				p.cluster.Start(m)
			default:
			}
		}
	}
	close(done)
	all.Wait()
	stop()
	for kind, n := range statuses {
		p.rec.Add("odd: %s: %d", kind, n)
	}
	return "", true
}

// Odd notes a job that may be read in any way.
func (w *World) Odd(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.odd[id] = true
}
