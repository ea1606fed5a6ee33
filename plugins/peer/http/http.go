// Package http carries requests between members as JSON over HTTP/2, so that one connection holds
// any number of waiting batches.
package http

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"redwingpulley/kernel/dial"
	"redwingpulley/kernel/drain"
	"redwingpulley/kernel/event"
	"redwingpulley/kernel/model"
	"redwingpulley/kernel/plugin"
	"redwingpulley/kernel/port"
	"redwingpulley/kernel/settings"
	"redwingpulley/kernel/shard"
)

const (
	pathPrefix   = "/peer/v1/"
	headerFrom   = "Redwing-Node"
	maxBody      = 64 << 20               // Bytes of one request or reply.
	pingAfter    = 400 * time.Millisecond // Silence after which a connection is pinged.
	pingTimeout  = 400 * time.Millisecond // Wait for a ping's answer before the connection is closed.
	dialTimeout  = 1 * time.Second        // Wait for a connection.
	idleTimeout  = 15 * time.Second       // Before an unused connection is closed.
	idleControl  = 300 * time.Millisecond // The same for control: before its first ping, so that idle peers cost nothing.
	stopTimeout  = 2 * time.Second        // Wait for the last replies at the end.
	headerWait   = 10 * time.Second       // Wait for the header of a request.
	maxStreams   = 100_000                // Batches that may wait on one connection.
	contentJSON  = "application/json"
	statusNoSuch = http.StatusNotFound
)

// Settings are the plug-in's own.
type Settings struct {
	// Addresses are ip:port of members that this one reaches by another way than they tell, such as
	// through a tunnel. They go before what is learned.
	Addresses map[model.NodeID]string `json:"addresses"`
}

// Peers is the plug-in. Create it through the registry.
type Peers struct {
	settings  Settings
	self      model.NodeID
	listen    string
	log       *slog.Logger
	handlers  map[string]port.Handler
	addresses *shard.Map[model.NodeID, string]
	links     *shard.Map[model.NodeID, *link]
	server    *http.Server
	listener  net.Listener
	work      traffic
	control   traffic
	serving   drain.Gate // Around each request that is not control.
	draining  atomic.Bool
}

// Provision learns the addresses of the members that settings name.
func (p *Peers) Provision(c *plugin.Context) error {
	if err := c.Settings(&p.settings); err != nil {
		return err
	}
	p.init(c.Node, c.Log, c.Metrics)
	plugin.Bind[port.Peers](c, p)
	return nil
}

func (p *Peers) init(node settings.Settings, log *slog.Logger, registry metrics.Registry) {
	p.self = node.Node
	p.listen = node.Listen.Peers
	p.log = log
	p.handlers = make(map[string]port.Handler)
	p.addresses = shard.New[model.NodeID, string](shard.DefaultCount)
	for _, m := range node.Members {
		p.Learn(m.Node, m.Peers)
	}
	p.links = shard.New[model.NodeID, *link](shard.DefaultCount)
	p.work = traffic{
		metrics.GetOrRegisterCounter("messages.peer.requests", registry),
		metrics.GetOrRegisterCounter("messages.peer.replies", registry),
	}
	control := metrics.GetOrRegisterCounter("messages.control", registry)
	p.control = traffic{control, control}
}

// Handle registers the handler of a method.
func (p *Peers) Handle(method string, handler port.Handler) { p.handlers[method] = handler }

// Learn sets the address of a node, unless settings give another.
func (p *Peers) Learn(node model.NodeID, address string) {
	if fixed, ok := p.settings.Addresses[node]; ok {
		address = fixed
	}
	p.addresses.Do(node, func(known map[model.NodeID]string) { known[node] = address })
}

