// Package relay is a TCP proxy on the loopback interface that adds a delay and injects network faults: a
// partition for a while, or open connections that stall for good.
package relay

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	maxChunkBytes   = 64 << 10
	maxQueuedChunks = 1024 // Maximum number of chunks in transit in one direction of one connection.
	dialTimeout     = time.Second
)

// Relay forwards connections to one target.
type Relay struct {
	target        string
	delay         time.Duration
	listener      net.Listener
	goroutines    sync.WaitGroup
	closed        chan struct{}
	receivedBytes atomic.Int64

	mu         sync.Mutex
	forwarding chan struct{}         // Closed except during a partition.
	stalled    chan struct{}         // Closed when the connections that are open now stall for good.
	conns      map[net.Conn]struct{} // Both sides of each proxied connection, to be closed by Close.
}

// Start listens on a free port of 127.0.0.1 and forwards connections to target (ip:port), with the given
// delay in each direction.
func Start(target string, delay time.Duration) (*Relay, error) {
	return StartAt("127.0.0.1:0", target, delay)
}

// StartAt is like Start, but listens on the given address.
func StartAt(address, target string, delay time.Duration) (*Relay, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "relay")
	}
	r := &Relay{
		target: target, delay: delay, listener: listener, closed: make(chan struct{}),
		forwarding: make(chan struct{}), stalled: make(chan struct{}), conns: make(map[net.Conn]struct{}),
	}
	close(r.forwarding)
	r.goroutines.Go(r.accept)
	return r, nil
}

// Address returns the relay's ip:port.
func (r *Relay) Address() string { return r.listener.Addr().String() }

// Bytes returns the number of bytes received in both directions.
func (r *Relay) Bytes() int64 { return r.receivedBytes.Load() }

// Partition starts a partition: all data is held back and arrives after Heal.
func (r *Relay) Partition() {
	r.mu.Lock()
	defer r.mu.Unlock()
	select {
	case <-r.forwarding:
		r.forwarding = make(chan struct{})
	default:
	}
}

// Heal ends the partition.
func (r *Relay) Heal() {
	r.mu.Lock()
	defer r.mu.Unlock()
	select {
	case <-r.forwarding:
	default:
		close(r.forwarding)
	}
}

// Stall stalls the connections that are open: all their further data is dropped, without closing
// them. New connections work.
func (r *Relay) Stall() {
	r.mu.Lock()
	defer r.mu.Unlock()
	close(r.stalled)
	r.stalled = make(chan struct{})
}

// Close stops the relay and closes its connections.
func (r *Relay) Close() {
	close(r.closed)
	r.listener.Close()
	r.mu.Lock()
	for conn := range r.conns {
		conn.Close()
	}
	r.mu.Unlock()
	r.goroutines.Wait()
}

func (r *Relay) accept() {
	for {
		clientConn, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.goroutines.Go(func() { r.serve(clientConn) })
	}
}

// serve proxies one connection until both directions have ended.
func (r *Relay) serve(clientConn net.Conn) {
	targetConn, err := net.DialTimeout("tcp", r.target, dialTimeout)
	if err != nil {
		clientConn.Close()
		return
	}
	stalled, ok := r.track(clientConn, targetConn)
	defer r.closeConns(clientConn, targetConn)
	if !ok {
		return
	}
	var directions sync.WaitGroup
	directions.Go(func() { r.forward(clientConn, targetConn, stalled) })
	directions.Go(func() { r.forward(targetConn, clientConn, stalled) })
	directions.Wait()
}

// track adds connections to those that Close closes and returns the channel that is closed when they
// stall. ok is false when the relay is closed already.
func (r *Relay) track(conns ...net.Conn) (stalled chan struct{}, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, conn := range conns {
		r.conns[conn] = struct{}{}
	}
	select {
	case <-r.closed:
		return nil, false
	default:
		return r.stalled, true
	}
}

// closeConns closes connections and removes them from those that Close closes.
func (r *Relay) closeConns(conns ...net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, conn := range conns {
		conn.Close()
		delete(r.conns, conn)
	}
}

// chunk is data in transit, to be delivered at dueAt.
type chunk struct {
	data  []byte
	dueAt time.Time
}

// forward forwards data in one direction until its source is closed.
func (r *Relay) forward(from, to net.Conn, stalled chan struct{}) {
	chunks := make(chan chunk, maxQueuedChunks)
	var writer sync.WaitGroup
	writer.Go(func() { r.deliver(to, chunks, stalled) })
	buffer := make([]byte, maxChunkBytes)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			r.receivedBytes.Add(int64(n))
			chunks <- chunk{append([]byte(nil), buffer[:n]...), time.Now().Add(r.delay)}
		}
		if err != nil {
			break
		}
	}
	close(chunks)
	writer.Wait()
}

// deliver writes chunks to the receiver when they are due and closes it after the last one. On a stalled
// connection not even the close is forwarded.
func (r *Relay) deliver(to net.Conn, chunks <-chan chunk, stalled chan struct{}) {
	for c := range chunks {
		if r.holdBack(c.dueAt, stalled) {
			to.Write(c.data) // A broken receiver ends the other direction, where it is the source.
		}
	}
	select {
	case <-stalled:
	default:
		to.Close()
	}
}

// holdBack waits until the chunk is due and no partition is in force. It reports whether to deliver the
// chunk: not if the connection has stalled or the relay is closed.
func (r *Relay) holdBack(dueAt time.Time, stalled chan struct{}) bool {
	if remaining := time.Until(dueAt); remaining > 0 {
		timer := time.NewTimer(remaining)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-r.closed:
			return false
		}
	}
	r.mu.Lock()
	forwarding := r.forwarding
	r.mu.Unlock()
	select {
	case <-stalled:
		return false
	default:
	}
	select {
	case <-forwarding:
		return true
	case <-stalled:
		return false
	case <-r.closed:
		return false
	}
}
