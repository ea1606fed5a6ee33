package register

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"redwingpulley/kernel/model"
)

// world runs machines over a message fake that delays, drops, doubles, reorders and cuts, and
// checks what they answer and serve.
type world struct {
	t       failer
	random  *rand.Rand
	now     time.Time
	nodes   map[model.NodeID]*member
	order   []model.NodeID
	replica []model.NodeID
	pending []delivery
	cut     map[model.NodeID]int // Side of the cut.
	loss    float64
	double  float64
	delay   time.Duration
	alone   time.Duration // See Config.Alone.
	reform  bool          // See Config.Reform.
	seeds   uint64

	tickets uint64
	asked   map[uint64]sent
	unknown map[string]bool // Keys with a sending whose end is not known.
	notRun  map[string]bool // Keys all of whose sendings were answered not_run.
	first   map[string]model.EditResult
	states  map[model.Revision]State
	done    int
}

type sent struct {
	change model.ProfileEdit
	to     model.NodeID
}

type member struct {
	machine *Machine
	disk    *Durable
	old     []*Durable // Earlier contents of the disk.
	full    bool
	copied  bool // Whether the disk holds a restored copy.
	down    bool
	floor   model.Revision // Highest revision served, over all runs.
}

type delivery struct {
	at       time.Time
	from, to model.NodeID
	message  Message
}

// failer is the part of a test that a world needs.
type failer interface {
	Fatalf(format string, args ...any)
}

func newWorld(t failer, replicas, plain int, seed uint64) *world {
	w := &world{
		t: t, random: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(0, 0),
		nodes: map[model.NodeID]*member{}, cut: map[model.NodeID]int{}, delay: 5 * time.Millisecond,
		asked: map[uint64]sent{}, unknown: map[string]bool{}, notRun: map[string]bool{},
		first: map[string]model.EditResult{}, states: map[model.Revision]State{0: Initial()},
	}
	for i := range replicas + plain {
		id := model.NodeID(fmt.Sprintf("n%d", i))
		w.order = append(w.order, id)
		if i < replicas {
			w.replica = append(w.replica, id)
		}
		w.nodes[id] = &member{}
	}
	for _, id := range w.order {
		w.start(id)
	}
	return w
}

func (w *world) start(id model.NodeID) {
	n := w.nodes[id]
	w.seeds++
	n.down = false
	n.machine = New(Config{Self: id, Replicas: w.replica, Seed: w.seeds, Copied: n.copied, Alone: w.alone, Reform: w.reform}, n.disk)
	w.step(id, Woken{})
}

func (w *world) crash(id model.NodeID) { w.nodes[id].down = true }

func (w *world) step(id model.NodeID, e Event) {
	n := w.nodes[id]
	w.carryOut(id, n.machine.Step(w.now, e))
}

func (w *world) carryOut(id model.NodeID, effects []Effect) {
	n, failed := w.nodes[id], false
	for _, effect := range effects {
		switch e := effect.(type) {
		case Persist:
			if n.full {
				failed = true
				continue
			}
			n.disk, n.copied = &e.Durable, false
			n.old = append(n.old, n.disk)
			w.carryOut(id, e.Then)
		case Send:
			w.post(id, e.To, e.Message)
		case Broadcast:
			for _, to := range w.order {
				if to != id {
					w.post(id, to, e.Message)
				}
			}
		case Ask:
			w.post(id, w.order[e.Number%uint64(len(w.order))], e.Message)
		case Answer:
			w.answered(e)
		case Serve:
			w.serves(id, e.State)
		}
	}
	if failed {
		w.step(id, WriteFailed{})
	}
}

func (w *world) post(from, to model.NodeID, message Message) {
	if from != to && w.random.Float64() < w.loss {
		return
	}
	copies := 1
	if w.random.Float64() < w.double {
		copies = 2
	}
	for range copies {
		delay := time.Duration(w.random.Int64N(int64(w.delay) + 1))
		if w.random.Float64() < w.double {
			delay *= 200 // A straggler comes after rounds have passed.
		}
		w.pending = append(w.pending, delivery{w.now.Add(delay), from, to, message})
	}
}

// run lets time pass.
func (w *world) run(d time.Duration) {
	for end := w.now.Add(d); ; {
		at, wake, index := end, model.NodeID(""), -1
		for i, p := range w.pending {
			if p.at.Before(at) {
				at, index = p.at, i
			}
		}
		for _, id := range w.order {
			if n := w.nodes[id]; !n.down && n.machine.Wake().Before(at) {
				at, wake, index = n.machine.Wake(), id, -1
			}
		}
		if at.After(w.now) {
			w.now = at
		}
		switch {
		case wake != "":
			w.step(wake, Woken{})
		case index >= 0:
			w.deliver(index)
		default:
			return
		}
	}
}