// Start opens the listener for peers.
func (p *Peers) Start() error {
	listener, err := net.Listen("tcp", p.listen)
	if err != nil {
		return err
	}
	p.listener = listener
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	protocols.SetHTTP1(true)
	p.server = &http.Server{
		Handler:           http.HandlerFunc(p.serve),
		Protocols:         protocols,
		ReadHeaderTimeout: headerWait,
		HTTP2: &http.HTTP2Config{
			MaxConcurrentStreams: maxStreams,
			SendPingTimeout:      pingAfter, PingTimeout: pingTimeout, // A silent peer's requests end.
		},
	}
	go p.server.Serve(listener)
	return nil
}

// Drain waits until the requests of other members have their replies. It takes new ones, which the
// drained plug-ins refuse.
func (p *Peers) Drain(ctx context.Context) {
	p.draining.Store(true)
	p.serving.Wait(ctx)
}

// Stop sends the replies that are due, then closes the listener and all connections. The listener
// stays during a drain, for the batches of other members.
func (p *Peers) Stop() error {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	if p.server.Shutdown(ctx) != nil {
		event.PeersCutOff.Log(p.log)
	}
	p.links.Each(func(links map[model.NodeID]*link) {
		for _, l := range links {
			l.closeIdle()
		}
	})
	return p.server.Close()
}

// address returns the listener's ip:port.
func (p *Peers) address() string { return p.listener.Addr().String() }

func (p *Peers) serve(w http.ResponseWriter, r *http.Request) {
	if len(r.URL.Path) < len(pathPrefix) {
		http.Error(w, "no such method", statusNoSuch)
		return
	}
	method := r.URL.Path[len(pathPrefix):]
	handler, ok := p.handlers[method]
	if !ok {
		http.Error(w, "no such method", statusNoSuch)
		return
	}
	if !isControl(method) {
		p.serving.Enter()
		defer p.serving.Leave()
	}
	body := http.MaxBytesReader(w, r.Body, maxBody)
	decode := func(target any) error { return json.NewDecoder(body).Decode(target) }
	reply, err := handler(r.Context(), model.NodeID(r.Header.Get(headerFrom)), decode)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	w.Header().Set("Content-Type", contentJSON)
	if err := json.NewEncoder(w).Encode(reply); err != nil {
		event.ReplyNotSent.Log(p.log, event.Text(event.Method, method), event.Err(err))
	}
	if p.draining.Load() {
		http.NewResponseController(w).Flush() // Before the request counts as answered.
	}
}

// Call sends a request and waits for its reply.
func (p *Peers) Call(ctx context.Context, to model.NodeID, method string, request, reply any) port.Delivery {
	address, ok := p.addresses.Get(to)
	if !ok {
		return port.NotSent
	}
	body, err := json.Marshal(request)
	if err != nil {
		event.RequestNotEncoded.Log(p.log, event.Text(event.Method, method), event.Err(err))
		return port.NotSent
	}
	ctx, connected := dial.Trace(ctx)
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+pathPrefix+method, bytes.NewReader(body))
	if err != nil {
		return port.NotSent
	}
	r.Header.Set(headerFrom, string(p.self))
	r.Header.Set("Content-Type", contentJSON)
	since, fresh := port.FreshSince(ctx)
	response, err := p.client(to, method, since, fresh).Do(r)
	counted := p.traffic(method)
	if err != nil {
		if connected.Load() {
			counted.requests.Inc(1)
		}
		return undelivered(connected.Load())
	}
	defer response.Body.Close()
	counted.requests.Inc(1)
	counted.replies.Inc(1)
	return decodeReply(response, reply)
}

// undelivered tells a request that never had a connection from one whose bytes may have left.
func undelivered(connected bool) port.Delivery {
	if connected {
		return port.Unknown
	}
	return port.NotSent
}

func decodeReply(response *http.Response, reply any) port.Delivery {
	limited := io.LimitReader(response.Body, maxBody)
	if response.StatusCode != http.StatusOK {
		return port.Unknown
	}
	if err := json.NewDecoder(limited).Decode(reply); err != nil {
		return port.Unknown
	}
	return port.Delivered
}
