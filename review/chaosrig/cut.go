package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

// network stands for the links between the machines. All traffic between two machines goes through a relay. Where a cut lies between them,
// nothing passes: bytes that were sent over an open channel are held up, and arrive after the cut if their sender has only closed the channel;
// they are lost if it has reset it. A channel that is opened during the cut never comes about.
type network struct {
	w       *world
	backoff bool // Held bytes arrive when the sender's transport would send them again, at doubling intervals, and not at once.

	mu       sync.Mutex
	cuts     map[*cut]bool
	healedAt time.Time
	held     int // Chunks that were held up and arrived after a cut.
	lost     int // Chunks that were held up and lost.
	ends     channelEnds
	channels map[*net.TCPConn]bool
}

// cut lies between two ends, each the name of a machine or of an executor.
type cut struct {
	between func(a, b string) bool
	healed  chan struct{} // Closed at the end of the cut.
}

// Addresses: 127.BASE.M.1 is machine M, 127.BASE.M.(2+F) leads to it from machine F.
func machineIP(base, machine int) string { return fmt.Sprintf("127.%d.%d.1", base, machine) }
func relayIP(base, machine, from int) string {
	return fmt.Sprintf("127.%d.%d.%d", base, machine, 2+from)
}
func (n *network) cutting() bool              { n.mu.Lock(); defer n.mu.Unlock(); return len(n.cuts) > 0 }
func (n *network) count(counter *int, by int) { n.mu.Lock(); *counter += by; n.mu.Unlock() }

// blocked returns a channel that is closed when a cut between two ends is over, or nil if there is none.
func (n *network) blocked(a, b string) chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	for c := range n.cuts {
		if c.between(a, b) {
			return c.healed
		}
	}
	return nil
}

func (n *network) cut(d time.Duration, between func(a, b string) bool) {
	c := &cut{between, make(chan struct{})}
	n.mu.Lock()
	n.cuts[c] = true
	n.mu.Unlock()
	time.Sleep(d)
	n.mu.Lock()
	delete(n.cuts, c)
	n.healedAt = time.Now()
	close(c.healed)
	n.mu.Unlock()
}

// cutZone cuts all that is in a zone off from the rest.
func (n *network) cutZone(zone string, d time.Duration) {
	n.cut(d, func(a, b string) bool { return (n.w.placeOf[a] == zone) != (n.w.placeOf[b] == zone) })
}

// cutMachine cuts a machine off from all others, or only from those with a disk. It reaches the executors.
func (n *network) cutMachine(name string, counted bool, d time.Duration) {
	n.cut(d, func(a, b string) bool {
		if strings.HasPrefix(a, "i-") || strings.HasPrefix(b, "i-") || (a == name) == (b == name) {
			return false
		}
		return !counted || strings.HasPrefix(a, "core-") || strings.HasPrefix(b, "core-")
	})
}

// cutExecutors cuts executors off from all machines.
func (n *network) cutExecutors(ids map[string]bool, d time.Duration) {
	n.cut(d, func(a, b string) bool { return ids[a] || ids[b] })
}

// reset resets a share of the open channels between machines.
func (n *network) reset(share float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for c := range n.channels {
		if rand.Float64() < share {
			c.SetLinger(0)
			c.Close()
		}
	}
}

// relay forwards the channels from one machine to another one.
func (n *network) relay(address, target, from, to string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go n.serve(c.(*net.TCPConn), target, from, to)
		}
	}()
	return nil
}

func (n *network) serve(c *net.TCPConn, target, from, to string) {
	defer c.Close()
	if healed := n.blocked(from, to); healed != nil {
		<-healed
		c.SetLinger(0)
		return
	}
	d, err := net.DialTimeout("tcp", target, time.Second)
	if err != nil {
		c.SetLinger(0) // A port without a listener resets the channel.
		return
	}
	defer d.Close()
	n.mu.Lock()
	n.channels[c], n.channels[d.(*net.TCPConn)] = true, true
	n.mu.Unlock()
	defer func() { n.mu.Lock(); delete(n.channels, c); delete(n.channels, d.(*net.TCPConn)); n.mu.Unlock() }()
	var both sync.WaitGroup
	both.Go(func() { n.forward(c, d.(*net.TCPConn), from, to) })
	both.Go(func() { n.forward(d.(*net.TCPConn), c, from, to) })
	both.Wait()
}

type chunk struct {
	data []byte
	sent time.Time
	held bool
}

// forward passes on one direction of a channel.
func (n *network) forward(src, dst *net.TCPConn, from, to string) {
	chunks := make(chan chunk, 1024)
	reset := make(chan struct{})
	var writer sync.WaitGroup
	writer.Go(func() {
		for c := range chunks {
			if n.arrives(c, from, to, reset) {
				dst.Write(c.data)
			}
		}
		for h := n.blocked(from, to); h != nil; h = n.blocked(from, to) {
			<-h
		}
	})
	buffer := make([]byte, 16<<10)
	for {
		k, err := src.Read(buffer)
		if k > 0 {
			chunks <- chunk{append([]byte(nil), buffer[:k]...), time.Now(), n.blocked(from, to) != nil}
		}
		if err != nil {
			if !errors.Is(err, io.EOF) {
				close(reset)
			}
			break
		}
	}
	close(chunks)
	writer.Wait()
	dst.CloseWrite()
}

