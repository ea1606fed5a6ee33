package main

import (
	"net"
	"sync"
	"time"
)

// proxy forwards connections to a target. While it is cut, it holds all bytes and connects nobody; it delivers them afterwards, unless their
// sender has lost its power meanwhile.
type proxy struct {
	target   string
	listener net.Listener

	mu        sync.Mutex
	cut       bool
	connected chan struct{} // Closed while the proxy is not cut.
	lost      chan struct{} // Closed when all connections so far are lost.
}

func newProxy(listen, target string) (*proxy, error) {
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	p := &proxy{target: target, listener: listener, connected: make(chan struct{}), lost: make(chan struct{})}
	close(p.connected)
	go p.accept()
	return p, nil
}

// setCut cuts the proxy or connects it again.
func (p *proxy) setCut(cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if cut == p.cut {
		return
	}
	p.cut = cut
	if cut {
		p.connected = make(chan struct{})
	} else {
		close(p.connected)
	}
}

// lose ends all connections so far, with the bytes that are held up on them.
func (p *proxy) lose() {
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.lost)
	p.lost = make(chan struct{})
}

func (p *proxy) state() (connected, lost chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.connected, p.lost
}

func (p *proxy) accept() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(conn)
	}
}

// await waits until the proxy is connected, and reports false when the connection is lost before.
func (p *proxy) await(lost chan struct{}) bool {
	connected, _ := p.state()
	select {
	case <-connected:
		return true
	case <-lost:
		return false
	}
}

func (p *proxy) serve(from net.Conn) {
	defer from.Close()
	_, lost := p.state()
	if !p.await(lost) {
		return
	}
	to, err := net.DialTimeout("tcp", p.target, time.Second)
	if err != nil {
		from.(*net.TCPConn).SetLinger(0)
		return
	}
	defer to.Close()
	ended := make(chan struct{}, 2)
	go p.copy(to, from, lost, ended)
	go p.copy(from, to, lost, ended)
	select {
	case <-ended:
	case <-lost:
	}
}

// copy forwards the bytes of one direction until a connection ends.
func (p *proxy) copy(to, from net.Conn, lost, ended chan struct{}) {
	defer func() { ended <- struct{}{} }()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if !p.await(lost) {
			return
		}
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
