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

// cluster runs machines over an in-memory network in virtual time. Equal seeds give equal results.
type cluster struct {
	unpowered bool // Nodes whose process is down do not refuse connections: they answer nothing.
	now       time.Time
	random    *rand.Rand
	queue     callQueue
	sequence  uint64 // Number of the last scheduled call.
	nodes     []*node

	loss, duplicate float64                   // Probabilities for one message to be lost or duplicated.
	maxDelay        time.Duration             // Upper bound of a message's delay.
	blocked         func(from, to *node) bool // Drops messages in one direction, for partitions.

	messages, bytes int // Traffic so far.
	stateChanges    []StateChange
}

// node is a member with its process, which may be down or paused.
type node struct {
	port.Node
	machine           *Machine // nil while the process is down.
	incarnationNumber int      // Number of the present incarnation; raised by each start.
	paused            bool
	deferred          []func()      // Calls that a paused process executes once it is resumed.
	clockOffset       time.Duration // Error of the node's clock.
}

// scheduledCall is a call that is due at a time.
type scheduledCall struct {
	at       time.Time
	sequence uint64 // Orders calls that are due at the same time.
	do       func()
}

// callQueue is a heap of calls, the next due first.
type callQueue []scheduledCall

func (q callQueue) Len() int { return len(q) }
func (q callQueue) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || q[i].at.Equal(q[j].at) && q[i].sequence < q[j].sequence
}
func (q callQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *callQueue) Push(x any)   { *q = append(*q, x.(scheduledCall)) }
func (q *callQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// newCluster returns a cluster of count members, none of them started, with three in each data
// centre.
func newCluster(seed uint64, count int) *cluster {
	c := &cluster{
		now:      time.UnixMilli(1_700_000_000_000),
		random:   rand.New(rand.NewPCG(seed, 1)),
		maxDelay: 5 * time.Millisecond,
		blocked:  func(_, _ *node) bool { return false },
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

// start starts a new process of a node; its settings name all nodes that the cluster has now.
func (c *cluster) start(n *node) {
	n.incarnationNumber++
	n.paused, n.deferred = false, nil
	n.Incarnation = model.Incarnation(fmt.Sprintf("%s-run%d", n.ID, n.incarnationNumber))
	config := Config{Self: n.Node, Epoch: uint64(c.now.Add(n.clockOffset).UnixMilli()), Period: period, RandomSeed: c.random.Uint64()}
	for _, other := range c.nodes {
		seed := other.Node
		seed.Incarnation = ""
		config.Seeds = append(config.Seeds, seed)
	}
	n.machine = New(c.now, config)
	c.tick(n, n.incarnationNumber)
}

func (c *cluster) crash(n *node) {
	n.machine, n.paused, n.deferred = nil, false, nil
}

func (c *cluster) pause(n *node) { n.paused = n.machine != nil }

func (c *cluster) resume(n *node) {
	deferred := n.deferred
	n.paused, n.deferred = false, nil
	for _, do := range deferred {
		do()
	}
}

func (c *cluster) schedule(d time.Duration, do func()) {
	c.sequence++
	heap.Push(&c.queue, scheduledCall{c.now.Add(d), c.sequence, do})
}

// whenRunning calls do within one incarnation of a process, after its resumption when it is paused. The
// call is dropped when that incarnation has ended.
func (c *cluster) whenRunning(n *node, incarnationNumber int, do func()) {
	switch {
	case n.machine == nil || n.incarnationNumber != incarnationNumber:
	case n.paused:
		n.deferred = append(n.deferred, func() { c.whenRunning(n, incarnationNumber, do) })
	default:
		do()
	}
}

func (c *cluster) tick(n *node, incarnationNumber int) {
	c.whenRunning(n, incarnationNumber, func() {
		c.step(n, Elapsed{})
		c.schedule(n.machine.NextTimer().Sub(c.now), func() { c.tick(n, incarnationNumber) })
	})
}

func (c *cluster) step(n *node, event Event) Effects {
	fx := n.machine.Step(c.now, event)
	c.stateChanges = append(c.stateChanges, fx.StateChanges...)
	for _, p := range fx.Pings {
		c.ping(n, p.To, p.Message, func(answer Message, ok bool) {
			if ok {
				c.step(n, PingAnswered{p.Probe, answer})
			} else {
				c.step(n, PingFailed{p.Probe, c.refuses(n, p.To)})
			}
		})
	}
	for _, r := range fx.Relays {
		c.relay(n, r)
	}
	return fx
}

// refuses reports whether the node refuses connections from another one, since its process is down.
func (c *cluster) refuses(from *node, id model.NodeID) bool {
	to := c.nodeByID(id)
	return to.machine == nil && !c.unpowered && !c.blocked(from, to) && !c.blocked(to, from)
}

func (c *cluster) nodeByID(id model.NodeID) *node {
	return c.nodes[slices.IndexFunc(c.nodes, func(n *node) bool { return n.ID == id })]
}

// call carries a request and its answer. When either is lost, result reports the failure after the
// timeout.
func (c *cluster) call(from, to *node, timeout time.Duration, serve func(respond func()), result func(ok bool)) {
	incarnationNumber, done := from.incarnationNumber, false
	finish := func(ok bool) {
		c.whenRunning(from, incarnationNumber, func() {
			if !done {
				done = true
				result(ok)
			}
		})
	}
	c.schedule(timeout, func() { finish(false) })
	c.transmit(from, to, func() {
		c.whenRunning(to, to.incarnationNumber, func() {
			serve(func() { c.transmit(to, from, func() { finish(true) }) })
		})
	})
}

// transmit carries one message, which may be delayed, lost or duplicated.
func (c *cluster) transmit(from, to *node, deliver func()) {
	copies := 1
	if c.random.Float64() < c.duplicate {
		copies = 2
	}
	for range copies {
		if c.random.Float64() < c.loss {
			continue
		}
		c.schedule(time.Duration(c.random.Int64N(int64(c.maxDelay))), func() {
			if !c.blocked(from, to) {
				deliver()
			}
		})
	}
}

func (c *cluster) ping(from *node, id model.NodeID, message Message, result func(answer Message, ok bool)) {
	var answer Message
	to := c.nodeByID(id)
	c.countTraffic(message)
	if c.refuses(from, id) {
		incarnationNumber := from.incarnationNumber
		c.schedule(c.maxDelay, func() { c.whenRunning(from, incarnationNumber, func() { result(answer, false) }) })
		return
	}
	c.call(from, to, answerTimeout, func(respond func()) {
		answer = c.step(to, PingReceived{message}).Reply
		c.countTraffic(answer)
		respond()
	}, func(ok bool) { result(answer, ok) })
}

func (c *cluster) relay(from *node, r Relay) {
	helper := c.nodeByID(r.Through)
	c.messages += 2
	reached, refused := false, false
	c.call(from, helper, 2*answerTimeout, func(respond func()) {
		message := c.step(helper, MessageRequested{r.Target.ID}).Reply
		c.ping(helper, r.Target.ID, message, func(answer Message, ok bool) {
			if reached = ok; ok {
				c.step(helper, RelayedPingAnswered{answer})
			}
			refused = !ok && c.refuses(helper, r.Target.ID)
			respond()
		})
	}, func(ok bool) { c.step(from, RelayEnded{r.Probe, ok && reached, ok && refused}) })
}

func (c *cluster) countTraffic(m Message) {
	c.messages++
	for _, r := range m.Records {
		c.bytes += r.size()
	}
	for _, v := range m.Values {
		c.bytes += v.size()
	}
}

// run advances the virtual time by d and executes the calls that fall due.
func (c *cluster) run(d time.Duration) {
	end := c.now.Add(d)
	for len(c.queue) > 0 && !c.queue[0].at.After(end) {
		next := heap.Pop(&c.queue).(scheduledCall)
		c.now = next.at
		next.do()
	}
	c.now = end
}

// runUntil advances the time by periods until condition holds, at most limit of them, and returns
// how many passed.
func (c *cluster) runUntil(limit int, condition func() bool) (periods int, ok bool) {
	for periods = range limit {
		if condition() {
			return periods, true
		}
		c.run(period)
	}
	return limit, condition()
}

// running returns the nodes whose process is up and not paused.
func (c *cluster) running() []*node {
	return slices.DeleteFunc(slices.Clone(c.nodes), func(n *node) bool { return n.machine == nil || n.paused })
}

// agreed reports whether each of the given members has a fresh view in which exactly these members,
// in their present incarnations, are alive.
func agreed(members []*node) bool {
	return slices.IndexFunc(members, func(n *node) bool { return !n.agreesOn(members) }) < 0
}

func (n *node) agreesOn(members []*node) bool {
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

func (n *node) seesAlive(id model.NodeID) bool {
	return slices.ContainsFunc(n.machine.Live(), func(other port.Node) bool { return other.ID == id })
}
