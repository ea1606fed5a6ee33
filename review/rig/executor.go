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
	"sync"
	"time"
)

const maxHold = time.Second // max_hold_ms.

// Amount is what a task needs or an executor has.
type Amount struct{ CPU, Mem int }

// Spec is what a task does; the stand-in's clients put it into `spec`.
type Spec struct {
	MS int `json:"ms"`
	Amount
}

// Executor is a sound executor by PROTOCOL.md. With Guards unset it starts whatever it is told to start.
type Executor struct {
	rec     *Record
	ID      string
	Service string
	Zone    string
	Address string
	Has     Amount
	Slots   int
	Guards  bool
	Control []string
	Beat    time.Duration
	World   *World

	mu       sync.Mutex
	born     time.Time
	server   *http.Server
	token    uint64
	lease    time.Time
	running  map[string]*run
	highest  map[string]int
	ended    [][]any
	last     int
	changed  chan struct{}
	draining bool
	stop     chan struct{}
	sequence int
	nextCore int

	lateNext  func(task string) (delay time.Duration, late bool) // Asked at each start; nil for none.
	stuckAt   func(task string) (backlog, bool)                  // Asked at each start; nil for none.
	firstBeat time.Duration                                      // Time from a lifetime's start to its first report.
	odd       *rand.Rand                                         // Draws answers that are odd; nil for none.
	backlog   backlog                                            // Orders that come until then get no answer and are carried out later.
	late      float64                                            // Share of the orders that get no answer and are carried out 2 to 12 s later.
	lateGrant bool                                               // The time of late orders counts from their arrival.
}

type run struct {
	task    string
	number  int
	needs   Amount
	begun   time.Time
	finish  time.Time
	how     string
	stopped chan struct{}
	once    sync.Once
}

// Start begins a lifetime of the executor.
func (e *Executor) Start() error {
	l, err := net.Listen("tcp", e.Address)
	if err != nil {
		return err
	}
	e.born, e.running, e.highest = time.Now(), make(map[string]*run), make(map[string]int)
	e.changed, e.stop, e.sequence, e.token, e.last, e.ended, e.draining = make(chan struct{}), make(chan struct{}), 0, 0, 0, nil, false
	e.lease = time.Time{}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run-start", e.wrap(e.handleStart))
	mux.HandleFunc("POST /run-stop", e.wrap(e.handleStop))
	mux.HandleFunc("POST /hold", e.wrap(e.handleHold))
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) {})
	e.server = &http.Server{Handler: mux}
	go e.server.Serve(l)
	go e.beats(e.stop)
	go e.expire(e.stop)
	return nil
}

// End ends the lifetime: everything that runs there ends.
func (e *Executor) End() {
	e.mu.Lock()
	for _, r := range e.running {
		e.World.ended(e, r, "lost")
	}
	e.running = make(map[string]*run)
	e.mu.Unlock()
	close(e.stop)
	e.server.Close()
}

func (e *Executor) clock() int64 { return time.Since(e.born).Milliseconds() }

type order struct {
	Task   string `json:"task"`
	Run    int    `json:"run"`
	Spec   string `json:"spec"`
	Until  int64  `json:"until_ms"`
	Token  uint64 `json:"fencing_token"`
	Seen   int    `json:"last_seen"`
	WaitMS int64  `json:"wait_ms"`
}

func (e *Executor) wrap(handle func(*http.Request, order) (int, map[string]any)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		raw, err := io.ReadAll(r.Body)
		var o order
		if err != nil || json.Unmarshal(raw, &o) != nil {
			w.WriteHeader(400)
			return
		}
		if want := r.Header.Get("X-Expect-Instance"); want != "" && want != e.ID {
			w.WriteHeader(421)
			return
		}
		e.mu.Lock()
		if e.lateNext != nil && r.URL.Path == "/run-start" {
			if delay, late := e.lateNext(o.Task); late {
				left, stop := o.Until-e.clock(), e.stop
				e.mu.Unlock()
				e.rec.Add("executor %s: leaves the start of %s run %d unanswered", e.ID, o.Task, o.Run)
				time.AfterFunc(delay, func() {
					select {
					case <-stop:
						return
					default:
					}
					o.Until = e.clock() + left
					status, reply := handle(r, o)
					e.rec.Add("executor %s: carries the start of %s out late: %d %v", e.ID, o.Task, status, reply["reason"])
				})
				<-r.Context().Done()
				return
			}
		}
		first := false
		if e.stuckAt != nil && r.URL.Path == "/run-start" {
			var b backlog
			if b, first = e.stuckAt(o.Task); first {
				e.backlog = b
			}
		}
		if time.Now().Before(e.backlog.until) && (first || !e.backlog.reborn) {
			left, stop, delay, lost := o.Until-e.clock(), e.stop, e.backlog.delay, e.backlog.cut && !first
			if e.backlog.reborn {
				stop = nil // The next life carries it out.
			}
			e.mu.Unlock()
			e.World.Ordered(true)
			e.rec.Add("executor %s: leaves %s %s run %d unanswered", e.ID, r.URL.Path, o.Task, o.Run)
			if !lost {
				time.AfterFunc(delay, func() { e.carryOutLate(handle, r, o, left, stop) })
			}
			<-r.Context().Done()
			return
		}
		e.World.Ordered(false)
		late, grant := rand.Float64() < e.late, e.lateGrant
		stop := e.stop
		e.mu.Unlock()
		if late {
			left := o.Until - e.clock()
			time.AfterFunc(time.Duration(2000+rand.IntN(10000))*time.Millisecond, func() {
				select {
				case <-stop:
					return
				default:
				}
				if grant && o.Until > 0 {
					o.Until = e.clock() + left
				}
				o.WaitMS = 0
				handle(r, o)
			})
			<-r.Context().Done()
			return
		}
		status, reply := handle(r, o)
		reply["clock_ms"], reply["born"] = e.clock(), e.born.UnixMilli()
		w.Header().Set("Content-Type", "application/json")
		if raw := e.oddReply(reply); raw != nil {
			w.WriteHeader(status)
			w.Write(raw)
			return
		}
		w.WriteHeader(status)
		json.NewEncoder(w).Encode(reply)
	}
}