// arrives waits until a chunk gets through, and reports false if its sender has reset the channel meanwhile.
func (n *network) arrives(c chunk, from, to string, reset chan struct{}) bool {
	waited := false
	for h := n.blocked(from, to); h != nil; h = n.blocked(from, to) {
		waited = true
		select {
		case <-h:
		case <-reset:
			n.count(&n.lost, 1)
			return false
		}
	}
	if n.backoff && c.held {
		n.mu.Lock()
		healedAt := n.healedAt
		n.mu.Unlock()
		due := c.sent
		for step := 200 * time.Millisecond; due.Before(healedAt); step *= 2 {
			due = due.Add(step)
		}
		select {
		case <-time.After(time.Until(due)):
		case <-reset:
			n.count(&n.lost, 1)
			return false
		}
	}
	if waited {
		n.count(&n.held, 1)
	}
	return true
}

// openRelays opens the relays between all machines, and names them in their settings.
func (n *network) openRelays(base int) error {
	n.cuts, n.channels, n.w.placeOf = map[*cut]bool{}, map[*net.TCPConn]bool{}, map[string]string{}
	for i, target := range n.w.nodes {
		n.w.placeOf[target.name] = target.zone
		for f, own := range n.w.nodes {
			if own == target {
				continue
			}
			if err := n.relay(relayIP(base, i, f)+port(7720), target.ip+port(7720), own.name, target.name); err != nil {
				return err
			}
		}
	}
	for f, own := range n.w.nodes {
		own.peers = map[string]string{}
		for i, target := range n.w.nodes {
			if target != own {
				own.peers[target.name] = relayIP(base, i, f) + ":7720"
			}
		}
		for i := range 3 {
			if n.w.nodes[i] == own {
				own.relayedSeeds = append(own.relayedSeeds, machineIP(base, i)+port(8166))
			} else {
				own.relayedSeeds = append(own.relayedSeeds, relayIP(base, i, f)+port(8166))
			}
		}
	}
	return nil
}

// relaySeeds names the relays as seeds, too, once the system has started: the first start needs the same seeds everywhere.
func (n *network) relaySeeds() {
	for _, m := range n.w.nodes {
		m.mu.Lock()
		m.seeds = m.relayedSeeds
		m.mu.Unlock()
		m.writeSettings()
		m.signal(syscall.SIGHUP)
	}
}

// owners of channels: which machine's process holds the end of a channel with a given address.
type channelEnds struct {
	mu    sync.Mutex
	at    time.Time
	names map[string]string
}

// nodeOf returns the name of the machine whose process holds the other end of a channel, or "".
func (w *world) nodeOf(remote string) string {
	w.net.ends.mu.Lock()
	defer w.net.ends.mu.Unlock()
	name, known := w.net.ends.names[remote]
	if !known && time.Since(w.net.ends.at) > 30*time.Millisecond {
		w.net.ends.names = w.channelEnds()
		w.net.ends.at = time.Now()
		name = w.net.ends.names[remote]
	}
	return name
}

// channelEnds reads the system's list of channels, and whose they are among the processes that this program started.
func (w *world) channelEnds() map[string]string {
	names := map[string]string{}
	for _, n := range w.nodes {
		n.mu.Lock()
		cmd := n.cmd
		n.mu.Unlock()
		folder := fmt.Sprintf("/proc/%d/fd/", cmd.Process.Pid)
		entries, _ := os.ReadDir(folder)
		for _, e := range entries {
			if l, _ := os.Readlink(folder + e.Name()); strings.HasPrefix(l, "socket:[") {
				names[strings.TrimSuffix(strings.TrimPrefix(l, "socket:["), "]")] = n.name
			}
		}
	}
	ends := map[string]string{}
	f, err := os.Open("/proc/net/tcp")
	if err != nil {
		return ends
	}
	defer f.Close()
	for lines := bufio.NewScanner(f); lines.Scan(); {
		fields := strings.Fields(lines.Text())
		if len(fields) < 10 || fields[3] != "01" { // Open channels only.
			continue
		}
		var ip uint32
		var port int
		fmt.Sscanf(fields[1], "%X:%X", &ip, &port)
		if name := names[fields[9]]; name != "" {
			ends[fmt.Sprintf("%d.%d.%d.%d:%d", byte(ip), byte(ip>>8), byte(ip>>16), byte(ip>>24), port)] = name
		}
	}
	return ends
}

// cutZones cuts one zone off after the other, under steady traffic. With trouble off nothing is cut.
func cutZones(w *world, n *network, entries []*node, rounds, runMS, tasks int, rate float64, length, gap time.Duration, trouble bool, st *stats) {
	r := rand.New(rand.NewPCG(1, 3))
	stop := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(time.Duration(r.ExpFloat64() / rate * float64(time.Second))):
			}
			j := &job{id: fmt.Sprintf("%016x", r.Uint64()), route: 2, count: tasks}
			j.spec = fmt.Sprintf("cpu=8000;mem=64;ms=%d", runMS)
			w.mu.Lock()
			w.jobs[j.id] = j
			w.mu.Unlock()
			wg.Go(func() { client(w, entries, j, runMS, "plain", st) })
		}
	})
	time.Sleep(2 * time.Second)
	for round := range rounds {
		zone := w.zones[round%len(w.zones)]
		for _, m := range w.nodes {
			m.disturb(length + 5*time.Second)
		}
		if trouble {
			w.note("round %d: zone %s is cut off", round, zone)
			n.cutZone(zone, length)
			w.note("round %d: zone %s is reached again", round, zone)
		} else {
			time.Sleep(length)
		}
		time.Sleep(gap)
	}
	close(stop)
	wg.Wait()
	n.mu.Lock()
	w.note("of what was held up, %d chunks arrived and %d were lost", n.held, n.lost)
	n.mu.Unlock()
}
