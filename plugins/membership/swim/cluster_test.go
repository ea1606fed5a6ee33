package swim

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"redwingpulley/kernel/model"
	"redwingpulley/kernel/port"
)

const (
	period        = 500 * time.Millisecond
	answerTimeout = period / 2
)

// cluster runs machines over an in-memory network in virtual time. Equal seeds give equal runs.
type cluster struct {
	now    time.Time
	random *rand.Rand
	events schedule
	order  uint64
	nodes  []*node

	loss, double float64 // Chances for one message.
	maxDelay     time.Duration
	cut          func(from, to *node) bool

	messages, bytes int
	changes         []Change
}

// node is a member's process, or the place where one ran.
type node struct {
	port.Node
	machine *Machine // nil while the process is down.
	run     int
	frozen  bool
	held    []func() // What a frozen process does once it goes on.
	clock   time.Duration
}

type scheduled struct {
	at    time.Time
	order uint64
	do    func()
}

type schedule []scheduled

func (s schedule) Len() int { return len(s) }
func (s schedule) Less(i, j int) bool {
	return s[i].at.Before(s[j].at) || s[i].at.Equal(s[j].at) && s[i].order < s[j].order
}
func (s schedule) Swap(i, j int) { s[i], s[j] = s[j], s[i] }
func (s *schedule) Push(x any)   { *s = append(*s, x.(scheduled)) }
func (s *schedule) Pop() any {
	last := (*s)[len(*s)-1]
	*s = (*s)[:len(*s)-1]
	return last
}

// newCluster has count members that settings name, in data centres of three.
func newCluster(seed uint64, count int) *cluster {
	c := &cluster{
		now:      time.UnixMilli(1_700_000_000_000),
		random:   rand.New(rand.NewPCG(seed, 1)),
		maxDelay: 5 * time.Millisecond,
		cut:      func(_, _ *node) bool { return false },
	}
	for i := range count {
		c.nodes = append(c.nodes, &node{Node: port.Node{
			ID:         model.NodeID(fmt.Sprintf("n%02d", i)),
			DataCentre: model.DataCentre(fmt.Sprintf("dc%d", i/3)),
			Peers:      fmt.Sprintf("10.0.0.%d:7004", i),
			Endpoints:  fmt.Sprintf("10.0.0.%d:7002", i),
		}})
	}
	return c
}

func (c *cluster) startAll() {
	for _, n := range c.nodes {
		c.start(n)
	}
}

// start runs a new process; its settings name all nodes of the cluster's first size.
func (c *cluster) start(n *node) {
	n.run++
	n.frozen, n.held = false, nil
	n.Incarnation = model.Incarnation(fmt.Sprintf("%s-run%d", n.ID, n.run))
	config := Config{Self: n.Node, Epoch: uint64(c.now.Add(n.clock).UnixMilli()), Period: period, Seed: c.random.Uint64()}
	for _, other := range c.nodes {
		seed := other.Node
		seed.Incarnation = ""
		config.Seeds = append(config.Seeds, seed)
	}
	n.machine = New(c.now, config)
	c.tick(n, n.run)
}

func (c *cluster) crash(n *node) {
	n.machine, n.frozen, n.held = nil, false, nil
}

func (c *cluster) freeze(n *node) { n.frozen = n.machine != nil }

func (c *cluster) thaw(n *node) {
	held := n.held
	n.frozen, n.held = false, nil
	for _, do := range held {
		do()
	}
}

func (c *cluster) after(d time.Duration, do func()) {
	c.order++
	heap.Push(&c.events, scheduled{c.now.Add(d), c.order, do})
}

// in does something in one run of a process, once it is not frozen.
func (c *cluster) in(n *node, run int, do func()) {
	switch {
	case n.machine == nil || n.run != run:
	case n.frozen:
		n.held = append(n.held, func() { c.in(n, run, do) })
	default:
		do()
	}
}

func (c *cluster) tick(n *node, run int) {
	c.in(n, run, func() {
		c.step(n, Elapsed{})
		c.after(n.machine.Wake().Sub(c.now), func() { c.tick(n, run) })
	})
}

