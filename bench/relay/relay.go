// Package relay forwards TCP connections on loopback with a delay, and breaks them the ways that
// networks do: cut off for a while, or silent for good on the connections that are open.
package relay

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	chunkBytes   = 64 << 10
	queuedChunks = 1024 // Chunks on their way in one direction of one connection.
	dialTimeout  = time.Second
)

// Relay forwards connections to one target.
type Relay struct {
	target   string
	delay    time.Duration
	listener net.Listener
	done     sync.WaitGroup
	closed   chan struct{}
	bytes    atomic.Int64

	mu       sync.Mutex
	open     chan struct{}         // Closed while data is forwarded.
	silenced chan struct{}         // Closed when the present connections go silent for good.
	conns    map[net.Conn]struct{} // Both sides, to be closed at the end.
}

// Start listens on a free port of 127.0.0.1 and forwards to target, ip:port, with the delay one way.
func Start(target string, delay time.Duration) (*Relay, error) {
	return StartAt("127.0.0.1:0", target, delay)
}

// StartAt is Start with an address to listen at.
func StartAt(address, target string, delay time.Duration) (*Relay, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "relay")
	}
	r := &Relay{
		target: target, delay: delay, listener: listener, closed: make(chan struct{}),
		open: make(chan struct{}), silenced: make(chan struct{}), conns: make(map[net.Conn]struct{}),
	}
	close(r.open)
	r.done.Go(r.accept)
	return r, nil
}

// Address returns the relay's ip:port.
func (r *Relay) Address() string { return r.listener.Addr().String() }

// Bytes returns how many bytes came in, both ways together.
func (r *Relay) Bytes() int64 { return r.bytes.Load() }

// Cut holds back all data, as a partition does: what was sent arrives after Heal.
func (r *Relay) Cut() {
	r.mu.Lock()
	defer r.mu.Unlock()
	select {
	case <-r.open:
		r.open = make(chan struct{})
	default:
	}
}

// Heal ends a Cut.
func (r *Relay) Heal() {
	r.mu.Lock()
	defer r.mu.Unlock()
	select {
	case <-r.open:
	default:
		close(r.open)
	}
}

// Silence drops all further data of the connections that are open, without closing them. New
// connections work.
func (r *Relay) Silence() {
	r.mu.Lock()
	defer r.mu.Unlock()
	close(r.silenced)
	r.silenced = make(chan struct{})
}

// Close ends the relay and its connections.
func (r *Relay) Close() {
	close(r.closed)
	r.listener.Close()
	r.mu.Lock()
	for conn := range r.conns {
		conn.Close()
	}
	r.mu.Unlock()
	r.done.Wait()
}

func (r *Relay) accept() {
	for {
		near, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.done.Go(func() { r.serve(near) })
	}
}

func (r *Relay) serve(near net.Conn) {
	far, err := net.DialTimeout("tcp", r.target, dialTimeout)
	if err != nil {
		near.Close()
		return
	}
	silenced, ok := r.register(near, far)
	defer r.forget(near, far)
	if !ok {
		return
	}
	var both sync.WaitGroup
	both.Go(func() { r.forward(near, far, silenced) })
	both.Go(func() { r.forward(far, near, silenced) })
	both.Wait()
}

func (r *Relay) register(conns ...net.Conn) (silenced chan struct{}, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, conn := range conns {
		r.conns[conn] = struct{}{}
	}
	select {
	case <-r.closed:
		return nil, false
	default:
		return r.silenced, true
	}
}

func (r *Relay) forget(conns ...net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, conn := range conns {
		conn.Close()
		delete(r.conns, conn)
	}
}

type chunk struct {
	data []byte
	due  time.Time
}

// forward carries data one way until its source ends.
func (r *Relay) forward(from, to net.Conn, silenced chan struct{}) {
	chunks := make(chan chunk, queuedChunks)
	var writing sync.WaitGroup
	writing.Go(func() { r.write(to, chunks, silenced) })
	buffer := make([]byte, chunkBytes)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			r.bytes.Add(int64(n))
			chunks <- chunk{append([]byte(nil), buffer[:n]...), time.Now().Add(r.delay)}
		}
		if err != nil {
			break
		}
	}
	close(chunks)
	writing.Wait()
}

// write passes chunks on when they are due, and the end of the stream after them. A silenced
// connection does not even pass on its end.
func (r *Relay) write(to net.Conn, chunks <-chan chunk, silenced chan struct{}) {
	for c := range chunks {
		if r.wait(c.due, silenced) {
			to.Write(c.data) // A broken target ends its own side.
		}
	}
	select {
	case <-silenced:
	default:
		to.Close()
	}
}

// wait holds a chunk back for its delay and while the relay is cut; it reports whether to pass it on.
func (r *Relay) wait(due time.Time, silenced chan struct{}) bool {
	if left := time.Until(due); left > 0 {
		timer := time.NewTimer(left)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-r.closed:
			return false
		}
	}
	r.mu.Lock()
	open := r.open
	r.mu.Unlock()
	select {
	case <-silenced:
		return false
	default:
	}
	select {
	case <-open:
		return true
	case <-silenced:
		return false
	case <-r.closed:
		return false
	}
}
