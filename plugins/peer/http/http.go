// Package http carries requests between members as JSON over HTTP/2, so that any number of batches can
// wait for their results on one connection.
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
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
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
	pathPrefix         = "/peer/v1/"
	headerFrom         = "Redwing-Node"
	maxBody            = 64 << 20               // Limit on one request or reply, in bytes.
	pingAfter          = 400 * time.Millisecond // Time without received data after which a connection is pinged.
	pingTimeout        = 400 * time.Millisecond // Time without an answer to a ping after which the connection is closed.
	dialTimeout        = 1 * time.Second        // Longest wait for a connection.
	controlIdleTimeout = 2 * time.Second        // Time after which an idle connection of control requests is closed.
	// idleTimeout is the time after which an idle connection of jobs is closed. Idle ones are pinged as well, which costs as much in two
	// seconds as opening one: in a large group most connections are idle for longer.
	idleTimeout    = time.Second
	stopTimeout    = 2 * time.Second  // Longest wait at shutdown for the last replies.
	headerTimeout  = 10 * time.Second // Longest wait for a request's header.
	maxStreams     = 100_000          // Requests in flight on one connection; each batch that waits for its result is one.
	contentJSON    = "application/json"
	statusNoMethod = http.StatusNotFound
)

// Settings are the plug-in's settings.
type Settings struct {
	// Addresses are the ip:port of members that this one reaches at another address than they
	// announce, for example through a tunnel. They take precedence over those given to SetAddress.
	Addresses map[model.NodeID]string `json:"addresses"`
}

// Peers is the plug-in. Create it through the registry.
type Peers struct {
	settings        Settings
	self            model.NodeID
	listen          string
	log             *slog.Logger
	handlers        map[string]port.Handler
	addresses       *shard.Map[model.NodeID, string]
	clients         *shard.Map[model.NodeID, *peerClients]
	server          *http.Server
	listener        net.Listener
	jobMessages     messageCounters // Messages that belong to jobs.
	controlMessages messageCounters // All other messages; see controlMethods.
	jobRequests     drain.Gate      // Counts the served requests in flight that belong to jobs.
	draining        atomic.Bool
}

// Provision reads the settings and sets the addresses of the members that the process's settings name.
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
	for _, member := range node.Members {
		p.SetAddress(member.Node, member.Peers)
	}
	p.clients = shard.New[model.NodeID, *peerClients](shard.DefaultCount)
	p.jobMessages = messageCounters{
		metrics.GetOrRegisterCounter("messages.peer.requests", registry),
		metrics.GetOrRegisterCounter("messages.peer.replies", registry),
	}
	controlMessages := metrics.GetOrRegisterCounter("messages.control", registry)
	p.controlMessages = messageCounters{controlMessages, controlMessages}
}

// Handle registers the handler of a method. It must not be called after Start.
func (p *Peers) Handle(method string, handler port.Handler) { p.handlers[method] = handler }

// SetAddress sets the address of a node, unless the settings have one for it.
func (p *Peers) SetAddress(node model.NodeID, address string) {
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
		ReadHeaderTimeout: headerTimeout,
		HTTP2: &http.HTTP2Config{
			MaxConcurrentStreams: maxStreams,
			SendPingTimeout:      pingAfter, PingTimeout: pingTimeout, // Ends the requests of a peer that no longer answers.
		},
	}
	go p.server.Serve(listener)
	return nil
}

// Drain waits until the requests of other members that belong to jobs have been answered. New requests
// are still served; the drained plug-ins refuse them.
func (p *Peers) Drain(ctx context.Context) {
	p.draining.Store(true)
	p.jobRequests.Wait(ctx)
}

// Stop closes the listener, waits up to stopTimeout for requests in flight and closes all
// connections. The listener stays open during a drain, for the batches of other members.
func (p *Peers) Stop() error {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	if p.server.Shutdown(ctx) != nil {
		event.PeersCutOff.Log(p.log)
	}
	p.clients.Each(func(clients map[model.NodeID]*peerClients) {
		for _, c := range clients {
			c.closeIdle()
		}
	})
	return p.server.Close()
}