// oddReply returns the bytes of an odd answer, or nil for a sound one.
func (e *Executor) oddReply(reply map[string]any) []byte {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.odd == nil || e.odd.IntN(4) > 0 {
		return nil
	}
	if e.odd.IntN(3) == 0 {
		row := []any{"0123456789abcdef.0.0.0", 1, "", 1, 1}
		row[e.odd.IntN(len(row))] = oddValues[e.odd.IntN(len(oddValues))]
		reply[[]string{"running", "ended"}[e.odd.IntN(2)]] = []any{row}
	}
	return oddBytes(reply, e.odd)
}

// carryOutLate carries out an order that was left unanswered, unless the executor's lifetime has ended. Its time counts from now.
func (e *Executor) carryOutLate(handle func(*http.Request, order) (int, map[string]any), r *http.Request, o order, left int64, stop chan struct{}) {
	select {
	case <-stop:
		return
	default:
	}
	if o.Until > 0 {
		o.Until = e.clock() + left
	}
	o.WaitMS = 0
	status, reply := handle(r, o)
	e.rec.Add("executor %s: carries %s %s run %d out late: %d %v", e.ID, r.URL.Path, o.Task, o.Run, status, reply["reason"])
}

func refuse(reason string) (int, map[string]any) { return 409, map[string]any{"reason": reason} }

// fence returns whether an order is to be refused for its token. The lock is held.
func (e *Executor) fence(o order) bool {
	if o.Token < e.token {
		return true
	}
	if e.token&0xfff != o.Token&0xfff {
		e.rec.Add("executor %s: obeys another holder", e.ID)
	}
	e.token = o.Token
	return false
}

// extend extends the lease of all runs. The lock is held.
func (e *Executor) extend(until int64) {
	if until == 0 {
		return
	}
	end := e.born.Add(time.Duration(until) * time.Millisecond)
	if limit := time.Now().Add(maxHold); end.After(limit) {
		end = limit
	}
	if end.After(e.lease) {
		e.lease = end
	}
}

func (e *Executor) used() (a Amount) {
	for _, r := range e.running {
		a.CPU += r.needs.CPU
		a.Mem += r.needs.Mem
	}
	return a
}

func (e *Executor) handleStart(_ *http.Request, o order) (int, map[string]any) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.fence(o) {
		return refuse("fence")
	}
	if r, there := e.running[o.Task]; there && r.number == o.Run {
		e.extend(o.Until)
		return 200, map[string]any{}
	}
	if o.Until <= e.clock() {
		return refuse("late")
	}
	e.extend(o.Until)
	if there := e.running[o.Task]; there != nil || o.Run <= e.highest[o.Task] {
		return refuse("old")
	}
	var spec Spec
	if json.Unmarshal([]byte(o.Spec), &spec) != nil {
		return 400, map[string]any{}
	}
	used := e.used()
	if e.Guards && (used.CPU+spec.CPU > e.Has.CPU || used.Mem+spec.Mem > e.Has.Mem) {
		return refuse("room")
	}
	r := &run{task: o.Task, number: o.Run, needs: spec.Amount, begun: time.Now(), how: "done", stopped: make(chan struct{})}
	r.finish = r.begun.Add(time.Duration(spec.MS) * time.Millisecond)
	e.running[o.Task] = r
	e.World.begun(e, r, o.Spec, e.used())
	go e.await(r, e.stop)
	return 200, map[string]any{}
}

