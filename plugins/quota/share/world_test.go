package share

import (
	"container/heap"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"redwingpulley/kernel/model"
)

const worldQuota = 1000.0 // Tasks a second.

// TestMain fixes the seed of random runs that name none.
func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == "0" {
		seed.Value.Set("20260101")
	}
	os.Exit(m.Run())
}

// world runs the members and holders of one team over an in-memory network in virtual time.
type world struct {
	fail   func(format string, args ...any)
	config Config
	random *rand.Rand
	now    time.Time
	events agenda
	order  uint64
	vms    []*vm
	loss   float64
	side   func(*vm) int // Sides of a cut.
	starts []started
}

// vm is one entry VM. Its clock runs at its own rate.
type vm struct {
	id      model.NodeID
	run     int
	rate    float64
	member  *Member // nil while it is down.
	holder  *Holder
	frozen  bool
	held    []func()
	demand  float64 // Jobs a second.
	choice  *vm     // Whom it takes for the holder.
	started int     // Tasks.
}

type started struct {
	at    time.Time
	tasks int
}

type entry struct {
	at    time.Time
	order uint64
	do    func()
}

type agenda []entry

func (a agenda) Len() int { return len(a) }
func (a agenda) Less(i, j int) bool {
	return a[i].at.Before(a[j].at) || a[i].at.Equal(a[j].at) && a[i].order < a[j].order
}
func (a agenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(x any)   { *a = append(*a, x.(entry)) }
func (a *agenda) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

func newWorld(seed uint64, count int, fail func(string, ...any)) *world {
	w := &world{
		fail: fail, now: start, random: rand.New(rand.NewPCG(seed, 7)),
		config: Config{Members: count, Floor: 0.5, Burst: 10 * time.Second},
		side:   func(*vm) int { return 0 },
	}
	for i := range count {
		v := &vm{id: model.NodeID(fmt.Sprintf("n%02d", i)), rate: 1 + (w.random.Float64()-0.5)/clockDrift, demand: []float64{0.1, 20}[i%2]}
		w.vms = append(w.vms, v)
	}
	for _, v := range w.vms {
		w.boot(v)
	}
	return w
}

func (v *vm) self() Run { return Run{v.id, model.Incarnation(fmt.Sprint(v.run))} }

func (w *world) clock(v *vm) time.Time {
	return start.Add(time.Duration(float64(w.now.Sub(start)) * v.rate))
}

func (w *world) boot(v *vm) {
	v.run++
	v.frozen, v.held = false, nil
	v.member, v.holder = NewMember(w.clock(v), w.config), &Holder{}
	v.choice = w.vms[0]
	run := v.run
	w.work(v, run)
	w.tick(v, run)
}

func (w *world) after(d time.Duration, do func()) {
	w.order++
	heap.Push(&w.events, entry{w.now.Add(d), w.order, do})
}

func (w *world) in(v *vm, run int, do func()) {
	switch {
	case v.member == nil || v.run != run:
	case v.frozen:
		v.held = append(v.held, func() { w.in(v, run, do) })
	default:
		do()
	}
}

// work offers jobs at the VM's demand.
func (w *world) work(v *vm, run int) {
	w.in(v, run, func() {
		tasks := 1 + w.random.IntN(100)
		if v.member.Step(w.clock(v), Take{worldQuota, tasks}).Taken {
			v.started += tasks
			w.starts = append(w.starts, started{w.now, tasks})
			w.checkWindows()
		}
		w.after(time.Duration(w.random.ExpFloat64()/v.demand*float64(time.Second)), func() { w.work(v, run) })
	})
}

// tick asks and polls when it is due.
func (w *world) tick(v *vm, run int) {
	w.in(v, run, func() {
		if at, ok := v.member.Wake(); ok && !at.After(w.clock(v)) {
			w.borrow(v)
		}
		if at, ok := v.holder.Wake(); ok && !at.After(w.clock(v)) && v.holder.Step(w.clock(v), Poll{}).Poll {
			for _, lender := range w.vms {
				w.pollLender(v, lender)
			}
		}
		w.checkSum()
		w.after(100*time.Millisecond, func() { w.tick(v, run) })
	})
}

func (w *world) borrow(v *vm) {
	want := v.member.Step(w.clock(v), Ask{}).Want
	if want == 0 {
		return
	}
	asked, to := w.clock(v), v.choice
	w.send(v, to, func() {
		fx := to.holder.Step(w.clock(to), Wanted{v.self(), want})
		holder := to.self()
		w.send(to, v, func() {
			v.member.Step(w.clock(v), Granted{holder, fx.Fraction, asked.Add(Usable(GrantTime)), fx.Again})
		})
	})
}

func (w *world) pollLender(v, lender *vm) {
	asked, self := w.clock(v), v.self()
	w.send(v, lender, func() {
		lent, by := lender.member.Step(w.clock(lender), LoanAsked{self}).Lent, lender.self()
		w.send(lender, v, func() { v.holder.Step(w.clock(v), Lent{by, lent, asked}) })
	})
}

// send delivers a message late, twice, out of order or never.
func (w *world) send(from, to *vm, arrive func()) {
	run := to.run
	for range 1 + w.random.IntN(5)/4 {
		if w.random.Float64() < w.loss {
			continue
		}
		delay := time.Duration(w.random.ExpFloat64() * float64(20*time.Millisecond))
		if w.random.IntN(50) == 0 {
			delay += time.Duration(w.random.Int64N(int64(20 * time.Second)))
		}
		w.after(delay, func() {
			if w.side(from) == w.side(to) {
				w.in(to, run, arrive)
			}
		})
	}
}

// checkSum checks that the parts of all VMs, frozen ones among them, add up to the quota at most.
func (w *world) checkSum() {
	total := 0.0
	for _, v := range w.vms {
		if v.member != nil {
			total += v.member.Fraction(w.clock(v))
		}
	}
	if total > 1+1e-6 {
		w.fail("at %v the parts add up to %g", w.now.Sub(start), total)
	}
}

// checkWindows checks the starts of windows that end now.
func (w *world) checkWindows() {
	for _, window := range []time.Duration{time.Second, 10 * time.Second, time.Minute} {
		total := 0
		for i := len(w.starts) - 1; i >= 0 && w.now.Sub(w.starts[i].at) <= window; i-- {
			total += w.starts[i].tasks
		}
		bound := worldQuota * (window + w.config.Burst).Seconds() * (1 + 1.0/clockDrift)
		if float64(total) > bound {
			w.fail("%d starts in %v, at most %g allowed", total, window, bound)
		}
	}
	for len(w.starts) > 0 && w.now.Sub(w.starts[0].at) > time.Minute {
		w.starts = w.starts[1:]
	}
}

func (w *world) runFor(d time.Duration) {
	end := w.now.Add(d)
	for len(w.events) > 0 && !w.events[0].at.After(end) {
		next := heap.Pop(&w.events).(entry)
		w.now = next.at
		next.do()
	}
	w.now = end
}

func (w *world) thaw(v *vm) {
	held := v.held
	v.frozen, v.held = false, nil
	for _, do := range held {
		do()
	}
}

// disturb does one thing that happens to VMs.
func (w *world) disturb(kind, pick int, size float64) {
	v := w.vms[pick%len(w.vms)]
	switch kind {
	case 0:
		v.demand = 0.1 + size*20
	case 1:
		v.member = nil
	case 2:
		if v.member == nil {
			w.boot(v)
		}
	case 3:
		v.frozen = v.member != nil
	case 4:
		w.thaw(v)
	case 5:
		w.side = func(x *vm) int { return int(x.id[2]-'0') % (1 + pick%3) }
	case 6:
		w.side = func(*vm) int { return 0 }
	case 7:
		w.loss = size * 0.7
	case 9: // A restart at once.
		w.boot(v)
	case 8:
		for i, x := range w.vms { // Some take another VM for the holder.
			if (i+pick)%2 == 0 {
				x.choice = v
			}
		}
	}
}

// TestSharesStayWithinTheQuota runs VMs through crashes, freezes, cuts and demand that shifts. A long
// run: -rapid.checks=100000.
func TestSharesStayWithinTheQuota(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(2, 9).Draw(t, "vms")
		w := newWorld(rapid.Uint64().Draw(t, "seed"), count, t.Fatalf)
		for range rapid.IntRange(5, 40).Draw(t, "steps") {
			w.disturb(rapid.IntRange(0, 9).Draw(t, "kind"), rapid.IntRange(0, 8).Draw(t, "vm"), rapid.Float64Range(0, 1).Draw(t, "size"))
			w.runFor(time.Duration(rapid.IntRange(100, 10_000).Draw(t, "pause")) * time.Millisecond)
		}
	})
}