// address returns the listener's ip:port.
func (p *Peers) address() string { return p.listener.Addr().String() }

// serve decodes a request of another member, calls the handler of its method and encodes the reply.
func (p *Peers) serve(w http.ResponseWriter, r *http.Request) {
	if len(r.URL.Path) < len(pathPrefix) {
		http.Error(w, "no such method", statusNoMethod)
		return
	}
	method := r.URL.Path[len(pathPrefix):]
	handler, ok := p.handlers[method]
	if !ok {
		http.Error(w, "no such method", statusNoMethod)
		return
	}
	if !isControl(method) {
		p.jobRequests.Enter()
		defer p.jobRequests.Leave()
	}
	body, err := requestBody(w, r, maxBody)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	decode := func(target any) error { return json.NewDecoder(body).Decode(target) }
	reply, err := handler(r.Context(), model.NodeID(r.Header.Get(headerFrom)), decode)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	w.Header().Set("Content-Type", contentJSON)
	if err := writeReply(w, r, reply); err != nil {
		event.ReplyNotSent.Log(p.log, event.Text(event.Method, method), event.Err(err))
	}
	if p.draining.Load() {
		http.NewResponseController(w).Flush() // The reply must be sent before the request no longer counts as in flight.
	}
}

// Call sends a request and waits for its reply. The delivery is unknown if the reply is an error or
// cannot be decoded.
func (p *Peers) Call(ctx context.Context, to model.NodeID, method string, request, reply any) port.Delivery {
	address, ok := p.addresses.Get(to)
	if !ok {
		return port.NotSent
	}
	encoded, err := p.Encode(request)
	if err != nil {
		event.RequestNotEncoded.Log(p.log, event.Text(event.Method, method), event.Err(err))
		return port.NotSent
	}
	delivery, invalid := p.send(ctx, address, to, method, encoded, reply)
	if invalid && encoded.Compressed != nil { // A member of an earlier version does not decompress, and has not run it.
		delivery, _ = p.send(ctx, address, to, method, port.EncodedRequest{Plain: encoded.Plain}, reply)
	}
	return delivery
}

// send sends an encoded request and waits for its reply. invalid reports that the member could not read it.
func (p *Peers) send(ctx context.Context, address string, to model.NodeID, method string, encoded port.EncodedRequest, reply any) (delivery port.Delivery, invalid bool) {
	body := encoded.Plain
	if encoded.Compressed != nil {
		body = encoded.Compressed
	}
	ctx, connected := dial.Trace(ctx)
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+pathPrefix+method, bytes.NewReader(body))
	if err != nil {
		return port.NotSent, false
	}
	if encoded.Compressed != nil {
		r.Header.Set("Content-Encoding", encodingGzip)
	}
	r.Header.Set(headerFrom, string(p.self))
	r.Header.Set("Content-Type", contentJSON)
	since, wantFresh := port.FreshSince(ctx)
	response, err := p.client(to, method, since, wantFresh).Do(r)
	counters := p.messageCounters(method)
	if err != nil {
		if connected.Load() {
			counters.requests.Inc(1)
		}
		return deliveryWithoutReply(connected.Load(), err), false
	}
	defer response.Body.Close()
	counters.requests.Inc(1)
	counters.replies.Inc(1)
	return decodeReply(response, reply), response.StatusCode == http.StatusBadRequest
}

// deliveryWithoutReply returns the delivery of a request that failed without a reply; connected tells whether the
// request was given a connection, so that its bytes may have left.
func deliveryWithoutReply(connected bool, err error) port.Delivery {
	switch {
	case connected:
		return port.Unknown
	case errors.Is(err, syscall.ECONNREFUSED):
		return port.Refused
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