func (c *cluster) step(n *node, event Event) Effects {
	fx := n.machine.Step(c.now, event)
	c.changes = append(c.changes, fx.Changes...)
	for _, p := range fx.Pings {
		c.ping(n, p.To, p.Message, func(answer Message, ok bool) {
			if ok {
				c.step(n, Answered{p.Probe, answer})
			} else {
				c.step(n, Unanswered{p.Probe})
			}
		})
	}
	for _, r := range fx.Relays {
		c.relay(n, r)
	}
	return fx
}

func (c *cluster) find(id model.NodeID) *node {
	return c.nodes[slices.IndexFunc(c.nodes, func(n *node) bool { return n.ID == id })]
}

// call carries a request and its answer; the caller hears of a loss after its timeout.
func (c *cluster) call(from, to *node, timeout time.Duration, serve func(answer func()), result func(ok bool)) {
	run, settled := from.run, false
	settle := func(ok bool) {
		c.in(from, run, func() {
			if !settled {
				settled = true
				result(ok)
			}
		})
	}
	c.after(timeout, func() { settle(false) })
	c.transmit(from, to, func() {
		c.in(to, to.run, func() {
			serve(func() { c.transmit(to, from, func() { settle(true) }) })
		})
	})
}

// transmit carries one message, or loses or doubles it.
func (c *cluster) transmit(from, to *node, arrive func()) {
	copies := 1
	if c.random.Float64() < c.double {
		copies = 2
	}
	for range copies {
		if c.random.Float64() < c.loss {
			continue
		}
		c.after(time.Duration(c.random.Int64N(int64(c.maxDelay))), func() {
			if !c.cut(from, to) {
				arrive()
			}
		})
	}
}

func (c *cluster) ping(from *node, id model.NodeID, message Message, result func(answer Message, ok bool)) {
	var answer Message
	to := c.find(id)
	c.count(message)
	c.call(from, to, answerTimeout, func(send func()) {
		answer = c.step(to, Received{message}).Reply
		c.count(answer)
		send()
	}, func(ok bool) { result(answer, ok) })
}

func (c *cluster) relay(from *node, r Relay) {
	through := c.find(r.Through)
	c.messages += 2
	reached := false
	c.call(from, through, 2*answerTimeout, func(send func()) {
		message := c.step(through, Composed{r.Target.ID}).Reply
		c.ping(through, r.Target.ID, message, func(answer Message, ok bool) {
			if reached = ok; ok {
				c.step(through, Merged{answer})
			}
			send()
		})
	}, func(ok bool) { c.step(from, RelayEnded{r.Probe, ok && reached}) })
}

func (c *cluster) count(m Message) {
	c.messages++
	for _, r := range m.Records {
		c.bytes += r.size()
	}
	for _, v := range m.Values {
		c.bytes += v.size()
	}
}

// run lets time pass.
func (c *cluster) run(d time.Duration) {
	end := c.now.Add(d)
	for len(c.events) > 0 && !c.events[0].at.After(end) {
		next := heap.Pop(&c.events).(scheduled)
		c.now = next.at
		next.do()
	}
	c.now = end
}

// runUntil lets periods pass until holds, at most limit; it returns how many passed.
func (c *cluster) runUntil(limit int, holds func() bool) (periods int, ok bool) {
	for periods = range limit {
		if holds() {
			return periods, true
		}
		c.run(period)
	}
	return limit, holds()
}

func (c *cluster) running() []*node {
	return slices.DeleteFunc(slices.Clone(c.nodes), func(n *node) bool { return n.machine == nil || n.frozen })
}

// agreed reports whether each running member takes exactly the given ones, in their present runs,
// for alive.
func agreed(members []*node) bool {
	return slices.IndexFunc(members, func(n *node) bool { return !n.sees(members) }) < 0
}

func (n *node) sees(members []*node) bool {
	live := n.machine.Live()
	if fresh, _ := n.machine.Fresh(); !fresh || len(live) != len(members) {
		return false
	}
	for i, m := range members {
		if live[i].ID != m.ID || live[i].Incarnation != m.Incarnation {
			return false
		}
	}
	return true
}

func (n *node) holds(id model.NodeID) bool {
	return slices.ContainsFunc(n.machine.Live(), func(other port.Node) bool { return other.ID == id })
}