func (r *run) end(how string) {
	r.once.Do(func() { r.how = how; close(r.stopped) })
}

func (e *Executor) await(r *run, stop chan struct{}) {
	t := time.NewTimer(time.Until(r.finish))
	defer t.Stop()
	select {
	case <-t.C:
	case <-r.stopped:
	case <-stop:
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.running[r.task] != r {
		return
	}
	delete(e.running, r.task)
	e.highest[r.task] = max(e.highest[r.task], r.number)
	e.last++
	e.ended = append(e.ended, []any{e.last, r.task, r.number, r.how, ""})
	e.World.ended(e, r, r.how)
	close(e.changed)
	e.changed = make(chan struct{})
}

func (e *Executor) handleStop(_ *http.Request, o order) (int, map[string]any) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.fence(o) {
		return refuse("fence")
	}
	e.highest[o.Task] = max(e.highest[o.Task], o.Run)
	if r, there := e.running[o.Task]; there && r.number <= o.Run {
		r.end("stopped")
	}
	return 200, map[string]any{}
}

func (e *Executor) handleHold(r *http.Request, o order) (int, map[string]any) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.fence(o) {
		return refuse("fence")
	}
	e.extend(o.Until)
	for len(e.ended) > 0 && e.ended[0][0].(int) <= o.Seen {
		e.ended = e.ended[1:]
	}
	if len(e.ended) == 0 && o.WaitMS > 0 {
		changed, stop := e.changed, e.stop
		e.mu.Unlock()
		t := time.NewTimer(time.Duration(min(o.WaitMS, 2000)) * time.Millisecond)
		select {
		case <-changed:
		case <-t.C:
		case <-stop:
		case <-r.Context().Done():
		}
		t.Stop()
		e.mu.Lock()
	}
	running := [][]any{}
	for _, r := range e.running {
		running = append(running, []any{r.task, r.number, "", 100, r.needs.CPU})
	}
	ended := e.ended[:min(len(e.ended), 500)]
	return 200, map[string]any{"running": running, "ended": append([][]any{}, ended...)}
}

// expire ends everything once the lease has expired.
func (e *Executor) expire(stop chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(5 * time.Millisecond):
		}
		e.mu.Lock()
		if time.Now().After(e.lease) {
			for _, r := range e.running {
				r.end("lapsed")
			}
		}
		e.mu.Unlock()
	}
}

// Drain has the executor report draining from its next beat on, which it sends at once.
func (e *Executor) Drain() {
	e.mu.Lock()
	e.draining = true
	e.mu.Unlock()
	e.sendBeat()
}

func (e *Executor) beats(stop chan struct{}) {
	e.mu.Lock()
	wait := e.firstBeat
	e.mu.Unlock()
	time.Sleep(wait)
	for {
		e.mu.Lock()
		cut := e.backlog.cut && time.Now().Before(e.backlog.until)
		e.mu.Unlock()
		if !cut {
			e.sendBeat()
		}
		select {
		case <-stop:
			return
		case <-time.After(e.Beat):
		}
	}
}

// sendBeat reports to the system; without an ack within a second the next node is called.
func (e *Executor) sendBeat() {
	for range e.Control {
		e.mu.Lock()
		e.sequence++
		state := "ready"
		if e.draining {
			state = "draining"
		}
		body, _ := json.Marshal(map[string]any{
			"service": e.Service, "address": e.Address, "zone": e.Zone, "version": "v1", "slots": e.Slots, "state": state,
			"cold_remaining_ms": 0, "capacity": map[string]int{"cpu": e.Has.CPU, "mem_mb": e.Has.Mem, "gpu": 0},
			"labels": []string{"a", "r-" + e.Zone}, "clock_ms": e.clock(), "sequence": e.sequence, "born": e.born.UnixMilli(),
		})
		to := e.Control[e.nextCore%len(e.Control)]
		draining := e.draining
		stop := e.stop
		e.mu.Unlock()
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		r, _ := http.NewRequestWithContext(ctx, "PUT", "http://"+to+"/instances/"+e.ID, bytes.NewReader(body))
		r.Header.Set("Content-Type", "application/json")
		response, err := beatClient.RoundTrip(r)
		ok := false
		if err == nil {
			io.Copy(io.Discard, response.Body)
			response.Body.Close()
			ok = response.StatusCode/100 == 2
		}
		cancel()
		if ok {
			select {
			case <-stop: // A beat of the lifetime before.
			default:
				if draining {
					e.World.drainAcked(e)
				}
			}
			return
		}
		e.mu.Lock()
		e.nextCore++
		e.mu.Unlock()
		select {
		case <-stop:
			return
		default:
		}
	}
}

var beatClient = &http.Transport{MaxIdleConnsPerHost: 4}

func (a Amount) String() string { return fmt.Sprintf("cpu %d, mem %d", a.CPU, a.Mem) }