func (w *world) deliver(index int) {
	p := w.pending[index]
	w.pending = slices.Delete(w.pending, index, index+1)
	if !w.nodes[p.to].down && w.cut[p.from] == w.cut[p.to] {
		w.step(p.to, Received{p.from, p.message})
	}
}

func (w *world) submit(to model.NodeID, c model.ProfileEdit) {
	if w.nodes[to].down {
		return
	}
	w.tickets++
	w.asked[w.tickets] = sent{c, to}
	delete(w.notRun, c.ID)                                        // The promise is about the sendings so far.
	w.unknown[c.ID] = w.unknown[c.ID] || w.random.Float64() < 0.2 // The answer is lost.
	w.step(to, Submitted{w.tickets, c, w.now.Add(2 * time.Second)})
}

// forget gives up on the answers of a member that went down.
func (w *world) forget(id model.NodeID) {
	for ticket, s := range w.asked {
		if s.to == id {
			w.unknown[s.change.ID] = true
			delete(w.asked, ticket)
		}
	}
}

func (w *world) answered(a Answer) {
	s, ok := w.asked[a.Ticket]
	if !ok {
		w.t.Fatalf("answer to unknown ticket %d", a.Ticket)
	}
	delete(w.asked, a.Ticket)
	id := s.change.ID
	switch {
	case a.Result.Status == model.EditDone:
		w.done++
		if first, ok := w.first[id]; ok && first != a.Result {
			w.t.Fatalf("change %s answered %v, then %v", id, first, a.Result)
		}
		if w.notRun[id] {
			w.t.Fatalf("change %s done after a not_run for all of its sendings", id)
		}
		w.first[id] = a.Result
	case a.Result.Run == model.MayHaveRun:
		w.unknown[id] = true
	case a.Result.Run == model.NotRun:
		if _, done := w.first[id]; done && a.Result.Status == model.EditStale {
			w.t.Fatalf("change %s was done and is now refused %v", id, a.Result)
		}
		if !w.unknown[id] && !w.inFlight(id) {
			w.notRun[id] = true
		}
	}
}

func (w *world) inFlight(id string) bool {
	for _, s := range w.asked {
		if s.change.ID == id {
			return true
		}
	}
	_, done := w.first[id]
	return done
}

func (w *world) serves(id model.NodeID, s State) {
	n := w.nodes[id]
	if s.Revision() < n.floor && !n.full {
		w.t.Fatalf("%s served %d and now serves %d", id, n.floor, s.Revision())
	}
	n.floor = max(n.floor, s.Revision())
	known, ok := w.states[s.Revision()]
	if ok && fmt.Sprint(known) != fmt.Sprint(s) {
		w.t.Fatalf("revision %d has two values:\n%v\n%v", s.Revision(), known, s)
	}
	w.states[s.Revision()] = s
	for _, change := range s.History {
		if w.notRun[change.ID] {
			w.t.Fatalf("change %s was answered not_run and took effect", change.ID)
		}
	}
}

// newest returns the newest state that any member served.
func (w *world) newest() State {
	var newest State
	for _, s := range w.states {
		if s.Revision() >= newest.Revision() {
			newest = s
		}
	}
	return newest
}

// settle heals everything and checks that all members agree on a state that holds each change
// that was answered as done.
func (w *world) settle() {
	w.cut, w.loss, w.double = map[model.NodeID]int{}, 0, 0
	for _, id := range w.order {
		w.nodes[id].full = false
		if w.nodes[id].down {
			w.start(id)
		}
	}
	w.run(9 * time.Second)
	w.finalChange()
	state := w.newest()
	for _, id := range w.order {
		if got := w.nodes[id].floor; got != state.Revision() {
			w.t.Fatalf("%s serves %d, not %d", id, got, state.Revision())
		}
	}
	forgotten := state.Revision() - model.Revision(len(state.History))
	for id, result := range w.first {
		if result.Revision <= forgotten {
			continue // Beyond KeptChanges.
		}
		change, ok := state.find(id)
		if !ok || change.Revision != result.Revision {
			w.t.Fatalf("change %s was done at %d and is gone", id, result.Revision)
		}
	}
}

func (w *world) finalChange() {
	last := model.ProfileEdit{ID: "last", Expect: w.newest().Revision(), Kind: model.PutProfile, Name: "last"}
	w.unknown["last"] = true
	w.tickets++
	w.asked[w.tickets] = sent{last, w.replica[0]}
	w.step(w.replica[0], Submitted{w.tickets, last, w.now.Add(5 * time.Second)})
	w.run(9 * time.Second)
	if _, ok := w.first["last"]; !ok {
		w.t.Fatalf("the healed group takes no change")
	}
}

// runFixed runs a story on three replicas and two members without disks, then heals and checks.
func runFixed(t *testing.T, story func(w *world)) {
	t.Helper()
	w := newWorld(t, 3, 2, 1)
	w.run(3 * time.Second)
	story(w)
	w.settle()
}
