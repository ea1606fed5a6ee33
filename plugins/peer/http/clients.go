package http

import (
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/rcrowley/go-metrics"

	"redwingpulley/kernel/dial"
	"redwingpulley/kernel/model"
)

// peerClients holds the HTTP clients, and with them the connections, for one member. It is replaced
// by a new one when the connections may have stalled.
type peerClients struct {
	client    *http.Client // For requests that belong to jobs.
	control   *http.Client // For control requests, which go over HTTP/1.1; its idle connections are closed sooner.
	createdAt time.Time
}

func newPeerClients() *peerClients {
	return &peerClients{client: newClient(newJobTransport()), control: newClient(newControlTransport()), createdAt: time.Now()}
}

func newClient(transport *http.Transport) *http.Client {
	return &http.Client{Transport: transport, CheckRedirect: dial.NoRedirect}
}

func (c *peerClients) closeIdle() {
	c.client.CloseIdleConnections()
	c.control.CloseIdleConnections()
}

// newJobTransport returns the transport of requests that belong to jobs: one HTTP/2 connection carries all batches that
// wait for their results, and its pings detect that it has stalled.
func newJobTransport() *http.Transport {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Transport{
		Protocols:       protocols,
		DialContext:     (&net.Dialer{Timeout: dialTimeout}).DialContext,
		IdleConnTimeout: idleTimeout,
		HTTP2: &http.HTTP2Config{
			SendPingTimeout: pingAfter,
			PingTimeout:     pingTimeout,
		},
	}
}

// newControlTransport returns the transport of control requests. Most of them go to another member each time, so they
// mostly open a connection, which costs less with HTTP/1.1; and an idle one costs no pings.
func newControlTransport() *http.Transport {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	return &http.Transport{
		Protocols:       protocols,
		DialContext:     (&net.Dialer{Timeout: dialTimeout}).DialContext,
		IdleConnTimeout: controlIdleTimeout,
	}
}

// client returns the client for calls of method to a node. With wantFresh set, it is one that was
// created after since, so that it shares no connection with earlier calls. Retries of calls that
// failed at the same time share the new client.
func (p *Peers) client(to model.NodeID, method string, since time.Time, wantFresh bool) *http.Client {
	var old *peerClients
	var current *peerClients
	p.clients.Do(to, func(clients map[model.NodeID]*peerClients) {
		current = clients[to]
		if current == nil || (wantFresh && !current.createdAt.After(since)) {
			old, current = current, newPeerClients()
			clients[to] = current
		}
	})
	if old != nil {
		old.closeIdle()
	}
	if isControl(method) {
		return current.control
	}
	return current.client
}

// messageCounters counts messages at the side that sends the requests, so that each message is counted
// once over all members.
type messageCounters struct {
	requests metrics.Counter
	replies  metrics.Counter
}

// controlMethods are the prefixes of the methods that belong to no job.
var controlMethods = []string{"membership/", "pools/loads", "pools/announce", "pools/reach", "pools/losses", "profiles/", "quota/"}

func isControl(method string) bool {
	for _, prefix := range controlMethods {
		if strings.HasPrefix(method, prefix) {
			return true
		}
	}
	return false
}

// messageCounters returns the counters of the messages of a method.
func (p *Peers) messageCounters(method string) messageCounters {
	if isControl(method) {
		return p.controlMessages
	}
	return p.jobMessages
}
